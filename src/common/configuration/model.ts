/**
 * The configuration as a node keeps it in memory: one map for each kind of entry. The nested
 * document is only the form in which it is read and written.
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

/** Type of the entries of each kind. */
export type EntryByKind = {
	readonly service: ServiceEntry;
	readonly group: GroupEntry;
	readonly endpoint: EndpointEntry;
	readonly caller: CallerEntry;
	readonly rule: Rule;
};

/** The entries of each kind by name; immutable once built. */
export type ConfigurationModel = {readonly [Kind in EntryKind]: ReadonlyMap<string, EntryByKind[Kind]>};

type MutableModel = {readonly [Kind in EntryKind]: Map<string, EntryByKind[Kind]>};

/** The kinds of entries, each after those that its entries refer to. */
export const entryKinds = ['service', 'group', 'endpoint', 'caller', 'rule'] as const satisfies readonly EntryKind[];

/** A configuration without entries. */
export const emptyModel: ConfigurationModel = {
	service: new Map(),
	group: new Map(),
	endpoint: new Map(),
	caller: new Map(),
	rule: new Map(),
};

/** Name of an entry; that of a caller is its user. */
export function nameOf(entry: EntryByKind[EntryKind]): string {
	return 'user' in entry ? entry.user : entry.name;
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

function byName<T extends EntryByKind[EntryKind]>(entries: Iterable<T>): T[] {
	return [...entries].toSorted((a, b) => nameOf(a) < nameOf(b) ? -1 : 1);
}

/** Converts a model to the nested document, sorted by name. */
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

/** Converts a document to a model; Left lists the names that occur more than once. */
export function fromDocument(document: ConfigurationDocument): Either<readonly Problem[], ConfigurationModel> {
	const model = copyModel(emptyModel);
	const problems: Problem[] = [];
	const add = <Kind extends EntryKind>(kind: Kind, entry: EntryByKind[Kind], path: readonly PropertyKey[]) => {
		const entries: Map<string, EntryByKind[Kind]> = model[kind];
		if (entries.has(nameOf(entry))) {
			problems.push({path: formatPath(path), expected: `expected a unique ${kind} name, but "${nameOf(entry)}" occurs more than once`});
		}

		entries.set(nameOf(entry), entry);
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

/** For each kind, the operation that writes an entry as it is in a model; undefined when the model does not have it. */
const putOperations: Readonly<Record<EntryKind, (model: ConfigurationModel, name: string) => Operation | undefined>> = {
	service: (model, name) => mapDefined(model.service.get(name), value => ({op: 'put', kind: 'service', value})),
	group: (model, name) => mapDefined(model.group.get(name), value => ({op: 'put', kind: 'group', value})),
	endpoint: (model, name) => mapDefined(model.endpoint.get(name), value => ({op: 'put', kind: 'endpoint', value})),
	caller: (model, name) => mapDefined(model.caller.get(name), value => ({op: 'put', kind: 'caller', value})),
	rule: (model, name) => mapDefined(model.rule.get(name), value => ({op: 'put', kind: 'rule', value})),
};

/** The operation that restores an entry to its state in a model: a put, or a removal when the model does not have it. */
function restoringOperation(model: ConfigurationModel, kind: EntryKind, name: string): Operation {
	return putOperations[kind](model, name) ?? {op: 'remove', kind, name};
}

/** The model after some operations, and the inverse operations that undo them. */
export type AppliedOperations = {
	readonly model: ConfigurationModel;
	readonly inverse: readonly Operation[];
};

/**
 * Applies the operations of one change; Left when one removes an entry that does not exist.
 * A rule that is put gets the number of the change as `changedIn`, unless it states an earlier
 * number, as an undo does to restore the rule's rank.
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
		const entries: Map<string, unknown> = model[operation.kind];
		entries.set(name, value);
	}

	return Right({model, inverse});
}

/** Whether two entries are equal, apart from the number of the change that wrote them. */
function isSameEntry(a: EntryByKind[EntryKind], b: EntryByKind[EntryKind]): boolean {
	// An entry that no operation touched is still the same object, which saves serialising it.
	return a === b || canonicalText(a) === canonicalText(b);
}

function canonicalText(entry: EntryByKind[EntryKind]): string {
	return JSON.stringify(entry, (key, value: unknown) => {
		if (key === 'changedIn') {
			return undefined;
		}

		const isRecord = typeof value === 'object' && value !== null && !Array.isArray(value);
		return isRecord ? Object.fromEntries(Object.entries(value).toSorted(([a], [b]) => a < b ? -1 : 1)) : value;
	});
}

/** The operations that turn one model into another: puts in order of dependency, then removals in reverse order. */
export function diffModels(before: ConfigurationModel, after: ConfigurationModel): readonly Operation[] {
	const puts: Operation[] = [];
	const removals: Operation[] = [];
	for (const kind of entryKinds) {
		for (const entry of byName<EntryByKind[EntryKind]>(after[kind].values())) {
			const old = before[kind].get(nameOf(entry));
			if (old === undefined || !isSameEntry(old, entry)) {
				puts.push(restoringOperation(after, kind, nameOf(entry)));
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
