/**
 * The statements that one connection may send: SQL, and orders on control connections.
 */
import type {Instance} from '../instance.js';
import type {StatementResult} from '../sql/plan.js';
import type {StatementDescription, SqlSession} from '../sql/session.js';
import type {Prepared} from './extended-protocol.js';
import {findOrder, type Order} from './orders.js';
import type {StatementRunner} from './statement-runner.js';

/** What one connection's statements work with. */
export type StatementPortOptions = {
	readonly instance: Instance;
	readonly session: SqlSession;
	readonly runner: StatementRunner;
	/** Whether orders are taken. */
	readonly isControl: boolean;
	/** What an attached home is bound to. */
	readonly binding: unknown;
};

/** Describes and runs statements, whichever kind they are. */
export class StatementPort {
	private readonly _options: StatementPortOptions;

	constructor(options: StatementPortOptions) {
		this._options = options;
	}

	describe({statement, declaredTypes}: Prepared): StatementDescription {
		const order = this._order(statement);
		if (order) {
			return {parameterTypes: [], columns: order.columns};
		}

		return statement ? this._options.session.describe(statement, declaredTypes) : {parameterTypes: [], columns: undefined};
	}

	/** Gives the result at once where nothing must be waited for. */
	run(...[statement, declaredTypes, parameters]: Parameters<StatementRunner['run']>): StatementResult | Promise<StatementResult> {
		const order = this._order(statement);
		return order ? order.run(this._options.instance, this._options.binding) : this._options.runner.run(statement, declaredTypes, parameters);
	}

	private _order(statement: Prepared['statement']): Order | undefined {
		return statement && this._options.isControl ? findOrder(statement) : undefined;
	}
}
