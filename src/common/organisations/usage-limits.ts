/**
 * Whether an operation of an organisation may run: asked of the node of the zone that keeps the
 * organisation's budget, before the operation waits anywhere.
 */
import {Refusal} from '../errors/error-kinds.js';
import type {Event} from '../lifecycle/emitter.js';
import {waitForEvent} from '../lifecycle/timing.js';
import type {
	Clock, Log, Metrics, PeerCalls, PeerNode, BudgetRequest, UsageGrant,
} from '../services/services.js';
import type {UsageOptions} from './constants.js';
import type {HolderRole, UsageBudgets} from './usage-budgets.js';

/** Who keeps budgets, as far as the choice matters here. */
export type UsageHolders = {
	/** Whether this node knows who else is there. */
	readonly isDiscoveryDone: boolean;
	readonly onDiscoveryDone: Event<void>;
	/** Whether another node was heard a moment ago, or there is none in the zone. */
	readonly hasRecentContact: boolean;
	/** The nodes of the zone in the order in which they keep an organisation's budget. */
	rankedHolders(organisation: string): readonly PeerNode[];
	/** One node of each other zone that keeps its budget and answers. */
	inOtherZones(organisation: string): readonly PeerNode[];
	/** Whether a node answered lately, or was not asked. */
	isReachable(name: string): boolean;
	/** Notes whether a node answered. */
	reportReachability(name: string, isAnswered: boolean): void;
};

/** What limits are kept with. */
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

/** Reason of a peer that answers, and keeps no budget of the organisation that it may give out. */
export const noBudgetHere = 'the peer may give nothing out, or does not know the organisation';

/** Keeps organisations within their limits. */
export class UsageLimits {
	private readonly _services: UsageLimitServices;
	/** Until when an organisation's budget is known to be empty. */
	private readonly _emptyUntilMs = new Map<string, number>();
	/** Until when a keeper of another zone has nothing to lend, by organisation and node. */
	private readonly _lentOutUntilMs = new Map<string, number>();
	/** Until when a zone that did not answer is asked for no loan. */
	private readonly _silentUntilMs = new Map<string, number>();

	constructor(services: UsageLimitServices) {
		this._services = services;
	}

	/** Takes one operation out of the budget; the refusal says when there is room again. */
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

		const grant = await this.ask({organisation, isLoan: false});
		if (!grant) {
			metrics.count('usageDecisionsTotal', {outcome: 'unanswered'});
			return new Refusal('callerLimited', `nobody says what ${organisation} has left`, {retryAfterMs: this._services.options.unansweredRetryMs});
		}

		metrics.count('usageDecisionsTotal', {outcome: grant.operations > 0 ? 'granted' : 'empty'});
		if (grant.operations > 0) {
			return undefined;
		}

		this._emptyUntilMs.set(organisation, clock.nowMs() + grant.retryAfterMs);
		return overLimitRefusal(organisation, grant.retryAfterMs);
	}

	/** A new configuration may give an organisation more: who was over its limit is looked at again. */
	onLimitsChanged(): void {
		this._emptyUntilMs.clear();
		this._lentOutUntilMs.clear();
	}

	/**
	 * Asks the nodes that may keep the budget, in their order, up to this node itself; undefined where
	 * none says anything. A node that others ask does the same first: what one of them cannot reach,
	 * this one may.
	 */
	async ask({organisation, isLoan}: BudgetRequest): Promise<UsageGrant | undefined> {
		const {clock, self, holders, options} = this._services;
		if (!holders.isDiscoveryDone) {
			await waitForEvent(clock, holders.onDiscoveryDone, options.lookTimeoutMs);
		}

		const ranked = holders.rankedHolders(organisation);
		let tried = 0;
		for (const holder of ranked) {
			if (holder.name === self.name) {
				const role = ranked[0].name === self.name ? 'firstChoice' : 'standIn';
				return isLoan ? this._lend(organisation, role) : this._takeFromOwnBudget(organisation, role);
			}

			if (tried < options.holdersTried && holders.isReachable(holder.name)) {
				tried += 1;
				const grant = await this._askHolder(holder, {organisation, isLoan});
				if (grant) {
					return grant;
				}
			}
		}

		return undefined;
	}

	private async _askHolder(holder: PeerNode, ask: BudgetRequest): Promise<UsageGrant | undefined> {
		const {calls, holders, log, options} = this._services;
		const answer = await calls.takeUsage(holder, ask, options.askTimeoutMs);
		if (answer.isRight()) {
			return answer.unsafeCoerce();
		}

		const reason = answer.extract();
		holders.reportReachability(holder.name, reason === noBudgetHere);
		log.event('usageHolderLost', {organisation: ask.organisation, holder: holder.name, reason});
		return undefined;
	}

	private _lend(organisation: string, role: HolderRole): UsageGrant | undefined {
		const {holders, budgets} = this._services;
		return holders.hasRecentContact ? budgets.lend(organisation, role) : undefined;
	}

	/** Takes out of the budget that this node keeps; where that is empty, out of what other zones lend it. */
	private async _takeFromOwnBudget(organisation: string, role: HolderRole): Promise<UsageGrant | undefined> {
		const {holders, budgets} = this._services;
		const own = holders.hasRecentContact ? budgets.take(organisation, role) : undefined;
		if (!own || own.operations > 0) {
			return own;
		}

		const lent = await this._borrow(organisation);
		if (lent === 0) {
			return own;
		}

		budgets.addLoan(organisation, lent - 1);
		return {operations: 1, retryAfterMs: 0};
	}

	/** Asks one zone after the other; resolves with what the first gives that has something. */
	private async _borrow(organisation: string): Promise<number> {
		const {clock, holders, options} = this._services;
		for (const holder of holders.inOtherZones(organisation)) {
			const key = `${organisation} ${holder.name}`;
			const isOver = (untilMs: number | undefined): boolean => clock.nowMs() >= (untilMs ?? 0);
			if (!isOver(this._lentOutUntilMs.get(key)) || !isOver(this._silentUntilMs.get(holder.availabilityZone))) {
				continue;
			}

			const grant = await this._askHolder(holder, {organisation, isLoan: true});
			if (grant && grant.operations > 0) {
				return grant.operations;
			}

			if (grant) {
				this._lentOutUntilMs.set(key, clock.nowMs() + grant.retryAfterMs);
			} else {
				// A zone that is cut off answers on none of its nodes: operations must not wait for one after the other.
				this._silentUntilMs.set(holder.availabilityZone, clock.nowMs() + options.silentZoneMs);
			}
		}

		return 0;
	}
}

function overLimitRefusal(organisation: string, retryAfterMs: number): Refusal {
	return new Refusal('callerLimited', `${organisation} has used what it may`, {retryAfterMs});
}
