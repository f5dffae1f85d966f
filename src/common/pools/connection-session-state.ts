/**
 * Session state that a connection to an endpoint holds, and the statements that replace it by the
 * state of another session.
 *
 * Endpoints know prepared statements by names that are counted for each connection. A name holds
 * nothing that a caller wrote, so an endpoint reads it as the one word that was sent. Sessions that
 * prepared the same statement share it, and names that sessions chose never collide.
 */
import type {InternalStatement} from '../services/services.js';
import type {PreparedStatement, SessionState} from './session-state.js';

/** Bounds of the prepared statements that a connection holds. */
export type PreparedLimits = {
	/** Maximum number of prepared statements. */
	readonly names: number;
	/** Maximum length of all their shapes together, in characters; a single longer shape is held alone. */
	readonly shapeCharacters: number;
};

/** Tracks the session state of one connection. */
export class ConnectionSessionState {
	private readonly _limits: PreparedLimits;
	private readonly _values = new Map<string, string>();
	/** Names of the prepared statements, by access and shape. */
	private readonly _names: Readonly<Record<PreparedStatement['access'], Map<string, string>>> = {read: new Map(), write: new Map()};
	private _shapeCharacters = 0;
	/** Number of names given so far; a discarded name is not given again. */
	private _nameCount = 0;

	constructor(limits: PreparedLimits) {
		this._limits = limits;
	}

	/** Whether the connection already holds exactly the values of the session. */
	isAppliedFor(session: SessionState): boolean {
		return this._values.size === session.values.size && this._differingValues(session).length === 0;
	}

	/** Name under which the endpoint knows a prepared statement on this connection; undefined if it is not prepared there. */
	nameOf({access, shape}: PreparedStatement): string | undefined {
		return this._names[access].get(shape);
	}

	/**
	 * Statements that give the connection the state of the session, to be sent in this order before
	 * the session's own statement. Their effect is recorded at once, before they are answered: a
	 * connection on which one of them fails is closed.
	 */
	statementsToApply(session: SessionState, prepared: PreparedStatement | undefined): InternalStatement[] {
		const statements: InternalStatement[] = [];
		const hasForeignValue = [...this._values.keys()].some(name => !session.values.has(name));
		if (hasForeignValue || (prepared && !this._hasRoomFor(prepared))) {
			statements.push({kind: 'discard'});
			this._clear();
		}

		for (const [name, value] of this._differingValues(session)) {
			statements.push({kind: 'set', name, value});
			this._values.set(name, value);
		}

		if (prepared && this.nameOf(prepared) === undefined) {
			statements.push({kind: 'prepare', name: this._addName(prepared), ...prepared});
		}

		return statements;
	}

	private _hasRoomFor(prepared: PreparedStatement): boolean {
		const {names, shapeCharacters} = this._limits;
		const held = this._names.read.size + this._names.write.size;
		return this.nameOf(prepared) !== undefined || held === 0
			|| (held < names && this._shapeCharacters + prepared.shape.length <= shapeCharacters);
	}

	private _addName({access, shape}: PreparedStatement): string {
		this._nameCount += 1;
		const name = `p${this._nameCount}`;
		this._names[access].set(shape, name);
		this._shapeCharacters += shape.length;
		return name;
	}

	private _clear(): void {
		this._values.clear();
		this._names.read.clear();
		this._names.write.clear();
		this._shapeCharacters = 0;
	}

	private _differingValues(session: SessionState): Array<[string, string]> {
		return [...session.values].filter(([name, value]) => this._values.get(name) !== value);
	}
}
