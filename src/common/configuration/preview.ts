/**
 * Previews a change before it is confirmed: the differences, what they affect, and the warnings
 * that the author has to acknowledge.
 */
import {Left, Right, type Either} from 'purify-ts';
import type {EndpointPolicy} from '../services/services.js';
import {callerLabels, compileRules} from './compiled-rules.js';
import {defaultEndpointPolicy} from './constants.js';
import {groupBy} from './group-by.js';
import {matchesLabels} from './label-selector.js';
import {
	applyOperations, diffModels, nameOf, type ConfigurationModel,
} from './model.js';
import type {Problem} from './problems.js';
import {resolveEndpointPolicies} from './resolve-policies.js';
import {
	effectSubjects, type EndpointEntry, type Operation, type Rule,
} from './schema.js';
import type {
	Difference, Preview, PrimaryLookup, Touched, Warning, WarningKind,
} from './types.js';
import {checkInstanceChanges} from './instance-changes.js';
import {validateModel} from './validate-model.js';

/** Maximum number of names in a list; the counts include those left out. */
const maximumNames = 50;

/** A model with the policies of its endpoints and its endpoints by group. */
type ResolvedModel = {
	readonly model: ConfigurationModel;
	readonly policies: ReadonlyMap<string, EndpointPolicy>;
	readonly members: ReadonlyMap<string, readonly EndpointEntry[]>;
};

function resolveModel(model: ConfigurationModel): ResolvedModel {
	return {
		model,
		policies: resolveEndpointPolicies(model, compileRules(model)),
		members: groupBy(model.endpoint.values(), endpoint => endpoint.group),
	};
}

function differenceOf(operation: Operation, before: ConfigurationModel): Difference {
	const {kind} = operation;
	const name = operation.op === 'put' ? nameOf(operation.value) : operation.name;
	const old = before[kind].get(name);
	if (operation.op === 'remove') {
		return {
			kind, name, action: 'removed', before: old,
		};
	}

	return old === undefined
		? {
			kind, name, action: 'added', after: operation.value,
		}
		: {
			kind, name, action: 'changed', before: old, after: operation.value,
		};
}

function policyText(policy: EndpointPolicy | undefined): string {
	return JSON.stringify(policy ?? defaultEndpointPolicy);
}

/** The endpoints whose definition or resolved policy changes. */
function touchedEndpoints(before: ResolvedModel, after: ResolvedModel, differences: readonly Difference[]): readonly EndpointEntry[] {
	const changed = new Set(differences.filter(({kind}) => kind === 'endpoint').map(({name}) => name));
	const all = new Map([...before.model.endpoint, ...after.model.endpoint]);
	return [...all.values()].filter(({name}) => changed.has(name) || policyText(before.policies.get(name)) !== policyText(after.policies.get(name)));
}

function changedRules(before: ConfigurationModel, after: ConfigurationModel, differences: readonly Difference[]): readonly Rule[] {
	return differences
		.filter(({kind}) => kind === 'rule')
		.flatMap(({name}) => [before.rule.get(name), after.rule.get(name)])
		.filter(rule => rule !== undefined)
		.filter(rule => effectSubjects[rule.effect.kind] === 'callers');
}

function selectsUser(model: ConfigurationModel, rule: Rule, user: string): boolean {
	const labels = callerLabels(model, {
		user, applicationName: '', availabilityZone: '', labels: {},
	});
	// Zone and application may differ for each connection of a user, so conditions on them exclude no user here.
	const {callers = []} = rule.selector;
	const requirements = callers.filter(({label}) => label !== 'zone' && label !== 'application');
	return matchesLabels(requirements, labels);
}

/** Stands for the callers that the configuration does not list; no listed user has an empty name. */
const unlistedUser = '';

function touchedCallers(before: ConfigurationModel, after: ConfigurationModel, differences: readonly Difference[]) {
	const names = new Set(differences.filter(({kind}) => kind === 'caller').map(({name}) => name));
	const rules = changedRules(before, after, differences);
	for (const user of [...before.caller.keys(), ...after.caller.keys()]) {
		if (rules.some(rule => selectsUser(before, rule, user) || selectsUser(after, rule, user))) {
			names.add(user);
		}
	}

	return {names: [...names], touchesUnlisted: rules.some(rule => selectsUser(after, rule, unlistedUser) || namesUser(rule))};
}

/** Whether a rule has a condition on the user, who may be one that the configuration does not list. */
function namesUser(rule: Rule): boolean {
	return rule.selector.callers?.some(({label, operator}) => label === 'user' && operator !== 'notExists') ?? false;
}

function countAndTruncate(names: Iterable<string>): {readonly count: number; readonly names: readonly string[]} {
	const sorted = [...new Set(names)].toSorted();
	return {count: sorted.length, names: sorted.slice(0, maximumNames)};
}

function touchedBy(before: ResolvedModel, after: ResolvedModel, differences: readonly Difference[]): Touched {
	const endpoints = touchedEndpoints(before, after, differences);
	const callers = touchedCallers(before.model, after.model, differences);
	const groupNames = [
		...endpoints.map(({group}) => group),
		...differences.filter(({kind}) => kind === 'group').map(({name}) => name),
	];
	const endpointNames = countAndTruncate(endpoints.map(({name}) => name));
	const groups = countAndTruncate(groupNames);
	const zones = countAndTruncate(endpoints.map(({availabilityZone}) => availabilityZone));
	const callerNames = countAndTruncate(callers.names);
	return {
		endpointCount: endpointNames.count,
		endpoints: endpointNames.names,
		groupCount: groups.count,
		groups: groups.names,
		zoneCount: zones.count,
		zones: zones.names,
		callerCount: callerNames.count,
		callers: callerNames.names,
		touchesUnlistedCallers: callers.touchesUnlisted,
	};
}

type LossCondition = {
	readonly kind: WarningKind;
	readonly message: string;
	/** Whether the group has the capability whose loss is warned of. */
	has(resolved: ResolvedModel, group: string): boolean;
};

function members(resolved: ResolvedModel, group: string): readonly EndpointEntry[] {
	return resolved.members.get(group) ?? [];
}

function policyOf(resolved: ResolvedModel, endpoint: EndpointEntry): EndpointPolicy {
	return resolved.policies.get(endpoint.name) ?? defaultEndpointPolicy;
}

/** What a group may lose, in order of severity; only the most severe loss of a group gives a warning. */
const conditions: readonly LossCondition[] = [
	{
		kind: 'noEndpoint',
		message: 'would have no endpoint left: nothing can be served',
		has: (resolved, group) => members(resolved, group).length > 0,
	},
	{
		kind: 'noPrimaryCandidate',
		message: 'would have only draining endpoints left: no write can be served',
		has: (resolved, group) => members(resolved, group).some(endpoint => !policyOf(resolved, endpoint).isDraining),
	},
	{
		kind: 'noReader',
		message: 'would have no endpoint left that accepts reads',
		has: (resolved, group) => members(resolved, group).some(endpoint => !policyOf(resolved, endpoint).isDraining && policyOf(resolved, endpoint).acceptsReads),
	},
];

function warning(kind: WarningKind, subject: string, message: string): Warning {
	return {
		id: `${kind}:${subject}`, kind, subject, message,
	};
}

function lossWarning(before: ResolvedModel, after: ResolvedModel, group: string): Warning | undefined {
	const lost = conditions.find(({has}) => has(before, group) && !has(after, group));
	return lost && warning(lost.kind, group, `${group} ${lost.message}`);
}

/** The warning that a change removes or drains the current primary, so that writes of the group wait for a promotion. */
function primaryLossWarning(before: ResolvedModel, after: ResolvedModel, group: string, currentPrimary: PrimaryLookup): Warning | undefined {
	const name = currentPrimary(group);
	const endpoint = name === undefined ? undefined : before.model.endpoint.get(name);
	if (endpoint === undefined || policyOf(before, endpoint).isDraining) {
		return undefined;
	}

	const left = after.model.endpoint.get(endpoint.name);
	const isStaying = left?.group === group && !policyOf(after, left).isDraining;
	return isStaying
		? undefined
		: warning('primaryLeaves', group, `${group} would lose its current primary ${endpoint.name}: its writes wait until another is promoted`);
}

function warningsOf(before: ResolvedModel, after: ResolvedModel, currentPrimary: PrimaryLookup): readonly Warning[] {
	const warnings: Warning[] = [];
	for (const group of before.model.group.keys()) {
		const found = lossWarning(before, after, group) ?? primaryLossWarning(before, after, group, currentPrimary);
		if (found) {
			warnings.push(found);
		}
	}

	return warnings;
}

/** Previews operations against a model; Left lists the problems if the resulting configuration is invalid or unchanged. */
export function previewChange(
	version: number,
	model: ConfigurationModel,
	operations: readonly Operation[],
	currentPrimary: PrimaryLookup,
): Either<readonly Problem[], Preview> {
	return applyOperations(model, operations, version + 1).chain(applied => {
		const problems = [...validateModel(applied.model), ...checkInstanceChanges(model, applied.model)];
		if (problems.length > 0) {
			return Left(problems);
		}

		// The differences come from the two models, not from the operations, since these may cancel each other out or change nothing.
		const effective = diffModels(model, applied.model);
		if (effective.length === 0) {
			return Left([{path: '$.operations', expected: 'expected a change, but the configuration already has these values'}]);
		}

		const before = resolveModel(model);
		const after = resolveModel(applied.model);
		const differences = effective.map(operation => differenceOf(operation, model));
		return Right({
			basedOn: version,
			operations,
			differences,
			touched: touchedBy(before, after, differences),
			warnings: warningsOf(before, after, currentPrimary),
		});
	});
}
