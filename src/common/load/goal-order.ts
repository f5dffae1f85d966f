/**
 * Order of the statements of one priority class by their response-time goals.
 *
 * Addresses bursts above the capacity of an endpoint: in order of arrival, every statement is then
 * served just after its goal. Statements that can still be answered within their goal go first,
 * earliest goal first; late ones follow in order of their deadlines. Among statements of the same
 * kind, those of callers that have used more than their share yield, so that a caller that floods
 * the queue delays only itself.
 */
import type {LoadOptions} from './constants.js';

/** What the order depends on. */
export type OrderedStatement = {
	/** When its goal ends; its deadline if it has no goal. */
	readonly goalAtMs: number;
	readonly deadlineMs: number;
	/** Expected time from its start to its answer. */
	readonly expectedMs: number;
	/** Service time that its caller has attained beyond the waiting caller with the least. */
	readonly leadMs: number;
};

/** An order of waiting statements. */
export type StatementOrder = {
	/** Whether `a` goes before `b`; of statements that are equal, the one that arrived first goes first. */
	isBefore(a: OrderedStatement, b: OrderedStatement, nowMs: number): boolean;
};

/** Orders statements by goal. */
export class GoalOrder implements StatementOrder {
	private readonly _options: Pick<LoadOptions, 'workMargin' | 'callerLead'>;

	constructor(options: Pick<LoadOptions, 'workMargin' | 'callerLead'>) {
		this._options = options;
	}

	/** Whether a statement that starts now will probably be answered within its goal. */
	isOnTime({goalAtMs, expectedMs}: Pick<OrderedStatement, 'goalAtMs' | 'expectedMs'>, nowMs: number): boolean {
		return nowMs + (expectedMs * this._options.workMargin) <= goalAtMs;
	}

	isBefore(a: OrderedStatement, b: OrderedStatement, nowMs: number): boolean {
		const isOnTime = this.isOnTime(a, nowMs);
		const rankDifference = this._rank(a, isOnTime) - this._rank(b, this.isOnTime(b, nowMs));
		if (rankDifference !== 0) {
			return rankDifference < 0;
		}

		return isOnTime ? a.goalAtMs < b.goalAtMs : a.deadlineMs < b.deadlineMs;
	}

	private _rank({leadMs, expectedMs}: OrderedStatement, isOnTime: boolean): number {
		const isAhead = leadMs > expectedMs * this._options.callerLead;
		return (isOnTime ? 0 : 2) + (isAhead ? 1 : 0);
	}
}
