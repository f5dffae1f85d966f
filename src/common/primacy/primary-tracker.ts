/**
 * What this node knows about who leads one group, and the proofs it has of it.
 *
 * An endpoint that said that it is primary of a term is the only primary that the term ever
 * has. That the term has not been replaced is proved by replicas' word, in an unbroken chain
 * that began with the store's word; `TermLease` says why both are needed.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {Event} from '../lifecycle/emitter.js';
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
import {ReturnedReplicas} from './returned-replicas.js';
import {SuspensionWatch} from './suspension-watch.js';
import type {ReplacementCheck} from './term-lease.js';
import {TermLease} from './term-lease.js';
import type {
	GroupServices, KnownReplacement, PromotionReason, Primary, PrimaryOrigin, PromoterId,
} from './types.js';
import {WriteReceipts} from './write-receipts.js';

/** Follows one group. */
export class PrimaryTracker implements PolledGroup, Disposable {
	readonly service: string;
	/** Fires when the primary could not be reached or did not answer. */
	readonly onPrimaryFault: Event<void>;
	/** Fires when a proof of the primary's term has come. */
	readonly onProof: Event<void>;
	/** Fires when something happened after which the group is to be looked at. */
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
	private readonly _returnedReplicas: ReturnedReplicas;
	private _primary: Primary | undefined;
	private _health: PrimaryHealth;
	/** Newest proof that was granted, also once it no longer counts. */
	private _grantedProof: LeaseProof | undefined;
	/** Newest proof that waits for the store's word. */
	private _pendingProof: LeaseProof | undefined;
	private readonly _checks: ReplacementChecks;
	/** What the store said at its newest version that is known, to this node or to a peer. */
	private _newestReplacement: KnownReplacement | undefined;
	/** What the store said last about the replacement of the primary. */
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
		this._returnedReplicas = new ReturnedReplicas(this, this._reports, services);
		this._receipts = new WriteReceipts(clock, options, {
			reports: () => this.replicas().flatMap(({id}) => this._reports.status(id) ?? []),
			term: () => this._primary?.term,
			pollNearest: async () => this._poller.pollNearestReplica(),
		});
		this._suspension = new SuspensionWatch(clock, options.suspensionMs);
		this._health = new PrimaryHealth(options, clock.nowMs());
	}

	/** Options of following primaries. */
	get options(): PrimacyOptions {
		return this._services.options;
	}

	/** The primary of the highest term known. */
	get primary(): Primary | undefined {
		return this._primary;
	}

	/** The primary as it registered itself; undefined when there is none to send work to. */
	get primaryEndpoint(): RegisteredEndpoint | undefined {
		return this._primary && !this._health.hasLostLog ? this._services.registry.endpoint(this._primary.endpointId) : undefined;
	}

	/** When the primary last said anything to this node. */
	get primaryHeardAtMs(): number {
		return this._health.heardAtMs;
	}

	/** Whether it is proved that the primary's term has not been replaced. */
	get isLeased(): boolean {
		this._resetAfterSuspension();
		return this._services.peers.registeredAtMs !== undefined && this._isLeasedAt(this._services.clock.nowMs());
	}

	/** Time since the primary was last both heard and proved from here. */
	get unreachableForMs(): number {
		return this._services.clock.nowMs() - Math.min(this._lease.provedAtMs, this._health.heardAtMs);
	}

	/** How long the primary has not answered, counted from the first attempt that failed; zero while it answers. */
	get silentForMs(): number {
		return this._health.failingForMs(this._services.clock.nowMs());
	}

	/** Why the primary needs to be replaced, as far as this node can tell. */
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

		const healthReason = this.primaryEndpoint?.isDraining ? 'draining' : this._health.loss(nowMs);
		return healthReason ?? (this._mayTakeOverReplacement ? 'abandoned' : undefined);
	}

	/** Whether this node may ask endpoints itself, and so may replace a primary. */
	get mayPollEndpoints(): boolean {
		const {isCoordinator, isCoordinatorOnly} = this._services.sharing;
		return isCoordinator || !isCoordinatorOnly;
	}

	/** Whether the primary may have been replaced; whoever has been promoted is then looked for. */
	get isPossiblyReplaced(): boolean {
		return this._isPossiblyReplaced || this._isBeingReplaced;
	}

	/** Whether anything speaks against the primary, or there is none: time alone may then make it lost. */
	get isUnhealthy(): boolean {
		return this._primary === undefined || this._vacantSinceMs !== undefined || this.isPossiblyReplaced || this.isFailing
			|| this.endpoints().some(({id}) => (this._reports.status(id)?.status.fencedForTerm ?? 0) > 0);
	}

	/** Whether a proof waits for the store's word. */
	get isCheckDue(): boolean {
		return this._pendingProof !== undefined && this._pendingProof.term === this._primary?.term
			&& this._services.clock.nowMs() - this._pendingProof.provedAtMs < this._services.options.leaseMs;
	}

	/**
	 * What is known of the replacement of the primary, and at which version of the store. Undefined
	 * while one has been begun: who may go on with it changes by time alone, so that the row is read.
	 */
	get knownReplacement(): KnownReplacement | undefined {
		const isBegun = this._isBeingReplaced || (this._newestReplacement?.begunTerm ?? 0) >= (this._primary?.term ?? 0);
		return isBegun ? undefined : this._newestReplacement;
	}

	/** Whether any endpoint has said who it is: before that, nothing speaks against a primary. */
	get hasEndpointReport(): boolean {
		return this._hasEndpointReport;
	}

	/** Whether attempts to reach the primary failed since it was last heard. */
	get isFailing(): boolean {
		return this._health.isFailing;
	}

	/** When the question was sent that proved the primary's term. */
	get provedAtMs(): number {
		return this._lease.provedAtMs;
	}

	/** The proof that the lease on the primary's term rests on, for logs; undefined without one. */
	get proof(): ProofFields | undefined {
		const isProved = this._lease.provedAgoMs(this._primary?.term ?? 0) !== undefined;
		return isProved && this._grantedProof ? proofFields(this._grantedProof, this._services.clock.nowMs()) : undefined;
	}

	/** When the newest position of the primary was asked for. */
	get sampledAtMs(): number {
		return this._samples.newestMs;
	}

	/** Endpoints of the group other than the primary. */
	replicas(): readonly RegisteredEndpoint[] {
		return this.endpoints().filter(({id}) => id !== this._primary?.endpointId);
	}

	/** All endpoints of the group. */
	endpoints(): readonly RegisteredEndpoint[] {
		return this._services.registry.ofService(this.service);
	}

	/** What an endpoint last reported. */
	status(endpointId: string): ReportedStatus | undefined {
		return this._reports.status(endpointId);
	}

	/** Position that an endpoint's reads are known to include. */
	applied(endpointId: string): AppliedPosition | undefined {
		return this._reports.applied(endpointId);
	}

	/** Starts to follow the group. */
	start(): void {
		this._poller.start();
	}

	/** Statements of the group come: it is polled for a while. */
	noteUse(): void {
		this._poller.noteUse();
	}

	/** Looks at the group at once. */
	wake(): void {
		this._poller.wake();
		this._onWake.fire();
	}

	/** Asks the store at once whether the primary is being replaced. */
	checkReplacement(): void {
		this._checks.checkNow();
	}

	/** Writes again what the store has lost of the group's promotions by coming back from an older copy. */
	async rewriteLostDuty(): Promise<void> {
		if (this.mayPollEndpoints && this._primary) {
			const {term: primaryTerm} = this._primary;
			await this._services.duties.rewriteLostRecord(this.service, {primaryTerm, begunTerm: this._lease.begunTerm});
		}
	}

	/** Waits for a proof that the primary's term stands; resolves with whether there is one. */
	async ensureLease(timeoutMs: number): Promise<boolean> {
		return this._poller.ensureLease(timeoutMs);
	}

	/** Looks whether the primary answers, unless it did a moment ago. */
	async checkPrimary(): Promise<void> {
		await this._poller.checkPrimary();
	}

	/** Asks one endpoint for its state and takes the answer in. */
	async refreshStatus(endpoint: RegisteredEndpoint): Promise<ReportedStatus | undefined> {
		return this._poller.refreshStatus(endpoint);
	}

	/** Waits a moment until a replica has received a position of the current term; resolves with whether one has. */
	async confirm(position: LogPosition): Promise<boolean> {
		return this._receipts.confirm(position);
	}

	/**
	 * Position that a log must hold for reads which arrived at a moment and accept an age;
	 * undefined when none is proved.
	 */
	floor(arrivedAtMs: number, maximumAgeMs: number): LogPosition | undefined {
		this._resetAfterSuspension();
		return this._samples.floor(arrivedAtMs - maximumAgeMs + this._services.options.ageMarginMs);
	}

	/** Takes in the position that an answer carried; resolves to whether the answer counts. */
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

	/** Takes in that an endpoint started again, or came back: it may have missed a fence. */
	noteReturn(endpointId: string): void {
		this._reports.forget(endpointId);
		void this._returnedReplicas.clearWhenSafe(endpointId);
		if (this._primary?.endpointId === endpointId) {
			// Whether it still leads its term with all of its log, its answer says.
			this._isPossiblyReplaced = true;
		}

		this.wake();
	}

	/** Takes in that an endpoint could not be used, and since when it was tried. */
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
		// Later ones don't hurry the next question: a closed port answers at once, again and again.
		if (isFirst) {
			this.wake();
		}
	}

	/** Takes in that what was believed to be the primary refuses writes. */
	noteNotPrimary(endpointId: string): void {
		if (this._primary?.endpointId === endpointId && !this._isPossiblyReplaced) {
			this._isPossiblyReplaced = true;
			this.wake();
		}
	}

	/** Takes in what another node says: a lower term changes nothing, a higher one is looked for. */
	learnPrimary({endpointId, term}: Primary, from: PrimaryOrigin): void {
		if (term > (this._primary?.term ?? 0)) {
			this._adopt({endpointId, term}, from);
		}
	}

	/** What this node knows, for another one. */
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

	/** Takes in what a peer said in answer to a question that was sent at a time. */
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
			// Known from another node, it shows as well whether the primary has lost its log since.
			this._reports.noteApplied(overview.primaryId, position, sentAtMs - agoMs);
		}
	}

	/**
	 * Proofs of a term count no more: a promotion is on its way. Or it is said to have been given
	 * up: a notice that arrives late must not undo a later one, so the store is asked.
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

	/**
	 * Takes in that no replica proved the primary's term. While the primary answers and none does,
	 * the store's word keeps the lease: after a promotion beside a replica that received nothing,
	 * its group refused everything until the old primary was back, 2.7 s in one run.
	 */
	noteUnproved(): void {
		const {clock, options} = this._services;
		const nowMs = clock.nowMs();
		const isDue = nowMs - Math.max(this._lease.provedAtMs, this._checks.lastCheckAtMs) >= options.leaseMs / 2;
		if (this._primary && !this._health.isFailing && isDue) {
			this._checks.checkUnlessRunning();
		}
	}

	/** Takes in what the store said about the replacement of the primary. */
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

	/** Takes in that nobody has begun to replace anything since the store said what is known. */
	noteUnchanged({begunTerm, version}: KnownReplacement, checkedAtMs: number): void {
		this._resetAfterSuspension();
		this._noteReplacementVersion(begunTerm, version);
		this._noteCheck({begunTerm, version, checkedAtMs});
	}

	/** Takes in a state that an endpoint reported. */
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
	 * Takes in what all endpoints that answered said; none of them may be a primary. Others that
	 * are there, and had no room for the question, may be: after a power loss nodes without a
	 * connection to a primary took its group for one without any, and replaced it. So may the known
	 * primary that gave no answer: whether it is lost is for its silence to show, and for other
	 * nodes to say, since a cut may lie between.
	 */
	noteSearch(answered: readonly ReportedStatus[], hasOverloadedEndpoints: boolean): void {
		this._hasEndpointReport ||= answered.length > 0;
		const known = this.primaryEndpoint && this._reports.status(this.primaryEndpoint.id);
		const hasKnownAnswered = this.primaryEndpoint === undefined || (known !== undefined && answered.includes(known));
		const isVacant = answered.length > 0 && !hasOverloadedEndpoints && hasKnownAnswered && answered.every(({status}) => !status.isPrimary);
		this._vacantSinceMs = isVacant ? this._vacantSinceMs ?? this._services.clock.nowMs() : undefined;
		this._isPossiblyReplaced = answered.every(({status}) => !status.isPrimary || status.term !== this._primary?.term);
		// Replicas that answered before the primary proved a term that was not known then.
		for (const {id} of this.replicas()) {
			const report = this._reports.status(id);
			if (report && answered.includes(report)) {
				this._noteProof(id, report);
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

	/** Whether the store says that somebody has begun to replace the primary. */
	private get _isBeingReplaced(): boolean {
		return this._primary !== undefined && (this._replacementState?.begunTerm ?? 0) >= this._primary.term;
	}

	/** Whether a replacement that somebody began may be brought to its end by this node. */
	private get _mayTakeOverReplacement(): boolean {
		return this._isBeingReplaced && this._replacementState?.mayTakeOver === true;
	}

	/** Versions only go up: what a peer says of an earlier one is no news. */
	private _noteReplacementVersion(begunTerm: number, version: number | undefined): void {
		if (version !== undefined && version >= (this._newestReplacement?.version ?? 0)) {
			this._newestReplacement = {begunTerm, version};
		}
	}

	/** Only what was asked since this node registered counts: an earlier promoter did not know of it. */
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

	/** What the asking node says of the primary stands for what this node may not ask itself. */
	private _applyPollerOverview({heardAgoMs, provedAgoMs}: GroupOverview, sentAtMs: number): void {
		if (heardAgoMs !== undefined) {
			this._health.onHeardBy(sentAtMs - heardAgoMs);
		}

		if (provedAgoMs !== undefined && this._lease.isValidAt(this._primary?.term, sentAtMs)) {
			this._isPossiblyReplaced = false;
		}
	}

	private _noteReplicaStatus(endpointId: string, report: ReportedStatus): void {
		const {status} = report;
		if (this._primary?.endpointId === endpointId) {
			this._isPossiblyReplaced = true;
			return;
		}

		const knownTerm = this._primary?.term ?? 0;
		if (status.term > knownTerm) {
			this._isPossiblyReplaced = true;
			return;
		}

		this._noteProof(endpointId, report);
	}

	/** A replica that follows the known term, and is not fenced, proves that it stands. */
	private _noteProof(endpointId: string, {status: {isPrimary, term, fencedForTerm}, sentAtMs}: ReportedStatus): void {
		if (!isPrimary && term === this._primary?.term && fencedForTerm === 0 && this._reports.mayProve(endpointId)) {
			this._grant({term, provedAtMs: sentAtMs, origin: {kind: 'endpoint', name: endpointId}});
		}
	}

	/** Replicas never hold more of a term than its primary, unless that started again without its log. */
	private _compareWithReplicas(position: LogPosition, askedAtMs: number): void {
		const term = this._primary?.term ?? 0;
		if (this.replicas().some(({id}) => this._reports.isAhead(id, position, term, askedAtMs))) {
			this._noteRestart(this._primary!.endpointId, 'replicasAhead');
		}
	}

	/** A position showed that an endpoint lost its log. */
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
		// One that would not count any more must not have the store asked: peers repeat old words all the time.
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
			// Beside the first questions to replicas, whose word needs it.
			this._checks.checkNow();
		}

		this.wake();
	}

	/** Times measured before the machine was suspended say nothing afterwards. */
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
