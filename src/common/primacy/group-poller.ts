/**
 * Polls the endpoints of one group for their status: as often as proofs and positions are needed
 * while statements for the group arrive, and at once after a failure.
 */
import {Either} from 'purify-ts';
import type {Disposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import {waitForEvent, WakeableSleep, withTimeout} from '../lifecycle/timing.js';
import type {ReportedStatus, StatementFault} from '../pools/types.js';
import type {RegisteredEndpoint} from '../services/services.js';
import type {Primary, PrimacyServices} from './types.js';

/** Minimum time between two status requests to replicas. */
const minimumPauseMs = 1;

/** State of the group that the poller needs, and the methods that receive its results. */
export type PolledGroup = {
	/** Fires when a proof of the primary's term has been granted. */
	readonly onProof: Event<void>;
	readonly primary: Primary | undefined;
	readonly primaryEndpoint: RegisteredEndpoint | undefined;
	readonly primaryHeardAtMs: number;
	readonly mayPollEndpoints: boolean;
	readonly isLeased: boolean;
	/** Whether the primary may have been replaced. */
	readonly isPossiblyReplaced: boolean;
	/** Whether attempts to reach the primary have failed since it was last heard from. */
	readonly isFailing: boolean;
	/** When the status request was sent whose response proved the primary's term. */
	readonly provedAtMs: number;
	/** Whether only all known replicas together prove the primary's term. */
	readonly needsAllReplicas: boolean;
	/** When the request was sent that returned the newest position of the primary. */
	readonly sampledAtMs: number;
	endpoints(): readonly RegisteredEndpoint[];
	replicas(): readonly RegisteredEndpoint[];
	noteFault(endpointId: string, cause: StatementFault['cause'], sinceMs: number): void;
	noteStatus(endpointId: string, report: ReportedStatus): void;
	/** Called before replicas are polled for a proof. */
	prepareProof(): Promise<void>;
	/** Called when none of the polled replicas proved the primary's term. */
	noteUnproved(): void;
	/**
	 * Called with the reports of all endpoints that responded, and whether others exist that were too
	 * overloaded to respond.
	 */
	noteSearch(answered: readonly ReportedStatus[], hasOverloadedEndpoints: boolean): void;
};

/** Runs the polling loop of one group, and status requests that callers make in between. */
export class GroupPoller implements Disposable {
	private readonly _group: PolledGroup;
	private readonly _services: PrimacyServices;
	private readonly _sleep: WakeableSleep;
	private _usedAtMs: number;
	private _pendingProof: Promise<void> | undefined;
	private _isDisposed = false;

	constructor(group: PolledGroup, services: PrimacyServices) {
		this._group = group;
		this._services = services;
		this._sleep = new WakeableSleep(services.clock);
		this._usedAtMs = services.clock.nowMs();
	}

	/** Starts the polling loop, which runs until disposal. */
	start(): void {
		void this._run();
	}

	/** Records that a statement for the group arrived; the group is polled until it has been idle for `idleAfterMs`. */
	noteUse(): void {
		const {clock, options} = this._services;
		const wasIdle = clock.nowMs() - this._usedAtMs > options.idleAfterMs;
		this._usedAtMs = clock.nowMs();
		if (wasIdle) {
			this._sleep.wake();
		}
	}

	/** Polls the group at once. */
	wake(): void {
		this._sleep.wake();
	}

	/**
	 * Waits up to a timeout for a proof that the primary's term has not been replaced, and resolves
	 * to whether one is valid.
	 */
	async ensureLease(timeoutMs: number): Promise<boolean> {
		const {clock, options} = this._services;
		const endMs = clock.nowMs() + timeoutMs;
		while (!this._group.isLeased && clock.nowMs() < endMs && !this._isDisposed) {
			this._pendingProof ??= this._requestProof().finally(() => {
				this._pendingProof = undefined;
			});
			await withTimeout(clock, this._pendingProof, endMs - clock.nowMs());
			if (!this._group.isLeased) {
				await waitForEvent(clock, this._group.onProof, Math.min(options.searchMs / 4, Math.max(1, endMs - clock.nowMs())));
			}
		}

		return this._group.isLeased;
	}

	/** Polls the primary unless it was heard from within `opinionFreshMs`. */
	async checkPrimary(): Promise<void> {
		const {clock, options} = this._services;
		const {primaryEndpoint, primaryHeardAtMs} = this._group;
		if (primaryEndpoint && clock.nowMs() - primaryHeardAtMs > options.opinionFreshMs) {
			await withTimeout(clock, this.refreshStatus(primaryEndpoint), options.opinionLookMs);
		}
	}

	/** Requests one endpoint's status, applies the response and resolves to it; undefined if the request failed. */
	async refreshStatus(endpoint: RegisteredEndpoint): Promise<ReportedStatus | undefined> {
		const result = await this._requestStatus(endpoint);
		return result.toMaybe().extract();
	}

	/** Polls the nearest replica, taking at least a millisecond: the replica may receive the write a moment later. */
	async pollNearestReplica(): Promise<void> {
		const [replica] = this._replicasByDistance();
		await Promise.all([
			replica && this.refreshStatus(replica),
			waitForEvent(this._services.clock, this._group.onProof, minimumPauseMs),
		]);
	}

	dispose(): void {
		this._isDisposed = true;
		this._sleep.dispose();
	}

	private async _run(): Promise<void> {
		const {clock, options} = this._services;
		while (!this._isDisposed) {
			const startedAtMs = clock.nowMs();
			const isInUse = startedAtMs - this._usedAtMs < options.idleAfterMs;
			if (isInUse || !this._group.primary) {
				await this._poll();
			}

			const leftMs = this._pollIntervalMs - (clock.nowMs() - startedAtMs);
			await this._sleep.wait(isInUse ? Math.max(leftMs, options.sampleSpacingMs) : options.idleAfterMs);
		}
	}

	/**
	 * Time between two polls. A node that may not poll endpoints learns about a healthy group from
	 * the coordinator, and is woken when its health changes; with 14 groups, polling all of them four
	 * times a second caused most of such a node's wake-ups.
	 */
	private get _pollIntervalMs(): number {
		const {options} = this._services;
		const {isPossiblyReplaced, isFailing, primary, mayPollEndpoints} = this._group;
		if (isPossiblyReplaced || isFailing || !primary) {
			return options.searchMs;
		}

		return mayPollEndpoints ? options.leasePollMs : options.idleAfterMs;
	}

	private async _requestStatus(endpoint: RegisteredEndpoint): Promise<Either<StatementFault, ReportedStatus>> {
		const {clock, pools, endpointPools, options} = this._services;
		const startedAtMs = clock.nowMs();
		const result = await (this._group.mayPollEndpoints
			? pools.pool(endpoint).control({kind: 'status'}, options.statusTimeoutMs)
			: endpointPools.status(endpoint, options.statusTimeoutMs));
		return result
			.ifLeft(({cause}) => {
				this._group.noteFault(endpoint.id, cause, startedAtMs);
			})
			.ifRight(report => {
				this._group.noteStatus(endpoint.id, report);
			});
	}

	private async _poll(): Promise<void> {
		const {isPossiblyReplaced, primary, mayPollEndpoints} = this._group;
		if (primary && !isPossiblyReplaced) {
			await (mayPollEndpoints ? this._pollDueEndpoints() : undefined);
			return;
		}

		// An endpoint may be too overloaded to respond to this node, and yet have responded to another one.
		const hasToLearn = !mayPollEndpoints || !primary;
		await Promise.all([
			mayPollEndpoints ? this._pollAllEndpoints() : undefined,
			hasToLearn ? this._services.proofSource.refresh() : undefined,
		]);
	}

	private async _pollDueEndpoints(): Promise<void> {
		const {clock, options, proofSource} = this._services;
		const {primaryEndpoint, provedAtMs, needsAllReplicas, sampledAtMs, isFailing, primaryHeardAtMs} = this._group;
		const nowMs = clock.nowMs();
		// The coordinator's overviews arrive a little later than the coordinator itself would poll again.
		const graceMs = proofSource.isCoordinator ? 0 : options.leasePollMs;
		const proofEveryMs = needsAllReplicas ? options.allReplicasPollMs : options.leasePollMs;
		// The loop comes round each `leasePollMs`, a little more or less.
		const isProofDue = nowMs - provedAtMs >= proofEveryMs - (options.leasePollMs / 2) + graceMs;
		const isSampleDue = nowMs - sampledAtMs >= options.sampleEveryMs + graceMs;
		const isCheckDue = isFailing || nowMs - primaryHeardAtMs >= options.primaryCheckMs + graceMs;
		await Promise.all([
			isProofDue ? this._pollReplicas() : undefined,
			primaryEndpoint && (isSampleDue || isCheckDue) ? this.refreshStatus(primaryEndpoint) : undefined,
		]);
	}

	/** Requests the status of every endpoint. */
	private async _pollAllEndpoints(): Promise<void> {
		const results = await Promise.all(this._group.endpoints().map(async endpoint => this._requestStatus(endpoint)));
		this._group.noteSearch(Either.rights(results), Either.lefts(results).some(({refusal}) => refusal.kind === 'overloaded'));
	}

	/** Requests a proof of the primary's term, from the replicas or from the coordinator. */
	private async _requestProof(): Promise<void> {
		await (this._group.mayPollEndpoints ? this._pollReplicas() : this._services.proofSource.refresh());
	}

	/** Polls replicas, nearest first, until one or all of them have proved the term. */
	private async _pollReplicas(): Promise<void> {
		let firstSentAtMs = Number.POSITIVE_INFINITY;
		await this._group.prepareProof();
		for (const replica of this._replicasByDistance()) {
			const report = await this.refreshStatus(replica);
			firstSentAtMs = Math.min(firstSentAtMs, report?.sentAtMs ?? Number.POSITIVE_INFINITY);
			if (this._group.provedAtMs >= firstSentAtMs) {
				return;
			}
		}

		this._group.noteUnproved();
	}

	private _replicasByDistance(): RegisteredEndpoint[] {
		const {availabilityZone, pools} = this._services;
		return this._group.replicas().toSorted((a, b) =>
			Number(pools.pool(a).isAvoided) - Number(pools.pool(b).isAvoided)
			|| Number(b.availabilityZone === availabilityZone) - Number(a.availabilityZone === availabilityZone));
	}
}
