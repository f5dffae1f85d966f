/**
 * Values whose changes become visible some time after they were made.
 */

type Change<T> = {readonly atMs: number; readonly value: T};

/** The recent changes of each key. */
export class LaggedValues<T> {
	private readonly _changes = new Map<string, Array<Change<T>>>();
	private readonly _keptMs: number;

	/** Changes that were replaced longer ago than `keptMs` are forgotten. */
	constructor(keptMs: number) {
		this._keptMs = keptMs;
	}

	write(key: string, value: T, nowMs: number): void {
		const changes = this._changes.get(key) ?? [];
		while (changes.length > 1 && changes[1].atMs < nowMs - this._keptMs) {
			changes.shift();
		}

		changes.push({atMs: nowMs, value});
		this._changes.set(key, changes);
	}

	/** The newest change of each key that had been made at a time. */
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
