/**
 * Resolves what the rules say for a caller and for every endpoint.
 */
import type {CallerDescription, CallerPolicy, EndpointPolicy} from '../services/services.js';
import {defaultCallerPolicy, defaultEndpointPolicy} from './constants.js';
import {
	appliesToCaller,
	appliesToEndpoint,
	callerLabels,
	endpointLabels,
	groupLabels,
	type CallerSubject,
	type CompiledRules,
	type EndpointSubject,
} from './compiled-rules.js';
import {groupBy} from './group-by.js';
import type {ConfigurationModel} from './model.js';
import type {EndpointEntry, Rule} from './schema.js';
import {callerSettings, endpointSettings, type EndpointSetting} from './rule-settings.js';

/** What the rules see of a caller that asks for a group. */
export function callerSubject(model: ConfigurationModel, caller: CallerDescription, group: string): CallerSubject {
	return {caller: callerLabels(model, caller), group: groupLabels(model, group)};
}

/** What the rules see of an endpoint. */
export function endpointSubject(model: ConfigurationModel, endpoint: EndpointEntry): EndpointSubject {
	return {endpoint: endpointLabels(model, endpoint), group: groupLabels(model, endpoint.group)};
}

/** The first stated value wins: rules come strongest first. */
function firstStated<T>(rules: readonly Rule[], read: (effect: Rule['effect']) => T | undefined): T | undefined {
	for (const rule of rules) {
		const value = read(rule.effect);
		if (value !== undefined) {
			return value;
		}
	}

	return undefined;
}

/** What holds for one caller and one group. */
export function resolveCallerPolicy(model: ConfigurationModel, rules: CompiledRules, caller: CallerDescription, group: string): CallerPolicy {
	const subject = callerSubject(model, caller, group);
	const applying = rules.callers.filter(rule => appliesToCaller(rule, subject));
	const age = firstStated(applying, callerSettings.maximumAgeMs) ?? defaultCallerPolicy.maximumAgeMs;
	const {reads, priority, maximumInProgress, deadlineMs, maximumRetries, transactionIdleMs} = defaultCallerPolicy;
	return {
		reads: firstStated(applying, callerSettings.reads) ?? reads,
		maximumAgeMs: age === 'unbounded' ? undefined : age,
		priority: firstStated(applying, callerSettings.priority) ?? priority,
		maximumInProgress: firstStated(applying, callerSettings.maximumInProgress) ?? maximumInProgress,
		deadlineMs: firstStated(applying, callerSettings.deadlineMs) ?? deadlineMs,
		maximumRetries: firstStated(applying, callerSettings.maximumRetries) ?? maximumRetries,
		transactionIdleMs: firstStated(applying, callerSettings.transactionIdleMs) ?? transactionIdleMs,
	};
}

function resolveEndpointPolicy(applying: readonly Rule[]): EndpointPolicy {
	return {
		isDraining: firstStated(applying, endpointSettings.isDraining) ?? defaultEndpointPolicy.isDraining,
		acceptsReads: firstStated(applying, endpointSettings.acceptsReads) ?? defaultEndpointPolicy.acceptsReads,
		primaryPreference: firstStated(applying, endpointSettings.primaryPreference) ?? defaultEndpointPolicy.primaryPreference,
		isOrderedPrimary: false,
	};
}

type Resolved = {
	readonly endpoint: EndpointEntry;
	readonly applying: readonly Rule[];
	readonly policy: EndpointPolicy;
};

/** The strongest order of a group, and the one endpoint that it chooses. */
function orderedPrimary(resolved: readonly Resolved[], rules: readonly Rule[]): string | undefined {
	const order = rules.find(rule => rule.effect.kind === 'orderPrimary' && resolved.some(({applying}) => applying.includes(rule)));
	if (order === undefined) {
		return undefined;
	}

	const [chosen] = resolved
		.filter(({applying}) => applying.includes(order))
		.toSorted((a, b) => b.policy.primaryPreference - a.policy.primaryPreference || (a.endpoint.name < b.endpoint.name ? -1 : 1));
	return chosen?.endpoint.name;
}

/** What holds for every endpoint. At most one endpoint of a group is ordered to be primary. */
export function resolveEndpointPolicies(model: ConfigurationModel, rules: CompiledRules): ReadonlyMap<string, EndpointPolicy> {
	const resolved = [...model.endpoint.values()].map(endpoint => {
		const subject = endpointSubject(model, endpoint);
		const applying = rules.endpoints.filter(rule => appliesToEndpoint(rule, subject));
		return {endpoint, applying, policy: resolveEndpointPolicy(applying)};
	});
	const policies = new Map<string, EndpointPolicy>();
	for (const members of groupBy(resolved, ({endpoint}) => endpoint.group).values()) {
		const ordered = orderedPrimary(members, rules.endpoints);
		for (const {endpoint, policy} of members) {
			policies.set(endpoint.name, {...policy, isOrderedPrimary: endpoint.name === ordered});
		}
	}

	return policies;
}

/** One rule that applies to an endpoint and states a setting, strongest first. */
export function applicableEndpointRules(model: ConfigurationModel, rules: CompiledRules, endpoint: EndpointEntry, setting: EndpointSetting): readonly Rule[] {
	const subject = endpointSubject(model, endpoint);
	return rules.endpoints.filter(rule => endpointSettings[setting](rule.effect) !== undefined && appliesToEndpoint(rule, subject));
}
