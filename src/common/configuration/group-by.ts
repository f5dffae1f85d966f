/**
 * Groups values by a key; a substitute for Map.groupBy, which not every supported version of Node.js has.
 */

/** Groups values by the key of each; both keys and the values of a key keep their order of appearance. */
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
