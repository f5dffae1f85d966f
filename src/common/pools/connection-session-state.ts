/**
 * What a connection to an endpoint carries of session state, and what it takes to make it
 * carry another session's.
 *
 * Prepared statements are known to endpoints by names of this node's own, made of what they
 * are. So sessions that prepared the same thing share it, and none clashes with another's.
 */
import type {InternalStatement} from '../services/services.js';
import type {PreparedStatement, SessionState} from './session-state.js';

/** Name under which endpoints know a prepared statement. */
export function preparedStatementName({access, shape}: PreparedStatement): string {
	return `${access}_${shape}`;
}

/** Follows one connection. */
export class ConnectionSessionState {
	private readonly _values = new Map<string, string>();
	private readonly _prepared = new Set<string>();
	private readonly _maximumPrepared: number;

	constructor(maximumPrepared: number) {
		this._maximumPrepared = maximumPrepared;
	}

	/** Whether a statement of the session needs nothing first. */
	isAppliedFor(session: SessionState): boolean {
		return this._values.size === session.values.size && this._differingValues(session).length === 0;
	}

	/**
	 * Statements that make the connection fit the session, to be sent in this order before
	 * its statement. What they change is noted at once: a connection on which one of them
	 * fails is not used again.
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
