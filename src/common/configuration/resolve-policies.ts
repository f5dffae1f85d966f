/**
 * Resolves the rules to the policy of a caller and the policies of all endpoints.
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

/** The labels by which rules select a caller that uses a group. */
export function callerSubject(model: ConfigurationModel, caller: CallerDescription, group: string): CallerSubject {
	return {caller: callerLabels(model, caller), group: groupLabels(model, group)};
}

/** The labels by which rules select an endpoint. */
export function endpointSubject(model: ConfigurationModel, endpoint: EndpointEntry): EndpointSubject {
	return {endpoint: endpointLabels(model, endpoint), group: groupLabels(model, endpoint.group)};
}

/** The value of the first rule that states one; the rules are in order of precedence. */
function firstStated<T>(rules: readonly Rule[], read: (effect: Rule['effect']) => T | undefined): T | undefined {
	for (const rule of rules) {
		const value = read(rule.effect);
		if (value !== undefined) {
			return value;
		}
	}

	return undefined;
}

/** The policy of a caller for the statements that it sends to a group. */
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

/** The endpoint that the first `orderPrimary` rule of a group chooses: of those that it applies to, the one with the highest preference, then by name. */
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

/** The policies of all endpoints by name; at most one endpoint of each group is ordered to be primary. */
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

/** The rules that apply to an endpoint and state a setting, in order of precedence. */
export function applicableEndpointRules(model: ConfigurationModel, rules: CompiledRules, endpoint: EndpointEntry, setting: EndpointSetting): readonly Rule[] {
	const subject = endpointSubject(model, endpoint);
	return rules.endpoints.filter(rule => endpointSettings[setting](rule.effect) !== undefined && appliesToEndpoint(rule, subject));
}
