/**
 * Gathers the messages of the extended protocol up to Sync or Flush, and makes them run
 * on any connection: statements lose their names, and a statement that was prepared in an
 * earlier cycle is parsed again where it is used.
 */
import {Left, Right, type Either} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {ExpectedReply} from './answer-filter.js';
import {frontendCodes, statementDefaults, targetCodes} from './constants.js';
import {
	encodeText, headerBytes, joinFrames, makeFrame, readText, syncFrame,
} from './frames.js';
import type {PreparedStatement, PreparedStatements} from './prepared-statements.js';
import type {StatementClassifier} from './statement-classifier.js';
import {planTransaction, type TransactionPlan} from './transaction-plan.js';
import type {RelayedStatement, Statement, TransactionState} from './types.js';

/** A message that the proxy answers itself. */
export type LocalMessage = {
	readonly code: number;
	/** The statement that it is about; undefined for Close. */
	readonly statement: PreparedStatement | undefined;
	/** Name of the statement that Parse or Close names. */
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
			/** Messages to answer when the executed statements need no endpoint. */
			readonly messages: readonly LocalMessage[];
			readonly expected: readonly ExpectedReply[];
		};

/** Bounds of one cycle. */
export type CycleLimits = Pick<typeof statementDefaults, 'maximumCycleBytes' | 'maximumCycleMessages'>;

type Add = (frame: Uint8Array) => Refusal | undefined;

const noName = Uint8Array.of(0);
/** Endpoints hold no named statements, so that this one is unknown to them. */
const unknownName = encodeText('unnamed');

/** Builds one cycle after another for one session. */
export class CycleBuilder {
	private readonly _prepared: PreparedStatements;
	private readonly _classifier: StatementClassifier;
	private readonly _limits: CycleLimits;
	private readonly _adders: ReadonlyMap<number, Add>;
	private _frames: Uint8Array[] = [];
	private _messages: LocalMessage[] = [];
	private _expected: ExpectedReply[] = [];
	private _executed: RelayedStatement[] = [];
	private _parsed: PreparedStatement[] = [];
	/** Statements of this cycle over those of the session; undefined once closed. */
	private readonly _names = new Map<string, PreparedStatement | undefined>();
	private readonly _portals = new Map<string, PreparedStatement>();
	/** What the endpoint's unnamed statement is at this point of the cycle. */
	private _current: PreparedStatement | undefined;
	private _sizeBytes = 0;
	private _hasLocal = false;
	private _needsEndpoint = false;
	private _executesUnknown = false;
	private _hasPortal = false;

	constructor(prepared: PreparedStatements, classifier: StatementClassifier, limits: CycleLimits = statementDefaults) {
		this._prepared = prepared;
		this._classifier = classifier;
		this._limits = limits;
		this._adders = new Map<number, Add>([
			[frontendCodes.parse, frame => this._addParse(frame)],
			[frontendCodes.bind, frame => this._addBind(frame)],
			[frontendCodes.describe, frame => this._addDescribe(frame)],
			[frontendCodes.execute, frame => this._addExecute(frame)],
			[frontendCodes.close, frame => this._addClose(frame)],
		]);
	}

	/** Whether no message was added since the last cycle. */
	get isEmpty(): boolean {
		return this._sizeBytes === 0;
	}

	/** Whether a portal is made or used, which does not outlive a cycle outside a transaction. */
	get hasPortal(): boolean {
		return this._hasPortal;
	}

	/** Adds a message; a refusal means that nothing of the cycle may run. */
	add(frame: Uint8Array): Refusal | undefined {
		this._sizeBytes += frame.length;
		if (this._sizeBytes > this._limits.maximumCycleBytes || this._frames.length >= this._limits.maximumCycleMessages) {
			return new Refusal('messageTooLarge', 'too much was sent without Sync');
		}

		const adder = this._adders.get(frame[0] ?? 0);
		return adder ? adder(frame) : malformed();
	}

	/** Ends the cycle; `before` is the transaction as it is now. */
	build(before: TransactionState): Either<Refusal, BuiltCycle> {
		const cycle = this._build(before);
		this.reset();
		return cycle;
	}

	/** Forgets the messages that were added. */
	reset(): void {
		if (this.isEmpty) {
			return;
		}

		this._frames = [];
		this._messages = [];
		this._expected = [];
		this._executed = [];
		this._parsed = [];
		this._names.clear();
		this._portals.clear();
		this._current = undefined;
		this._sizeBytes = 0;
		this._hasLocal = false;
		this._needsEndpoint = false;
		this._executesUnknown = false;
		this._hasPortal = false;
	}

	private _build(before: TransactionState): Either<Refusal, BuiltCycle> {
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
		return this._parsed.every(({statements}) => statements.every(statement =>
			isRead(statement) || executed.has(statement)));
	}

	private _find(name: string): PreparedStatement | undefined {
		return this._names.has(name) ? this._names.get(name) : this._prepared.get(name);
	}

	private _addParse(frame: Uint8Array): Refusal | undefined {
		const name = readText(frame, headerBytes);
		const text = name && readText(frame, name.end);
		if (!text) {
			return malformed();
		}

		const statement = this._prepare(frame, name.end, text.text);
		if (statement instanceof Refusal) {
			return statement;
		}

		const refusal = this._prepared.refusalFor(name.text, statement.parseFrame.length);
		if (refusal) {
			return refusal;
		}

		this._names.set(name.text, statement);
		this._messages.push({code: frontendCodes.parse, statement, name: name.text});
		if (statement.isLocal) {
			this._hasLocal = true;
			return undefined;
		}

		this._push(statement.parseFrame, {isInjected: false, name: name.text, statement});
		this._parsed.push(statement);
		this._current = statement;
		return undefined;
	}

	private _prepare(frame: Uint8Array, nameEnd: number, text: string): PreparedStatement | Refusal {
		const statements = this._classifier.classify(text);
		const refused = statements.find(statement => statement.kind === 'refused');
		if (refused) {
			return new Refusal('unsupportedStatement', refused.reason);
		}

		const isLocal = statements.every(statement => statement.kind === 'local');
		if (statements.length > 1 && statements.some(statement => statement.kind === 'local')) {
			return new Refusal('unsupportedStatement', 'a prepared statement can hold only one command');
		}

		// A copy, because the received bytes are not kept after the cycle.
		return {parseFrame: makeFrame(frontendCodes.parse, noName, frame.subarray(nameEnd)), statements, isLocal};
	}

	private _addBind(frame: Uint8Array): Refusal | undefined {
		const portal = readText(frame, headerBytes);
		const name = portal && readText(frame, portal.end);
		if (!name) {
			return malformed();
		}

		this._hasPortal = true;
		const statement = this._find(name.text);
		if (statement) {
			this._portals.set(portal.text, statement);
		}

		if (this._isAnsweredHere(frontendCodes.bind, statement)) {
			return undefined;
		}

		this._use(statement);
		const statementName = statement ? noName : nameForUnknown(name.text);
		this._push(makeFrame(frontendCodes.bind, frame.subarray(headerBytes, portal.end), statementName, frame.subarray(name.end)));
		return undefined;
	}

	private _addDescribe(frame: Uint8Array): Refusal | undefined {
		const name = readText(frame, headerBytes + 1);
		if (!name) {
			return malformed();
		}

		const isPortal = frame[headerBytes] === targetCodes.portal;
		const statement = isPortal ? this._portals.get(name.text) : this._find(name.text);
		if (this._isAnsweredHere(frontendCodes.describe, statement, isPortal ? undefined : name.text)) {
			return undefined;
		}

		if (isPortal) {
			this._hasPortal = true;
			this._push(frame);
			return undefined;
		}

		this._use(statement);
		this._push(makeFrame(frontendCodes.describe, Uint8Array.of(targetCodes.statement), statement ? noName : nameForUnknown(name.text)));
		return undefined;
	}

	private _addExecute(frame: Uint8Array): Refusal | undefined {
		const portal = readText(frame, headerBytes);
		if (!portal) {
			return malformed();
		}

		this._hasPortal = true;
		const statement = this._portals.get(portal.text);
		if (this._isAnsweredHere(frontendCodes.execute, statement)) {
			return undefined;
		}

		for (const executed of statement?.statements ?? []) {
			if (executed.kind === 'relayed') {
				this._executed.push(executed);
			}
		}

		this._executesUnknown ||= !statement;
		this._push(frame);
		return undefined;
	}

	private _addClose(frame: Uint8Array): Refusal | undefined {
		const name = readText(frame, headerBytes + 1);
		if (!name) {
			return malformed();
		}

		if (frame[headerBytes] === targetCodes.portal) {
			return this._closePortal(frame, name.text);
		}

		// Needs no endpoint; but among others it keeps its place in the order of replies.
		this._names.set(name.text, undefined);
		this._messages.push({code: frontendCodes.close, statement: undefined, name: name.text});
		this._frames.push(makeFrame(frontendCodes.close, Uint8Array.of(targetCodes.statement), noName));
		this._expected.push({isInjected: false, name: name.text});
		this._current = undefined;
		return undefined;
	}

	private _closePortal(frame: Uint8Array, name: string): Refusal | undefined {
		const statement = this._portals.get(name);
		this._portals.delete(name);
		if (!this._isAnsweredHere(frontendCodes.close, statement)) {
			this._hasPortal = true;
			this._push(frame, {isInjected: false});
		}

		return undefined;
	}

	/** Notes a message; whether it is about a statement that the proxy answers itself. */
	private _isAnsweredHere(code: number, statement: PreparedStatement | undefined, name?: string): boolean {
		this._messages.push({code, statement, name});
		this._hasLocal ||= statement?.isLocal === true;
		return statement?.isLocal === true;
	}

	/** Sees that the endpoint's unnamed statement is this one. */
	private _use(statement: PreparedStatement | undefined): void {
		if (!statement || statement === this._current) {
			return;
		}

		this._push(statement.parseFrame, {isInjected: true});
		this._parsed.push(statement);
		this._current = statement;
	}

	private _push(frame: Uint8Array, expected?: ExpectedReply): void {
		this._needsEndpoint = true;
		this._frames.push(frame);
		if (expected) {
			this._expected.push(expected);
		}
	}
}

function malformed(): Refusal {
	return new Refusal('malformedMessage');
}

function isRead(statement: Statement): boolean {
	return statement.kind === 'relayed' && statement.access === 'read';
}

function nameForUnknown(name: string): Uint8Array {
	return name === '' ? unknownName : encodeText(name);
}

