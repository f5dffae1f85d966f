/**
 * Bounds how far one change may alter the instances of a group.
 *
 * A write is safe because the majority that confirmed it crosses every majority that a
 * promotion claims. Majorities of two configurations cross for certain only if they differ
 * by one instance, so an instance is replaced in two changes: add, then remove.
 */
import {groupBy} from './group-by.js';
import {formatPath, type Problem} from './problems.js';
import type {EndpointEntry} from './schema.js';
import type {ConfigurationModel} from './model.js';

/** Instances of a group that one change may add, remove or move to another address. */
const maximumInstancesPerChange = 1;

/** Groups whose instances a change alters too far at once. */
export function checkInstanceChanges(before: ConfigurationModel, after: ConfigurationModel): readonly Problem[] {
	const formerEndpoints = groupBy(before.endpoint.values(), endpoint => endpoint.group);
	const latterEndpoints = groupBy(after.endpoint.values(), endpoint => endpoint.group);
	const groups = [...before.group.keys()].filter(name => after.group.has(name));
	return groups
		.filter(name => {
			const former = addressesOf(formerEndpoints.get(name) ?? []);
			const latter = addressesOf(latterEndpoints.get(name) ?? []);
			// The first instances follow nothing, and without any there is no majority to cross.
			const isBeginOrEnd = former.size === 0 || latter.size === 0;
			return !isBeginOrEnd && countDifferences(former, latter) > maximumInstancesPerChange;
		})
		.map(name => ({
			path: formatPath(['groups', name]),
			expected: 'expected at most one endpoint to be added or removed in one change: to replace one, add the new endpoint first and remove the old one with the next change',
		}));
}

function addressesOf(endpoints: readonly EndpointEntry[]): ReadonlySet<string> {
	return new Set(endpoints.map(({name, host, port}) => `${name} ${host} ${port}`));
}

function countDifferences(before: ReadonlySet<string>, after: ReadonlySet<string>): number {
	const added = [...after].filter(address => !before.has(address));
	const removed = [...before].filter(address => !after.has(address));
	return added.length + removed.length;
}
