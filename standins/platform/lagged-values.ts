/**
 * Values whose changes become visible to readers some time after they were made.
 */

type Change<T> = {readonly atMs: number; readonly value: T};

/** Holds the recent changes of each key. */
export class LaggedValues<T> {
	private readonly _changes = new Map<string, Array<Change<T>>>();
	private readonly _retentionMs: number;

	/** Creates an empty store that drops changes replaced longer ago than `retentionMs` milliseconds. */
	constructor(retentionMs: number) {
		this._retentionMs = retentionMs;
	}

	write(key: string, value: T, nowMs: number): void {
		const changes = this._changes.get(key) ?? [];
		while (changes.length > 1 && changes[1].atMs < nowMs - this._retentionMs) {
			changes.shift();
		}

		changes.push({atMs: nowMs, value});
		this._changes.set(key, changes);
	}

	/** Returns the newest change of each key as of a time. */
	readAt(timeMs: number): ReadonlyMap<string, Change<T>> {
		const found = new Map<string, Change<T>>();
		for (const [key, changes] of this._changes) {
			const change = changes.findLast(({atMs}) => atMs <= timeMs);
			if (change) {
				found.set(key, change);
			}
		}

		return found;
	}
}
