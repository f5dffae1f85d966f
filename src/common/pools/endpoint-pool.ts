/**
 * This node's connections to one endpoint, and the queue in front of them.
 *
 * Every node connects to every endpoint itself. The endpoint limits the connections of all nodes
 * together and refuses any beyond the limit before it runs anything, so two nodes that open too many
 * cause refusals and never a wrong answer.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {ErrorKind} from '../errors/error-kinds.js';
import {SlotQueue} from '../homes/slot-queue.js';
import type {SlotLane} from '../homes/types.js';
import type {LoadReport} from '../load/load-report.js';
import {StatementFigures} from '../load/statement-figures.js';
import type {Disposable} from '../lifecycle/disposable.js';
import {toDisposable} from '../lifecycle/disposable.js';
import {ConnectionRetention} from '../load/connection-retention.js';
import type {LogPosition} from '../positions/log-position.js';
import type {
	ConnectionFault, EndpointAnswer, InternalStatement, RegisteredEndpoint,
} from '../services/services.js';
import {AnswerTimes} from './answer-times.js';
import {notServedErrors} from './constants.js';
import type {PoolOptions} from './constants.js';
import {HeldConnection} from './held-connection.js';
import {OpenConnections} from './open-connections.js';
import {PooledConnection} from './pooled-connection.js';
import type {
	BegunTransaction, EndpointStatement, ConnectionRole, PoolServices, ReportedStatus, StatementFault, StatementPool, TimedAnswer,
} from './types.js';

/** Kind of refusal for each fault of a connection. */
const refusalKinds: Record<ConnectionFault['kind'], ErrorKind> = {
	refused: 'endpointUnavailable',
	silent: 'endpointUnavailable',
	closed: 'endpointUnavailable',
	protocol: 'endpointUnavailable',
	wrongEndpoint: 'endpointUnavailable',
	tooManyConnections: 'overloaded',
	busy: 'overloaded',
	tooLong: 'messageTooLarge',
};

const faultCauses: Record<ConnectionFault['kind'], StatementFault['cause']> = {
	refused: 'refused',
	silent: 'silent',
	closed: 'closed',
	protocol: 'closed',
	wrongEndpoint: 'refused',
	tooManyConnections: 'full',
	busy: 'full',
	tooLong: undefined,
};

/** Maximum connections to one endpoint: held by transactions, idle, and idle but kept for `idleCloseMs`. */
type ConnectionLimits = {
	readonly held: number;
	readonly idle: number;
	readonly kept: number;
	/** Chooses which idle connection is closed where there are too many. */
	readonly retention?: ConnectionRetention;
};

const limitsByRole: Record<ConnectionRole, (options: PoolOptions) => ConnectionLimits> = {
	forItself: options => ({held: options.heldConnections, idle: options.idleConnections, kept: options.keptConnections}),
	forAll: options => ({held: options.heldConnectionsForAll, idle: options.idleConnectionsForAll, kept: options.keptConnections}),
	forNone: options => ({held: options.heldConnections, idle: options.idleConnections, kept: options.keptConnectionsForNone}),
};

/** Load of the endpoint as far as this pool knows it. */
type PoolLoad = Pick<LoadReport, 'waitsMs' | 'serviceMs' | 'failedShare' | 'measured'>;

/** Highest priority class that load reports distinguish, which bounds their size. */
const highestReportedClass = 3;

/** Runs statements at one endpoint. */
export class EndpointPool implements StatementPool, Disposable {
	readonly endpoint: RegisteredEndpoint;
	readonly answerTimes: AnswerTimes;
	readonly via = undefined;

	private readonly _services: PoolServices;
	private readonly _queue: SlotQueue;
	private readonly _connections: OpenConnections;
	private readonly _retention: ConnectionRetention | undefined;
	private readonly _halfShareUntilMs: number;
	private _held = 0;
	/** Connections that are being opened. */
	private _opening = 0;
	/** Statements still waiting for an answer whose slots were given to others. */
	private _overtaken = 0;
	private readonly _figures = new StatementFigures();
	private _highestClass = 0;
	private _reported: {readonly load: PoolLoad; readonly atMs: number} | undefined;
	private _avoidedUntilMs = Number.NEGATIVE_INFINITY;
	private _fullUntilMs = Number.NEGATIVE_INFINITY;

	/** Creates the pool; `startedAtMs` is when this node started, on its own clock. */
	constructor(endpoint: RegisteredEndpoint, services: PoolServices, startedAtMs: number) {
		this.endpoint = endpoint;
		this._services = services;
		const {options} = services;
		this.answerTimes = new AnswerTimes(services.clock, options);
		this._retention = services.retentionOptions && new ConnectionRetention(services.retentionOptions, services.clock.nowMs());
		this._connections = new OpenConnections(services.clock, options);
		this._halfShareUntilMs = startedAtMs + options.modestAfterStartMs;
		const queueServices = {...services, options: services.queueOptions};
		const inFlight = Math.max(options.statementsInFlight, endpoint.slots);
		this._queue = new SlotQueue(queueServices, endpoint.id, inFlight, beginsRunning =>
			this._held + beginsRunning < Math.min(this._limits.held, Math.max(1, this._maximumOpen - 1)));
	}

	/** Statements of this node that are in flight at the endpoint or queued for it here. */
	get load(): number {
		return this._queue.running + this._queue.length;
	}

	/** Whether the endpoint is being avoided because it could not be reached within the last `avoidMs`. */
	get isAvoided(): boolean {
		return this._services.clock.nowMs() < this._avoidedUntilMs;
	}

	/** Whether the endpoint currently refuses new connections and this node has none open. */
	get isOutOfConnections(): boolean {
		return this._services.clock.nowMs() < this._fullUntilMs && this._connections.size + this._opening === 0;
	}

	private get _limits(): ConnectionLimits {
		const {connectionRole, options, areConnectionsPerOrganisation} = this._services;
		const role = connectionRole(this.endpoint);
		return areConnectionsPerOrganisation() && role === 'forAll' ? this._limitsByOrganisation : limitsByRole[role](options);
	}

	/** Limits where connections belong to organisations. All idle ones are kept, because each saves its organisation from opening a new one. */
	private get _limitsByOrganisation(): ConnectionLimits {
		const {clock, options, connectionShare} = this._services;
		const idle = this._retention?.idleLimit(connectionShare(this.endpoint), this.endpoint.slots, clock.nowMs()) ?? options.idleConnectionsByOrganisation;
		return {
			held: options.heldConnectionsForAll, idle, kept: idle, retention: this._retention,
		};
	}

	/** Maximum number of connections that this node may have open to the endpoint. */
	private get _maximumOpen(): number {
		const {clock, options, connectionShare, areConnectionsPerOrganisation} = this._services;
		const all = connectionShare(this.endpoint);
		// If each home could fill the endpoint, one would keep the others from connecting: homes keep the connections that they have.
		const share = areConnectionsPerOrganisation() ? Math.floor(all * options.organisationsShare) : all;
		return Math.max(1, clock.nowMs() < this._halfShareUntilMs ? Math.floor(share / 2) : share);
	}

	/** Estimated time in milliseconds until a new statement would be answered, from the queue of this node and the average answer time. */
	estimateMs(access: 'read' | 'write', priority: number): number {
		const waitMs = this._queue.estimateWaitMs({caller: '', priority, lane: access});
		return waitMs + this.answerTimes.averageMs;
	}

	/** The load of the endpoint, computed anew after `reportKeptMs`. */
	reportLoad(): PoolLoad {
		const {clock, options} = this._services;
		const nowMs = clock.nowMs();
		if (!this._reported || nowMs - this._reported.atMs >= options.reportKeptMs) {
			const waitsMs = Array.from({length: this._highestClass + 1}, (_, priority) => this._queue.estimateWaitMs({caller: '', priority, lane: 'read'}));
			const {serviceMs, failedShare} = this._figures;
			this._reported = {
				atMs: nowMs, load: {
					waitsMs, failedShare, measured: this._figures.measured(nowMs), serviceMs: serviceMs === 0 ? this.answerTimes.averageMs : serviceMs,
				},
			};
		}

		return this._reported.load;
	}

	/** Runs one statement on any connection. */
	async run(statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>> {
		return this._withSlot(statement, statement.access, async () => {
			const connection = await this._acquire(statement.deadlineMs, statement);
			if (connection.isLeft()) {
				return connection;
			}

			const taken = connection.unsafeCoerce();
			const answer = await this.runOn(taken, statement);
			this._releaseToPool(taken);
			return answer;
		});
	}

	/**
	 * Begins a transaction on a connection that belongs to the session until it is released.
	 * Resolves with the endpoint's answer in place of a connection if the endpoint refuses.
	 */
	async begin(statement: EndpointStatement, isReadOnly: boolean): Promise<Either<StatementFault, BegunTransaction>> {
		return this._withSlot<BegunTransaction>(statement, 'begin', async () => {
			const connection = await this._acquire(statement.deadlineMs, statement, this._services.options.leastWithTransaction);
			if (connection.isLeft()) {
				return connection;
			}

			const taken = connection.unsafeCoerce();
			const begun = await taken.begin(isReadOnly, statement.floor, this._timeoutMs(statement));
			const result = begun.mapLeft(fault => this._faultOf(fault, false));
			const isBegun = result.map(({status}) => status === 'open').orDefault(false);
			if (!isBegun) {
				this._releaseToPool(taken);
				return result.map(answer => ({answer}));
			}

			this._held += 1;
			return Right({held: new HeldConnection(this, taken)});
		});
	}

	/** Runs a statement on a connection that a transaction holds, once it has a slot. */
	async runHeld(connection: PooledConnection, statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>> {
		return this._withSlot(statement, 'transaction', async () => this.runOn(connection, statement));
	}

	/** Runs a statement on a connection, with a timeout that ends at the statement's deadline. */
	async runOn(connection: PooledConnection, statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>> {
		const {clock} = this._services;
		if (!connection.isOpen) {
			return Left(this._faultOf({kind: 'closed', detail: 'the connection had been closed'}, false));
		}

		const sentAtMs = clock.nowMs();
		const timeoutMs = Math.min(this._timeoutMs(statement), statement.silenceMs ?? Number.POSITIVE_INFINITY);
		const result = await connection.run(statement, timeoutMs);
		const fault = result.swap().toMaybe().extract();
		if (fault?.kind === 'tooLong') {
			return Left(this._faultOf(fault, false));
		}

		this.answerTimes.note(clock.nowMs() - sentAtMs);
		this._noteServed(result, clock.nowMs() - sentAtMs);
		return result
			.map(answer => ({answer, sentAtMs}))
			.mapLeft(fault => ({...this._faultOf(fault, true), sentAtMs}));
	}

	/** Sends an internal statement of the node, bypassing the queue; resolves with the endpoint's status. */
	async control(statement: InternalStatement, timeoutMs: number): Promise<Either<StatementFault, ReportedStatus>> {
		const {clock, wire} = this._services;
		const connection = await this._acquire(clock.nowMs() + timeoutMs);
		if (connection.isLeft()) {
			return connection;
		}

		const taken = connection.unsafeCoerce();
		const sentAtMs = clock.nowMs();
		const result = await taken.control(statement, timeoutMs);
		this._releaseToPool(taken);
		return result
			.mapLeft(fault => this._faultOf(fault, true))
			.chain<StatementFault, ReportedStatus>(([{rows, error, position}]) => {
				const status = rows.length > 0 ? wire.decodeStatus(rows[0]) : undefined;
				if (!status) {
					const refusal = new Refusal(error?.kind === 'busy' ? 'overloaded' : 'endpointUnavailable', error?.text ?? 'no status row');
					return Left({isSent: true, refusal, cause: 'full' as const});
				}

				return Right({status, applied: position, sentAtMs});
			});
	}

	/** Releases a held connection: it returns to the pool if it is clean, and is closed otherwise. */
	release(connection: PooledConnection, isClean: boolean): void {
		this._held -= 1;
		if (!isClean) {
			connection.dispose();
		}

		this._releaseToPool(connection);
		this._queue.serve();
	}

	/** Closes all idle connections: after a lost answer on one connection, the others may be dead too. */
	closeIdle(): void {
		this._connections.closeIdle();
	}

	/** Closes connections that have been idle for too long; the most recently used ones are kept longer. */
	closeUnused(): void {
		this._connections.closeUnused(this._limits);
	}

	/** Avoids the endpoint for `avoidMs`. */
	avoid(): void {
		this._avoidedUntilMs = this._services.clock.nowMs() + this._services.options.avoidMs;
	}

	dispose(): void {
		this._queue.refuseNewWork(() => new Refusal('endpointLeaving', this.endpoint.id));
		this._connections.dispose();
	}

	/** Counts a lost answer as a failure only after `leastSilenceMs`: a statement that is sent right before its deadline says nothing about the endpoint. */
	private _noteServed(result: Either<ConnectionFault, EndpointAnswer>, durationMs: number): void {
		const nowMs = this._services.clock.nowMs();
		if (result.isLeft()) {
			if (result.extract().kind !== 'silent' || durationMs >= this._services.options.leastSilenceMs) {
				this._figures.note(durationMs, true, nowMs);
			}

			return;
		}

		const {error} = result.unsafeCoerce();
		if (!error || !notServedErrors.has(error.kind)) {
			this._figures.note(durationMs, error?.kind === 'failed', nowMs);
		}
	}

	private async _withSlot<T>(
		statement: EndpointStatement,
		lane: SlotLane,
		work: () => Promise<Either<StatementFault, T>>,
	): Promise<Either<StatementFault, T>> {
		this._highestClass = Math.min(highestReportedClass, Math.max(this._highestClass, statement.priority));
		const grant = await this._queue.acquire({
			caller: statement.caller,
			priority: statement.priority,
			lane,
			timeLeftMs: statement.deadlineMs - this._services.clock.nowMs(),
			goalAtMs: statement.goalAtMs,
		});
		if (grant.isLeft()) {
			return Left({isSent: false, refusal: grant.extract()});
		}

		const taken = grant.unsafeCoerce();
		const watch = this._freeSlotWhenSilent(taken);
		try {
			return await work();
		} finally {
			watch.dispose();
			taken.dispose();
		}
	}

	/**
	 * Frees the slot of a statement whose answer is probably lost, so that the next statement can run.
	 * Such a statement occupies its connection until its timeout, so only a few may be overtaken at
	 * once. Disposing the result ends the watch.
	 */
	private _freeSlotWhenSilent(grant: Disposable): Disposable {
		const {clock, options} = this._services;
		let isOvertaken = false;
		const timer = clock.setTimer(this.answerTimes.silenceThresholdMs, () => {
			if (this._overtaken < options.passedBy) {
				isOvertaken = true;
				this._overtaken += 1;
				grant.dispose();
			}
		});
		return toDisposable(() => {
			timer.dispose();
			this._overtaken -= isOvertaken ? 1 : 0;
		});
	}

	/**
	 * Acquires an idle connection, or opens a new one. If the endpoint accepts no more, this waits until
	 * one of this node's connections is released: after a power loss the endpoint still counts the
	 * connections of the lost hosts for 3 s. Without this wait, full endpoints turned statements away
	 * 304 times in a day with one power loss.
	 */
	private async _acquire(untilMs: number, statement?: EndpointStatement, minimumOpen = 1): Promise<Either<StatementFault, PooledConnection>> {
		const {clock, options} = this._services;
		this._retention?.noteUse(statement?.organisation, clock.nowMs());
		for (;;) {
			const idle = this._connections.acquire(statement);
			if (idle) {
				return Right(idle);
			}

			this._evictIfFull(minimumOpen);
			const opened = await this._connectWithinShare(statement?.organisation, minimumOpen);
			const isFull = opened.isLeft() && opened.extract().refusal.kind === 'overloaded';
			const leftMs = untilMs - clock.nowMs();
			if (!isFull || this._connections.size + this._opening === 0 || leftMs <= 0) {
				return opened;
			}

			await this._connections.waitForRelease(Math.min(leftMs, options.tooManyPauseMs));
		}
	}

	/**
	 * Closes an idle connection if no more may be opened: each connection belongs
	 * to one organisation, and another organisation needs one.
	 */
	private _evictIfFull(minimumOpen: number): void {
		const {clock, metrics} = this._services;
		const isEndpointFull = clock.nowMs() < this._fullUntilMs;
		const isShareUsed = this._connections.size + this._opening >= Math.max(minimumOpen, this._maximumOpen);
		if ((isEndpointFull || isShareUsed) && this._connections.closeOne(this._limits.retention)) {
			metrics.count('poolEvictionsTotal');
			// Closing a connection makes room for a new one at the endpoint.
			this._fullUntilMs = Number.NEGATIVE_INFINITY;
		}
	}

	private async _connectWithinShare(organisation: string | undefined, minimumOpen: number): Promise<Either<StatementFault, PooledConnection>> {
		if (this._connections.size + this._opening >= Math.max(minimumOpen, this._maximumOpen)) {
			return Left({isSent: false, refusal: new Refusal('overloaded', `all connections to ${this.endpoint.id} are in use`)});
		}

		this._opening += 1;
		const opened = await this._connect(organisation);
		this._opening -= 1;
		return opened;
	}

	private async _connect(organisation: string | undefined): Promise<Either<StatementFault, PooledConnection>> {
		const {clock, log, connector, wire, options, metrics} = this._services;
		if (clock.nowMs() < this._fullUntilMs) {
			return Left({isSent: false, refusal: new Refusal('overloaded', `${this.endpoint.id} had too many connections a moment ago`)});
		}

		const result = await connector.connect(this.endpoint, organisation);
		metrics.count('poolConnectsTotal', {outcome: result.isLeft() ? result.extract().kind : 'opened'});
		return result
			.mapLeft(fault => {
				if (refusalKinds[fault.kind] === 'endpointUnavailable') {
					this.avoid();
				}

				if (fault.kind === 'tooManyConnections') {
					this._retention?.noteRefused(clock.nowMs());
					this._fullUntilMs = clock.nowMs() + options.tooManyPauseMs;
				}

				return this._faultOf(fault, false);
			})
			.map(connection => {
				const pooled = new PooledConnection(connection, organisation, {
					wire,
					clock,
					log,
					endpoint: this.endpoint.id,
					preparedLimits: {names: options.preparedNames, shapeCharacters: options.preparedShapeCharacters},
				});
				this._connections.add(pooled);
				return pooled;
			});
	}

	private _releaseToPool(connection: PooledConnection): void {
		this._connections.release(connection, this._limits);
	}

	private _timeoutMs(statement: EndpointStatement): number {
		return Math.max(1, statement.deadlineMs - this._services.clock.nowMs());
	}

	/** Converts a connection's fault. It does not make the pool avoid the endpoint: one broken connection proves nothing about it, but a failed attempt to connect does. */
	private _faultOf(fault: ConnectionFault, isSent: boolean): StatementFault {
		return {isSent, refusal: new Refusal(refusalKinds[fault.kind], `${this.endpoint.id}: ${fault.detail}`), cause: faultCauses[fault.kind]};
	}
}
