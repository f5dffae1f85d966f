/**
 * The prepared statements of one session. Endpoints only ever see the unnamed statement, so
 * that shared connections accumulate no statements and the names of sessions cannot collide.
 */
import {Refusal} from '../errors/error-kinds.js';
import {statementDefaults} from './constants.js';
import type {ClassifiedText} from './types.js';

/** A statement that the session prepared. */
export type PreparedStatement = {
	/** A Parse message that makes it the unnamed statement of the endpoint. */
	readonly parseFrame: Uint8Array;
	readonly statements: ClassifiedText;
	/** Whether the proxy answers it itself. */
	readonly isLocal: boolean;
};

/** Limits of one session's prepared statements. */
export type PreparedLimits = Pick<typeof statementDefaults, 'maximumPrepared' | 'maximumPreparedBytes'>;

/** Stores statements by the names that the session gave them. */
export class PreparedStatements {
	private readonly _limits: PreparedLimits;
	private _byName: Map<string, PreparedStatement> | undefined;
	private _sizeBytes = 0;

	constructor(limits: PreparedLimits = statementDefaults) {
		this._limits = limits;
	}

	get count(): number {
		return this._byName?.size ?? 0;
	}

	get(name: string): PreparedStatement | undefined {
		return this._byName?.get(name);
	}

	/** The refusal of a further statement of this size; undefined if it can be stored. */
	refusalFor(name: string, sizeBytes: number): Refusal | undefined {
		// The unnamed statement is limited by the maximum size of a message.
		if (name === '') {
			return undefined;
		}

		const others = this.count - (this._byName?.has('') ? 1 : 0) - (this._byName?.has(name) ? 1 : 0);
		if (others >= this._limits.maximumPrepared) {
			return new Refusal('callerLimited', `more than ${this._limits.maximumPrepared} prepared statements`);
		}

		return this._sizeBytes + sizeBytes > this._limits.maximumPreparedBytes
			? new Refusal('callerLimited', `prepared statements of more than ${this._limits.maximumPreparedBytes} bytes`)
			: undefined;
	}

	set(name: string, statement: PreparedStatement): void {
		this.delete(name);
		this._byName ??= new Map();
		this._byName.set(name, statement);
		this._sizeBytes += sizeOf(name, statement);
	}

	delete(name: string): void {
		const statement = this._byName?.get(name);
		if (statement) {
			this._byName?.delete(name);
			this._sizeBytes -= sizeOf(name, statement);
		}
	}

	clear(): void {
		this._byName = undefined;
		this._sizeBytes = 0;
	}
}

/** Size that counts against the limit; the unnamed statement does not count, since a session has at most one. */
function sizeOf(name: string, statement: PreparedStatement): number {
	return name === '' ? 0 : statement.parseFrame.length;
}
