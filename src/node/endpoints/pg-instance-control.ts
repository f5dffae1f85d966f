/**
 * A control connection: receives state reports and sends control commands, one at a time.
 *
 * A command that was sent but not answered in time is settled with a fault. It stays first in the
 * queue until its answer arrives, so that the answer is not matched to the next command. The
 * connection is not closed instead, since that would detach the home that is bound to it.
 */
import {serialize} from 'pg-protocol';
import {Left, Right, type Either} from 'purify-ts';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import {Emitter, type Event} from '../../common/lifecycle/emitter.js';
import type {
	Clock, EndpointAddress, EndpointFault, InstanceControl, InstanceState, TermClaim,
} from '../../common/services/services.js';
import {backendTypes, stateParameter} from './constants.js';
import type {FrameSocket} from './frame-socket.js';
import {
	describeType, framesIn, readError, readParameter, readRow,
} from './frames.js';
import {parseInstanceState} from './instance-state-parser.js';
import {OnceEmitter} from './once-emitter.js';
import {messageOf, ProtocolError} from './protocol-error.js';
import type {StartedSession} from './types.js';

type CommandResult = Either<EndpointFault, readonly string[]>;

type ControlCommand = {
	readonly sql: string;
	readonly settle: (result: CommandResult) => void;
	timer: Disposable | undefined;
	isSent: boolean;
	row: readonly string[] | undefined;
	sqlState: string | undefined;
};

type FrameHandler = (control: PgInstanceControl, batch: Uint8Array, bodyStart: number, end: number) => void;

const ignore: FrameHandler = () => undefined;

const handlers = new Map<number, FrameHandler>([
	[backendTypes.parameterStatus, (control, batch, bodyStart, end) => {
		control.handleParameter(batch, bodyStart, end);
	}],
	[backendTypes.dataRow, (control, batch, bodyStart, end) => {
		control.handleRow(readRow(batch, bodyStart, end));
	}],
	[backendTypes.errorResponse, (control, batch, bodyStart, end) => {
		control.handleError(readError(batch, bodyStart, end).sqlState);
	}],
	[backendTypes.readyForQuery, control => {
		control.completeCommand();
	}],
	[backendTypes.rowDescription, ignore],
	[backendTypes.commandComplete, ignore],
	[backendTypes.emptyQueryResponse, ignore],
	[backendTypes.noticeResponse, ignore],
	[backendTypes.notificationResponse, ignore],
]);

const flags = new Map([['t', true], ['f', false]]);

/** One control connection to one instance. */
export class PgInstanceControl implements InstanceControl {
	/** Fires once when the connection has ended; listeners that subscribe later are called as well. */
	readonly onClose: Event<void>;
	/** Fires on every state report; the first listener also gets the report made at start-up. */
	readonly onState: Event<InstanceState>;
	private readonly _frames: FrameSocket;
	private readonly _clock: Clock;
	private readonly _commandTimeoutMs: number;
	private readonly _closing = new OnceEmitter();
	private readonly _onState = new Emitter<InstanceState>();
	private readonly _commands: ControlCommand[] = [];
	private _firstState: InstanceState | undefined;
	private _fatalSqlState: string | undefined;

	constructor(session: StartedSession, clock: Clock, commandTimeoutMs: number) {
		this.onClose = this._closing.event;
		this._frames = session.frames;
		this._clock = clock;
		this._commandTimeoutMs = commandTimeoutMs;
		const report = session.parameters.get(stateParameter);
		if (report !== undefined) {
			this._firstState = readState(report);
		}

		this.onState = listener => {
			const state = this._firstState;
			this._firstState = undefined;
			if (state) {
				queueMicrotask(() => {
					listener(state);
				});
			}

			return this._onState.event(listener);
		};

		void this._run();
	}

	async readState(): Promise<Either<EndpointFault, InstanceState>> {
		const answer = await this._sendCommand('SELECT quetzalstream_state()');
		return answer.chain(([state]) => stateOf(state));
	}

	async raiseTerm(term: number, claimId: string): Promise<Either<EndpointFault, TermClaim>> {
		return this._claim(`SELECT quetzalstream_raise_term(${term}, ${quote(claimId)})`);
	}

	async promote(term: number, claimId: string): Promise<Either<EndpointFault, TermClaim>> {
		return this._claim(`SELECT quetzalstream_promote(${term}, ${quote(claimId)})`);
	}

	async follow(term: number, primary: EndpointAddress): Promise<Either<EndpointFault, TermClaim>> {
		return this._claim(`SELECT quetzalstream_follow(${term}, ${quote(primary.host)}, ${primary.port})`);
	}

	async attach(homeId: string, isForced: boolean): Promise<Either<EndpointFault, {isAttached: boolean; holder: string}>> {
		const answer = await this._sendCommand(`SELECT quetzalstream_attach(${quote(homeId)}, ${isForced})`);
		return answer.chain(([accepted, holder]) =>
			flagOf(accepted).map(isAttached => ({isAttached, holder: holder ?? ''})));
	}

	async detach(homeId: string): Promise<Either<EndpointFault, void>> {
		const answer = await this._sendCommand(`SELECT quetzalstream_detach(${quote(homeId)})`);
		return answer.chain(([accepted]) => flagOf(accepted)).map(() => undefined);
	}

	dispose(): void {
		if (this._frames.isWritable) {
			this._frames.end(serialize.end());
		}

		this._finish();
	}

	/** Handles a ParameterStatus; only state reports are used. */
	handleParameter(batch: Uint8Array, bodyStart: number, end: number): void {
		const {name, value} = readParameter(batch, bodyStart, end);
		if (name === stateParameter) {
			this._firstState = undefined;
			this._onState.fire(readState(value));
		}
	}

	/** Handles the row that answers the command in progress. */
	handleRow(row: readonly string[]): void {
		const order = this._commandInProgress();
		if (order.row) {
			throw new ProtocolError('control command was answered with more than one row');
		}

		order.row = row;
	}

	/** Handles an error of the command in progress, or of the connection if there is none. */
	handleError(sqlState: string): void {
		const [order] = this._commands;
		if (order?.isSent) {
			order.sqlState ??= sqlState;
		} else {
			this._fatalSqlState ??= sqlState;
		}
	}

	/** Settles the command in progress and sends the next one. */
	completeCommand(): void {
		const order = this._commandInProgress();
		this._commands.shift();
		settleCommand(order);
		this._sendNext();
	}

	private async _claim(sql: string): Promise<Either<EndpointFault, TermClaim>> {
		const answer = await this._sendCommand(sql);
		return answer.chain(([accepted, state]) =>
			flagOf(accepted).chain(isAccepted =>
				stateOf(state).map(instance => ({isAccepted, state: instance}))));
	}

	private async _sendCommand(sql: string): Promise<CommandResult> {
		if (this._closing.hasFired || !this._frames.isWritable) {
			return Left({mayHaveReached: false, detail: this._frames.closeDetail});
		}

		return new Promise(resolve => {
			const order: ControlCommand = {
				sql, settle: resolve, timer: undefined, isSent: false, row: undefined, sqlState: undefined,
			};
			order.timer = this._clock.setTimer(this._commandTimeoutMs, () => {
				this._timeOut(order);
			});
			this._commands.push(order);
			this._sendNext();
		});
	}

	private _sendNext(): void {
		const [order] = this._commands;
		if (order && !order.isSent) {
			order.isSent = this._frames.write(serialize.query(order.sql));
		}
	}

	private _timeOut(order: ControlCommand): void {
		if (!order.isSent) {
			this._commands.splice(this._commands.indexOf(order), 1);
		}

		order.settle(Left({
			mayHaveReached: order.isSent,
			detail: `no answer within ${this._commandTimeoutMs} ms`,
		}));
	}

	private _commandInProgress(): ControlCommand {
		const [order] = this._commands;
		if (!order?.isSent) {
			throw new ProtocolError('answer without a control command');
		}

		return order;
	}

	/** Reads and handles messages until the connection ends. */
	private async _run(): Promise<void> {
		try {
			for (;;) {
				const batch = await this._frames.read();
				if (!batch) {
					break;
				}

				this._handleBatch(batch);
			}
		} catch (error) {
			this._frames.destroy(messageOf(error));
		}

		this._finish();
	}

	private _handleBatch(batch: Uint8Array): void {
		for (const {type, bodyStart, end} of framesIn(batch)) {
			const handler = handlers.get(type);
			if (!handler) {
				throw new ProtocolError(`${describeType(type)} on a control connection`);
			}

			handler(this, batch, bodyStart, end);
		}
	}

	private _finish(): void {
		if (this._closing.hasFired) {
			return;
		}

		for (const order of this._commands.splice(0)) {
			order.timer?.dispose();
			const sqlState = order.sqlState ?? this._fatalSqlState;
			order.settle(Left({
				mayHaveReached: order.isSent,
				detail: this._frames.closeDetail,
				...(sqlState !== undefined && {sqlState}),
			}));
		}

		this._closing.fire();
	}
}

function settleCommand(order: ControlCommand): void {
	order.timer?.dispose();
	if (order.sqlState !== undefined) {
		order.settle(Left({mayHaveReached: true, detail: 'the endpoint refused the control command', sqlState: order.sqlState}));
		return;
	}

	order.settle(order.row
		? Right(order.row)
		: Left({mayHaveReached: true, detail: 'control command was answered without a row'}));
}

function readState(value: string): InstanceState {
	const state = parseInstanceState(value);
	if (!state) {
		throw new ProtocolError('state report is malformed');
	}

	return state;
}

function stateOf(value: string | undefined): Either<EndpointFault, InstanceState> {
	const state = value === undefined ? undefined : parseInstanceState(value);
	return state ? Right(state) : Left({mayHaveReached: true, detail: 'state report is malformed'});
}

function flagOf(value: string | undefined): Either<EndpointFault, boolean> {
	const flag = flags.get(value ?? '');
	return flag === undefined ? Left({mayHaveReached: true, detail: 'flag in the answer to a control command is malformed'}) : Right(flag);
}

/** Quotes text as an SQL string literal. */
function quote(text: string): string {
	return `'${text.replaceAll('\'', '\'\'')}'`;
}
