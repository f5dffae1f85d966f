/**
 * Makes another endpoint of a group primary.
 *
 * Order matters: the duty is taken in the store, which then names the term; this node's own lease
 * ends; every replica is fenced, so that no lease on the old term is granted any more; every node
 * is told that those granted count no more, or they run out; the fences and the registrations are
 * looked at again; the order is put on record, under the condition that the duty is still this
 * node's; only then the platform is told. Whatever fails before that is taken back and changes
 * nothing. From the record on nothing is taken back unless the platform refused: the order may
 * be carried out at any later time, so the old term is not believed again, and whoever finds the
 * record orders the same endpoint once more, which changes nothing if it leads already.
 */
import {pauseFor} from '../lifecycle/timing.js';
import type {LogPosition} from '../positions/log-position.js';
import {comparePositions} from '../positions/log-position.js';
import type {EndpointStatus, RegisteredEndpoint} from '../services/services.js';
import {leaseExpiryWaitMs} from './constants.js';
import type {PrimaryTracker} from './primary-tracker.js';
import type {HeldDuty} from './promotion-duty.js';
import {SuspensionWatch} from './suspension-watch.js';
import type {GroupServices, PromotionReason, PromoterId} from './types.js';

/** How a promotion ended. */
export type PromotionOutcome = 'done' | 'notNeeded' | 'noDuty' | 'noReplica' | 'notFenced' | 'dutyLost' | 'refused' | 'noEffect';

/** Losses that end when the primary answers. */
const lossesEndedByAnswer: ReadonlySet<PromotionReason> = new Set(['silent', 'crashed']);

/** Outcomes after which an order may still be carried out, or another node may be at work: nothing is taken back. */
const unresolvedOutcomes: ReadonlySet<PromotionOutcome> = new Set(['dutyLost', 'noEffect']);

type FencedReplica = {
	readonly endpoint: RegisteredEndpoint;
	readonly status: EndpointStatus;
};

/** What a promotion has come to before it is ordered. */
type PendingPromotion = {
	readonly duty: HeldDuty;
	readonly reason: PromotionReason;
	readonly fenced: readonly FencedReplica[];
	readonly fencedAtMs: number;
};

/** Carries out promotions of one group. */
export class Promoter {
	private readonly _services: GroupServices;
	private readonly _group: PrimaryTracker;

	constructor(group: PrimaryTracker, services: GroupServices) {
		this._services = services;
		this._group = group;
	}

	/** Promotes the best replica if the reason still stands. */
	async promote(reason: PromotionReason): Promise<PromotionOutcome> {
		const {clock, log, metrics, audit} = this._services;
		const {service, primary} = this._group;
		const term = Math.max(this._group.primary?.term ?? 0, this._highestTerm());
		const startedAtMs = clock.nowMs();
		log.event('promotionStarted', {
			group: service, reason, term, primary: primary?.endpointId, heardAgoMs: Math.round(startedAtMs - this._group.primaryHeardAtMs),
		});
		const outcome = await this._promote(reason, term);
		log.event(outcome === 'done' ? 'promotionFinished' : 'promotionFailed', {
			group: service, reason, outcome, term, primary: this._group.primary?.endpointId, tookMs: Math.round(clock.nowMs() - startedAtMs),
		});
		metrics.count('promotionsTotal', {reason, outcome});
		audit.record({
			actor: this._services.node, act: 'promote', subject: service, basis: `${reason} in term ${term}`, outcome,
		});
		return outcome;
	}

	private async _promote(reason: PromotionReason, knownTerm: number): Promise<PromotionOutcome> {
		const {service} = this._group;
		if (reason !== 'abandoned' && !await this._areReplicasReachable()) {
			return 'notFenced';
		}

		const taken = await this._services.duties.acquire(service, knownTerm);
		if (taken.isLeft()) {
			this._services.log.event('promotionDutyMissed', {group: service, ...taken.extract()});
			return 'noDuty';
		}

		const duty = await this._reacquireIfOrderedEndpointIsGone(taken.unsafeCoerce());
		if (reason === 'abandoned' && duty.orderedId === undefined) {
			// Nothing was ordered, and whoever began it cannot put an order on record any more.
			await this._cancel(duty, [], 'notNeeded');
			return 'notNeeded';
		}

		if (reason === 'draining') {
			await this._stepDown(duty.term + 1);
		}

		// From here on replicas receive nothing that this node could still acknowledge: writes that
		// the old primary answered during the wait for others' leases were lost by the promotion.
		this._group.fence(duty.term, true, this._promoterId(duty));
		const fenced = await this._fence(duty.term + 1, {epoch: duty.epoch, why: reason});
		const pending: PendingPromotion = {
			duty, reason, fenced, fencedAtMs: this._services.clock.nowMs(),
		};
		const target = await this._prepare(pending);
		const outcome = typeof target === 'string' ? target : await this._order(pending, target);
		await this._finish(pending, outcome);
		return outcome;
	}

	/**
	 * Whoever was ordered to lead after the term may do so, and be gone: then it is the term that it
	 * leads that is replaced, so that nodes that follow it are told.
	 */
	private async _reacquireIfOrderedEndpointIsGone(duty: HeldDuty): Promise<HeldDuty> {
		if (duty.orderedId === undefined || this._services.registry.endpoint(duty.orderedId)) {
			return duty;
		}

		const taken = await this._services.duties.acquire(this._group.service, duty.term + 1);
		return taken.orDefault(duty);
	}

	/** Does all that comes before the order; resolves with whom to order, or why not. */
	private async _prepare({duty, reason, fenced, fencedAtMs}: PendingPromotion): Promise<FencedReplica | PromotionOutcome> {
		const {clock, options, peers} = this._services;
		const {service} = this._group;
		const {term} = duty;
		if (this._isReplaced(term) || fenced.some(({status}) => status.term > term)) {
			return 'notNeeded';
		}

		const target = this._choosePromotionTarget(fenced, duty.orderedId);
		if (!target) {
			return 'noReplica';
		}

		if (!this._isFencedEverywhere(fenced)) {
			return 'notFenced';
		}

		if (await peers.fence(service, term, this._promoterId(duty)) === 'partly') {
			// No replica has granted a lease since it was fenced, so that time counts from then.
			await pauseFor(clock, Math.max(0, fencedAtMs + leaseExpiryWaitMs(options) - clock.nowMs()));
		}

		const [isFenceLost, areAllFenced] = await Promise.all([
			this._isFenceLost(fenced, term),
			this._areAllRegisteredFenced(fenced),
		]);
		if (isFenceLost || !areAllFenced) {
			return 'notFenced';
		}

		// A primary that was ordered away is not spared for answering again.
		const hasRecovered = duty.orderedId === undefined && this._hasPrimaryRecovered(reason);
		return this._isReplaced(term) || hasRecovered ? 'notNeeded' : target;
	}

	/** Puts the order on record, sends it, and waits for its effect. */
	private async _order({duty, fenced}: PendingPromotion, target: FencedReplica): Promise<PromotionOutcome> {
		const {clock, options, promotions, node, log} = this._services;
		const {service} = this._group;
		const {id} = target.endpoint;
		const startedAtMs = clock.nowMs();
		const suspension = new SuspensionWatch(clock, options.suspensionMs);
		const recorded = await this._services.duties.recordOrder(service, duty, id);
		if (recorded.isLeft()) {
			log.event('promotionDutyMissed', {group: service, ...recorded.extract()});
			return 'dutyLost';
		}

		this._group.noteReplacement({begunTerm: duty.term, orderedTerm: duty.term, mayTakeOver: true}, startedAtMs);
		if (suspension.checkForSuspension() || clock.nowMs() - startedAtMs > options.orderFreshMs) {
			// Another node may hold the duty by now; the record has it order the same endpoint.
			return 'dutyLost';
		}

		const order = {
			group: service, endpoint: id, term: duty.term, epoch: duty.epoch,
		};
		log.event('promotionOrdered', order);
		const ordered = await promotions.promote(service, id, node, duty.epoch);
		if (ordered.isLeft()) {
			const {kind, detail} = ordered.extract();
			log.event('promotionRefused', {...order, kind, detail});
			// A call without an answer may still be carried out, and so may an earlier one.
			if (kind !== 'unavailable' && duty.orderedId === undefined) {
				await this._cancel(recorded.unsafeCoerce(), fenced, 'refused', duty);
				return 'refused';
			}
		} else {
			log.event('promotionAccepted', order);
		}

		return this._awaitEffect(target.endpoint, recorded.unsafeCoerce());
	}

	private async _finish({duty, fenced}: PendingPromotion, outcome: PromotionOutcome): Promise<void> {
		if (this._isReplaced(duty.term)) {
			await this._removeFences(fenced, duty, outcome);
		} else if (outcome !== 'refused' && !unresolvedOutcomes.has(outcome) && duty.orderedId === undefined) {
			await this._cancel(duty, fenced, outcome);
		}
	}

	/** Takes back a replacement that was not ordered, or whose order was refused: in the store first, where others look. */
	private async _cancel(duty: HeldDuty, fenced: readonly FencedReplica[], outcome: PromotionOutcome, refusedBefore?: HeldDuty): Promise<void> {
		const {service} = this._group;
		const promoter = this._promoterId(duty);
		await this._services.duties.cancelReplacement(service, duty, refusedBefore);
		await this._removeFences(fenced, duty, outcome);
		this._group.fence(duty.term, false, promoter);
		await this._services.peers.removeFence(service, duty.term, promoter);
	}

	/** Waits until some endpoint leads a later term. */
	private async _awaitEffect(endpoint: RegisteredEndpoint, duty: HeldDuty): Promise<PromotionOutcome> {
		const {clock, options, peers} = this._services;
		const endMs = clock.nowMs() + options.promotionTimeoutMs;
		while (clock.nowMs() < endMs) {
			await this._group.refreshStatus(endpoint);
			const {primary} = this._group;
			if (primary && primary.term > duty.term) {
				peers.announce(this._group.service, primary);
				// Without it a node that missed the announcement would repeat the order, for the term that is gone.
				await this._services.duties.recordEffect(this._group.service, duty, primary.term);
				return 'done';
			}

			await pauseFor(clock, options.promotionPollMs);
		}

		return 'noEffect';
	}

	/** An orderly change: the old primary stops first, and a replica takes in what it lacks. */
	private async _stepDown(term: number): Promise<void> {
		const {pools, options} = this._services;
		const oldPrimary = this._group.primaryEndpoint;
		if (!oldPrimary) {
			return;
		}

		const result = await pools.pool(oldPrimary).control({kind: 'stepDown', term}, options.statusTimeoutMs);
		const last = result.toMaybe().extract()?.status.received;
		if (last) {
			await this._awaitCatchUp(last);
		}
	}

	/** Waits a while for a replica that has received a position. */
	private async _awaitCatchUp(last: LogPosition): Promise<void> {
		const {clock, options} = this._services;
		const endMs = clock.nowMs() + options.handOverMs;
		while (clock.nowMs() < endMs) {
			const reports = await Promise.all(this._group.replicas().map(async endpoint => this._group.refreshStatus(endpoint)));
			if (reports.some(report => report && comparePositions(report.status.received, last) >= 0)) {
				return;
			}

			await pauseFor(clock, options.promotionPollMs / 2);
		}
	}

	/** A fence that cannot be put everywhere would only keep replicas from receiving. */
	private async _areReplicasReachable(): Promise<boolean> {
		const reports = await Promise.all(this._group.replicas().map(async endpoint => this._group.refreshStatus(endpoint)));
		return reports.every(report => report !== undefined);
	}

	/** Stops replicas from receiving and from proving the old term. */
	private async _fence(term: number, {epoch, why}: {readonly epoch: number; readonly why: PromotionReason}): Promise<FencedReplica[]> {
		const {pools, options, log} = this._services;
		const {service, primary} = this._group;
		const lapsed = this._services.registry.lapsed(service).filter(({id}) => id !== primary?.endpointId);
		const answers = await Promise.all([...this._group.replicas(), ...lapsed].map(async endpoint => {
			const result = await pools.pool(endpoint).control({kind: 'pause', term}, options.statusTimeoutMs);
			log.event('replicaFenced', {
				group: service, endpoint: endpoint.id, term, epoch, why, hasAnswered: result.isRight(),
			});
			return result.toMaybe().map(({status}) => ({endpoint, status})).extract();
		}));
		return answers.filter(answer => answer !== undefined);
	}

	/**
	 * A replica that this node cannot fence may grant leases to nodes that reach the old
	 * primary. A closed port proves nothing: cuts can look like it.
	 */
	private _isFencedEverywhere(fenced: readonly FencedReplica[]): boolean {
		const fencedIds = new Set(fenced.map(({endpoint}) => endpoint.id));
		return this._group.replicas().every(endpoint => fencedIds.has(endpoint.id));
	}

	/**
	 * Whether the store holds no replica that was not there to be fenced. One that registers
	 * after this read is not believed by any node: it finds that the duty was taken before.
	 */
	private async _areAllRegisteredFenced(fenced: readonly FencedReplica[]): Promise<boolean> {
		const {registry, store} = this._services;
		const {service, primary} = this._group;
		const covered = new Set([primary?.endpointId, ...fenced.map(({endpoint}) => endpoint.id)]);
		const registered = await registry.readIds(store, service);
		return registered.map(ids => ids.every(id => covered.has(id))).orDefault(false);
	}

	/** A replica that started again meanwhile has forgotten its fence, and may prove the old term; so may one that does not say. */
	private async _isFenceLost(fenced: readonly FencedReplica[], term: number): Promise<boolean> {
		// A second question where the first found no slot free.
		const reports = await Promise.all(fenced.map(async ({endpoint}) => await this._group.refreshStatus(endpoint) ?? this._group.refreshStatus(endpoint)));
		return reports.some(report => report === undefined || (!report.status.isPrimary && report.status.term === term && report.status.fencedForTerm === 0));
	}

	private async _removeFences(fenced: readonly FencedReplica[], {epoch}: HeldDuty, outcome: PromotionOutcome): Promise<void> {
		const {pools, options, log} = this._services;
		const {service} = this._group;
		const promotedId = outcome === 'done' ? this._group.primary?.endpointId : undefined;
		await Promise.all(fenced
			.filter(({endpoint}) => endpoint.id !== promotedId)
			.map(async ({endpoint}) => {
				const result = await pools.pool(endpoint).control({kind: 'resume'}, options.statusTimeoutMs);
				log.event('replicaResumed', {
					group: service, endpoint: endpoint.id, epoch, why: outcome, hasAnswered: result.isRight(),
				});
			}));
	}

	private _promoterId({epoch}: HeldDuty): PromoterId {
		return {holder: this._services.node, epoch};
	}

	/** Whether a primary that was taken for lost has answered since: it needs not be replaced. */
	private _hasPrimaryRecovered(reason: PromotionReason): boolean {
		const {isFailing} = this._group;
		return lossesEndedByAnswer.has(reason) && !isFailing;
	}

	private _isReplaced(term: number): boolean {
		return (this._group.primary?.term ?? 0) > term;
	}

	private _highestTerm(): number {
		const terms = this._group.endpoints().map(({id}) => this._group.status(id)?.status.term ?? 0);
		return Math.max(0, ...terms);
	}

	/**
	 * The replica that was ordered before, if one was: ordering it again changes nothing where it
	 * leads already, and nothing has been acknowledged since that it could lack. Else the one that has most of the log; one that is not about to leave goes before an equal one.
	 */
	private _choosePromotionTarget(fenced: readonly FencedReplica[], orderedId: string | undefined): FencedReplica | undefined {
		const {registry} = this._services;
		const registered = fenced.filter(({endpoint}) => registry.endpoint(endpoint.id));
		if (orderedId !== undefined) {
			return registered.find(({endpoint}) => endpoint.id === orderedId);
		}

		const notDraining = registered.filter(({endpoint}) => !endpoint.isDraining);
		return (notDraining.length > 0 ? notDraining : registered)
			.toSorted((a, b) => comparePositions(b.status.received, a.status.received))
			.at(0);
	}
}
