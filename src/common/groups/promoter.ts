/**
 * Promotion: raises the term on a majority of the instances, promotes the one with the most
 * advanced log among those that accepted, makes the others follow it, and announces it.
 *
 * Safety depends neither on timing nor on there being a single promoter. An instance accepts
 * a term for one claim only, so of two promoters at most one gets a majority for a term; the
 * other one is refused and either gives way or starts again with a higher term.
 */
import {Left, Right, type Either} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import {Backoff} from '../homes/backoff.js';
import type {Disposable} from '../lifecycle/disposable.js';
import {hasReached, type LogPosition} from '../positions/log-position.js';
import type {GroupView, PrimaryAnnouncement} from '../services/services.js';
import {withTimeout} from '../lifecycle/timing.js';
import type {Candidate} from './candidates.js';
import type {FollowerRedirector} from './follower-redirector.js';
import type {InstanceWatch} from './instance-watch.js';
import type {GroupState} from './group-state.js';
import type {SafetyRules} from './safety-rules.js';
import {TermClaimant} from './term-claimant.js';
import type {
	GroupOptions, GroupServices, MonitorContext, PromotionPlan,
} from './types.js';

/** Carries out the promotions of one group, one at a time. */
export class Promoter {
	private readonly _group: GroupState;
	private readonly _followers: FollowerRedirector;
	private readonly _services: GroupServices;
	private readonly _options: GroupOptions;
	private readonly _rules: SafetyRules;
	private _claimCount = 0;
	private _isBusy = false;

	constructor(
		group: GroupState,
		followers: FollowerRedirector,
		{services, options, rules}: MonitorContext,
	) {
		this._group = group;
		this._followers = followers;
		this._services = services;
		this._options = options;
		this._rules = rules;
	}

	/** Whether a promotion is in progress. */
	get isBusy(): boolean {
		return this._isBusy;
	}

	/** Carries out a promotion and returns the resulting view of the group; refused while another promotion is in progress. */
	async promote(plan: PromotionPlan): Promise<Either<Refusal, GroupView>> {
		if (this._isBusy) {
			return failed('a promotion of the group is in progress');
		}

		this._isBusy = true;
		try {
			this._services.log.event('promotionStarted', {group: this._group.name, ...plan});
			const outcome = await this._tryRepeatedly(plan);
			this._reportOutcome(plan, outcome);
			return outcome;
		} finally {
			this._isBusy = false;
		}
	}

	/** Creates the backoff between failed promotions, which keeps an unreachable majority from causing a storm of attempts. */
	newBackoff(): Backoff {
		const {promotionBackoffMs, longestPromotionBackoffMs} = this._options;
		return new Backoff(this._services.clock, this._services.random, promotionBackoffMs, longestPromotionBackoffMs);
	}

	/** Retries with a higher term, unless another promoter has claimed one: that promoter goes first. */
	private async _tryRepeatedly(plan: PromotionPlan): Promise<Either<Refusal, GroupView>> {
		for (let attempt = 1; ; attempt++) {
			const claimant = this._newClaimant();
			const outcome = await this._attempt(plan, claimant);
			this._group.learnTerm(claimant.refusedTerm);
			const isLast = attempt >= this._options.promotionAttempts || claimant.refusedTerm > 0;
			if (outcome.isRight() || isLast || this._group.term >= claimant.term) {
				return outcome;
			}
		}
	}

	private async _attempt(plan: PromotionPlan, claimant: TermClaimant): Promise<Either<Refusal, GroupView>> {
		if (plan.wanted !== undefined && plan.suspect === undefined) {
			await this._stopWrites(claimant, plan.wanted);
		}

		await this._raiseTermOnAll(claimant, plan);
		const needed = this._rules.promotionQuorum(this._group.size);
		if (claimant.accepted.size < needed) {
			return failed(`${claimant.accepted.size} of ${this._group.size} instances accepted term ${claimant.term}, ${needed} are needed`);
		}

		const {endpoint} = this._choose(plan, claimant);
		const watch = this._group.watch(endpoint.name);
		if (!watch || !await claimant.promote(watch)) {
			return failed(`${endpoint.name} did not confirm that it leads term ${claimant.term}`);
		}

		this._announce(claimant, endpoint.name);
		return Right(this._group.view());
	}

	/**
	 * For a change of a primary that has not failed: the old primary is the first to promise
	 * the new term, so that it stops writing while the replicas still receive the end of its
	 * log. Writes in progress are then confirmed, not lost. If the wanted replica does not
	 * receive the end in time, the most advanced instance is promoted as usual, most likely the
	 * old primary; the change has then failed, and the caller that ordered it retries.
	 */
	private async _stopWrites(claimant: TermClaimant, wanted: string): Promise<void> {
		const primary = this._group.primaryWatch;
		const replica = this._group.watch(wanted);
		if (!primary?.isReachable || !replica?.isReachable || primary === replica) {
			return;
		}

		await claimant.raise(primary);
		const end = claimant.accepted.get(primary.name)?.state.received;
		if (end) {
			await this._waitUntilHeld(end, replica);
		}
	}

	/** Waits, at most `finalCatchUpMs`, until a majority that includes this replica holds a position. */
	private async _waitUntilHeld(position: LogPosition, replica: InstanceWatch): Promise<void> {
		let subscription: Disposable | undefined;
		const held = new Promise<void>(resolve => {
			const check = (): void => {
				const holders = this._group.watches.filter(({state}) => state && hasReached(state.received, position));
				if (holders.includes(replica) && holders.length >= this._group.majority) {
					resolve();
				}
			};

			subscription = this._group.onReport(check);
			check();
		});
		await withTimeout(this._services.clock, held, this._options.finalCatchUpMs);
		subscription?.dispose();
	}

	/**
	 * Raises the term on all instances concurrently. Returns when all that count as reachable
	 * have answered, or a short grace period after a majority has accepted.
	 */
	private async _raiseTermOnAll(claimant: TermClaimant, plan: PromotionPlan): Promise<void> {
		const {clock} = this._services;
		const missing = this._group.watches.filter(({name}) => !claimant.accepted.has(name));
		const awaited: Array<Promise<boolean>> = [];
		const quorumReached = new Promise<void>(resolve => {
			const raise = async (watch: InstanceWatch): Promise<boolean> => {
				const isAccepted = await claimant.raise(watch);
				if (this._acceptedWithoutSuspect(plan, claimant).length >= this._rules.promotionQuorum(this._group.size)) {
					resolve();
				}

				return isAccepted;
			};

			for (const watch of missing) {
				const raising = raise(watch);
				if (watch.name !== plan.suspect && watch.isReachable) {
					awaited.push(raising);
				}
			}
		});
		const all = Promise.all(awaited);
		await Promise.race([all, quorumReached]);
		await withTimeout(clock, all, this._options.raiseGraceMs);
		if (claimant.accepted.size < this._rules.promotionQuorum(this._group.size)) {
			await withTimeout(clock, quorumReached, this._options.raiseGraceMs);
		}
	}

	/** The most advanced of the instances that accepted; the suspect is a candidate only if there is no majority without it. */
	private _choose(plan: PromotionPlan, claimant: TermClaimant): Candidate {
		const others = this._acceptedWithoutSuspect(plan, claimant);
		const candidates = others.length >= this._rules.promotionQuorum(this._group.size) ? others : [...claimant.accepted.values()];
		const preferences = {wanted: plan.wanted, availabilityZone: this._group.primaryWatch?.endpoint.availabilityZone};
		return this._rules.rank(candidates, preferences, this._services)[0];
	}

	private _acceptedWithoutSuspect({suspect}: PromotionPlan, claimant: TermClaimant): Candidate[] {
		return [...claimant.accepted.values()].filter(({endpoint}) => endpoint.name !== suspect);
	}

	private _announce({term, claimId}: TermClaimant, primary: string): void {
		const announcement: PrimaryAnnouncement = {group: this._group.name, term, primary};
		this._group.learnPrimary(announcement);
		this._followers.redirectAll();
		const {membership, peers, terms} = this._services;
		const homes = new Map(this._group.watches.map(({endpoint}) => {
			const home = membership.homeOf(endpoint);
			return [home?.name, home] as const;
		}));
		homes.delete(membership.self.name);
		for (const home of homes.values()) {
			if (home) {
				peers.announcePrimary(home, announcement);
			}
		}

		terms.record(announcement, claimId);
	}

	private _newClaimant(): TermClaimant {
		const {self} = this._services.membership;
		this._claimCount++;
		// State reports separate their fields with spaces, so a claim must not contain any.
		const claimId = `${self.name}.${self.incarnation}.${this._claimCount}`.replaceAll(/\s/gv, '_');
		return new TermClaimant(this._group.highestTerm + 1, claimId, this._options);
	}

	private _reportOutcome(plan: PromotionPlan, outcome: Either<Refusal, GroupView>): void {
		const {audit, clock, log, membership, metrics} = this._services;
		const gapMs = clock.nowMs() - plan.sinceMs;
		const result = outcome.map(({term, primary}) => `${primary} leads term ${term}`).mapLeft(({detail}) => detail).extract();
		metrics.count('promotionsTotal', {reason: plan.reason, outcome: outcome.isRight() ? 'done' : 'failed'});
		if (outcome.isRight()) {
			metrics.observe('failoverGapMs', gapMs, {reason: plan.reason});
		}

		log.event(outcome.isRight() ? 'promotionFinished' : 'promotionFailed', {
			group: this._group.name, reason: plan.reason, gapMs, result,
		});
		audit.record({
			actor: membership.self.name,
			act: 'promotion',
			subject: this._group.name,
			basis: `${plan.reason}, term ${plan.term}`,
			outcome: result,
		});
	}
}

function failed(detail: string): Either<Refusal, GroupView> {
	return Left(new Refusal('noPrimary', detail));
}
