/**
 * Whether this node asks for new callers.
 */
import type {Disposable} from '../../common/lifecycle/disposable.js';
import {WakeableSleep} from '../../common/lifecycle/timing.js';
import type {Clock, Log} from '../../common/services/services.js';
import {readinessTimes} from './constants.js';

type ReadinessServices = {
	readonly clock: Clock;
	readonly log: Log;
	/** Whether the node knows its configuration and its endpoints. */
	readonly isLoaded: () => boolean;
	/** Whether the store has had time to hold again what it lost by a restore; asked until the node is ready. */
	readonly isStoreSettled: () => boolean;
	/** Time for which it has reached no group. */
	readonly outOfReachForMs: () => number;
	/** Whether attempts to reach the groups failed since they were last reached. */
	readonly hasFailures: () => boolean;
	/** Whether the store does not answer, as far as the node has asked. */
	readonly isStoreAway: () => boolean;
	/** Asks the store whether it answers. */
	readonly probeStore: () => void;
	/** Called while the node is not ready for want of anything to reach, after a notice. */
	readonly onCutOff: () => void;
};

/** Follows what readiness depends on. */
export class Readiness implements Disposable {
	private readonly _services: ReadinessServices;
	private readonly _sleep: WakeableSleep;
	private _reason = 'starting';
	private _cutOffSinceMs: number | undefined;
	private _probedAtMs = Number.NEGATIVE_INFINITY;
	private _isLeaving = false;
	private _isDisposed = false;

	constructor(services: ReadinessServices) {
		this._services = services;
		this._sleep = new WakeableSleep(services.clock);
	}

	get isReady(): boolean {
		return this._reason === 'ready';
	}

	/** In one word, why it is ready or not. */
	get reason(): string {
		return this._reason;
	}

	start(): void {
		void this._run();
	}

	/** From now on no callers are wanted. */
	leave(): void {
		this._isLeaving = true;
		this._check();
	}

	dispose(): void {
		this._isDisposed = true;
		this._sleep.dispose();
	}

	private async _run(): Promise<void> {
		while (!this._isDisposed) {
			this._check();
			await this._sleep.wait(readinessTimes.checkEveryMs);
		}
	}

	private _check(): void {
		const reason = this._currentReason();
		this._handleCutOff(reason);
		if (reason !== this._reason) {
			this._services.log.event(reason === 'ready' ? 'processReady' : 'readinessChanged', {reason, before: this._reason});
			this._reason = reason;
		}
	}

	private _currentReason(): string {
		if (this._isLeaving) {
			return 'leaving';
		}

		// A node that was ready knows of newer configurations than a restored store.
		const isUnsettled = this._reason === 'starting' && !this._services.isStoreSettled();
		if (isUnsettled || !this._services.isLoaded()) {
			return 'starting';
		}

		return this._isCutOff() ? 'cutOff' : 'ready';
	}

	/** Reaching neither any group nor the store. */
	private _isCutOff(): boolean {
		const {clock, outOfReachForMs, hasFailures, isStoreAway, probeStore} = this._services;
		const {probeAfterMs, probeAfterFailuresMs, cutOffAfterMs, cutOffAfterFailuresMs} = readinessTimes;
		const [probeDueMs, cutOffDueMs] = hasFailures() ? [probeAfterFailuresMs, cutOffAfterFailuresMs] : [probeAfterMs, cutOffAfterMs];
		const awayForMs = outOfReachForMs();
		const nowMs = clock.nowMs();
		if (awayForMs >= probeDueMs && nowMs - this._probedAtMs >= readinessTimes.probeEveryMs) {
			this._probedAtMs = nowMs;
			probeStore();
		}

		return awayForMs >= cutOffDueMs && isStoreAway();
	}

	/** Callers that stay would be refused everything here, while other zones may serve them. */
	private _handleCutOff(reason: string): void {
		const {clock, onCutOff} = this._services;
		if (reason !== 'cutOff') {
			this._cutOffSinceMs = undefined;
			return;
		}

		this._cutOffSinceMs ??= clock.nowMs();
		if (clock.nowMs() - this._cutOffSinceMs >= readinessTimes.cutOffNoticeMs) {
			onCutOff();
		}
	}
}
