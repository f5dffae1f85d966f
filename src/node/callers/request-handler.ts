/** Handles the messages of one caller after start-up, one after another. */
import {Refusal} from '../../common/errors/error-kinds.js';
import type {CallerSession} from '../../common/sessions/caller-session.js';
import {AnswerFilter} from '../../common/statements/answer-filter.js';
import {frontendCodes} from '../../common/statements/constants.js';
import {CycleBuilder} from '../../common/statements/cycle-builder.js';
import type {BuiltCycle} from '../../common/statements/cycle-draft.js';
import {commandComplete, headerBytes, readText} from '../../common/statements/frames.js';
import {answerMessages, answerStatements, type LocalAnswer} from '../../common/statements/local-answers.js';
import {PreparedStatements} from '../../common/statements/prepared-statements.js';
import type {StatementClassifier} from '../../common/statements/statement-classifier.js';
import {planTransaction} from '../../common/statements/transaction-plan.js';
import type {RelayedStatement, Statement, TransactionState} from '../../common/statements/types.js';
import type {AnswerTerminator, CycleRunner} from './cycle-runner.js';

/** Whether the connection continues after a message. */
export type Continuation = 'goOn' | 'end';

type Handle = (frame: Uint8Array) => Continuation | Promise<Continuation>;

/** Codes of COPY messages, which a caller may still send after COPY was refused. */
const copyCodes = [0x64, 0x63, 0x66];
const terminateCode = 0x58;
const functionCallCode = 0x46;

/** Handles messages of one session. */
export class RequestHandler {
	private readonly _session: CallerSession;
	private readonly _runner: CycleRunner;
	private readonly _classifier: StatementClassifier;
	private readonly _prepared = new PreparedStatements();
	private readonly _builder: CycleBuilder;
	private readonly _handlers: ReadonlyMap<number, Handle>;
	/** Whether messages up to the next Sync are skipped, as after an error of the extended protocol. */
	private _isSkipping = false;

	constructor(session: CallerSession, runner: CycleRunner, classifier: StatementClassifier) {
		this._session = session;
		this._runner = runner;
		this._classifier = classifier;
		this._builder = new CycleBuilder(this._prepared, classifier);
		const onExtended: Handle = async frame => this._addMessage(frame);
		this._handlers = new Map<number, Handle>([
			[frontendCodes.query, async frame => this._query(frame)],
			[frontendCodes.parse, onExtended],
			[frontendCodes.bind, onExtended],
			[frontendCodes.describe, onExtended],
			[frontendCodes.execute, onExtended],
			[frontendCodes.close, onExtended],
			[frontendCodes.flush, async () => this._flush()],
			[frontendCodes.sync, async () => this._sync()],
			[functionCallCode, async () => this._refuse(new Refusal('unsupportedStatement', 'the function call message is not relayed'), 'ready')],
			[terminateCode, () => 'end'],
			...copyCodes.map(code => [code, (): Continuation => 'goOn'] as const),
		]);
	}

	/** Whether no message is buffered for a request cycle that is not yet complete. */
	get isBetweenCycles(): boolean {
		return this._builder.isEmpty;
	}

	/** Whether the caller is between requests and outside a transaction. */
	get isIdle(): boolean {
		return this._builder.isEmpty && !this._isSkipping && !this._session.isInTransaction;
	}

	/** Handles one message. */
	handle(frame: Uint8Array): Continuation | Promise<Continuation> {
		const handler = this._handlers.get(frame[0] ?? 0);
		if (!handler) {
			return this._refuse(new Refusal('malformedMessage', 'unknown message'), 'flush');
		}

		return handler(frame);
	}

	private get _transaction(): TransactionState {
		return {
			isOpen: this._session.transactionStatus !== 'idle',
			isReadOnly: this._session.isReadOnlyTransaction,
		};
	}

	private async _refuse(refusal: Refusal, end: AnswerTerminator): Promise<Continuation> {
		await this._runner.refuse(refusal, end);
		return refusal.answer.severity === 'FATAL' ? 'end' : 'goOn';
	}

	private async _query(frame: Uint8Array): Promise<Continuation> {
		if (this._isSkipping) {
			return 'goOn';
		}

		const text = readText(frame, headerBytes);
		if (text?.end !== frame.length) {
			return this._refuse(new Refusal('malformedMessage'), 'flush');
		}

		if (!this._builder.isEmpty) {
			this._builder.reset();
			return this._refuse(new Refusal('unsupportedStatement', 'a simple query came before Sync'), 'ready');
		}

		const statements = this._classifier.classify(text.text);
		const refused = statements.find(statement => statement.kind === 'refused');
		if (refused) {
			return this._refuse(new Refusal('unsupportedStatement', refused.reason), 'ready');
		}

		return this._runStatements(frame, statements);
	}

	private async _runStatements(frame: Uint8Array, statements: readonly Statement[]): Promise<Continuation> {
		const relayed = statements.filter(statement => statement.kind === 'relayed');
		if (this._session.isFailedByProxy && !this._isSavepointRollback(relayed)) {
			return this._endFailedTransaction(relayed, statements.length, () => [commandComplete('ROLLBACK')], 'ready');
		}

		if (relayed.length === 0) {
			return this._answerLocally(answerStatements(statements, {session: this._session, prepared: this._prepared}), 'ready');
		}

		if (relayed.length < statements.length) {
			return this._refuse(new Refusal('unsupportedStatement', 'statements that the proxy answers need a query of their own'), 'ready');
		}

		const plan = planTransaction(relayed, this._transaction);
		if (plan.refusal !== undefined) {
			return this._refuse(new Refusal('unsupportedStatement', plan.refusal), 'ready');
		}

		const refusal = await this._runner.run(frame, plan, 'ready');
		return this._continuationAfter(refusal);
	}

	/**
	 * Whether the statement rolls back to a savepoint of a transaction that its endpoint still
	 * holds; if so, the transaction no longer counts as failed.
	 */
	private _isSavepointRollback(statements: readonly RelayedStatement[]): boolean {
		const isRecoverable = this._session.heldEndpoint !== undefined
			&& statements.length === 1
			&& statements[0]?.transaction.kind === 'rollbackTo';
		if (isRecoverable) {
			this._session.isFailedByProxy = false;
		}

		return isRecoverable;
	}

	/** In a transaction that a refusal of this proxy failed, accepts only the statement that ends it. */
	private async _endFailedTransaction(
		statements: readonly RelayedStatement[],
		count: number,
		onEnded: () => readonly Uint8Array[],
		end: AnswerTerminator,
	): Promise<Continuation> {
		const isEnd = statements.length === 1 && count === 1 && isTransactionEnd(statements[0]);
		if (!isEnd) {
			return this._refuse(new Refusal('transactionFailed'), end);
		}

		await this._runner.rollBack();
		await this._runner.finish(onEnded(), end);
		return 'goOn';
	}

	private async _answerLocally(answer: LocalAnswer, end: AnswerTerminator): Promise<Continuation> {
		if (!answer.refusal) {
			await this._runner.finish(answer.frames, end);
			return 'goOn';
		}

		await this._runner.finish(answer.frames, 'flush');
		return this._refuse(answer.refusal, end);
	}

	private _continuationAfter(refusal: Refusal | undefined): Continuation {
		return refusal?.answer.severity === 'FATAL' ? 'end' : 'goOn';
	}

	private _addMessage(frame: Uint8Array): Continuation | Promise<Continuation> {
		if (this._isSkipping) {
			return 'goOn';
		}

		const refusal = this._builder.add(frame);
		return refusal ? this._refuseUntilSync(refusal) : 'goOn';
	}

	/** Refuses the buffered messages and skips what follows up to Sync. */
	private async _refuseUntilSync(refusal: Refusal): Promise<Continuation> {
		this._builder.reset();
		this._isSkipping = true;
		return this._refuse(refusal, 'flush');
	}

	/**
	 * Runs the buffered messages as a cycle of their own. To the caller this makes no difference
	 * if nothing was bound, or inside a transaction. In all other cases it would end the caller's
	 * implicit transaction early, so the Flush is refused.
	 */
	private async _flush(): Promise<Continuation> {
		if (this._isSkipping || this._builder.isEmpty) {
			return 'goOn';
		}

		if (this._builder.hasPortal && !this._session.isInTransaction) {
			return this._refuseUntilSync(new Refusal('unsupportedStatement', 'Flush after Bind needs an open transaction; send Sync'));
		}

		const continuation = await this._runBuffered('flush');
		return continuation;
	}

	private async _sync(): Promise<Continuation> {
		if (!this._isSkipping && !this._builder.isEmpty) {
			return this._runBuffered('ready');
		}

		this._isSkipping = false;
		await this._runner.finish([], 'ready');
		return 'goOn';
	}

	private async _runBuffered(end: AnswerTerminator): Promise<Continuation> {
		const built = this._builder.build(this._transaction);
		return built
			.map(async cycle => this._runCycle(cycle, end))
			.mapLeft(async refusal => this._failCycle(refusal, end))
			.extract();
	}

	/** Refuses a whole cycle; if Flush ended it, also skips what follows up to Sync. */
	private async _failCycle(refusal: Refusal, end: AnswerTerminator): Promise<Continuation> {
		this._isSkipping = end === 'flush';
		return this._refuse(refusal, end);
	}

	private async _runCycle(cycle: BuiltCycle, end: AnswerTerminator): Promise<Continuation> {
		const context = {session: this._session, prepared: this._prepared};
		if (cycle.kind === 'local') {
			return this._answerLocally(answerMessages(cycle.messages, context), end);
		}

		if (this._session.isFailedByProxy && !this._isSavepointRollback(cycle.executed)) {
			this._isSkipping = end === 'flush';
			return this._endFailedTransaction(cycle.executed, cycle.executed.length, () => answerMessages(cycle.messages, context).frames, end);
		}

		if (cycle.plan.refusal !== undefined) {
			return this._failCycle(new Refusal('unsupportedStatement', cycle.plan.refusal), end);
		}

		const filter = cycle.expected.length > 0 ? new AnswerFilter(cycle.expected, this._prepared) : undefined;
		const refusal = await this._runner.run(cycle.frames, cycle.plan, end, filter);
		this._isSkipping = end === 'flush' && refusal !== undefined;
		return this._continuationAfter(refusal);
	}
}

function isTransactionEnd(statement: RelayedStatement | undefined): boolean {
	return statement?.transaction.kind === 'commit' || statement?.transaction.kind === 'rollback';
}
