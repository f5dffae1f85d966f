/**
 * Explains how the rules resolve for one caller and one group: every rule that applies, the
 * one that wins, and why.
 */
import {Left, Right, type Either} from 'purify-ts';
import type {CallerDescription, CallerPolicy, EndpointPolicy} from '../services/services.js';
import {
	appliesToCaller, compileRules, precedenceOf, specificityOf, type CompiledRules, type Precedence,
} from './compiled-rules.js';
import {defaultEndpointPolicy} from './constants.js';
import {formatLabelSelector} from './label-selector.js';
import type {ConfigurationModel} from './model.js';
import type {Problem} from './problems.js';
import {
	callerSubject, applicableEndpointRules, resolveCallerPolicy, resolveEndpointPolicies,
} from './resolve-policies.js';
import type {EndpointEntry, Rule, RuleEffect} from './schema.js';
import {
	callerSettings, endpointSettings, type CallerSetting, type EndpointSetting,
} from './rule-settings.js';

/** The caller, the group and the kind of statement to explain. */
export type ExplainRequest = {
	readonly caller: CallerDescription;
	readonly group: string;
	readonly access: 'read' | 'write';
};

/** A rule that applies to the subject and states the setting. */
export type RuleCandidate = {
	readonly rule: string;
	readonly value: unknown;
	/** The selector as readable text. */
	readonly selector: string;
	readonly conditions: number;
	readonly order: number;
	readonly changedIn: number;
	/** The criterion by which it lost to the winner; undefined for the winner itself. */
	readonly lostBy?: Precedence;
};

/** How the value of one setting was resolved. */
export type SettingExplanation = {
	readonly setting: string;
	/** The resolved value; undefined when the setting is unbounded. */
	readonly value: unknown;
	/** Name of the rule that wins; undefined when the default applies. */
	readonly winner?: string;
	/** All rules that apply and state the setting, in order of precedence. */
	readonly candidates: readonly RuleCandidate[];
};

/** Whether the rules allow an endpoint to serve the statement, and why. */
export type EndpointExplanation = {
	readonly endpoint: string;
	readonly availabilityZone: string;
	readonly mayServe: boolean;
	readonly reasons: readonly string[];
	readonly settings: readonly SettingExplanation[];
};

/** How the rules resolve for one request, at one version of the configuration. */
export type Explanation = {
	readonly version: number;
	readonly request: ExplainRequest;
	readonly summary: readonly string[];
	readonly settings: readonly SettingExplanation[];
	readonly endpoints: readonly EndpointExplanation[];
};

/** Formats a rule's selector as readable text. */
export function describeSelector(rule: Rule): string {
	const {endpoints, callers, groups, zones} = rule.selector;
	const parts = [
		endpoints && `endpoints ${formatLabelSelector(endpoints)}`,
		callers && `callers ${formatLabelSelector(callers)}`,
		groups && `groups ${formatLabelSelector(groups)}`,
		zones && `zones ${zones.join(',')}`,
	].filter(part => part !== undefined);
	return parts.length === 0 ? 'everything' : parts.join('; ');
}

function explainSetting(setting: string, value: unknown, rules: readonly Rule[], read: (effect: RuleEffect) => unknown): SettingExplanation {
	const [winner] = rules;
	return {
		setting,
		value,
		winner: winner?.name,
		candidates: rules.map(rule => ({
			rule: rule.name,
			value: read(rule.effect),
			selector: describeSelector(rule),
			conditions: specificityOf(rule),
			order: rule.order,
			changedIn: rule.changedIn ?? 0,
			lostBy: rule === winner ? undefined : precedenceOf(winner, rule),
		})),
	};
}

/** Settings of a caller's policy that affect each kind of statement. */
const settingsByAccess: Readonly<Record<ExplainRequest['access'], readonly CallerSetting[]>> = {
	read: ['reads', 'maximumAgeMs', 'priority', 'maximumInProgress', 'deadlineMs', 'maximumRetries', 'transactionIdleMs'],
	write: ['priority', 'maximumInProgress', 'deadlineMs', 'maximumRetries', 'transactionIdleMs'],
};

const endpointSettingsShown: readonly EndpointSetting[] = ['isDraining', 'acceptsReads', 'primaryPreference', 'isOrderedPrimary'];

/** Every reason why an endpoint may not serve a kind of statement; empty when it may. */
function exclusions(policy: EndpointPolicy, access: ExplainRequest['access']): readonly string[] {
	const reasons: string[] = [];
	if (policy.isDraining) {
		reasons.push('draining: takes no new work');
	}

	if (access === 'read' && !policy.acceptsReads) {
		reasons.push('accepts no reads');
	}

	return reasons;
}

type Resolved = {
	readonly model: ConfigurationModel;
	readonly rules: CompiledRules;
	readonly policies: ReadonlyMap<string, EndpointPolicy>;
};

function explainEndpoint({model, rules, policies}: Resolved, endpoint: EndpointEntry, access: ExplainRequest['access']): EndpointExplanation {
	const policy = policies.get(endpoint.name) ?? defaultEndpointPolicy;
	const reasons = exclusions(policy, access);
	return {
		endpoint: endpoint.name,
		availabilityZone: endpoint.availabilityZone,
		mayServe: reasons.length === 0,
		reasons,
		settings: endpointSettingsShown.map(setting => explainSetting(
			setting,
			policy[setting],
			applicableEndpointRules(model, rules, endpoint, setting),
			endpointSettings[setting],
		)),
	};
}

function winnerText(settings: readonly SettingExplanation[], name: string): string {
	const winner = settings.find(({setting}) => setting === name)?.winner;
	return winner === undefined ? 'by default' : `by rule "${winner}"`;
}

function readSummary(group: string, policy: CallerPolicy, settings: readonly SettingExplanation[]): readonly string[] {
	if (policy.reads === 'primary') {
		return [`Reads of ${group} go to its primary, ${winnerText(settings, 'reads')}.`];
	}

	const age = policy.maximumAgeMs === undefined
		? 'Their age is bounded only by what the session itself wrote and read'
		: `Their data may be at most ${policy.maximumAgeMs} ms old`;
	return [
		`Reads of ${group} go to any endpoint that may serve them and has everything that the session wrote and read, ${winnerText(settings, 'reads')}.`,
		`${age}, ${winnerText(settings, 'maximumAgeMs')}.`,
	];
}

function writeSummary(group: string, endpoints: readonly EndpointExplanation[]): readonly string[] {
	const ordered = endpoints.find(({settings}) => settings.some(({setting, value}) => setting === 'isOrderedPrimary' && value === true));
	return [
		`Writes of ${group} go to its primary, whichever endpoint that is.`,
		...(ordered ? [`${ordered.endpoint} is ordered to be primary, ${winnerText(ordered.settings, 'isOrderedPrimary')}.`] : []),
	];
}

/** Explains where a caller's statement goes and why; Left when the group does not exist. */
export function explain(version: number, model: ConfigurationModel, request: ExplainRequest): Either<readonly Problem[], Explanation> {
	const {caller, group, access} = request;
	if (!model.group.has(group)) {
		return Left([{path: '$.group', expected: `expected an existing group, but there is no "${group}"`}]);
	}

	const rules = compileRules(model);
	const subject = callerSubject(model, caller, group);
	const applying = rules.callers.filter(rule => appliesToCaller(rule, subject));
	const policy = resolveCallerPolicy(model, rules, caller, group);
	const settings = settingsByAccess[access].map(setting => explainSetting(
		setting,
		policy[setting],
		applying.filter(rule => callerSettings[setting](rule.effect) !== undefined),
		callerSettings[setting],
	));
	const resolved = {model, rules, policies: resolveEndpointPolicies(model, rules)};
	const endpoints = [...model.endpoint.values()]
		.filter(endpoint => endpoint.group === group)
		.map(endpoint => explainEndpoint(resolved, endpoint, access));
	return Right({
		version,
		request,
		summary: access === 'read' ? readSummary(group, policy, settings) : writeSummary(group, endpoints),
		settings,
		endpoints,
	});
}
