/** Collects the messages of one request cycle of the extended protocol until it is built. */
import {Left, Right, type Either} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {ExpectedReply} from './answer-filter.js';
import {joinFrames, syncFrame} from './frames.js';
import type {PreparedStatement} from './prepared-statements.js';
import {planTransaction, type TransactionPlan} from './transaction-plan.js';
import type {RelayedStatement, Statement, TransactionState} from './types.js';

/** A message of the extended protocol, with what the proxy needs to answer it itself. */
export type LocalMessage = {
	readonly code: number;
	/** Statement that the message refers to; undefined for the Close of a statement, and if it is not known. */
	readonly statement: PreparedStatement | undefined;
	/** Name of the statement that the message names; undefined when it names a portal. */
	readonly name: string | undefined;
};

/** A request cycle of the extended protocol. */
export type BuiltCycle
	= | {readonly kind: 'local'; readonly messages: readonly LocalMessage[]}
		| {
			readonly kind: 'relayed';
			readonly frames: Uint8Array;
			readonly plan: TransactionPlan;
			/** Statements that the cycle executes, in order. */
			readonly executed: readonly RelayedStatement[];
			/** The messages, in case the cycle can be answered without an endpoint after all. */
			readonly messages: readonly LocalMessage[];
			readonly expected: readonly ExpectedReply[];
		};

/** One request cycle while its messages are collected. */
export class CycleDraft {
	/** Statements that this cycle parses, which take precedence over those of the session; undefined once closed. */
	readonly statementsByName = new Map<string, PreparedStatement | undefined>();
	readonly statementsByPortal = new Map<string, PreparedStatement>();
	sizeBytes = 0;
	/** Whether the cycle creates or uses a portal; outside a transaction, a portal ends with its cycle. */
	hasPortal = false;
	private readonly _frames: Uint8Array[] = [];
	private readonly _messages: LocalMessage[] = [];
	private readonly _expected: ExpectedReply[] = [];
	private readonly _executed: RelayedStatement[] = [];
	private readonly _parsed: PreparedStatement[] = [];
	/** The endpoint's unnamed statement at this point of the cycle; undefined when there is none from this cycle. */
	private _unnamedStatement: PreparedStatement | undefined;
	private _hasLocal = false;
	private _needsEndpoint = false;
	private _executesUnknown = false;

	/** Number of messages for the endpoint so far. */
	get length(): number {
		return this._frames.length;
	}

	/** Records a message; returns whether it refers to a statement that the proxy answers itself. */
	note(code: number, statement: PreparedStatement | undefined, name?: string): boolean {
		this._messages.push({code, statement, name});
		this._hasLocal ||= statement?.isLocal === true;
		return statement?.isLocal === true;
	}

	/** Adds a message for the endpoint, and the reply that the answer filter has to expect. */
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

	/** Injects a Parse message unless the statement is the endpoint's unnamed statement already. */
	ensureParsed(statement: PreparedStatement | undefined): void {
		if (statement && statement !== this._unnamedStatement) {
			this.parse(statement, {isInjected: true});
		}
	}

	/** Adds an Execute message; the statement is undefined if its portal is from an earlier cycle. */
	execute(frame: Uint8Array, statement: PreparedStatement | undefined): void {
		for (const executed of statement?.statements ?? []) {
			if (executed.kind === 'relayed') {
				this._executed.push(executed);
			}
		}

		this._executesUnknown ||= !statement;
		this.push(frame);
	}

	/** Adds the Close of a statement. On its own it needs no endpoint; in a relayed cycle its reply keeps its place among the others. */
	close(frame: Uint8Array, name: string): void {
		this.statementsByName.set(name, undefined);
		this._frames.push(frame);
		this._expected.push({isInjected: false, name});
		this._unnamedStatement = undefined;
	}

	/** Builds the cycle; `before` is the transaction state at its start. */
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

	/** Whether the statements that are parsed but not executed are reads too; the endpoint has to accept them as well. */
	private _preparesOnlyReads(): boolean {
		const executed = new Set<Statement>(this._executed);
		return this._parsed.every(({statements}) =>
			statements.every(statement => isRead(statement) || executed.has(statement)));
	}
}

function isRead(statement: Statement): boolean {
	return statement.kind === 'relayed' && statement.access === 'read';
}
