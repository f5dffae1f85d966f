/**
 * Asynchronous work on many items with a limit on concurrency.
 */

/** Calls `act` for every item, with at most `concurrency` calls in progress; rejects with the first error. */
export async function forEachConcurrently<T>(items: readonly T[], concurrency: number, act: (item: T) => Promise<void>): Promise<void> {
	const rest = items.values();
	const actOnNext = async (): Promise<void> => {
		for (const item of rest) {
			await act(item);
		}
	};

	await Promise.all(Array.from({length: Math.min(concurrency, items.length)}, actOnNext));
}
