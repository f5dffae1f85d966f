/**
 * Promotes a replica of a group to primary.
 *
 * The order of the steps matters:
 *
 * 1. The promotion duty is acquired in the store, which then names the term to be replaced.
 * 2. This node's own lease ends.
 * 3. Every replica is fenced, so that no further lease on the old term is granted.
 * 4. Every node is notified that the leases already granted are invalid, or the promoter waits until
 *    they have expired.
 * 5. The endpoint to be promoted has been registered for so long that every node counts it among the
 *    replicas, unless every node was notified; then the fences and the registrations are checked again.
 * 6. The order is recorded in the store, on condition that this node still holds the duty.
 * 7. Only then is the order sent to the platform.
 *
 * If a step before the record of the order fails, the promotion is cancelled and nothing has changed.
 * Once the order is recorded, nothing is undone unless the platform refused the order: it may be
 * executed at any later time, so the old term is never trusted again, and any node that finds the
 * record orders the same endpoint again, which has no effect if that endpoint already leads.
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

/** Outcome of a promotion. */
export type PromotionOutcome = 'done' | 'notNeeded' | 'noDuty' | 'noReplica' | 'notFenced' | 'notCounted' | 'dutyLost' | 'refused' | 'noEffect';

/** Reasons that no longer apply once the primary responds. */
const lossesEndedByAnswer: ReadonlySet<PromotionReason> = new Set(['silent', 'crashed']);

/** Outcomes after which an order may still be executed, or another node may be promoting: nothing is undone. */
const unresolvedOutcomes: ReadonlySet<PromotionOutcome> = new Set(['dutyLost', 'noEffect']);

type ReportedReplica = {
	readonly endpoint: RegisteredEndpoint;
	readonly status: EndpointStatus;
};

/** State of a promotion after fencing and before the order. */
type PendingPromotion = {
	readonly duty: HeldDuty;
	readonly reason: PromotionReason;
	readonly fenced: readonly ReportedReplica[];
	readonly fencedAtMs: number;
};

/** Executes promotions for one group. */
export class Promoter {
	private readonly _services: GroupServices;
	private readonly _group: PrimaryTracker;
	/** When a promotion that could not notify every node is worth another attempt. */
	private _retryNotificationAtMs = Number.NEGATIVE_INFINITY;

	constructor(group: PrimaryTracker, services: GroupServices) {
		this._services = services;
		this._group = group;
	}

	/** Promotes the most up-to-date replica if the reason still applies, and resolves to the outcome. */
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
		if (reason !== 'abandoned') {
			const reports = await this._requestReports();
			if (reports.length < this._group.replicas().length) {
				return 'notFenced';
			}

			if (reason !== 'ordered' && !this._mayBeCounted(reports)) {
				return 'notCounted';
			}
		}

		const taken = await this._services.duties.acquire(service, knownTerm);
		if (taken.isLeft()) {
			this._services.log.event('promotionDutyMissed', {group: service, ...taken.extract()});
			return 'noDuty';
		}

		const duty = await this._reacquireIfOrderedEndpointIsGone(taken.unsafeCoerce());
		if (reason === 'abandoned' && duty.orderedId === undefined) {
			// No order was recorded, and the node that began the replacement can no longer record one.
			await this._cancel(duty, [], 'notNeeded');
			return 'notNeeded';
		}

		if (reason === 'draining') {
			await this._stepDown(duty.term + 1);
		}

		// From here on replicas receive nothing, so this node must not acknowledge writes any more:
		// without this, writes acknowledged by the old primary while the promoter waited for other
		// nodes' leases to expire were lost by the promotion.
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
	 * Acquires the duty for the next term if the endpoint that was ordered to lead after this one is
	 * no longer registered. That endpoint may have begun to lead before it went; its term is then the
	 * one to be replaced, so that the nodes that follow it are notified.
	 */
	private async _reacquireIfOrderedEndpointIsGone(duty: HeldDuty): Promise<HeldDuty> {
		if (duty.orderedId === undefined || this._services.registry.endpoint(duty.orderedId)) {
			return duty;
		}

		const taken = await this._services.duties.acquire(this._group.service, duty.term + 1);
		return taken.orDefault(duty);
	}

	/**
	 * Executes the steps before the order; resolves to the replica to promote, or to the outcome if
	 * none is to be promoted.
	 */
	private async _prepare({duty, reason, fenced, fencedAtMs}: PendingPromotion): Promise<ReportedReplica | PromotionOutcome> {
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
			// No replica has granted a lease since it was fenced, so the wait is measured from then.
			const leaseWaitMs = Math.max(0, fencedAtMs + leaseExpiryWaitMs(options) - clock.nowMs());
			const countedWaitMs = duty.orderedId === undefined ? this._untilCountedMs(target.endpoint.id) : 0;
			if (countedWaitMs > leaseExpiryWaitMs(options)) {
				this._retryNotificationAtMs = clock.nowMs() + countedWaitMs;
				return 'notCounted';
			}

			await pauseFor(clock, Math.max(leaseWaitMs, countedWaitMs));
		}

		const [isFenceLost, areAllFenced] = await Promise.all([
			this._isFenceLost(fenced, term),
			this._areAllRegisteredFenced(fenced),
		]);
		if (isFenceLost || !areAllFenced) {
			return 'notFenced';
		}

		// Once its replacement was ordered, a primary is replaced even if it responds again.
		const hasRecovered = duty.orderedId === undefined && this._hasPrimaryRecovered(reason);
		return this._isReplaced(term) || hasRecovered ? 'notNeeded' : target;
	}

	/** Records the order in the store, sends it to the platform and waits for its effect. */
	private async _order({duty, fenced}: PendingPromotion, target: ReportedReplica): Promise<PromotionOutcome> {
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
			// Another node may hold the duty by now; because of the record, it orders the same endpoint.
			return 'dutyLost';
		}

		const order = {
			group: service, endpoint: id, term: duty.term, epoch: duty.epoch,
		};
		log.event('promotionOrdered', {...order, registeredForMs: this._services.registry.registeredForMs(id)});
		const ordered = await promotions.promote(service, id, node, duty.epoch);
		if (ordered.isLeft()) {
			const {kind, detail} = ordered.extract();
			log.event('promotionRefused', {...order, kind, detail});
			// A call that got no response may still be executed, and so may an earlier order.
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

	/**
	 * Cancels a replacement that was not ordered, or whose order was refused. The store comes first,
	 * since other nodes check it.
	 */
	private async _cancel(duty: HeldDuty, fenced: readonly ReportedReplica[], outcome: PromotionOutcome, refusedBefore?: HeldDuty): Promise<void> {
		const {service} = this._group;
		const promoter = this._promoterId(duty);
		await this._services.duties.cancelReplacement(service, duty, refusedBefore);
		await this._removeFences(fenced, duty, outcome);
		this._group.fence(duty.term, false, promoter);
		await this._services.peers.removeFence(service, duty.term, promoter);
	}

	/** Waits until an endpoint leads a later term, or the promotion times out. */
	private async _awaitEffect(endpoint: RegisteredEndpoint, duty: HeldDuty): Promise<PromotionOutcome> {
		const {clock, options, peers} = this._services;
		const endMs = clock.nowMs() + options.promotionTimeoutMs;
		while (clock.nowMs() < endMs) {
			await this._group.refreshStatus(endpoint);
			const {primary} = this._group;
			if (primary && primary.term > duty.term) {
				peers.announce(this._group.service, primary);
				// Without this record, a node that missed the announcement would repeat the order for
				// the term that has already been replaced.
				await this._services.duties.recordEffect(this._group.service, duty, primary.term);
				return 'done';
			}

			await pauseFor(clock, options.promotionPollMs);
		}

		return 'noEffect';
	}

	/** Performs a planned handover: the old primary stops first, and a replica catches up. */
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

	/** Waits up to `handOverMs` until a replica has received a position. */
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

	/**
	 * Requests the status of every replica, and resolves to those that responded. If one could not be fenced,
	 * fencing the others would only stop their replication.
	 */
	private async _requestReports(): Promise<ReportedReplica[]> {
		const reports = await Promise.all(this._group.replicas().map(async endpoint => {
			const report = await this._group.refreshStatus(endpoint);
			return report && {endpoint, status: report.status};
		}));
		return reports.filter(report => report !== undefined);
	}

	/** Time in milliseconds until every node counts an endpoint among the replicas, whether or not it can be notified. */
	private _untilCountedMs(endpointId: string): number {
		const {registry, options} = this._services;
		return Math.max(0, options.registrationsTrustMs - registry.registeredForMs(endpointId));
	}

	/**
	 * Whether the replica that would be promoted is counted by every node by the time of the order, or every
	 * node can be expected to be notified. Otherwise fencing would only stop the replication.
	 */
	private _mayBeCounted(reports: readonly ReportedReplica[]): boolean {
		const {clock, options, peers, log} = this._services;
		const target = this._choosePromotionTarget(reports, undefined);
		const waitMs = target ? this._untilCountedMs(target.endpoint.id) : 0;
		const mayNotifyAll = peers.mayNotifyAll && clock.nowMs() >= this._retryNotificationAtMs;
		if (waitMs <= leaseExpiryWaitMs(options) || mayNotifyAll) {
			return true;
		}

		log.event('promotionPostponed', {group: this._group.service, endpoint: target?.endpoint.id, waitMs: Math.round(waitMs)});
		return false;
	}

	/**
	 * Fences all replicas, including those whose registration lapsed recently. They then neither receive
	 * nor prove the old term. Resolves to those that responded.
	 */
	private async _fence(term: number, {epoch, why}: {readonly epoch: number; readonly why: PromotionReason}): Promise<ReportedReplica[]> {
		const {pools, options, log} = this._services;
		const {service, primary} = this._group;
		const lapsed = this._services.registry.lapsedEndpoints(service).filter(({id}) => id !== primary?.endpointId);
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
	 * Whether every registered replica was fenced. A replica that this node could not fence may still
	 * grant leases to nodes that reach the old primary. A refused connection proves nothing: a
	 * network partition can look the same.
	 */
	private _isFencedEverywhere(fenced: readonly ReportedReplica[]): boolean {
		const fencedIds = new Set(fenced.map(({endpoint}) => endpoint.id));
		return this._group.replicas().every(endpoint => fencedIds.has(endpoint.id));
	}

	/**
	 * Whether every replica that is registered in the store was fenced. Proofs from a replica that
	 * registers after this read are not accepted by any node, since its check finds that the duty was
	 * acquired before.
	 */
	private async _areAllRegisteredFenced(fenced: readonly ReportedReplica[]): Promise<boolean> {
		const {registry, store} = this._services;
		const {service, primary} = this._group;
		const covered = new Set([primary?.endpointId, ...fenced.map(({endpoint}) => endpoint.id)]);
		const registered = await registry.readIds(store, service);
		return registered.map(ids => ids.every(id => covered.has(id))).orDefault(false);
	}

	/**
	 * Whether a replica may have lost its fence: one that restarted since has lost it and may prove
	 * the old term, and one that does not respond may have restarted.
	 */
	private async _isFenceLost(fenced: readonly ReportedReplica[], term: number): Promise<boolean> {
		// Requests the status a second time, in case the first request found no free slot.
		const reports = await Promise.all(fenced.map(async ({endpoint}) => await this._group.refreshStatus(endpoint) ?? this._group.refreshStatus(endpoint)));
		return reports.some(report => report === undefined || (!report.status.isPrimary && report.status.term === term && report.status.fencedForTerm === 0));
	}

	private async _removeFences(fenced: readonly ReportedReplica[], {epoch}: HeldDuty, outcome: PromotionOutcome): Promise<void> {
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

	/** Whether a primary that counted as lost has responded since, so that it need not be replaced. */
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
	 * Chooses the replica to promote. If one was ordered before, it is that one: ordering it again
	 * has no effect if it already leads, and nothing has been acknowledged since then that it could
	 * lack. Otherwise it is the replica with the most of the log among those that are not draining,
	 * or among all if all are draining; of several, one that every node counts.
	 */
	private _choosePromotionTarget(fenced: readonly ReportedReplica[], orderedId: string | undefined): ReportedReplica | undefined {
		const {registry} = this._services;
		const registered = fenced.filter(({endpoint}) => registry.endpoint(endpoint.id));
		if (orderedId !== undefined) {
			return registered.find(({endpoint}) => endpoint.id === orderedId);
		}

		const notDraining = registered.filter(({endpoint}) => !endpoint.isDraining);
		return (notDraining.length > 0 ? notDraining : registered)
			.toSorted((a, b) => comparePositions(b.status.received, a.status.received)
				|| this._untilCountedMs(a.endpoint.id) - this._untilCountedMs(b.endpoint.id))
			.at(0);
	}
}
