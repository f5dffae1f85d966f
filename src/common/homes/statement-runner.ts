/**
 * Runs one request cycle on one connection, within its deadline.
 */
import type {Either} from 'purify-ts';
import {Left} from 'purify-ts';
import type {EndpointConnection, EndpointFault, ExchangeEnd} from '../services/services.js';
import type {Acknowledgement} from './acknowledgement.js';
import type {HeldBytes} from './answer-hold.js';
import {AnswerHold} from './answer-hold.js';
import type {HomeContext, RunningRequest} from './types.js';
import {within} from './waiting.js';

/** How a request cycle went; the answer, or its end, is still held. */
export type StatementOutcome = {
	readonly result: Either<EndpointFault, ExchangeEnd>;
	readonly answer: AnswerHold;
	/** The exchange that was given up because its deadline passed, and still runs. */
	readonly overdue: Promise<unknown> | undefined;
};

/** Runs request cycles on the connections of one endpoint. */
export class StatementRunner {
	private readonly _context: HomeContext;
	private readonly _acknowledgement: Acknowledgement;
	private readonly _held: HeldBytes = {totalBytes: 0};

	constructor(context: HomeContext, acknowledgement: Acknowledgement) {
		this._context = context;
		this._acknowledgement = acknowledgement;
	}

	/** Bytes of answers that wait for confirmation. */
	get heldBytes(): number {
		return this._held.totalBytes;
	}

	async run(run: RunningRequest, connection: EndpointConnection): Promise<StatementOutcome> {
		const answer = this._answerFor(run, connection);
		const cancel = (): void => {
			connection.cancel();
		};

		run.isSent = true;
		run.isRunning = true;
		run.signal.addEventListener('abort', cancel, {once: true});
		const exchange = connection.exchange(run.request.frames, answer);
		const result = await this._endOf(exchange, run, connection);
		run.signal.removeEventListener('abort', cancel);
		run.isRunning = false;
		if (result) {
			return {result, answer, overdue: undefined};
		}

		const fault: EndpointFault = {mayHaveReached: true, detail: 'no answer before the deadline'};
		return {result: Left(fault), answer, overdue: exchange};
	}

	/** Past the deadline, the endpoint is asked to cancel and given a moment to say so. */
	private async _endOf(
		exchange: Promise<Either<EndpointFault, ExchangeEnd>>,
		run: RunningRequest,
		connection: EndpointConnection,
	): Promise<Either<EndpointFault, ExchangeEnd> | undefined> {
		const {clock, options} = this._context;
		const result = await within(clock, run.deadlineMs - clock.nowMs(), exchange);
		if (result) {
			return result;
		}

		connection.cancel();
		return within(clock, options.cancelGraceMs, exchange);
	}

	private _answerFor(run: RunningRequest, connection: EndpointConnection): AnswerHold {
		const {request, sink} = run;
		return new AnswerHold({
			sink,
			held: this._held,
			options: this._context.options,
			gate: run.isOnPrimary ? async () => this._gate(run) : undefined,
			isGatedFromStart: !request.isInTransaction,
			onStopped() {
				connection.cancel();
			},
		});
	}

	private async _gate(run: RunningRequest) {
		return await this._acknowledgement.proofRefusal(run) ?? this._acknowledgement.refusalSoFar(run);
	}
}
