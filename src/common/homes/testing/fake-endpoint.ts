/**
 * An endpoint for tests of homes: it answers simple queries, isolates transactions, and breaks
 * connections where a test sets a break point.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {Emitter} from '../../lifecycle/emitter.js';
import type {LogPosition} from '../../positions/log-position.js';
import type {
	AnswerSink, Clock, EndpointAddress, EndpointConnection, EndpointConnector, EndpointFault, ExchangeEnd,
	InstanceControl, InstanceState, TransactionStatus,
} from '../../services/services.js';
import {pauseFor} from '../../lifecycle/timing.js';
import {errorMessage, message, queryOf} from './frames.js';

/** Point of an exchange at which the connection breaks. */
export type BreakPoint = 'beforeSend' | 'afterSend' | 'midAnswer' | 'afterAnswer';

const fault = (mayHaveReached: boolean, sqlState?: string): EndpointFault => ({mayHaveReached, detail: 'cut by the test', sqlState});

/** One endpoint with its attached home, its open connections and the end of its log. */
export class FakeEndpoint implements EndpointConnector {
	readonly connections = new Set<FakeConnection>();
	/** Statements in the order in which they began. */
	readonly statements: string[] = [];
	/** Writes that took effect. */
	readonly committed = new Set<string>();
	holder = '';
	connectionLimit = 20;
	serviceMs = 1;
	connectMs = 10;
	isRefusingConnections = false;
	breakAt: BreakPoint | undefined;
	/** Size of the row of every answer, in bytes. */
	rowBytes = 20;
	running = 0;
	maximumRunning = 0;
	maximumConnections = 0;
	attachCount = 0;
	forcedCount = 0;
	control: FakeControl | undefined;
	state: InstanceState;
	private readonly _clock: Clock;

	constructor(clock: Clock, role: InstanceState['role'] = 'primary') {
		this._clock = clock;
		const position = {term: 1, offset: 10};
		this.state = {
			role, promisedTerm: 1, claimId: '', received: position, applied: position, isStreaming: true,
		};
	}

	/** Opens a new control connection. */
	connectNow(): FakeControl {
		this.control = new FakeControl(this);
		return this.control;
	}

	/** Changes the state and reports it. */
	report(change: Partial<InstanceState>): void {
		this.state = {...this.state, ...change};
		this.control?.states.fire(this.state);
	}

	moveTo(position: LogPosition): void {
		this.report({received: position, applied: position});
	}

	async connectWork(_endpoint: EndpointAddress, homeId: string): Promise<Either<EndpointFault, EndpointConnection>> {
		await pauseFor(this._clock, this.connectMs);
		if (this.isRefusingConnections) {
			return Left(fault(false));
		}

		if (homeId !== this.holder) {
			return Left(fault(false, '55006'));
		}

		if (this.connections.size >= this.connectionLimit) {
			return Left(fault(false, '53300'));
		}

		const connection = new FakeConnection(this, this._clock);
		this.connections.add(connection);
		this.maximumConnections = Math.max(this.maximumConnections, this.connections.size);
		return Right(connection);
	}

	async connectControl(): Promise<Either<EndpointFault, InstanceControl>> {
		return Right(this.connectNow());
	}

	/** Ends the attach and breaks its work connections, as the loss of its control connection does. */
	revoke(): void {
		this.holder = '';
		for (const connection of this.connections) {
			connection.breakNow();
		}
	}
}

/** One work connection. */
export class FakeConnection implements EndpointConnection {
	isOpen = true;
	cancelCount = 0;
	transactionStatus: TransactionStatus = 'idle';
	/** Writes of the open transaction. */
	writes: string[] = [];
	private readonly _endpoint: FakeEndpoint;
	private readonly _clock: Clock;
	private readonly _closed = new Emitter<void>();
	private readonly _ended: Promise<void>;
	private _isBroken = false;
	private _end!: () => void;

	constructor(endpoint: FakeEndpoint, clock: Clock) {
		this._endpoint = endpoint;
		this._clock = clock;
		this._ended = new Promise(resolve => {
			this._end = resolve;
		});
	}

	get onClose() {
		return this._closed.event;
	}

	async exchange(frames: Uint8Array, sink: AnswerSink): Promise<Either<EndpointFault, ExchangeEnd>> {
		const endpoint = this._endpoint;
		if (!this.isOpen || endpoint.breakAt === 'beforeSend') {
			this.breakNow();
			return Left(fault(false));
		}

		const sql = queryOf(frames);
		endpoint.statements.push(sql);
		endpoint.running += 1;
		endpoint.maximumRunning = Math.max(endpoint.maximumRunning, endpoint.running);
		const serving = pauseFor(this._clock, endpoint.serviceMs);
		await Promise.race([serving, this._ended]);
		if (this.isOpen || this._isBroken) {
			endpoint.running -= 1;
			return this._answer(sql, sink);
		}

		// The home closed the connection; the statement goes on at the endpoint.
		void this._runOn(serving);
		return Left(fault(true));
	}

	cancel(): void {
		this.cancelCount += 1;
	}

	dispose(): void {
		this.isOpen = false;
		this._endpoint.connections.delete(this);
		this._end();
		this._closed.fire();
	}

	/** Closes the connection on the endpoint's side and ends the statement that runs on it. */
	breakNow(): void {
		if (this.isOpen) {
			this._isBroken = true;
			this.dispose();
		}
	}

	private async _runOn(serving: Promise<void>): Promise<void> {
		await serving;
		this._endpoint.running -= 1;
	}

	private async _answer(sql: string, sink: AnswerSink): Promise<Either<EndpointFault, ExchangeEnd>> {
		const endpoint = this._endpoint;
		if (!this.isOpen || endpoint.breakAt === 'afterSend') {
			this.breakNow();
			return Left(fault(true));
		}

		const verb = sql.split(' ', 1)[0];
		if (verb === 'INSERT' && endpoint.state.role !== 'primary') {
			await sink.push(errorMessage('25006'));
			return Right({transactionStatus: this.transactionStatus, position: endpoint.state.applied, errorSqlState: '25006'});
		}

		this._apply(sql, verb);
		await sink.push(message('D', 'x'.repeat(endpoint.rowBytes)));
		if (endpoint.breakAt === 'midAnswer') {
			this.breakNow();
			return Left(fault(true));
		}

		await sink.push(message('C', verb));
		if (endpoint.breakAt === 'afterAnswer') {
			this.breakNow();
			return Left(fault(true));
		}

		return Right({transactionStatus: this.transactionStatus, position: endpoint.state.applied});
	}

	private _apply(sql: string, verb: string): void {
		if (verb === 'INSERT') {
			this.writes.push(sql);
		}

		switch (verb) {
			case 'BEGIN': {
				this.transactionStatus = 'open';

				break;
			}

			case 'ROLLBACK': {
				this.writes = [];
				this.transactionStatus = 'idle';

				break;
			}

			case 'COMMIT': {
				this.transactionStatus = 'idle';

				break;
			}
		// No default
		}

		if (this.transactionStatus === 'idle' && this.writes.length > 0) {
			this._commit();
		}
	}

	private _commit(): void {
		const {committed, state} = this._endpoint;
		for (const write of this.writes.splice(0)) {
			committed.add(write);
		}

		const {term, offset} = state.received;
		this._endpoint.moveTo({term, offset: offset + 1});
	}
}

/** A control connection. */
export class FakeControl implements InstanceControl {
	readonly states = new Emitter<InstanceState>();
	readonly closed = new Emitter<void>();
	private readonly _endpoint: FakeEndpoint;

	constructor(endpoint: FakeEndpoint) {
		this._endpoint = endpoint;
	}

	get onClose() {
		return this.closed.event;
	}

	get onState() {
		return this.states.event;
	}

	async readState() {
		return Right(this._endpoint.state);
	}

	async raiseTerm() {
		return Right({isAccepted: false, state: this._endpoint.state});
	}

	async promote() {
		return this.raiseTerm();
	}

	async follow() {
		return this.raiseTerm();
	}

	async attach(homeId: string, isForced: boolean) {
		const endpoint = this._endpoint;
		endpoint.attachCount += 1;
		endpoint.forcedCount += isForced ? 1 : 0;
		if (endpoint.holder !== '' && endpoint.holder !== homeId) {
			if (!isForced) {
				return Right({isAttached: false, holder: endpoint.holder});
			}

			endpoint.revoke();
		}

		endpoint.holder = homeId;
		return Right({isAttached: true, holder: homeId});
	}

	async detach(homeId: string) {
		if (this._endpoint.holder === homeId) {
			this._endpoint.revoke();
		}

		return Right(undefined);
	}

	dispose(): void {
		this._endpoint.control = undefined;
		this.closed.fire();
		this._endpoint.revoke();
	}
}
