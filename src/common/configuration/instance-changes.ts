/**
 * Limits how many instances of a group one change may add or remove.
 *
 * A write is safe because the majority that confirmed it has an instance in common with every
 * majority that a promotion obtains. Majorities of two successive configurations are certain to
 * overlap only if the configurations differ by at most one instance, so an instance is replaced
 * in two changes: the first adds the new one, the second removes the old one.
 */
import {groupBy} from './group-by.js';
import {formatPath, type Problem} from './problems.js';
import type {EndpointEntry} from './schema.js';
import type {ConfigurationModel} from './model.js';

/** Maximum number of instances that one change may add to or remove from a group; a move to another address is one of each. */
const maximumInstancesPerChange = 1;

/** Problems of the groups of which a change adds or removes too many instances at once. */
export function checkInstanceChanges(before: ConfigurationModel, after: ConfigurationModel): readonly Problem[] {
	const formerEndpoints = groupBy(before.endpoint.values(), endpoint => endpoint.group);
	const latterEndpoints = groupBy(after.endpoint.values(), endpoint => endpoint.group);
	const groups = [...before.group.keys()].filter(name => after.group.has(name));
	return groups
		.filter(name => {
			const former = addressesOf(formerEndpoints.get(name) ?? []);
			const latter = addressesOf(latterEndpoints.get(name) ?? []);
			// Nothing precedes the first instances, and a group without any has no majority that would have to overlap.
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
