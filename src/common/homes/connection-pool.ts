/**
 * The work connections of one endpoint: opened in advance, kept open, replaced when broken.
 *
 * Connections that are idle, in use, being opened or just closed all count towards the limit,
 * so that the endpoint's own connection limit is never exceeded.
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

/** SQLSTATE with which an endpoint refuses a work connection of a home that is not attached. */
const notAttachedSqlState = '55006';

/** Work connections of one endpoint. */
export class ConnectionPool implements Disposable {
	private readonly _context: HomeContext;
	private readonly _endpoint: EndpointAddress;
	private readonly _homeId: string;
	private readonly _owned = new DisposableStore();
	private readonly _idle: EndpointConnection[] = [];
	private readonly _open = new Set<EndpointConnection>();
	/** Connections of an earlier attach; closed when released. */
	private readonly _stale = new Set<EndpointConnection>();
	/** Connections in use whose exchange has been abandoned. */
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

	/** Fires with a connection that the endpoint closed. */
	get onLost(): Event<EndpointConnection> {
		return this._onLost.event;
	}

	/** Fires when the endpoint refuses a connection because this home is not attached. */
	get onNotAttached(): Event<void> {
		return this._onNotAttached.event;
	}

	/** Number of connections that count towards the limit. */
	get count(): number {
		return this._open.size + this._opening + this._closing;
	}

	/** Maximum number of connections of this pool. */
	get limit(): number {
		return this._limit;
	}

	/** Starts opening connections, after an attach. */
	start(): void {
		this._isStarted = true;
		this._attachGeneration += 1;
		this._backoff.reset();
		this._fill();
	}

	/** Stops opening connections and closes idle and abandoned ones; those in use are closed when released. */
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

	/** Sets how many connections the pool tries to keep open, within the limit. */
	setTargetSize(count: number): void {
		this._targetSize = count;
		this._fill();
	}

	/** Sets the limit after the endpoint's definition changed; closes idle connections above it. */
	setLimit(limit: number): void {
		this._limit = limit;
		while (this.count > limit && this._idle.length > 0) {
			this._close(this._idle.shift()!);
		}

		this._fill();
	}

	/** Returns a connection for exclusive use, outside a transaction; a refusal if none is available within `timeoutMs` or `acquireTimeoutMs`, whichever is shorter. */
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

	/** Puts a connection whose last exchange ended outside a transaction back into the pool. */
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

	/** Marks a connection in use as not to be used again; it is closed when the attach ends, unless it is discarded before. */
	abandon(connection: EndpointConnection): void {
		if (this._open.has(connection)) {
			this._abandoned.add(connection);
		}
	}

	/** Closes a connection whose state is not known and opens another if needed. */
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

	/** Whether no connection is open or being opened and the last attempt failed, so that waiting is futile. */
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
		const attachGeneration = this._attachGeneration;
		this._opening += 1;
		invariants.check('connectionLimit', this.count <= this._limit, () => `${this.count} connections to ${this._endpoint.name}`);
		const result = await connector.connectWork(this._endpoint, this._homeId);
		this._opening -= 1;
		result.ifLeft(fault => {
			this._onConnectFailed(fault);
		}).ifRight(connection => {
			this._onConnected(connection, attachGeneration);
		});
	}

	private _onConnected(connection: EndpointConnection, attachGeneration: number): void {
		this._open.add(connection);
		connection.onClose(() => {
			this._onClosed(connection);
		});
		if (!this._isStarted || attachGeneration !== this._attachGeneration) {
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

	/** Removes a connection that the endpoint closed. */
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

	/** Closes a connection; it counts towards the limit for `closingGraceMs`, until the endpoint has noticed. */
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
