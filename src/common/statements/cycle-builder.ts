/**
 * Collects the messages of the extended protocol up to Sync or Flush, and rewrites them so
 * that they run on any connection: statements are sent unnamed, and a statement that was
 * prepared in an earlier cycle is parsed again where it is used.
 */
import type {Either} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import {frontendCodes, statementDefaults, targetCodes} from './constants.js';
import {CycleDraft, type BuiltCycle} from './cycle-draft.js';
import {
	encodeText, headerBytes, isUtf8, makeFrame, readText,
} from './frames.js';
import type {PreparedStatement, PreparedStatements} from './prepared-statements.js';
import type {StatementClassifier} from './statement-classifier.js';
import type {TransactionState} from './types.js';

/** Limits of one cycle. */
export type CycleLimits = Pick<typeof statementDefaults, 'maximumCycleBytes' | 'maximumCycleMessages'>;

type AddMessage = (frame: Uint8Array, draft: CycleDraft) => Refusal | undefined;

const noName = Uint8Array.of(0);
/** Endpoints hold no named statements, so they report any name as unknown. */
const unknownName = encodeText('unnamed');
const closeUnnamed = makeFrame(frontendCodes.close, Uint8Array.of(targetCodes.statement), noName);

/** Builds the cycles of one session, one after another. */
export class CycleBuilder {
	private readonly _prepared: PreparedStatements;
	private readonly _classifier: StatementClassifier;
	private readonly _limits: CycleLimits;
	private readonly _adders: ReadonlyMap<number, AddMessage>;
	private _draft: CycleDraft | undefined;

	constructor(prepared: PreparedStatements, classifier: StatementClassifier, limits: CycleLimits = statementDefaults) {
		this._prepared = prepared;
		this._classifier = classifier;
		this._limits = limits;
		this._adders = new Map<number, AddMessage>([
			[frontendCodes.parse, this._addParse.bind(this)],
			[frontendCodes.bind, this._addBind.bind(this)],
			[frontendCodes.describe, this._addDescribe.bind(this)],
			[frontendCodes.execute, this._addExecute.bind(this)],
			[frontendCodes.close, this._addClose.bind(this)],
		]);
	}

	/** Whether no message was added since the last cycle was built. */
	get isEmpty(): boolean {
		return this._draft === undefined;
	}

	/** Whether the cycle creates or uses a portal; outside a transaction, a portal ends with its cycle. */
	get hasPortal(): boolean {
		return this._draft?.hasPortal === true;
	}

	/** Adds a message; if it returns a refusal, no message of the cycle may run. */
	add(frame: Uint8Array): Refusal | undefined {
		this._draft ??= new CycleDraft();
		this._draft.sizeBytes += frame.length;
		if (this._draft.sizeBytes > this._limits.maximumCycleBytes || this._draft.length >= this._limits.maximumCycleMessages) {
			return new Refusal('messageTooLarge', 'too much was sent without Sync');
		}

		const adder = this._adders.get(frame[0] ?? 0);
		return adder ? adder(frame, this._draft) : malformed();
	}

	/** Ends the cycle and builds it; `before` is the transaction state at its start. */
	build(before: TransactionState): Either<Refusal, BuiltCycle> {
		const draft = this._draft ?? new CycleDraft();
		this._draft = undefined;
		return draft.build(before);
	}

	/** Discards the messages that were added. */
	reset(): void {
		this._draft = undefined;
	}

	private _find(name: string, draft: CycleDraft): PreparedStatement | undefined {
		return draft.statementsByName.has(name) ? draft.statementsByName.get(name) : this._prepared.get(name);
	}

	private _addParse(frame: Uint8Array, draft: CycleDraft): Refusal | undefined {
		const name = readText(frame, headerBytes);
		const text = name && readText(frame, name.end);
		if (!text) {
			return malformed();
		}

		if (!isUtf8(frame.subarray(headerBytes, name.end))) {
			return new Refusal('unsupportedStatement', 'the name of a prepared statement is not UTF-8');
		}

		const statement = this._prepare(frame, name.end, text.text);
		if (statement instanceof Refusal) {
			return statement;
		}

		const refusal = this._prepared.refusalFor(name.text, statement.parseFrame.length);
		if (refusal) {
			return refusal;
		}

		draft.statementsByName.set(name.text, statement);
		if (!draft.note(frontendCodes.parse, statement, name.text)) {
			draft.parse(statement, {isInjected: false, name: name.text, statement});
		}

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

		// The frame is copied, because the buffer of the received bytes does not outlive the cycle.
		return {parseFrame: makeFrame(frontendCodes.parse, noName, frame.subarray(nameEnd)), statements, isLocal};
	}

	private _addBind(frame: Uint8Array, draft: CycleDraft): Refusal | undefined {
		const portal = readText(frame, headerBytes);
		const name = portal && readText(frame, portal.end);
		if (!name) {
			return malformed();
		}

		draft.hasPortal = true;
		const statement = this._find(name.text, draft);
		if (statement) {
			draft.statementsByPortal.set(portal.text, statement);
		}

		if (!draft.note(frontendCodes.bind, statement)) {
			draft.ensureParsed(statement);
			const endpointName = nameAtEndpoint(name.text, statement);
			draft.push(makeFrame(frontendCodes.bind, frame.subarray(headerBytes, portal.end), endpointName, frame.subarray(name.end)));
		}

		return undefined;
	}

	private _addDescribe(frame: Uint8Array, draft: CycleDraft): Refusal | undefined {
		const name = readText(frame, headerBytes + 1);
		if (!name) {
			return malformed();
		}

		if (frame[headerBytes] === targetCodes.portal) {
			this._describePortal(frame, name.text, draft);
		} else {
			this._describeStatement(name.text, draft);
		}

		return undefined;
	}

	private _describePortal(frame: Uint8Array, name: string, draft: CycleDraft): void {
		draft.hasPortal = true;
		if (!draft.note(frontendCodes.describe, draft.statementsByPortal.get(name))) {
			draft.push(frame);
		}
	}

	private _describeStatement(name: string, draft: CycleDraft): void {
		const statement = this._find(name, draft);
		if (!draft.note(frontendCodes.describe, statement, name)) {
			draft.ensureParsed(statement);
			draft.push(makeFrame(frontendCodes.describe, Uint8Array.of(targetCodes.statement), nameAtEndpoint(name, statement)));
		}
	}

	private _addExecute(frame: Uint8Array, draft: CycleDraft): Refusal | undefined {
		const portal = readText(frame, headerBytes);
		if (!portal) {
			return malformed();
		}

		draft.hasPortal = true;
		const statement = draft.statementsByPortal.get(portal.text);
		if (!draft.note(frontendCodes.execute, statement)) {
			draft.execute(frame, statement);
		}

		return undefined;
	}

	private _addClose(frame: Uint8Array, draft: CycleDraft): Refusal | undefined {
		const name = readText(frame, headerBytes + 1);
		if (!name) {
			return malformed();
		}

		if (frame[headerBytes] === targetCodes.portal) {
			this._closePortal(frame, name.text, draft);
			return undefined;
		}

		draft.note(frontendCodes.close, undefined, name.text);
		draft.close(closeUnnamed, name.text);
		return undefined;
	}

	private _closePortal(frame: Uint8Array, name: string, draft: CycleDraft): void {
		const statement = draft.statementsByPortal.get(name);
		draft.statementsByPortal.delete(name);
		if (!draft.note(frontendCodes.close, statement)) {
			draft.hasPortal = true;
			draft.push(frame, {isInjected: false});
		}
	}
}

function malformed(): Refusal {
	return new Refusal('malformedMessage');
}

/**
 * The name to send for a statement. Endpoints know statements only as the unnamed one, which
 * may be another statement; for one that the session does not have, a name is sent that the
 * endpoint reports as unknown.
 */
function nameAtEndpoint(name: string, statement: PreparedStatement | undefined): Uint8Array {
	if (statement) {
		return noName;
	}

	return name === '' ? unknownName : encodeText(name);
}
