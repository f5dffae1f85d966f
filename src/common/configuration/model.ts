/**
 * The configuration as a node keeps it: one map for each kind of thing. The nested document
 * is only its form for reading and writing.
 */
import {Left, Right, type Either} from 'purify-ts';
import {groupBy} from './group-by.js';
import {formatPath, type Problem} from './problems.js';
import type {
	CallerEntry,
	ConfigurationDocument,
	EndpointEntry,
	GroupEntry,
	Operation,
	Rule,
	ServiceEntry,
	EntryKind,
} from './schema.js';

/** Value of each kind of thing. */
export type EntryByKind = {
	readonly service: ServiceEntry;
	readonly group: GroupEntry;
	readonly endpoint: EndpointEntry;
	readonly caller: CallerEntry;
	readonly rule: Rule;
};

/** The things of each kind by name. Never changed once built. */
export type ConfigurationModel = {readonly [Kind in EntryKind]: ReadonlyMap<string, EntryByKind[Kind]>};

type MutableModel = {readonly [Kind in EntryKind]: Map<string, EntryByKind[Kind]>};

/** The kinds in the order in which things depend on each other. */
export const entryKinds = ['service', 'group', 'endpoint', 'caller', 'rule'] as const satisfies readonly EntryKind[];

/** A configuration that holds nothing. */
export const emptyModel: ConfigurationModel = {
	service: new Map(),
	group: new Map(),
	endpoint: new Map(),
	caller: new Map(),
	rule: new Map(),
};

/** Name of a thing. */
export function nameOf(thing: EntryByKind[EntryKind]): string {
	return 'user' in thing ? thing.user : thing.name;
}

function copyModel(model: ConfigurationModel): MutableModel {
	return {
		service: new Map(model.service),
		group: new Map(model.group),
		endpoint: new Map(model.endpoint),
		caller: new Map(model.caller),
		rule: new Map(model.rule),
	};
}

function byName<T extends EntryByKind[EntryKind]>(things: Iterable<T>): T[] {
	return [...things].toSorted((a, b) => nameOf(a) < nameOf(b) ? -1 : 1);
}

/** The nested document of a model, sorted by name. */
export function toDocument(model: ConfigurationModel): ConfigurationDocument {
	const endpointsOf = groupBy(byName(model.endpoint.values()), endpoint => endpoint.group);
	const groupsOf = groupBy(byName(model.group.values()), group => group.service);
	return {
		services: byName(model.service.values()).map(service => ({
			...service,
			groups: (groupsOf.get(service.name) ?? []).map(({service: _service, ...group}) => ({
				...group,
				endpoints: (endpointsOf.get(group.name) ?? []).map(({group: _group, ...endpoint}) => endpoint),
			})),
		})),
		callers: byName(model.caller.values()),
		rules: byName(model.rule.values()),
	};
}

/** The model of a document; Left names what is there twice. */
export function fromDocument(document: ConfigurationDocument): Either<readonly Problem[], ConfigurationModel> {
	const model = copyModel(emptyModel);
	const problems: Problem[] = [];
	const add = <Kind extends EntryKind>(kind: Kind, thing: EntryByKind[Kind], path: readonly PropertyKey[]) => {
		const things: Map<string, EntryByKind[Kind]> = model[kind];
		if (things.has(nameOf(thing))) {
			problems.push({path: formatPath(path), expected: `expected a name that no other ${kind} has, but "${nameOf(thing)}" is there twice`});
		}

		things.set(nameOf(thing), thing);
	};

	for (const [serviceIndex, {groups, ...service}] of document.services.entries()) {
		const servicePath = ['services', serviceIndex];
		add('service', service, [...servicePath, 'name']);
		for (const [groupIndex, {endpoints, ...group}] of groups.entries()) {
			const groupPath = [...servicePath, 'groups', groupIndex];
			add('group', {...group, service: service.name}, [...groupPath, 'name']);
			for (const [endpointIndex, endpoint] of endpoints.entries()) {
				add('endpoint', {...endpoint, group: group.name}, [...groupPath, 'endpoints', endpointIndex, 'name']);
			}
		}
	}

	for (const [index, caller] of document.callers.entries()) {
		add('caller', caller, ['callers', index, 'user']);
	}

	for (const [index, rule] of document.rules.entries()) {
		add('rule', rule, ['rules', index, 'name']);
	}

	return problems.length > 0 ? Left(problems) : Right(model);
}

function mapDefined<T>(value: T | undefined, toOperation: (value: T) => Operation): Operation | undefined {
	return value === undefined ? undefined : toOperation(value);
}

/** The operation that writes a thing as it is in a model; undefined when it is not there. */
const putOperations: Readonly<Record<EntryKind, (model: ConfigurationModel, name: string) => Operation | undefined>> = {
	service: (model, name) => mapDefined(model.service.get(name), value => ({op: 'put', kind: 'service', value})),
	group: (model, name) => mapDefined(model.group.get(name), value => ({op: 'put', kind: 'group', value})),
	endpoint: (model, name) => mapDefined(model.endpoint.get(name), value => ({op: 'put', kind: 'endpoint', value})),
	caller: (model, name) => mapDefined(model.caller.get(name), value => ({op: 'put', kind: 'caller', value})),
	rule: (model, name) => mapDefined(model.rule.get(name), value => ({op: 'put', kind: 'rule', value})),
};

/** The operation that makes a thing what it is in a model. */
function restoringOperation(model: ConfigurationModel, kind: EntryKind, name: string): Operation {
	return putOperations[kind](model, name) ?? {op: 'remove', kind, name};
}

/** A model after operations, and the operations that take them back. */
export type AppliedOperations = {
	readonly model: ConfigurationModel;
	readonly inverse: readonly Operation[];
};

/**
 * Applies the operations of one change. A rule that is put gets the number of the change,
 * unless it states an earlier one, as an undo does to restore the rule's rank.
 */
export function applyOperations(before: ConfigurationModel, operations: readonly Operation[], number: number): Either<readonly Problem[], AppliedOperations> {
	const model = copyModel(before);
	const inverse: Operation[] = [];
	for (const [index, operation] of operations.entries()) {
		const name = operation.op === 'put' ? nameOf(operation.value) : operation.name;
		if (operation.op === 'remove' && !model[operation.kind].has(name)) {
			return Left([{path: formatPath(['operations', index, 'name']), expected: `expected an existing ${operation.kind}, but there is no "${name}"`}]);
		}

		inverse.unshift(restoringOperation(model, operation.kind, name));
		if (operation.op === 'remove') {
			model[operation.kind].delete(name);
			continue;
		}

		const value = operation.kind === 'rule'
			? {...operation.value, changedIn: Math.min(operation.value.changedIn ?? number, number)}
			: operation.value;
		const things: Map<string, unknown> = model[operation.kind];
		things.set(name, value);
	}

	return Right({model, inverse});
}

/** Whether two things are the same but for the change that wrote them. */
function isSameEntry(a: EntryByKind[EntryKind], b: EntryByKind[EntryKind]): boolean {
	// What no operation touched is the same object, which spares the writing of everything.
	return a === b || canonicalText(a) === canonicalText(b);
}

function canonicalText(thing: EntryByKind[EntryKind]): string {
	return JSON.stringify(thing, (key, value: unknown) => {
		if (key === 'changedIn') {
			return undefined;
		}

		const isRecord = typeof value === 'object' && value !== null && !Array.isArray(value);
		return isRecord ? Object.fromEntries(Object.entries(value).toSorted(([a], [b]) => a < b ? -1 : 1)) : value;
	});
}

/** Operations that turn one model into another. */
export function diffModels(before: ConfigurationModel, after: ConfigurationModel): readonly Operation[] {
	const puts: Operation[] = [];
	const removals: Operation[] = [];
	for (const kind of entryKinds) {
		for (const thing of byName<EntryByKind[EntryKind]>(after[kind].values())) {
			const old = before[kind].get(nameOf(thing));
			if (old === undefined || !isSameEntry(old, thing)) {
				puts.push(restoringOperation(after, kind, nameOf(thing)));
			}
		}

		for (const name of before[kind].keys()) {
			if (!after[kind].has(name)) {
				removals.unshift({op: 'remove', kind, name});
			}
		}
	}

	return [...puts, ...removals];
}
