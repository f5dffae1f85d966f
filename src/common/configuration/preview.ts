/**
 * What a change would do, before it is confirmed: differences, what it touches, and what
 * has to be acknowledged.
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

/** Names listed at most; the counts are whole. */
const maximumNames = 50;

/** A model with its endpoints by group and their policies. */
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

/** Endpoints whose definition or policy changes. */
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
	// Zone and application differ from connection to connection, so they exclude nobody here.
	const {callers = []} = rule.selector;
	const requirements = callers.filter(({label}) => label !== 'zone' && label !== 'application');
	return matchesLabels(requirements, labels);
}

/** No user name has this; it stands for callers that the configuration does not list. */
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

/** A rule may name a user that has no entry. */
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
	/** Whether the group has what it would be warned of losing. */
	has(side: ResolvedModel, group: string): boolean;
};

function members(side: ResolvedModel, group: string): readonly EndpointEntry[] {
	return side.members.get(group) ?? [];
}

function policyOf(side: ResolvedModel, endpoint: EndpointEntry): EndpointPolicy {
	return side.policies.get(endpoint.name) ?? defaultEndpointPolicy;
}

/** What a group may lose, gravest first; a group is warned of the gravest only. */
const lossConditions: readonly LossCondition[] = [
	{
		kind: 'noEndpoint',
		message: 'would have no endpoint left: nothing can be served',
		has: (side, group) => members(side, group).length > 0,
	},
	{
		kind: 'noPrimaryCandidate',
		message: 'would have only draining endpoints left: no write can be served',
		has: (side, group) => members(side, group).some(endpoint => !policyOf(side, endpoint).isDraining),
	},
	{
		kind: 'noReader',
		message: 'would have no endpoint left that accepts reads',
		has: (side, group) => members(side, group).some(endpoint => !policyOf(side, endpoint).isDraining && policyOf(side, endpoint).acceptsReads),
	},
];

function warning(kind: WarningKind, subject: string, message: string): Warning {
	return {
		id: `${kind}:${subject}`, kind, subject, message,
	};
}

function lossWarning(before: ResolvedModel, after: ResolvedModel, group: string): Warning | undefined {
	const lost = lossConditions.find(({has}) => has(before, group) && !has(after, group));
	return lost && warning(lost.kind, group, `${group} ${lost.message}`);
}

/** The primary would leave: writes of the group stop for the time of a promotion. */
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

/** Whether the operations lead to a configuration that holds together, and what they do. */
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

		// The difference between the models is what counts, not the way there.
		const effective = diffModels(model, applied.model);
		if (effective.length === 0) {
			return Left([{path: '$.operations', expected: 'expected a change, but everything is so already'}]);
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
