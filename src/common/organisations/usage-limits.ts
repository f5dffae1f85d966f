/**
 * Enforces the usage limits of organisations. An operation takes its share from the node of the zone
 * that holds the organisation's budget, before it enters any queue.
 */
import {Refusal} from '../errors/error-kinds.js';
import {joinKey} from '../join-key.js';
import type {Event} from '../lifecycle/emitter.js';
import {waitForEvent} from '../lifecycle/timing.js';
import type {
	Clock, Log, Metrics, PeerCalls, PeerNode, BudgetRequest, UsageGrant,
} from '../services/services.js';
import type {UsageOptions} from './constants.js';
import {HolderSilence} from './holder-silence.js';
import type {HolderRole, UsageBudgets} from './usage-budgets.js';

/** Selects the nodes that hold budgets, and tracks which of them answer. */
export type UsageHolders = {
	/** Whether the initial discovery of peers is done. */
	readonly isDiscoveryDone: boolean;
	readonly onDiscoveryDone: Event<void>;
	/** Whether this node has had recent contact with another one, or is the only one in the zone. */
	readonly hasRecentContact: boolean;
	/** Nodes of the zone in order of preference as holders of an organisation's budget. */
	rankedHolders(organisation: string): readonly PeerNode[];
	/** For each other zone, the reachable node that holds the organisation's budget there. */
	inOtherZones(organisation: string): readonly PeerNode[];
	/** Whether a node is not in backoff after it was lost. */
	isReachable(name: string): boolean;
	/** Records whether a node answered. */
	reportReachability(name: string, isAnswered: boolean): void;
};

/** Services that usage limits depend on. */
export type UsageLimitServices = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly self: PeerNode;
	readonly calls: Pick<PeerCalls, 'takeUsage'>;
	readonly holders: UsageHolders;
	readonly budgets: UsageBudgets;
	readonly options: UsageOptions;
};

/** Reason of a request that a peer did not answer in time although it is not known to be lost. */
export const noAnswerInTime = 'no answer in time';

/** Reason that a peer reports if it has no budget of the organisation from which it may grant. */
export const noBudgetHere = 'the peer may give nothing out, or does not know the organisation';

type HolderAnswer = {
	readonly grant: UsageGrant | undefined;
	/** Whether the holder did not answer in time, but does not count as lost. */
	readonly isLate: boolean;
};

/** Takes operations out of budgets, on this node or on a peer, and refuses those beyond the limit. */
export class UsageLimits {
	private readonly _services: UsageLimitServices;
	/** Until when an organisation's budget is known to be empty. */
	private readonly _emptyUntilMs = new Map<string, number>();
	/** Until when a holder in another zone has nothing to lend, by organisation and node. */
	private readonly _lentOutUntilMs = new Map<string, number>();
	/** Until when a zone that did not answer is not asked for loans. */
	private readonly _silentUntilMs = new Map<string, number>();
	/** When each holder in backoff is asked again. */
	private readonly _recheckAtMs = new Map<string, number>();
	private readonly _silence: HolderSilence;

	constructor(services: UsageLimitServices) {
		this._services = services;
		this._silence = new HolderSilence(services.clock, services.options);
	}

	/** Takes one operation out of the budget; resolves to a refusal with a retry delay if there is none. */
	async take(organisation: string): Promise<Refusal | undefined> {
		const {clock, metrics, budgets} = this._services;
		if (!budgets.isLimited(organisation)) {
			return undefined;
		}

		const emptyForMs = (this._emptyUntilMs.get(organisation) ?? 0) - clock.nowMs();
		if (emptyForMs > 0) {
			metrics.count('usageDecisionsTotal', {outcome: 'knownEmpty'});
			return overLimitRefusal(organisation, emptyForMs);
		}

		const grant = await this.requestGrant({organisation, isLoan: false});
		if (!grant) {
			metrics.count('usageDecisionsTotal', {outcome: 'unanswered'});
			return new Refusal('callerLimited', `no node that may hold the budget of ${organisation} answered`, {retryAfterMs: this._services.options.unansweredRetryMs});
		}

		metrics.count('usageDecisionsTotal', {outcome: grant.operations > 0 ? 'granted' : 'empty'});
		if (grant.operations > 0) {
			return undefined;
		}

		this._emptyUntilMs.set(organisation, clock.nowMs() + grant.retryAfterMs);
		return overLimitRefusal(organisation, grant.retryAfterMs);
	}

	/** Forgets which budgets are empty, because a new configuration may have raised limits. */
	onLimitsChanged(): void {
		this._emptyUntilMs.clear();
		this._lentOutUntilMs.clear();
	}

	/**
	 * Asks the possible holders of the budget in order of preference, up to this node itself; resolves to
	 * undefined if none of them grants or denies. A node that receives such a request from a peer does the
	 * same before it answers: it may reach a preferred holder that the peer cannot reach. No other node is
	 * asked in place of a holder that only answers late, since it goes on granting to others.
	 */
	async requestGrant({organisation, isLoan}: BudgetRequest): Promise<UsageGrant | undefined> {
		const {clock, self, holders, options} = this._services;
		if (!holders.isDiscoveryDone) {
			await waitForEvent(clock, holders.onDiscoveryDone, options.lookTimeoutMs);
		}

		const ranked = holders.rankedHolders(organisation);
		const preferred = ranked.slice(0, ranked.findIndex(({name}) => name === self.name));
		let tried = 0;
		for (const holder of preferred) {
			if (tried < options.holdersTried && holders.isReachable(holder.name)) {
				tried += 1;
				const {grant, isLate} = await this._askHolder(holder, {organisation, isLoan});
				if (grant !== undefined || isLate) {
					return grant;
				}
			}
		}

		// A node that still answers, if only to deny, knows better who holds the budget.
		if (preferred.some(({name}) => holders.isReachable(name))) {
			return undefined;
		}

		this._recheck(preferred, {organisation, isLoan: false});
		const role = preferred.length === 0 ? 'firstChoice' : 'standIn';
		return isLoan ? this._lend(organisation, role) : this._takeFromOwnBudget(organisation, role);
	}

	/** Asks the preferred holders that count as lost again, without waiting, so that a stand-in ends soon after they are back. */
	private _recheck(preferred: readonly PeerNode[], request: BudgetRequest): void {
		const {clock, options} = this._services;
		for (const holder of preferred.slice(0, options.holdersTried)) {
			if (clock.nowMs() >= (this._recheckAtMs.get(holder.name) ?? 0)) {
				this._recheckAtMs.set(holder.name, clock.nowMs() + options.recheckHolderMs);
				void this._askHolder(holder, request);
			}
		}
	}

	private async _askHolder(holder: PeerNode, request: BudgetRequest): Promise<HolderAnswer> {
		const {calls, clock, holders, log, options} = this._services;
		const sentAtMs = clock.nowMs();
		const answer = await calls.takeUsage(holder, request, options.askTimeoutMs);
		const reason = answer.isLeft() ? answer.extract() : undefined;
		const isUnanswered = reason === noAnswerInTime;
		const isLost = isUnanswered ? this._silence.noteNoAnswer(holder.name, sentAtMs) : reason !== undefined && reason !== noBudgetHere;
		if (reason !== undefined) {
			log.event('usageHolderLost', {
				organisation: request.organisation, holder: holder.name, reason, isLost,
			});
		}

		if (!isUnanswered) {
			this._silence.noteAnswer(holder.name);
		}

		if (isLost || !isUnanswered) {
			holders.reportReachability(holder.name, !isLost);
		}

		return {grant: answer.toMaybe().extract(), isLate: isUnanswered && !isLost};
	}

	private _lend(organisation: string, role: HolderRole): UsageGrant | undefined {
		const {holders, budgets} = this._services;
		return holders.hasRecentContact ? budgets.lend(organisation, role) : undefined;
	}

	/** Takes an operation out of the budget that this node holds; if that is empty, borrows from other zones. */
	private async _takeFromOwnBudget(organisation: string, role: HolderRole): Promise<UsageGrant | undefined> {
		const {holders, budgets} = this._services;
		const grant = holders.hasRecentContact ? budgets.take(organisation, role) : undefined;
		if (!grant || grant.operations > 0) {
			return grant;
		}

		const lent = await this._borrow(organisation);
		if (lent === 0) {
			return grant;
		}

		budgets.addLoan(organisation, lent - 1);
		return {operations: 1, retryAfterMs: 0};
	}

	/** Asks one zone after the other for a loan; resolves to the operations that the first of them lends, or to zero. */
	private async _borrow(organisation: string): Promise<number> {
		const {clock, holders, options} = this._services;
		for (const holder of holders.inOtherZones(organisation)) {
			const key = joinKey(organisation, holder.name);
			const isOver = (untilMs: number | undefined): boolean => clock.nowMs() >= (untilMs ?? 0);
			if (!isOver(this._lentOutUntilMs.get(key)) || !isOver(this._silentUntilMs.get(holder.availabilityZone))) {
				continue;
			}

			const {grant} = await this._askHolder(holder, {organisation, isLoan: true});
			if (grant && grant.operations > 0) {
				return grant.operations;
			}

			if (grant) {
				this._lentOutUntilMs.set(key, clock.nowMs() + grant.retryAfterMs);
			} else {
				// None of the nodes in a partitioned zone answers: operations must not wait for one node after the other.
				this._silentUntilMs.set(holder.availabilityZone, clock.nowMs() + options.silentZoneMs);
			}
		}

		return 0;
	}
}

function overLimitRefusal(organisation: string, retryAfterMs: number): Refusal {
	return new Refusal('callerLimited', `${organisation} has reached its usage limit`, {retryAfterMs});
}
