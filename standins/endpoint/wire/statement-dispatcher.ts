/**
 * Dispatches the statements of one connection: to SQL, or to control commands on control connections.
 */
import type {Instance} from '../instance.js';
import type {StatementResult} from '../sql/plan.js';
import type {StatementDescription, SqlSession} from '../sql/session.js';
import type {PreparedStatement} from './extended-protocol.js';
import {findControlCommand, type ControlCommand} from './control-commands.js';
import type {StatementRunner} from './statement-runner.js';

/** Options of a dispatcher. */
export type StatementDispatcherOptions = {
	readonly instance: Instance;
	readonly session: SqlSession;
	readonly runner: StatementRunner;
	/** Whether control commands are accepted. */
	readonly isControl: boolean;
	/** Control connection that an attached home is bound to. */
	readonly controlConnection: unknown;
};

/** Describes and runs SQL statements and control commands. */
export class StatementDispatcher {
	private readonly _options: StatementDispatcherOptions;

	constructor(options: StatementDispatcherOptions) {
		this._options = options;
	}

	describe({statement, declaredTypes}: PreparedStatement): StatementDescription {
		const order = this._controlCommand(statement);
		if (order) {
			return {parameterTypes: [], columns: order.columns};
		}

		return statement ? this._options.session.describe(statement, declaredTypes) : {parameterTypes: [], columns: undefined};
	}

	/** Runs a statement; the result is a promise only if the statement has to wait. */
	run(...[statement, declaredTypes, parameters]: Parameters<StatementRunner['run']>): StatementResult | Promise<StatementResult> {
		const order = this._controlCommand(statement);
		return order ? order.run(this._options.instance, this._options.controlConnection) : this._options.runner.run(statement, declaredTypes, parameters);
	}

	private _controlCommand(statement: PreparedStatement['statement']): ControlCommand | undefined {
		return statement && this._options.isControl ? findControlCommand(statement) : undefined;
	}
}
