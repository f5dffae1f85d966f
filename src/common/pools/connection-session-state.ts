/**
 * Session state that a connection to an endpoint holds, and the statements that replace it by the
 * state of another session.
 *
 * Endpoints know prepared statements by names that are counted for each connection. A name holds
 * nothing that a caller wrote, so an endpoint reads it as the one word that was sent. Sessions that
 * prepared the same statement share it, and names that sessions chose never collide.
 */
import type {HandlersOf} from '../dispatch.js';
import {dispatch} from '../dispatch.js';
import type {InternalStatement} from '../services/services.js';
import type {PreparedStatement, SessionState} from './session-state.js';

/** Bounds of the prepared statements that a connection holds. */
export type PreparedLimits = {
	/** Maximum number of prepared statements. */
	readonly names: number;
	/** Maximum length of all their shapes together, in characters; a single longer shape is held alone. */
	readonly shapeCharacters: number;
};

/** A statement that changes the session state of a connection. */
export type StateStatement = Extract<InternalStatement, {kind: 'set' | 'prepare'}> | {readonly kind: 'discard'};

/** What gives a connection the state of a session. */
export type StateChange = {
	/** Statements to be sent in this order before the session's own statement. */
	readonly statements: readonly StateStatement[];
	/** Name by which the connection then knows the prepared statement; undefined without one. */
	readonly name: string | undefined;
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

	private readonly _recorders: HandlersOf<StateStatement, void> = {
		discard: () => {
			this._clear();
		},
		set: ({name, value}) => {
			this._values.set(name, value);
		},
		prepare: ({name, access, shape}) => {
			this._nameCount += 1;
			this._names[access].set(shape, name);
			this._shapeCharacters += shape.length;
		},
	};

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

	/** What gives the connection the state of the session. Nothing is recorded before `apply`, so that a change need not be sent. */
	changeFor(session: SessionState, prepared: PreparedStatement | undefined): StateChange {
		const hasForeignValue = [...this._values.keys()].some(name => !session.values.has(name));
		const isDiscarded = hasForeignValue || (prepared !== undefined && !this._hasRoomFor(prepared));
		const values = isDiscarded ? [...session.values] : this._differingValues(session);
		const statements: StateStatement[] = [
			...(isDiscarded ? [{kind: 'discard'} as const] : []),
			...values.map(([name, value]) => ({kind: 'set', name, value} as const)),
		];
		if (!prepared) {
			return {statements, name: undefined};
		}

		const heldName = isDiscarded ? undefined : this.nameOf(prepared);
		const name = heldName ?? `p${this._nameCount + 1}`;
		return {statements: heldName === undefined ? [...statements, {kind: 'prepare', name, ...prepared}] : statements, name};
	}

	/**
	 * Records a change that is about to be sent, before it is answered: a connection on which one of its
	 * statements fails is closed.
	 */
	apply({statements}: StateChange): void {
		for (const statement of statements) {
			dispatch(this._recorders, statement);
		}
	}

	private _hasRoomFor(prepared: PreparedStatement): boolean {
		const {names, shapeCharacters} = this._limits;
		const held = this._names.read.size + this._names.write.size;
		return this.nameOf(prepared) !== undefined || held === 0
			|| (held < names && this._shapeCharacters + prepared.shape.length <= shapeCharacters);
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
