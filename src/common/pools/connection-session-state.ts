/**
 * Session state that a connection to an endpoint holds, and the statements that replace it by the
 * state of another session.
 *
 * Endpoints know prepared statements by names that this node derives from their access and shape.
 * Sessions that prepared the same statement therefore share it, and names that sessions chose never
 * collide.
 */
import type {InternalStatement} from '../services/services.js';
import type {PreparedStatement, SessionState} from './session-state.js';

/** Name under which endpoints know a prepared statement. */
export function preparedStatementName({access, shape}: PreparedStatement): string {
	return `${access}_${shape}`;
}

/** Tracks the session state of one connection. */
export class ConnectionSessionState {
	private readonly _values = new Map<string, string>();
	private readonly _prepared = new Set<string>();
	private readonly _maximumPrepared: number;

	constructor(maximumPrepared: number) {
		this._maximumPrepared = maximumPrepared;
	}

	/** Whether the connection already holds exactly the values of the session. */
	isAppliedFor(session: SessionState): boolean {
		return this._values.size === session.values.size && this._differingValues(session).length === 0;
	}

	/**
	 * Statements that give the connection the state of the session, to be sent in this order before
	 * the session's own statement. Their effect is recorded at once, before they are answered: a
	 * connection on which one of them fails is closed.
	 */
	statementsToApply(session: SessionState, prepared: PreparedStatement | undefined): InternalStatement[] {
		const statements: InternalStatement[] = [];
		const hasForeignValue = [...this._values.keys()].some(name => !session.values.has(name));
		if (hasForeignValue || this._prepared.size >= this._maximumPrepared) {
			statements.push({kind: 'discard'});
			this._values.clear();
			this._prepared.clear();
		}

		for (const [name, value] of this._differingValues(session)) {
			statements.push({kind: 'set', name, value});
			this._values.set(name, value);
		}

		if (prepared && !this._prepared.has(preparedStatementName(prepared))) {
			const name = preparedStatementName(prepared);
			statements.push({kind: 'prepare', name, ...prepared});
			this._prepared.add(name);
		}

		return statements;
	}

	private _differingValues(session: SessionState): Array<[string, string]> {
		return [...session.values].filter(([name, value]) => this._values.get(name) !== value);
	}
}
