/**
 * Runs one request cycle on one connection, within its deadline.
 */
import type {Either} from 'purify-ts';
import {Left} from 'purify-ts';
import type {EndpointConnection, EndpointFault, ExchangeEnd} from '../services/services.js';
import {withTimeout} from '../lifecycle/timing.js';
import type {Acknowledgement} from './acknowledgement.js';
import type {BufferedBytes} from './answer-buffer.js';
import {AnswerBuffer} from './answer-buffer.js';
import type {HomeContext, RunningRequest} from './types.js';

/** Result of a request cycle; the answer, or the rest of it, is still buffered. */
export type StatementOutcome = {
	readonly result: Either<EndpointFault, ExchangeEnd>;
	readonly answer: AnswerBuffer;
	/** The exchange, if it was abandoned while still running: its deadline passed or the primary was replaced. */
	readonly overdue: Promise<unknown> | undefined;
};

/** Runs request cycles on the connections of one endpoint. */
export class StatementRunner {
	private readonly _context: HomeContext;
	private readonly _acknowledgement: Acknowledgement;
	private readonly _buffered: BufferedBytes = {totalBytes: 0};
	/** Callbacks that end the wait for an exchange on the primary, by request. */
	private readonly _abandonCallbacks = new Map<RunningRequest, () => void>();

	constructor(context: HomeContext, acknowledgement: Acknowledgement) {
		this._context = context;
		this._acknowledgement = acknowledgement;
	}

	/** Number of answer bytes that are buffered. */
	get bufferedBytes(): number {
		return this._buffered.totalBytes;
	}

	/**
	 * Abandons the exchanges with a primary that has been replaced: their results can no longer
	 * be confirmed, so that waiting for them would only delay the answers to the callers.
	 */
	onReplaced(): void {
		for (const giveUp of this._abandonCallbacks.values()) {
			giveUp();
		}
	}

	async run(run: RunningRequest, connection: EndpointConnection): Promise<StatementOutcome> {
		const answer = this._createBuffer(run, connection);
		const cancel = (): void => {
			connection.cancel();
		};

		run.isSent = true;
		run.isRunning = true;
		run.signal.addEventListener('abort', cancel, {once: true});
		const exchange = connection.exchange(run.request.frames, answer);
		const result = await this._awaitResult(exchange, run, connection);
		run.signal.removeEventListener('abort', cancel);
		run.isRunning = false;
		if (result) {
			return {result, answer, overdue: undefined};
		}

		const isLate = this._context.clock.nowMs() >= run.deadlineMs;
		const fault: EndpointFault = {mayHaveReached: true, detail: isLate ? 'no answer before the deadline' : 'the primary was replaced'};
		return {result: Left(fault), answer, overdue: exchange};
	}

	/** Waits for the result; at the deadline, cancels the statement and waits `cancelGraceMs` longer. Undefined if no result came, or at once if the primary was replaced. */
	private async _awaitResult(
		exchange: Promise<Either<EndpointFault, ExchangeEnd>>,
		run: RunningRequest,
		connection: EndpointConnection,
	): Promise<Either<EndpointFault, ExchangeEnd> | undefined> {
		const {clock, options} = this._context;
		const answered = withTimeout(clock, exchange, run.deadlineMs - clock.nowMs());
		const result = await (run.isOnPrimary ? this._raceReplacement(run, answered) : answered);
		if (result) {
			return result;
		}

		connection.cancel();
		return clock.nowMs() < run.deadlineMs ? undefined : withTimeout(clock, exchange, options.cancelGraceMs);
	}

	/** Returns the result, or undefined as soon as the primary has been replaced. */
	private async _raceReplacement<T>(run: RunningRequest, answered: Promise<T | undefined>): Promise<T | undefined> {
		const replaced = new Promise<undefined>(resolve => {
			this._abandonCallbacks.set(run, () => {
				resolve(undefined);
			});
		});
		const result = await Promise.race([answered, replaced]);
		this._abandonCallbacks.delete(run);
		return result;
	}

	private _createBuffer(run: RunningRequest, connection: EndpointConnection): AnswerBuffer {
		const {request, sink} = run;
		return new AnswerBuffer({
			sink,
			buffered: this._buffered,
			options: this._context.options,
			gate: run.isOnPrimary ? async () => this._gate(run) : undefined,
			isGatedFromStart: !request.isInTransaction,
			onStopped() {
				connection.cancel();
			},
		});
	}

	private async _gate(run: RunningRequest) {
		return await this._acknowledgement.awaitProof(run) ?? this._acknowledgement.confirmPartial(run);
	}
}
