/**
 * The work connections of one endpoint: opened ahead of need, kept warm, replaced when broken.
 *
 * Connections that are idle, in use, being opened or just closed all count within the limit,
 * so that the endpoint's own limit is kept by construction.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import {DisposableStore} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {EndpointAddress, EndpointConnection, EndpointFault} from '../services/services.js';
import {Backoff} from './backoff.js';
import type {HomeContext} from './types.js';

type Waiter = {
	readonly answer: (connection: EndpointConnection | undefined) => void;
};

/** SQLSTATE with which an endpoint refuses work of a home that is not attached. */
const notAttachedSqlState = '55006';

/** Work connections of one endpoint. */
export class ConnectionPool implements Disposable {
	private readonly _context: HomeContext;
	private readonly _endpoint: EndpointAddress;
	private readonly _homeId: string;
	private readonly _owned = new DisposableStore();
	private readonly _idle: EndpointConnection[] = [];
	private readonly _open = new Set<EndpointConnection>();
	/** Connections of an earlier attach; closed when given back. */
	private readonly _stale = new Set<EndpointConnection>();
	/** Connections in use whose exchange nobody waits for any more. */
	private readonly _abandoned = new Set<EndpointConnection>();
	private readonly _waiters: Waiter[] = [];
	private readonly _backoff: Backoff;
	private _opening = 0;
	private _closing = 0;
	private _limit: number;
	private _targetSize: number;
	private _isStarted = false;
	private _attachGeneration = 0;
	private _hasRetryTimer = false;
	private readonly _onLost = this._owned.register(new Emitter<EndpointConnection>());
	private readonly _onNotAttached = this._owned.register(new Emitter<void>());

	constructor(context: HomeContext, endpoint: EndpointAddress, homeId: string, limit: number) {
		this._context = context;
		this._endpoint = endpoint;
		this._homeId = homeId;
		this._limit = limit;
		this._targetSize = 0;
		const {clock, random, options} = context;
		this._backoff = new Backoff(clock, random, options.connectRetryMinimumMs, options.connectRetryMaximumMs);
	}

	/** A connection was closed by the other side. */
	get onLost(): Event<EndpointConnection> {
		return this._onLost.event;
	}

	/** The endpoint said that this home is not the attached one. */
	get onNotAttached(): Event<void> {
		return this._onNotAttached.event;
	}

	/** Connections that count within the limit. */
	get count(): number {
		return this._open.size + this._opening + this._closing;
	}

	/** Most connections that this pool may have. */
	get limit(): number {
		return this._limit;
	}

	/** Begins to open connections, after an attach. */
	start(): void {
		this._isStarted = true;
		this._attachGeneration += 1;
		this._backoff.reset();
		this._fill();
	}

	/** Opens none from now on and closes idle ones; those in use are closed when given back. */
	stop(): void {
		this._isStarted = false;
		for (const connection of [...this._idle.splice(0), ...this._abandoned]) {
			this._close(connection);
		}

		for (const connection of this._open) {
			this._stale.add(connection);
		}

		this._releaseWaiters();
	}

	/** Closes every connection, those in use included. */
	closeAll(): void {
		this.stop();
		for (const connection of this._open) {
			this._close(connection);
		}
	}

	/** Sets how many connections are worth having. */
	setTargetSize(count: number): void {
		this._targetSize = count;
		this._fill();
	}

	/** Follows a change of the endpoint's definition. */
	setLimit(limit: number): void {
		this._limit = limit;
		while (this.count > limit && this._idle.length > 0) {
			this._close(this._idle.shift()!);
		}

		this._fill();
	}

	/** A connection that nobody else uses, in a clean state. */
	async acquire(timeoutMs: number): Promise<Either<Refusal, EndpointConnection>> {
		const idle = this._isStarted ? this._idle.pop() : undefined;
		if (idle) {
			return Right(idle);
		}

		if (!this._isStarted || this._isWaitFutile()) {
			return Left(this._unavailableRefusal());
		}

		const connection = await this._wait(Math.min(timeoutMs, this._context.options.acquireTimeoutMs));
		return connection ? Right(connection) : Left(this._unavailableRefusal());
	}

	/** Takes back a connection whose last exchange ended outside of a transaction. */
	release(connection: EndpointConnection): void {
		if (!this._open.has(connection)) {
			return;
		}

		if (this._stale.has(connection) || !this._isStarted || this.count > this._limit) {
			this.discard(connection);
			return;
		}

		const waiter = this._waiters.shift();
		if (waiter) {
			waiter.answer(connection);
		} else {
			this._idle.push(connection);
		}
	}

	/** Notes that a connection in use will not be used again; it is closed when the attach ends, or discarded before. */
	abandon(connection: EndpointConnection): void {
		if (this._open.has(connection)) {
			this._abandoned.add(connection);
		}
	}

	/** Closes a connection whose state is in doubt. */
	discard(connection: EndpointConnection): void {
		if (this._open.has(connection)) {
			this._close(connection);
			this._fill();
		}
	}

	dispose(): void {
		this.closeAll();
		this._owned.dispose();
	}

	/** Nothing is open or on its way, and the last try failed: waiting would not help. */
	private _isWaitFutile(): boolean {
		return this._backoff.isFailing && this._opening === 0 && this._open.size === 0;
	}

	private _unavailableRefusal(): Refusal {
		const retryAfterMs = Math.max(this._context.options.retryAfterMinimumMs, Math.ceil(this._backoff.remainingMs));
		return new Refusal('endpointUnavailable', `no connection to ${this._endpoint.name}`, {retryAfterMs});
	}

	private async _wait(timeoutMs: number): Promise<EndpointConnection | undefined> {
		return new Promise(resolve => {
			const waiter: Waiter = {
				answer(connection) {
					timer.dispose();
					resolve(connection);
				},
			};
			const timer = this._context.clock.setTimer(timeoutMs, () => {
				this._waiters.splice(this._waiters.indexOf(waiter), 1);
				resolve(undefined);
			});
			this._waiters.push(waiter);
			this._fill();
		});
	}

	private _releaseWaiters(): void {
		for (const waiter of this._waiters.splice(0)) {
			waiter.answer(undefined);
		}
	}

	private _fill(): void {
		const target = Math.min(this._targetSize, this._limit);
		while (this._isStarted && this.count < target && this._backoff.remainingMs === 0) {
			void this._openOne();
		}

		if (this._isStarted && this.count < target) {
			this._scheduleFill();
		}

		this._context.metrics.gauge('homeConnections', this._open.size, {endpoint: this._endpoint.name});
	}

	private _scheduleFill(): void {
		if (this._hasRetryTimer) {
			return;
		}

		this._hasRetryTimer = true;
		const timer = this._owned.register(this._context.clock.setTimer(this._backoff.remainingMs, () => {
			this._owned.release(timer);
			this._hasRetryTimer = false;
			this._fill();
		}));
	}

	private async _openOne(): Promise<void> {
		const {connector, invariants} = this._context;
		const attachNumber = this._attachGeneration;
		this._opening += 1;
		invariants.check('connectionLimit', this.count <= this._limit, () => `${this.count} connections to ${this._endpoint.name}`);
		const result = await connector.connectWork(this._endpoint, this._homeId);
		this._opening -= 1;
		result.ifLeft(fault => {
			this._onConnectFailed(fault);
		}).ifRight(connection => {
			this._onConnected(connection, attachNumber);
		});
	}

	private _onConnected(connection: EndpointConnection, attachNumber: number): void {
		this._open.add(connection);
		connection.onClose(() => {
			this._onClosed(connection);
		});
		if (!this._isStarted || attachNumber !== this._attachGeneration) {
			this.discard(connection);
			return;
		}

		this._backoff.reset();
		this.release(connection);
		this._fill();
	}

	private _onConnectFailed(fault: EndpointFault): void {
		if (!this._isStarted) {
			return;
		}

		this._backoff.fail();
		this._context.log.event('workConnectionFailed', {endpoint: this._endpoint.name, detail: fault.detail, sqlState: fault.sqlState});
		if (this._isWaitFutile()) {
			this._releaseWaiters();
		}

		if (fault.sqlState === notAttachedSqlState) {
			this._onNotAttached.fire();
		}

		this._fill();
	}

	/** The other side closed it. */
	private _onClosed(connection: EndpointConnection): void {
		if (!this._open.has(connection)) {
			return;
		}

		this._remove(connection);
		const index = this._idle.indexOf(connection);
		if (index !== -1) {
			this._idle.splice(index, 1);
		}

		this._onLost.fire(connection);
		this._fill();
	}

	private _remove(connection: EndpointConnection): void {
		this._open.delete(connection);
		this._stale.delete(connection);
		this._abandoned.delete(connection);
	}

	/** This side closes it; it counts until the endpoint has had time to notice. */
	private _close(connection: EndpointConnection): void {
		this._remove(connection);
		this._closing += 1;
		connection.dispose();
		const timer = this._owned.register(this._context.clock.setTimer(this._context.options.closingGraceMs, () => {
			this._owned.release(timer);
			this._closing -= 1;
			this._fill();
		}));
	}
}
