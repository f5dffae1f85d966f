/**
 * Keys of maps that are made of several texts.
 *
 * A separator that one of the texts may hold makes keys of different texts equal. Most of these texts
 * are chosen by others: callers, operators, the platform.
 */

/** Joins texts to a key that no other list of texts has: each text comes after its length. */
export function joinKey(...texts: readonly string[]): string {
	let key = '';
	for (const text of texts) {
		key += `${text.length}:${text}`;
	}

	return key;
}
