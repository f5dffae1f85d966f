/**
 * Samples of proved positions, which bound the staleness of replicas.
 */
import {comparePositions, hasReached, type LogPosition} from '../positions/log-position.js';
import type {FreshnessSample} from './types.js';

/** Samples in order of time; their positions never decrease. */
export class FreshnessSamples {
	private readonly _limit: number;
	private _samples: FreshnessSample[] = [];

	constructor(limit: number) {
		this._limit = limit;
	}

	/** Adds a sample; it replaces the last one if the position is the same, and is ignored if the position is lower. */
	add(sample: FreshnessSample): void {
		const last = this._samples.at(-1);
		const order = last ? comparePositions(sample.position, last.position) : 1;
		if (order < 0) {
			return;
		}

		if (order === 0) {
			this._samples.pop();
		}

		this._samples.push(sample);
		if (this._samples.length > 2 * this._limit) {
			this._samples = this._samples.slice(-this._limit);
		}
	}

	/** Start time in milliseconds of the newest sample whose position `applied`, the position that a replica has applied, has reached; undefined when there is none. */
	newestReachedStartMs(applied: LogPosition): number | undefined {
		let low = 0;
		let high = this._samples.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (hasReached(applied, this._samples[middle].position)) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return this._samples[low - 1]?.startedAtMs;
	}
}
