/**
 * Tracks which endpoint is the primary of one group, and the proofs that this node has of it.
 *
 * An endpoint that reported itself primary of a term is the only primary that the term ever has. That
 * the term has not been replaced is proved by replicas' reports in an unbroken chain that starts with
 * a check of the store; `TermLease` explains why both are needed.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {Event} from '../lifecycle/emitter.js';
import type {PrimaryTimes} from '../load/replication-lag.js';
import type {ReportedStatus, StatementFault} from '../pools/types.js';
import type {LogPosition} from '../positions/log-position.js';
import type {GroupOverview, RegisteredEndpoint} from '../services/services.js';
import type {PrimacyOptions} from './constants.js';
import {leaseExpiryWaitMs} from './constants.js';
import type {AppliedPosition} from './endpoint-reports.js';
import type {DutyChanges} from './duty-changes.js';
import {EndpointReports, hasRoleChanged} from './endpoint-reports.js';
import {PositionSamples} from './position-samples.js';
import {GroupPoller} from './group-poller.js';
import type {PolledGroup} from './group-poller.js';
import type {LeaseProof, ProofFields} from './lease-proof.js';
import {proofFields, proofGapMs} from './lease-proof.js';
import {PrimaryHealth} from './primary-health.js';
import type {ReplacementState} from './promotion-duty.js';
import {ReplacementChecks} from './replacement-checks.js';
import {ReplicaProofs} from './replica-proofs.js';
import {ReturnedReplicas} from './returned-replicas.js';
import {SuspensionWatch} from './suspension-watch.js';
import type {ReplacementCheck} from './term-lease.js';
import {TermLease} from './term-lease.js';
import type {
	GroupServices, KnownReplacement, PromotionReason, Primary, PrimaryOrigin, PromoterId,
} from './types.js';
import {WriteReceipts} from './write-receipts.js';

/** Tracks the primary of one group. */
export class PrimaryTracker implements PolledGroup, Disposable {
	readonly service: string;
	/** Fires when the primary could not be reached or did not respond. */
	readonly onPrimaryFault: Event<void>;
	/** Fires when a proof of the primary's term has been granted. */
	readonly onProof: Event<void>;
	/** Fires when an event occurred after which the group should be checked at once. */
	readonly onWake: Event<void>;

	private readonly _services: GroupServices;
	private readonly _poller: GroupPoller;
	private readonly _samples: PositionSamples;
	private readonly _lease: TermLease;
	private readonly _receipts: WriteReceipts;
	private readonly _suspension: SuspensionWatch;
	private readonly _onPrimaryFault = new Emitter<void>();
	private readonly _onProof = new Emitter<void>();
	private readonly _onWake = new Emitter<void>();
	private readonly _reports: EndpointReports;
	private readonly _replicaProofs: ReplicaProofs;
	private readonly _returnedReplicas: ReturnedReplicas;
	private _primary: Primary | undefined;
	private _health: PrimaryHealth;
	/** Newest proof that was granted, even if it is no longer valid. */
	private _grantedProof: LeaseProof | undefined;
	/** Newest proof that is pending on a check of the store. */
	private _pendingProof: LeaseProof | undefined;
	private readonly _checks: ReplacementChecks;
	/** Replacement state at the newest store version that this node or a peer has read. */
	private _newestReplacement: KnownReplacement | undefined;
	/** Replacement state of the primary as last read from the store. */
	private _replacementState: ReplacementState | undefined;
	private _isPossiblyReplaced = true;
	private _hasEndpointReport = false;
	private _vacantSinceMs: number | undefined;

	constructor(service: string, services: GroupServices, changes: DutyChanges) {
		const {clock, options} = services;
		this.service = service;
		this.onPrimaryFault = this._onPrimaryFault.event;
		this._services = services;
		this.onProof = this._onProof.event;
		this.onWake = this._onWake.event;
		this._poller = new GroupPoller(this, services);
		this._samples = new PositionSamples(options.sampleSpacingMs, options.sampleKeptMs);
		this._lease = new TermLease(clock, {leaseMs: options.leaseMs, chainMs: leaseExpiryWaitMs(options)});
		this._checks = new ReplacementChecks(this, changes, services);
		this._reports = new EndpointReports(clock);
		this._replicaProofs = new ReplicaProofs(this, this._reports, services);
		this._returnedReplicas = new ReturnedReplicas(this, this._reports, services);
		this._receipts = new WriteReceipts(clock, options, {
			reports: () => this.replicas().flatMap(({id}) => this._reports.status(id) ?? []),
			term: () => this._primary?.term,
			pollNearest: async () => this._poller.pollNearestReplica(),
		});
		this._suspension = new SuspensionWatch(clock, options.suspensionMs);
		this._health = new PrimaryHealth(options, clock.nowMs());
	}

	/** Options of the primacy module. */
	get options(): PrimacyOptions {
		return this._services.options;
	}

	/** The primary of the highest known term. */
	get primary(): Primary | undefined {
		return this._primary;
	}

	/** The primary's registration; undefined if there is no primary to send statements to. */
	get primaryEndpoint(): RegisteredEndpoint | undefined {
		return this._primary && !this._health.hasLostLog ? this._services.registry.endpoint(this._primary.endpointId) : undefined;
	}

	/** When anything was last received from the primary, on this node's clock. */
	get primaryHeardAtMs(): number {
		return this._health.heardAtMs;
	}

	/** Whether this node holds a valid lease, that is, a proof that the primary's term has not been replaced. */
	get isLeased(): boolean {
		this._resetAfterSuspension();
		return this._services.peers.registeredAtMs !== undefined && this._isLeasedAt(this._services.clock.nowMs());
	}

	/** Time in milliseconds since the primary was last both heard from and proved by this node. */
	get unreachableForMs(): number {
		return this._services.clock.nowMs() - Math.min(this._lease.provedAtMs, this._health.heardAtMs);
	}

	/**
	 * Time in milliseconds without a response from the primary, counted from the first failed
	 * attempt; zero while it responds.
	 */
	get silentForMs(): number {
		return this._health.failingForMs(this._services.clock.nowMs());
	}

	/** Why the primary needs to be replaced, as far as this node can tell; undefined if it does not. */
	get promotionReason(): PromotionReason | undefined {
		const nowMs = this._services.clock.nowMs();
		if (this._vacantSinceMs !== undefined && nowMs - this._vacantSinceMs >= this._services.options.vacantAfterMs) {
			return 'vacant';
		}

		if (!this._primary) {
			return undefined;
		}

		if (this._mayTakeOverReplacement && this._replacementState!.orderedTerm >= this._primary.term) {
			return 'ordered';
		}

		const healthReason = this.primaryEndpoint?.isDraining ? 'draining' : this._health.promotionReason(nowMs);
		return healthReason ?? (this._mayTakeOverReplacement ? 'abandoned' : undefined);
	}

	/** Whether this node may poll endpoints itself, and therefore may replace a primary. */
	get mayPollEndpoints(): boolean {
		const {isCoordinator, isCoordinatorOnly} = this._services.proofSource;
		return isCoordinator || !isCoordinatorOnly;
	}

	/** Whether the primary may have been replaced; the new primary is then searched for. */
	get isPossiblyReplaced(): boolean {
		return this._isPossiblyReplaced || this._isBeingReplaced;
	}

	/**
	 * Whether there is no primary or any sign of trouble with it, so that it may count as lost by the
	 * passing of time alone.
	 */
	get isUnhealthy(): boolean {
		return this._primary === undefined || this._vacantSinceMs !== undefined || this.isPossiblyReplaced || this.isFailing
			|| this.endpoints().some(({id}) => (this._reports.status(id)?.status.fencedForTerm ?? 0) > 0);
	}

	/** Whether a proof is pending on a check of the store. */
	get isCheckDue(): boolean {
		return this._pendingProof !== undefined && this._pendingProof.term === this._primary?.term
			&& this._services.clock.nowMs() - this._pendingProof.provedAtMs < this._services.options.leaseMs;
	}

	/**
	 * Known replacement state of the primary and the store version at which it was read. Undefined
	 * once a replacement has begun: who may take it over then changes by the passing of time alone,
	 * so the row must be read.
	 */
	get knownReplacement(): KnownReplacement | undefined {
		const isBegun = this._isBeingReplaced || (this._newestReplacement?.begunTerm ?? 0) >= (this._primary?.term ?? 0);
		return isBegun ? undefined : this._newestReplacement;
	}

	/** Whether any endpoint has reported its status; before that, no sign of trouble with the primary can be seen. */
	get hasEndpointReport(): boolean {
		return this._hasEndpointReport;
	}

	/** Whether attempts to reach the primary have failed since it was last heard from. */
	get isFailing(): boolean {
		return this._health.isFailing;
	}

	/** When the request was sent whose response proved the primary's term. */
	get provedAtMs(): number {
		return this._lease.provedAtMs;
	}

	/** Whether only all known replicas together prove the primary's term. */
	get needsAllReplicas(): boolean {
		return this._replicaProofs.areAllNeeded;
	}

	/** Log fields of the proof that the lease on the primary's term is based on; undefined without one. */
	get proof(): ProofFields | undefined {
		const isProved = this._lease.provedAgoMs(this._primary?.term ?? 0) !== undefined;
		return isProved && this._grantedProof ? proofFields(this._grantedProof, this._services.clock.nowMs()) : undefined;
	}

	/** When the request was sent that returned the newest position of the primary. */
	get sampledAtMs(): number {
		return this._samples.newestMs;
	}

	/** Returns the endpoints of the group other than the primary. */
	replicas(): readonly RegisteredEndpoint[] {
		return this.endpoints().filter(({id}) => id !== this._primary?.endpointId);
	}

	/** Returns all endpoints of the group. */
	endpoints(): readonly RegisteredEndpoint[] {
		return this._services.registry.ofService(this.service);
	}

	/** Returns the last status that an endpoint reported; undefined without one since its last restart. */
	status(endpointId: string): ReportedStatus | undefined {
		return this._reports.status(endpointId);
	}

	/** Returns the position that an endpoint's reads are known to include; undefined if none is known. */
	applied(endpointId: string): AppliedPosition | undefined {
		return this._reports.applied(endpointId);
	}

	/** Starts polling the group, until disposal. */
	start(): void {
		this._poller.start();
	}

	/** Records that a statement for the group arrived; the group is polled until it has been idle for `idleAfterMs`. */
	noteUse(): void {
		this._poller.noteUse();
	}

	/** Polls and checks the group at once. */
	wake(): void {
		this._poller.wake();
		this._onWake.fire();
	}

	/** Checks in the store at once whether the primary is being replaced. */
	checkReplacement(): void {
		this._checks.checkNow();
	}

	/** Rewrites the group's promotion record if the store lost it by being restored from an older snapshot. */
	async rewriteLostDuty(): Promise<void> {
		if (this.mayPollEndpoints && this._primary) {
			const {term: primaryTerm} = this._primary;
			await this._services.duties.rewriteLostRecord(this.service, {primaryTerm, begunTerm: this._lease.begunTerm});
		}
	}

	/**
	 * Waits up to a timeout for a proof that the primary's term has not been replaced, and resolves
	 * to whether one is valid.
	 */
	async ensureLease(timeoutMs: number): Promise<boolean> {
		return this._poller.ensureLease(timeoutMs);
	}

	/** Polls the primary unless it was heard from within `opinionFreshMs`. */
	async checkPrimary(): Promise<void> {
		await this._poller.checkPrimary();
	}

	/** Requests one endpoint's status, applies the response and resolves to it; undefined if the request failed. */
	async refreshStatus(endpoint: RegisteredEndpoint): Promise<ReportedStatus | undefined> {
		return this._poller.refreshStatus(endpoint);
	}

	/**
	 * Waits up to `confirmationWaitMs` until a replica has received a position of the current term,
	 * and resolves to whether one has.
	 */
	async confirm(position: LogPosition): Promise<boolean> {
		return this._receipts.confirm(position);
	}

	/**
	 * Returns the position that a replica must have reached to serve reads that arrived at a moment
	 * and accept the given staleness in milliseconds; undefined if none is proved.
	 */
	floor(arrivedAtMs: number, maximumAgeMs: number): LogPosition | undefined {
		this._resetAfterSuspension();
		return this._samples.floor(arrivedAtMs - maximumAgeMs + this._services.options.ageMarginMs);
	}

	/** Returns when the primary was at the positions around one that a replica has applied. */
	timesAround(position: LogPosition): PrimaryTimes {
		return this._samples.timesAround(position);
	}

	/** Returns for how long in milliseconds the primary is known to have reached a position; undefined without a sample of the primary. */
	reachedForMs(position: LogPosition): number | undefined {
		const reachedAtMs = this._samples.reachedAtMs(position);
		return reachedAtMs === undefined ? undefined : this._services.clock.nowMs() - reachedAtMs;
	}

	/**
	 * Records a response and the position that it carried, and returns whether the response may be
	 * used: not if it came from a primary that has lost its log.
	 */
	noteAnswer(endpointId: string, position: LogPosition | undefined, sentAtMs: number): boolean {
		if (this._resetAfterSuspension()) {
			return true;
		}

		if (position && this._reports.noteApplied(endpointId, position, sentAtMs)) {
			this._noteRestart(endpointId, 'position');
		}

		if (this._primary?.endpointId !== endpointId) {
			return true;
		}

		this._health.onHeard(this._services.clock.nowMs());
		if (position && position.term <= this._primary.term && this._isLeasedAt(sentAtMs)) {
			this._samples.add(sentAtMs, position);
		}

		return !this._health.hasLostLog;
	}

	/** Called when an endpoint restarted or its registration returned: it may have missed a fence. */
	noteReturn(endpointId: string): void {
		this._reports.reset(endpointId);
		void this._returnedReplicas.clearWhenSafe(endpointId);
		if (this._primary?.endpointId === endpointId) {
			// Its next status shows whether it still leads its term with its whole log.
			this._isPossiblyReplaced = true;
		}

		this.wake();
	}

	/** Called when an endpoint could not be used; `sinceMs` is when the attempt began. */
	noteFault(endpointId: string, cause: StatementFault['cause'], sinceMs = this._services.clock.nowMs()): void {
		if (this._primary?.endpointId !== endpointId) {
			return;
		}

		if (cause === 'full') {
			this._health.onHeard(this._services.clock.nowMs());
			return;
		}

		const isFirst = !this._health.isFailing;
		this._health.onFault(cause, sinceMs);
		this._onPrimaryFault.fire();
		// Later faults don't trigger an early poll: a closed port refuses immediately, so polls would
		// follow without a pause.
		if (isFirst) {
			this.wake();
		}
	}

	/** Called when the presumed primary refused a write because it is not primary. */
	noteNotPrimary(endpointId: string): void {
		if (this._primary?.endpointId === endpointId && !this._isPossiblyReplaced) {
			this._isPossiblyReplaced = true;
			this.wake();
		}
	}

	/** Applies another node's report of a primary: a primary of a higher term is adopted, others are ignored. */
	learnPrimary({endpointId, term}: Primary, from: PrimaryOrigin): void {
		if (term > (this._primary?.term ?? 0)) {
			this._adopt({endpointId, term}, from);
		}
	}

	/** Returns what this node knows of the group, for another node; undefined without a primary. */
	overview(): GroupOverview | undefined {
		this._resetAfterSuspension();
		if (!this._primary) {
			return undefined;
		}

		const nowMs = this._services.clock.nowMs();
		const {newest, newestMs} = this._samples;
		const {endpointId, term} = this._primary;
		return {
			service: this.service,
			primaryId: endpointId,
			term,
			heardAgoMs: nowMs - this._health.heardAtMs,
			provedAgoMs: this._lease.provedAgoMs(term),
			replacement: this._lease.check && {
				begunTerm: this._lease.check.begunTerm, agoMs: nowMs - this._lease.check.checkedAtMs, version: this._lease.check.version,
			},
			sample: newest && {position: newest, agoMs: nowMs - newestMs},
		};
	}

	/** Applies a peer's overview of the group, from a response to a request that was sent at the given time. */
	noteOverview(overview: GroupOverview, sentAtMs: number, peer: string): void {
		if (this._resetAfterSuspension()) {
			return;
		}

		this.learnPrimary({endpointId: overview.primaryId, term: overview.term}, 'peer');
		if (overview.replacement) {
			const {begunTerm, agoMs, version} = overview.replacement;
			this._noteReplacementVersion(begunTerm, version);
			this._noteCheck({begunTerm, version, checkedAtMs: sentAtMs - agoMs});
		}

		if (overview.term !== this._primary?.term) {
			return;
		}

		if (overview.provedAgoMs !== undefined) {
			this._grant({term: overview.term, provedAtMs: sentAtMs - overview.provedAgoMs, origin: {kind: 'peer', name: peer}});
		}

		if (!this.mayPollEndpoints) {
			this._applyPollerOverview(overview, sentAtMs);
		}

		if (overview.sample && this._isLeasedAt(sentAtMs - overview.sample.agoMs)) {
			const {position, agoMs} = overview.sample;
			this._samples.add(sentAtMs - agoMs, position);
			// A position that another node learned also shows whether the primary has lost its log since.
			this._reports.noteApplied(overview.primaryId, position, sentAtMs - agoMs);
		}
	}

	/**
	 * Called when a promoter announces that it replaces a term, so that proofs of the term are
	 * invalid, or that it has cancelled the replacement. A late cancellation must not undo a newer
	 * announcement, so the store is checked instead.
	 */
	fence(term: number, isFenced: boolean, {holder, epoch}: PromoterId): void {
		this._services.log.event('termFenced', {
			group: this.service, term, isFenced, holder, epoch,
		});
		if (isFenced) {
			this._lease.invalidate(term);
		} else {
			this._checks.checkNow();
		}

		this.wake();
	}

	/** Renews what a proof needs besides the reports of replicas. */
	async prepareProof(): Promise<void> {
		if (this._primary && this._replicaProofs.areRegistrationsOld) {
			await this._services.peers.refreshUnreplaced(this.service, this._primary.term);
		}
	}

	/**
	 * Called when no replica proved the primary's term. While the primary responds and no replica
	 * proves its term, checks of the store keep the lease valid. Without this, after a promotion
	 * whose remaining replica received nothing, a group refused all statements until the old primary
	 * was back (2.7 s in one case).
	 */
	noteUnproved(): void {
		const {clock, options} = this._services;
		const nowMs = clock.nowMs();
		const isDue = nowMs - Math.max(this._lease.provedAtMs, this._checks.lastCheckAtMs) >= options.leaseMs / 2;
		if (this._primary && !this._health.isFailing && isDue) {
			this._checks.checkUnlessRunning();
		}
	}

	/**
	 * Applies the replacement state of the primary that the store returned; `checkedAtMs` is when the
	 * request was sent.
	 */
	noteReplacement(state: ReplacementState, checkedAtMs: number): void {
		this._resetAfterSuspension();
		this._replacementState = state;
		const {begunTerm, storeVersion: version} = state;
		this._noteReplacementVersion(begunTerm, version);
		this._noteCheck({begunTerm, version, checkedAtMs});
		if (this._isBeingReplaced) {
			this.wake();
		}
	}

	/**
	 * Applies that no replacement has begun since the known state was read; `checkedAtMs` is when the
	 * request was sent.
	 */
	noteUnchanged({begunTerm, version}: KnownReplacement, checkedAtMs: number): void {
		this._resetAfterSuspension();
		this._noteReplacementVersion(begunTerm, version);
		this._noteCheck({begunTerm, version, checkedAtMs});
	}

	/** Applies a status that an endpoint reported. */
	noteStatus(endpointId: string, report: ReportedStatus): void {
		if (this._resetAfterSuspension()) {
			return;
		}

		this._logRoleChange(endpointId, report);
		const {status, sentAtMs} = report;
		if (this._reports.noteStatus(endpointId, report)) {
			this._noteRestart(endpointId, 'position');
		}

		if (status.isPrimary && status.term > (this._primary?.term ?? 0)) {
			this._adopt({endpointId, term: status.term}, 'endpoint');
		}

		if (!status.isPrimary) {
			this.noteAnswer(endpointId, report.applied, sentAtMs);
			this._noteReplicaStatus(endpointId, report);
			return;
		}

		if (this._primary?.endpointId === endpointId && this._primary.term === status.term) {
			this._isPossiblyReplaced = false;
			this._vacantSinceMs = undefined;
			this.noteAnswer(endpointId, status.received, sentAtMs);
			this._compareWithReplicas(status.received, sentAtMs);
		}
	}

	/**
	 * Applies the reports of all endpoints that responded to a search; there may be no primary among
	 * them. An endpoint that exists but was too overloaded to respond may be the primary: after a
	 * power loss, nodes without a connection to the primary took its group for vacant and replaced
	 * it. The known primary may also still lead if it did not respond: its silence and the other
	 * nodes' opinions decide whether it is lost, since only the link to this node may be down.
	 */
	noteSearch(answered: readonly ReportedStatus[], hasOverloadedEndpoints: boolean): void {
		this._hasEndpointReport ||= answered.length > 0;
		const known = this.primaryEndpoint && this._reports.status(this.primaryEndpoint.id);
		const hasKnownAnswered = this.primaryEndpoint === undefined || (known !== undefined && answered.includes(known));
		const isVacant = answered.length > 0 && !hasOverloadedEndpoints && hasKnownAnswered && answered.every(({status}) => !status.isPrimary);
		this._vacantSinceMs = isVacant ? this._vacantSinceMs ?? this._services.clock.nowMs() : undefined;
		this._isPossiblyReplaced = answered.every(({status}) => !status.isPrimary || status.term !== this._primary?.term);
		// A replica may have responded before the primary did, and so have proved a term that was not yet known.
		for (const {id} of this.replicas()) {
			const report = this._reports.status(id);
			if (report && answered.includes(report)) {
				this._noteProof(id);
			}
		}
	}

	dispose(): void {
		this._poller.dispose();
		this._checks.dispose();
		this._returnedReplicas.dispose();
		this._onPrimaryFault.dispose();
		this._onProof.dispose();
		this._onWake.dispose();
	}

	/** Whether a replacement of the primary has begun according to the store. */
	private get _isBeingReplaced(): boolean {
		return this._primary !== undefined && (this._replacementState?.begunTerm ?? 0) >= this._primary.term;
	}

	/** Whether this node may take over and complete a replacement that another node has begun. */
	private get _mayTakeOverReplacement(): boolean {
		return this._isBeingReplaced && this._replacementState?.mayTakeOver === true;
	}

	/** Store versions only increase, so a state that a peer read at an earlier version is ignored. */
	private _noteReplacementVersion(begunTerm: number, version: number | undefined): void {
		if (version !== undefined && version >= (this._newestReplacement?.version ?? 0)) {
			this._newestReplacement = {begunTerm, version};
		}
	}

	/**
	 * Applies a check of the store. Only checks made after this node registered count: an earlier
	 * promoter did not know this node and would not have notified it.
	 */
	private _noteCheck(check: ReplacementCheck): void {
		const {begunTerm, checkedAtMs} = check;
		const {registeredAtMs} = this._services.peers;
		if (registeredAtMs === undefined || checkedAtMs < registeredAtMs) {
			return;
		}

		const isNewest = this._lease.noteCheck(check);
		const term = this._primary?.term ?? 0;
		if (isNewest && begunTerm < term) {
			this._grant({term, provedAtMs: checkedAtMs, origin: {kind: 'store', name: 'store'}});
		}

		if (this.isCheckDue) {
			this._grant(this._pendingProof!);
		}
	}

	/** Applies the coordinator's overview in place of the polls that this node may not make itself. */
	private _applyPollerOverview({heardAgoMs, provedAgoMs}: GroupOverview, sentAtMs: number): void {
		if (heardAgoMs !== undefined) {
			this._health.onHeardBy(sentAtMs - heardAgoMs);
		}

		if (provedAgoMs !== undefined && this._lease.isValidAt(this._primary?.term, sentAtMs)) {
			this._isPossiblyReplaced = false;
		}
	}

	private _noteReplicaStatus(endpointId: string, {status}: ReportedStatus): void {
		if (this._primary?.endpointId === endpointId) {
			this._isPossiblyReplaced = true;
			return;
		}

		const knownTerm = this._primary?.term ?? 0;
		if (status.term > knownTerm) {
			this._isPossiblyReplaced = true;
			return;
		}

		this._noteProof(endpointId);
	}

	/** Grants the lease on the known term if the last report of a replica completes a proof of it. */
	private _noteProof(endpointId: string): void {
		if (!this._primary) {
			return;
		}

		const {term} = this._primary;
		const provedAtMs = this._replicaProofs.provedAtMs(endpointId, term);
		if (provedAtMs !== undefined) {
			this._grant({term, provedAtMs, origin: {kind: 'endpoint', name: endpointId}});
		}
	}

	/** A replica never holds more of a term than its primary, unless the primary restarted without its log. */
	private _compareWithReplicas(position: LogPosition, askedAtMs: number): void {
		const term = this._primary?.term ?? 0;
		if (this.replicas().some(({id}) => this._reports.isAhead(id, position, term, askedAtMs))) {
			this._noteRestart(this._primary!.endpointId, 'replicasAhead');
		}
	}

	/** Handles an endpoint whose position showed that it restarted and lost its log. */
	private _noteRestart(endpointId: string, sign: 'position' | 'replicasAhead'): void {
		const isPrimary = this._primary?.endpointId === endpointId;
		this._services.log.event('endpointRestarted', {
			endpoint: endpointId, service: this.service, sign, isPrimary, term: this._primary?.term,
		});
		if (isPrimary) {
			this._health.onLogLost();
			this._lease.revoke();
			this._samples.clear();
			this.wake();
			return;
		}

		void this._returnedReplicas.clearWhenSafe(endpointId);
	}

	private _grant(proof: LeaseProof): void {
		const nowMs = this._services.clock.nowMs();
		const wasLeased = this._isLeasedAt(nowMs);
		const newestBeforeMs = this._lease.provedAtMs;
		if (!this._lease.grant(proof)) {
			this._awaitCheck(proof);
			return;
		}

		this._pendingProof = undefined;

		if (!wasLeased && this._isLeasedAt(nowMs)) {
			this._logLeaseStart(proof);
		}

		if (proof.provedAtMs > newestBeforeMs) {
			this._grantedProof = proof;
		}

		this._onProof.fire();
	}

	private _awaitCheck(proof: LeaseProof): void {
		// An expired proof must not cause a read of the store: peers keep sending old proofs.
		const isOutdated = this._services.clock.nowMs() - proof.provedAtMs >= this._services.options.leaseMs;
		if (isOutdated || proof.term !== this._primary?.term) {
			return;
		}

		if (!this.isCheckDue || proof.provedAtMs > this._pendingProof!.provedAtMs) {
			this._pendingProof = proof;
		}

		this._checks.checkUnlessRunning();
	}

	private _logLeaseStart(proof: LeaseProof): void {
		const {clock, log} = this._services;
		const {source, sourceKind, provedAgoMs} = proofFields(proof, clock.nowMs());
		log.event('leaseStarted', {
			group: this.service, term: proof.term, source, sourceKind, askedAgoMs: provedAgoMs, gapMs: proofGapMs(this._grantedProof, proof),
		});
	}

	private _logRoleChange(endpointId: string, report: ReportedStatus): void {
		if (!hasRoleChanged(this._reports.status(endpointId), report)) {
			return;
		}

		const {clock, log} = this._services;
		const {isPrimary, term, received, fencedForTerm} = report.status;
		log.event('endpointStateChanged', {
			group: this.service,
			endpoint: endpointId,
			isPrimary,
			term,
			received,
			fencedForTerm,
			knownTerm: this._primary?.term,
			askedAgoMs: Math.round(clock.nowMs() - report.sentAtMs),
		});
	}

	private _adopt(primary: Primary, from: PrimaryOrigin): void {
		const {clock, log, metrics, options} = this._services;
		const before = this._primary;
		this._primary = primary;
		this._health = new PrimaryHealth(options, clock.nowMs());
		this._samples.clear();
		this._reports.clearApplied();
		this._lease.revoke();
		this._pendingProof = undefined;
		this._vacantSinceMs = undefined;
		log.event('primaryAdopted', {
			group: this.service, primary: primary.endpointId, term: primary.term, before: before?.endpointId, from,
		});
		metrics.gauge('groupTerm', primary.term, {group: this.service});
		if (this.mayPollEndpoints) {
			// Runs in parallel with the first polls of replicas, whose proofs need the check.
			this._checks.checkNow();
		}

		this.wake();
	}

	/** Discards what was measured before a suspension of the machine, and returns whether one occurred. */
	private _resetAfterSuspension(): boolean {
		if (!this._suspension.checkForSuspension()) {
			return false;
		}

		this._samples.clear();
		this._lease.breakChain();
		this._pendingProof = undefined;
		this._services.log.event('clockJumped', {group: this.service});
		return true;
	}

	private _isLeasedAt(sentAtMs: number): boolean {
		return this._lease.isValidAt(this._primary?.term, sentAtMs);
	}
}
