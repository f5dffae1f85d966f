/**
 * Promotion: raises the term on a majority, promotes the most advanced instance of those
 * that accepted, makes the others follow it, and lets everybody know.
 *
 * Nothing here rests on time or on being the only promoter. An instance accepts a term for
 * one claim only, so of two promoters at most one gets a majority for a term; the other
 * one sees a refusal and leaves, or starts again with a higher term.
 */
import {Left, Right, type Either} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import {hasReached} from '../positions/log-position.js';
import type {GroupView, PrimaryAnnouncement, TermClaim} from '../services/services.js';
import {rankCandidates, type Candidate} from './candidates.js';
import type {FollowerOrders} from './follower-orders.js';
import type {InstanceWatch} from './instance-watch.js';
import type {KnownGroup} from './known-group.js';
import {isLeading} from './quorum.js';
import {pauseFor, withTimeout} from './timing.js';
import type {GroupOptions, GroupServices, PromotionPlan} from './types.js';

/** What the proof of safety rests on, each part of which a test can take away. */
export type PromotionRules = {
	/** Accepted raises that are needed. */
	readonly needed: (group: KnownGroup) => number;
	/** Orders the accepted; the first is promoted. */
	readonly rank: typeof rankCandidates;
};

const safeRules: PromotionRules = {
	needed: group => group.majority,
	rank: rankCandidates,
};

type PromoterContext = {
	readonly services: GroupServices;
	readonly options: GroupOptions;
	readonly rules?: PromotionRules;
};

type Claim = {readonly term: number; readonly claimId: string};

/** Accepted raises, by endpoint. */
type Accepted = Map<string, Candidate>;

/** Carries promotions of one group out, one at a time. */
export class Promoter {
	private readonly _group: KnownGroup;
	private readonly _followers: FollowerOrders;
	private readonly _services: GroupServices;
	private readonly _options: GroupOptions;
	private readonly _rules: PromotionRules;
	private _claims = 0;
	private _isBusy = false;

	constructor(
		group: KnownGroup,
		followers: FollowerOrders,
		{services, options, rules = safeRules}: PromoterContext,
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

	/** Carries one promotion out, unless another is in progress. */
	async promote(plan: PromotionPlan): Promise<Either<Refusal, GroupView>> {
		if (this._isBusy) {
			return failed('a promotion of the group is in progress');
		}

		this._isBusy = true;
		try {
			this._services.log.event('promotionStarted', {group: this._group.name, ...plan});
			const outcome = await this._attempt(plan);
			this._noteOutcome(plan, outcome);
			return outcome;
		} finally {
			this._isBusy = false;
		}
	}

	private async _attempt(plan: PromotionPlan): Promise<Either<Refusal, GroupView>> {
		const claim = this._newClaim();
		const accepted: Accepted = new Map();
		if (plan.wanted !== undefined && plan.suspect === undefined) {
			await this._stopWrites(claim, plan.wanted, accepted);
		}

		await this._raiseAll(claim, plan, accepted);
		const needed = this._rules.needed(this._group);
		if (accepted.size < needed) {
			return failed(`${accepted.size} of ${this._group.size} instances accepted term ${claim.term}, ${needed} are needed`);
		}

		const chosen = this._choose(plan, accepted);
		if (!await this._promoteInstance(chosen, claim)) {
			return failed(`${chosen.endpoint.name} did not confirm that it leads term ${claim.term}`);
		}

		this._announce(claim, chosen.endpoint.name);
		return Right(this._group.view());
	}

	/**
	 * For a change without failure: the old primary is the first to promise the new term, so
	 * that it stops writing while the replicas still take the end of its log. Writes in
	 * progress are then confirmed, not lost.
	 */
	private async _stopWrites(claim: Claim, wanted: string, accepted: Accepted): Promise<void> {
		const primary = this._group.primaryWatch;
		const replica = this._group.watch(wanted);
		if (!primary?.isReachable || !replica?.isReachable || primary === replica) {
			return;
		}

		const answer = await this._raise(primary, claim);
		if (!answer?.isAccepted) {
			return;
		}

		accepted.set(primary.name, {endpoint: primary.endpoint, state: answer.state});
		const caughtUp = new Promise<void>(resolve => {
			const check = (): void => {
				const hasAll = this._group.watches.filter(({state}) => state && hasReached(state.received, answer.state.received));
				if (hasAll.includes(replica) && hasAll.length >= this._group.majority) {
					subscription.dispose();
					resolve();
				}
			};

			const subscription = this._group.onReport(check);
			check();
		});
		await withTimeout(this._services.clock, caughtUp, this._options.finalCatchUpMs);
	}

	/**
	 * Raises the term on all instances at the same time. Ends when all that are thought
	 * reachable have answered, or a short grace after a majority accepted.
	 */
	private async _raiseAll(claim: Claim, plan: PromotionPlan, accepted: Accepted): Promise<void> {
		const missing = this._group.watches.filter(watch => !accepted.has(watch.name));
		const awaited: Array<Promise<void>> = [];
		const enough = new Promise<void>(resolve => {
			for (const watch of missing) {
				const raising = this._raiseInto(watch, claim, accepted, () => {
					const others = [...accepted.keys()].filter(name => name !== plan.suspect);
					if (others.length >= this._rules.needed(this._group)) {
						resolve();
					}
				});
				if (watch.name !== plan.suspect && watch.isReachable) {
					awaited.push(raising);
				}
			}
		});
		const all = Promise.all(awaited);
		await Promise.race([all, enough]);
		await withTimeout(this._services.clock, all, this._options.raiseGraceMs);
		if (accepted.size < this._rules.needed(this._group)) {
			await withTimeout(this._services.clock, enough, this._options.raiseGraceMs);
		}
	}

	private async _raiseInto(watch: InstanceWatch, claim: Claim, accepted: Accepted, onAccepted: () => void): Promise<void> {
		const answer = await this._raise(watch, claim);
		if (answer?.isAccepted) {
			accepted.set(watch.name, {endpoint: watch.endpoint, state: answer.state});
			onAccepted();
		}
	}

	/** Raises the term on one instance. Repeating the same claim finds out about a lost answer. */
	private async _raise(watch: InstanceWatch, {term, claimId}: Claim): Promise<TermClaim | undefined> {
		const answer = await this._repeat(watch, async control => control.raiseTerm(term, claimId));
		if (answer) {
			this._group.learnTerm(answer.state.promisedTerm);
		}

		return answer;
	}

	/** The most advanced of the accepted; the suspect only where a majority needs it. */
	private _choose(plan: PromotionPlan, accepted: Accepted): Candidate {
		const others = [...accepted.values()].filter(({endpoint}) => endpoint.name !== plan.suspect);
		const pool = others.length >= this._rules.needed(this._group) ? others : [...accepted.values()];
		const wishes = {wanted: plan.wanted, availabilityZone: this._group.primaryWatch?.endpoint.availabilityZone};
		return this._rules.rank(pool, wishes, this._services)[0];
	}

	private async _promoteInstance({endpoint}: Candidate, {term, claimId}: Claim): Promise<boolean> {
		const watch = this._group.watch(endpoint.name);
		if (!watch) {
			return false;
		}

		const answer = await this._repeat(watch, async control => control.promote(term, claimId));
		const state = answer?.state ?? watch.state;
		return state !== undefined && isLeading(state) && state.promisedTerm === term;
	}

	/** Repeats an order whose answer was lost; every order may be repeated under its claim. */
	private async _repeat(watch: InstanceWatch, give: Parameters<InstanceWatch['order']>[0]): Promise<TermClaim | undefined> {
		for (let attempt = 0; attempt < this._options.orderAttempts; attempt++) {
			const answer = await watch.order(give);
			if (answer !== undefined || watch.control === undefined) {
				return answer;
			}
		}

		return undefined;
	}

	private _announce(claim: Claim, primary: string): void {
		const announcement: PrimaryAnnouncement = {group: this._group.name, term: claim.term, primary};
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

		terms.record(announcement, claim.claimId);
	}

	private _newClaim(): Claim {
		const {self} = this._services.membership;
		this._claims++;
		// State reports separate fields by spaces, so a claim has none.
		const claimId = `${self.name}.${self.incarnation}.${this._claims}`.replaceAll(/\s/gv, '_');
		return {term: this._group.highestTerm + 1, claimId};
	}

	private _noteOutcome(plan: PromotionPlan, outcome: Either<Refusal, GroupView>): void {
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

/** Waits before another attempt; doubles with each failure. */
export async function backOff(services: Pick<GroupServices, 'clock' | 'random'>, options: GroupOptions, failures: number): Promise<void> {
	const delayMs = Math.min(options.promotionBackoffMs * (2 ** (failures - 1)), options.longestPromotionBackoffMs);
	await pauseFor(services.clock, delayMs * (1 - (options.jitterShare * services.random.next())));
}

function failed(detail: string): Either<Refusal, GroupView> {
	return Left(new Refusal('noPrimary', detail));
}
