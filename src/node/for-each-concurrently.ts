/**
 * Work on many things with a bound on how much is in progress.
 */

/** Acts on every item, on at most so many at one time. */
export async function forEachConcurrently<T>(items: readonly T[], atOnce: number, act: (item: T) => Promise<void>): Promise<void> {
	const rest = items.values();
	const actOnNext = async (): Promise<void> => {
		for (const item of rest) {
			await act(item);
		}
	};

	await Promise.all(Array.from({length: Math.min(atOnce, items.length)}, actOnNext));
}
