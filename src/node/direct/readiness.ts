/**
 * Readiness: whether the platform should send new callers to this node.
 */
import type {Disposable} from '../../common/lifecycle/disposable.js';
import {WakeableSleep} from '../../common/lifecycle/timing.js';
import type {Clock, Log} from '../../common/services/services.js';
import {readinessTimes} from './constants.js';

type ReadinessServices = {
	readonly clock: Clock;
	readonly log: Log;
	/** Whether the node has loaded its configuration and its endpoints. */
	readonly isLoaded: () => boolean;
	/** Whether there was time to write again what the store lost in a restore; used until the node is ready. */
	readonly isStoreSettled: () => boolean;
	/** Time in milliseconds for which the node has reached no group. */
	readonly unreachableForMs: () => number;
	/** Whether attempts to reach a primary failed, and no other group has a valid lease. */
	readonly hasUnreachablePrimary: () => boolean;
	/** Whether the store did not answer the last request to it. */
	readonly isStoreUnavailable: () => boolean;
	/** Checks whether the store answers. */
	readonly probeStore: () => void;
	/** Called at every check while the node is cut off, once the platform had time to notice that. */
	readonly onCutOff: () => void;
};

/** Checks at intervals what readiness depends on. */
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

	/** The reason why the node is ready or not, in one word. */
	get reason(): string {
		return this._reason;
	}

	start(): void {
		void this._run();
	}

	/** Makes the node not ready for good, because it leaves. */
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

		// A node that has been ready stays so after a restore, since it knows a newer configuration than the store.
		const isUnsettled = this._reason === 'starting' && !this._services.isStoreSettled();
		if (isUnsettled || !this._services.isLoaded()) {
			return 'starting';
		}

		return this._isCutOff() ? 'cutOff' : 'ready';
	}

	/** Whether the node reaches neither any group nor the store; probes the store when a probe is due. */
	private _isCutOff(): boolean {
		const {clock, unreachableForMs, hasUnreachablePrimary, isStoreUnavailable, probeStore} = this._services;
		const {probeAfterMs, probeAfterFailuresMs, cutOffAfterMs, cutOffAfterFailuresMs} = readinessTimes;
		const [probeDueMs, cutOffDueMs] = hasUnreachablePrimary() ? [probeAfterFailuresMs, cutOffAfterFailuresMs] : [probeAfterMs, cutOffAfterMs];
		const unreachableMs = unreachableForMs();
		const nowMs = clock.nowMs();
		if (unreachableMs >= probeDueMs && nowMs - this._probedAtMs >= readinessTimes.probeEveryMs) {
			this._probedAtMs = nowMs;
			probeStore();
		}

		return unreachableMs >= cutOffDueMs && isStoreUnavailable();
	}

	/** Has idle sessions closed once the node has been cut off for long enough: here all is refused, while other zones may serve the callers. */
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
