/**
 * Runs the statements of one connection, each in a slot of the instance and with the simulated service time.
 */
import type {Clock} from '../../../src/common/services/services.js';
import type {SqlValue} from '../types.js';
import type {StatementResult} from '../sql/plan.js';
import {isDataStatement, type ParsedStatement} from '../sql/planner.js';
import type {SqlSession} from '../sql/session.js';
import type {SqlType} from '../sql/sql-types.js';
import {sleep} from '../sql/wait.js';
import type {StatementSlots} from './slots.js';

/** Time that each statement on data holds its slot in addition to its execution. */
export type ServiceTime = {
	/** Service time of the next statement in milliseconds. */
	nextMs(): number;
};

/** Runs one statement at a time. */
export class StatementRunner {
	private readonly _session: SqlSession;
	/** Undefined on control connections, whose statements need no slot. */
	private readonly _slots: StatementSlots | undefined;
	private readonly _serviceTime: ServiceTime;
	private readonly _clock: Clock;

	constructor(session: SqlSession, slots: StatementSlots | undefined, serviceTime: ServiceTime, clock: Clock) {
		this._session = session;
		this._slots = slots;
		this._serviceTime = serviceTime;
		this._clock = clock;
		session.lockWaitHooks = {
			before() {
				slots?.release();
			},
			// Must end with an acquired slot in any case, because the end of the statement releases one.
			after: async () => slots?.acquire()?.promise,
		};
	}

	/** Runs a statement; the result is a promise only if the statement has to wait. */
	run(statement: ParsedStatement, declaredTypes: ReadonlyArray<SqlType | undefined>, parameters: readonly SqlValue[]): StatementResult | Promise<StatementResult> {
		const wait = this._slots?.acquire();
		const serviceMs = isDataStatement(statement) ? this._serviceTime.nextMs() : 0;
		if (wait ?? serviceMs > 0) {
			return this._runAfterWaiting(wait, serviceMs, async () => this._session.execute(statement, declaredTypes, parameters));
		}

		let isPending = false;
		try {
			const result = this._session.execute(statement, declaredTypes, parameters);
			if (!(result instanceof Promise)) {
				return result;
			}

			isPending = true;
			return this._releaseAfter(result);
		} finally {
			if (!isPending) {
				this._slots?.release();
			}
		}
	}

	private async _runAfterWaiting(wait: ReturnType<StatementSlots['acquire']>, serviceMs: number, execute: () => StatementResult | Promise<StatementResult>): Promise<StatementResult> {
		if (wait) {
			await this._session.waitFor(wait);
		}

		try {
			if (serviceMs > 0) {
				await this._session.waitFor(sleep(this._clock, serviceMs));
			}

			return await execute();
		} finally {
			this._slots?.release();
		}
	}

	private async _releaseAfter(result: Promise<StatementResult>): Promise<StatementResult> {
		try {
			return await result;
		} finally {
			this._slots?.release();
		}
	}
}
