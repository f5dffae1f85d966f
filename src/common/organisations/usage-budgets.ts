/**
 * The usage budgets that this node holds for its availability zone.
 *
 * One node of the zone is the first-choice holder of an organisation's budget. Another node stands in
 * when the first choice cannot be reached, but only after a delay in which a node that is itself
 * partitioned notices so. Without the delay, each of many isolated nodes would give out a budget of
 * its own.
 */
import type {Clock, UsageGrant, UsageLimit} from '../services/services.js';
import type {UsageOptions} from './constants.js';
import {UsageBudget} from './usage-budget.js';
import {zoneBudget} from './usage-rule.js';
import type {UsageRule} from './usage-rule.js';

/** Services and settings that budgets depend on. */
export type BudgetServices = {
	readonly clock: Clock;
	/** The limit in force of an organisation; undefined if the organisation has none or is unknown. */
	readonly limitOf: (organisation: string) => UsageLimit | undefined;
	readonly rule: UsageRule;
	/** Number of availability zones that share each limit. */
	readonly zones: number;
	/** When the membership last changed, on this node's clock; the start of this node if it has not changed since. */
	readonly membershipChangedAtMs: () => number;
	/**
	 * When the present period began in which this node has been in contact with others without a longer
	 * gap, on this node's clock. During a gap, another node may have stood in for this one.
	 */
	readonly inContactSinceMs: () => number;
	readonly options: UsageOptions;
};

/** Whether a budget is held as the first choice, or in place of nodes that do not answer. */
export type HolderRole = 'firstChoice' | 'standIn';

type HeldBudget = {
	readonly budget: UsageBudget;
	readonly role: HolderRole;
	/** Nothing is granted before this time. */
	readonly fromMs: number;
	limit: UsageLimit;
	askedAtMs: number;
};

const msPerS = 1000;

/** Maximum retry delay that is reported, in milliseconds: the limit may be raised in the meantime. */
const maximumRetryAfterMs = 5000;

/** Grants operations out of the budgets that this node holds. */
export class UsageBudgets {
	private readonly _services: BudgetServices;
	private readonly _held = new Map<string, HeldBudget>();

	constructor(services: BudgetServices) {
		this._services = services;
	}

	/** Whether an organisation's usage is limited. */
	isLimited(organisation: string): boolean {
		return this._services.limitOf(organisation) !== undefined;
	}

	/** Takes one operation; undefined if no limit of the organisation is known. */
	take(organisation: string, role: HolderRole): UsageGrant | undefined {
		return this._withBudget(organisation, role, (budget, nowMs) => {
			const waitMs = budget.take(nowMs);
			return {operations: waitMs === 0 ? 1 : 0, retryAfterMs: waitMs};
		});
	}

	/** Lends operations to the budget of another zone; undefined if no limit of the organisation is known. */
	lend(organisation: string, role: HolderRole): UsageGrant | undefined {
		const {loanShare, loanRetryMs} = this._services.options;
		return this._withBudget(organisation, role, (budget, nowMs) => ({operations: budget.takeShare(loanShare, nowMs), retryAfterMs: loanRetryMs}));
	}

	/** Adds operations that another zone lent, without the one for which the loan was requested. */
	addLoan(organisation: string, operations: number): void {
		this._held.get(organisation)?.budget.add(operations);
	}

	private _withBudget(organisation: string, role: HolderRole, take: (budget: UsageBudget, nowMs: number) => UsageGrant): UsageGrant | undefined {
		const limit = this._services.limitOf(organisation);
		if (!limit) {
			this._held.delete(organisation);
			return undefined;
		}

		const nowMs = this._services.clock.nowMs();
		const {budget, fromMs} = this._budget(organisation, limit, role);
		const {operations, retryAfterMs} = nowMs < fromMs ? {operations: 0, retryAfterMs: fromMs - nowMs} : take(budget, nowMs);
		return {operations, retryAfterMs: Math.min(retryAfterMs, maximumRetryAfterMs)};
	}

	private _budget(organisation: string, limit: UsageLimit, role: HolderRole): HeldBudget {
		const {clock, rule, zones, membershipChangedAtMs, inContactSinceMs, options} = this._services;
		const nowMs = clock.nowMs();
		const known = this._held.get(organisation);
		if (known?.role !== role || this._isExpired(known)) {
			const size = zoneBudget(limit, rule, zones, options.toleranceShare);
			// Another node may have held the budget until the last membership change, and given all of it out.
			const sinceMs = nowMs - membershipChangedAtMs();
			const initial = role === 'firstChoice'
				? {left: Math.max(options.initialOperations, size.perS * Math.min(sinceMs, nowMs - inContactSinceMs()) / msPerS), fromMs: nowMs}
				: {left: 0, fromMs: nowMs + options.standInAfterMs};
			const made: HeldBudget = {
				role, limit, fromMs: initial.fromMs, askedAtMs: nowMs, budget: new UsageBudget(size, initial.left, initial.fromMs),
			};
			this._held.set(organisation, made);
			return made;
		}

		known.askedAtMs = nowMs;
		known.budget.skipRefillUntil(inContactSinceMs());
		if (known.limit !== limit) {
			known.limit = limit;
			known.budget.resize(zoneBudget(limit, rule, zones, options.toleranceShare), nowMs);
		}

		return known;
	}

	/** Whether a budget has had no requests for so long that another node may have held it since. */
	private _isExpired({role, askedAtMs}: HeldBudget): boolean {
		const {clock, membershipChangedAtMs, options} = this._services;
		const isOld = clock.nowMs() - askedAtMs > options.standInKeptMs;
		return isOld && (role === 'standIn' || membershipChangedAtMs() > askedAtMs);
	}
}
