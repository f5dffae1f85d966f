/**
 * What stands between a client and the platform's state: limits, outages, slowness and lost answers.
 */
import {Left, type Either} from 'purify-ts';
import type {Clock, PlatformFault, Random} from '../../src/common/services/services.js';
import {clientTimeoutMs} from './constants.js';
import type {InjectedFaults} from './settings.js';
import {TokenBucket} from './token-bucket.js';

export type AccessKind = 'read' | 'write';

/** Whether an operation may begin. */
export type Admission = 'admitted' | 'throttled' | 'refused' | 'silent';

/** Counters that tell a test what the platform was asked. */
export type PlatformCounts = {
	reads: number;
	writes: number;
	throttled: number;
	unavailable: number;
	lostAnswers: number;
};

/** Limits that all clients of one platform share. */
export class PlatformLimits {
	readonly counts: PlatformCounts = {
		reads: 0, writes: 0, throttled: 0, unavailable: 0, lostAnswers: 0,
	};

	private readonly _buckets: Record<AccessKind, TokenBucket>;

	constructor(clock: Clock) {
		this._buckets = {read: new TokenBucket(clock), write: new TokenBucket(clock)};
	}

	tryTake(access: AccessKind, faults: InjectedFaults, count: number): boolean {
		const rate = access === 'read' ? faults.readsPerSecond : faults.writesPerSecond;
		return this._buckets[access].tryTake(rate, count);
	}
}

/** Decides what happens to each operation; several sets of faults add up. */
export class FaultInjector {
	readonly limits: PlatformLimits;
	private readonly _clock: Clock;
	private readonly _random: Random;
	private readonly _faults: readonly InjectedFaults[];

	/**
	 * The first set of faults holds the rates; the further ones, such as those of one
	 * client's network, add outages, latency and lost answers.
	 */
	constructor(clock: Clock, random: Random, faults: readonly [InjectedFaults, ...InjectedFaults[]], limits = new PlatformLimits(clock)) {
		this._clock = clock;
		this._random = random;
		this._faults = faults;
		this.limits = limits;
	}

	/** Counts an operation of `count` items and says whether it may begin. */
	admit(access: AccessKind, count = 1): Admission {
		const {counts} = this.limits;
		const outage = this._faults.map(faults => faults.outage).find(kind => kind !== 'none');
		if (outage) {
			counts.unavailable++;
			return outage;
		}

		if (!this.limits.tryTake(access, this._faults[0], count)) {
			counts.throttled++;
			return 'throttled';
		}

		counts[access === 'read' ? 'reads' : 'writes'] += count;
		return 'admitted';
	}

	/** Draws the time that one operation takes. */
	drawLatencyMs(): number {
		let latencyMs = 0;
		for (const faults of this._faults) {
			latencyMs += faults.latencyMs;
			latencyMs += faults.latencySpreadMs > 0 ? faults.latencySpreadMs * this._random.next() : 0;
		}

		return latencyMs;
	}

	/** Whether the answer to a write that took effect is lost. */
	isAnswerLost(): boolean {
		const isLost = this._faults.some(faults => this._losesAnswer(faults));
		this.limits.counts.lostAnswers += isLost ? 1 : 0;
		return isLost;
	}

	/**
	 * Runs one operation as an in-process client sees it. An operation that is slower than
	 * the client waits takes effect after the client has given up.
	 */
	async run<T>(
		access: AccessKind,
		effect: () => Either<PlatformFault, T>,
		count = 1,
	): Promise<Either<PlatformFault, T>> {
		const admission = this.admit(access, count);
		if (admission !== 'admitted') {
			return this._refuse(admission);
		}

		const latencyMs = this.drawLatencyMs();
		if (latencyMs > clientTimeoutMs) {
			this._clock.setTimer(latencyMs, () => {
				effect();
			});
			await this.wait(clientTimeoutMs);
			return unavailable('no answer in time');
		}

		await this.wait(latencyMs);
		const result = effect();
		const isLost = access === 'write' && this.isAnswerLost();
		return isLost ? unavailable('the answer was lost') : result;
	}

	/** Resolves after some time; at once, but not synchronously, for zero. */
	async wait(durationMs: number): Promise<void> {
		if (durationMs <= 0) {
			return;
		}

		await new Promise<void>(resolve => {
			this._clock.setTimer(durationMs, resolve);
		});
	}

	private async _refuse<T>(admission: Exclude<Admission, 'admitted'>): Promise<Either<PlatformFault, T>> {
		if (admission === 'throttled') {
			return Left({kind: 'throttled', detail: 'rate exceeded'});
		}

		await this.wait(admission === 'silent' ? clientTimeoutMs : 0);
		return unavailable('outage');
	}

	private _losesAnswer(faults: InjectedFaults): boolean {
		if (faults.lostAnswers > 0) {
			faults.lostAnswers--;
			return true;
		}

		return faults.lostAnswerShare > 0 && this._random.next() < faults.lostAnswerShare;
	}
}

function unavailable<T>(detail: string): Either<PlatformFault, T> {
	return Left({kind: 'unavailable', detail});
}
