/**
 * Applies rate limits, outages, latency and lost answers to the operations of the platform's clients.
 */
import {Left, type Either} from 'purify-ts';
import type {Clock, PlatformFault, Random} from '../../src/common/services/services.js';
import {clientTimeoutMs} from './constants.js';
import type {InjectedFaults} from './settings.js';
import {TokenBucket} from './token-bucket.js';

export type AccessKind = 'read' | 'write';

/** The decision whether an operation may begin. */
export type Admission = 'admitted' | 'throttled' | 'refused' | 'silent';

/** Counters of the operations that the platform received, for tests. */
export type PlatformCounts = {
	reads: number;
	writes: number;
	throttled: number;
	unavailable: number;
	lostAnswers: number;
};

/** Rate limits and counters that all clients of one platform share. */
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

/** Applies faults to each operation; the effects of several sets of faults add up. */
export class FaultInjector {
	readonly limits: PlatformLimits;
	private readonly _clock: Clock;
	private readonly _random: Random;
	private readonly _faults: readonly InjectedFaults[];

	/**
	 * Creates an injector for several sets of faults. The rates are those of the first set; the others,
	 * such as the faults of one client's network, only add outages, latency and lost answers.
	 */
	constructor(clock: Clock, random: Random, faults: readonly [InjectedFaults, ...InjectedFaults[]], limits = new PlatformLimits(clock)) {
		this._clock = clock;
		this._random = random;
		this._faults = faults;
		this.limits = limits;
	}

	/** Counts an operation of `count` items and returns whether it may begin. */
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

	/** Returns the time that one operation takes, with its random part, in milliseconds. */
	drawLatencyMs(): number {
		let latencyMs = 0;
		for (const faults of this._faults) {
			latencyMs += faults.latencyMs;
			latencyMs += faults.latencySpreadMs > 0 ? faults.latencySpreadMs * this._random.next() : 0;
		}

		return latencyMs;
	}

	/** Decides whether the answer to a write that took effect is lost, and counts it. */
	isAnswerLost(): boolean {
		const isLost = this._faults.some(faults => this._losesAnswer(faults));
		this.limits.counts.lostAnswers += isLost ? 1 : 0;
		return isLost;
	}

	/**
	 * Runs one operation as an in-process client sees it. An operation that takes longer than the
	 * client's timeout fails for the client and takes effect later.
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

	/** Resolves after a time in milliseconds; without a timer if the time is not positive. */
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
