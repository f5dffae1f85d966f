/**
 * Groups values by a key; Map.groupBy is not there yet in every supported version of Node.js.
 */

/** Values by key, in their order. */
export function groupBy<Key, Value>(values: Iterable<Value>, keyOf: (value: Value) => Key): Map<Key, Value[]> {
	const groups = new Map<Key, Value[]>();
	for (const value of values) {
		const key = keyOf(value);
		const group = groups.get(key);
		if (group === undefined) {
			groups.set(key, [value]);
		} else {
			group.push(value);
		}
	}

	return groups;
}
