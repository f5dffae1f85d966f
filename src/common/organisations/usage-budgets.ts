/**
 * The budgets that this node keeps for its availability zone.
 *
 * One node of the zone is the first choice for an organisation. Another one takes its budget over
 * when nobody reaches it, and only after a time in which a node that lost touch itself notices so:
 * else each of many lone nodes would give out a share of its own.
 */
import type {Clock, UsageGrant, UsageLimit} from '../services/services.js';
import type {UsageOptions} from './constants.js';
import {UsageBudget} from './usage-budget.js';
import {zoneBudget} from './usage-rule.js';
import type {UsageRule} from './usage-rule.js';

/** What budgets are made by. */
export type BudgetServices = {
	readonly clock: Clock;
	/** The limit of an organisation in force; undefined where it has none or is not known. */
	readonly limitOf: (organisation: string) => UsageLimit | undefined;
	readonly rule: UsageRule;
	/** Number of availability zones that share each limit. */
	readonly zones: number;
	/** When a node was last learned of or left, on this node's clock; its own start at the latest. */
	readonly membershipChangedAtMs: () => number;
	readonly options: UsageOptions;
};

/** Whether a budget is kept as the first choice, or in place of nodes that do not answer. */
export type HolderRole = 'firstChoice' | 'standIn';

type HeldBudget = {
	readonly budget: UsageBudget;
	readonly role: HolderRole;
	/** Before this nothing is given out. */
	readonly fromMs: number;
	limit: UsageLimit;
	askedAtMs: number;
};

const msPerS = 1000;

/** Longest time to come back that is told, in milliseconds: a limit may be raised meanwhile. */
const maximumRetryAfterMs = 5000;

/** Gives operations out. */
export class UsageBudgets {
	private readonly _services: BudgetServices;
	private readonly _held = new Map<string, HeldBudget>();

	constructor(services: BudgetServices) {
		this._services = services;
	}

	/** Whether an organisation's usage is bounded. */
	isLimited(organisation: string): boolean {
		return this._services.limitOf(organisation) !== undefined;
	}

	/** Takes one operation; undefined where no limit of the organisation is known. */
	take(organisation: string, role: HolderRole): UsageGrant | undefined {
		return this._withBudget(organisation, role, (budget, nowMs) => {
			const waitMs = budget.take(nowMs);
			return {operations: waitMs === 0 ? 1 : 0, retryAfterMs: waitMs};
		});
	}

	/** Takes operations for the budget of another zone. */
	lend(organisation: string, role: HolderRole): UsageGrant | undefined {
		const {loanShare, loanRetryMs} = this._services.options;
		return this._withBudget(organisation, role, (budget, nowMs) => ({operations: budget.takeShare(loanShare, nowMs), retryAfterMs: loanRetryMs}));
	}

	/** Adds what another zone lent, less the operation for which it was asked. */
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
		const {clock, rule, zones, membershipChangedAtMs, options} = this._services;
		const nowMs = clock.nowMs();
		const known = this._held.get(organisation);
		if (known?.role !== role || this._isExpired(known)) {
			const size = zoneBudget(limit, rule, zones, options.toleranceShare);
			// Before the last change another node may have kept the budget, and given all of it out.
			const sinceMs = nowMs - membershipChangedAtMs();
			const kept = role === 'firstChoice'
				? {left: Math.max(options.initialOperations, size.perS * sinceMs / msPerS), fromMs: nowMs}
				: {left: 0, fromMs: nowMs + options.standInAfterMs};
			const made: HeldBudget = {
				role, limit, fromMs: kept.fromMs, askedAtMs: nowMs, budget: new UsageBudget(size, kept.left, kept.fromMs),
			};
			this._held.set(organisation, made);
			return made;
		}

		known.askedAtMs = nowMs;
		if (known.limit !== limit) {
			known.limit = limit;
			known.budget.resize(zoneBudget(limit, rule, zones, options.toleranceShare), nowMs);
		}

		return known;
	}

	/** A budget that nobody asked for a while counts no more if another node may have kept it meanwhile. */
	private _isExpired({role, askedAtMs}: HeldBudget): boolean {
		const {clock, membershipChangedAtMs, options} = this._services;
		const isOld = clock.nowMs() - askedAtMs > options.standInKeptMs;
		return isOld && (role === 'standIn' || membershipChangedAtMs() > askedAtMs);
	}
}
