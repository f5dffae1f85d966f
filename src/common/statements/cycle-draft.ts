/** What one request cycle of the extended protocol has gathered so far. */
import {Left, Right, type Either} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {ExpectedReply} from './answer-filter.js';
import {joinFrames, syncFrame} from './frames.js';
import type {PreparedStatement} from './prepared-statements.js';
import {planTransaction, type TransactionPlan} from './transaction-plan.js';
import type {RelayedStatement, Statement, TransactionState} from './types.js';

/** A message of the extended protocol, as the proxy would answer it itself. */
export type LocalMessage = {
	readonly code: number;
	/** The statement that it is about; undefined for Close. */
	readonly statement: PreparedStatement | undefined;
	/** Name of the statement that it names; undefined when it names a portal. */
	readonly name: string | undefined;
};

/** A request cycle of the extended protocol. */
export type BuiltCycle
	= | {readonly kind: 'local'; readonly messages: readonly LocalMessage[]}
		| {
			readonly kind: 'relayed';
			readonly frames: Uint8Array;
			readonly plan: TransactionPlan;
			/** Statements that are executed, in order. */
			readonly executed: readonly RelayedStatement[];
			/** The messages, for the case that no endpoint is needed after all. */
			readonly messages: readonly LocalMessage[];
			readonly expected: readonly ExpectedReply[];
		};

/** Gathers one cycle. */
export class CycleDraft {
	/** Statements of this cycle over those of the session; undefined once closed. */
	readonly statementsByName = new Map<string, PreparedStatement | undefined>();
	readonly statementsByPortal = new Map<string, PreparedStatement>();
	sizeBytes = 0;
	/** Whether a portal is made or used, which does not outlive a cycle outside a transaction. */
	hasPortal = false;
	private readonly _frames: Uint8Array[] = [];
	private readonly _messages: LocalMessage[] = [];
	private readonly _expected: ExpectedReply[] = [];
	private readonly _executed: RelayedStatement[] = [];
	private readonly _parsed: PreparedStatement[] = [];
	/** What the endpoint's unnamed statement is at this point of the cycle. */
	private _unnamedStatement: PreparedStatement | undefined;
	private _hasLocal = false;
	private _needsEndpoint = false;
	private _executesUnknown = false;

	/** Messages for the endpoint so far. */
	get length(): number {
		return this._frames.length;
	}

	/** Notes a message; whether it is about a statement that the proxy answers itself. */
	note(code: number, statement: PreparedStatement | undefined, name?: string): boolean {
		this._messages.push({code, statement, name});
		this._hasLocal ||= statement?.isLocal === true;
		return statement?.isLocal === true;
	}

	/** Adds a message for the endpoint, and the reply to look out for. */
	push(frame: Uint8Array, expected?: ExpectedReply): void {
		this._needsEndpoint = true;
		this._frames.push(frame);
		if (expected) {
			this._expected.push(expected);
		}
	}

	/** Adds the Parse message of a statement. */
	parse(statement: PreparedStatement, expected: ExpectedReply): void {
		this.push(statement.parseFrame, expected);
		this._parsed.push(statement);
		this._unnamedStatement = statement;
	}

	/** Sees that the endpoint's unnamed statement is this one. */
	ensureParsed(statement: PreparedStatement | undefined): void {
		if (statement && statement !== this._unnamedStatement) {
			this.parse(statement, {isInjected: true});
		}
	}

	/** Adds an Execute message of a statement, or of a portal from an earlier cycle. */
	execute(frame: Uint8Array, statement: PreparedStatement | undefined): void {
		for (const executed of statement?.statements ?? []) {
			if (executed.kind === 'relayed') {
				this._executed.push(executed);
			}
		}

		this._executesUnknown ||= !statement;
		this.push(frame);
	}

	/** Adds the close of a statement, which needs no endpoint but keeps its place among replies. */
	close(frame: Uint8Array, name: string): void {
		this.statementsByName.set(name, undefined);
		this._frames.push(frame);
		this._expected.push({isInjected: false, name});
		this._unnamedStatement = undefined;
	}

	/** Ends the cycle; `before` is the transaction as it is now. */
	build(before: TransactionState): Either<Refusal, BuiltCycle> {
		if (!this._needsEndpoint) {
			return Right({kind: 'local', messages: this._messages});
		}

		if (this._hasLocal) {
			return Left(new Refusal('unsupportedStatement', 'statements that the proxy answers need a Sync of their own'));
		}

		return Right({
			kind: 'relayed',
			frames: joinFrames([...this._frames, syncFrame]),
			plan: this._plan(before),
			executed: this._executed,
			messages: this._messages,
			expected: this._expected,
		});
	}

	private _plan(before: TransactionState): TransactionPlan {
		const plan = planTransaction(this._executed, before);
		if (before.isOpen && before.isReadOnly) {
			return plan;
		}

		const isRead = plan.access === 'read' && !this._executesUnknown && this._preparesOnlyReads();
		return {...plan, access: isRead ? 'read' : 'write'};
	}

	/** Statements that are parsed but not executed must suit the endpoint too. */
	private _preparesOnlyReads(): boolean {
		const executed = new Set<Statement>(this._executed);
		return this._parsed.every(({statements}) =>
			statements.every(statement => isRead(statement) || executed.has(statement)));
	}
}

function isRead(statement: Statement): boolean {
	return statement.kind === 'relayed' && statement.access === 'read';
}
