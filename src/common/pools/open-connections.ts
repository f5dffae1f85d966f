/**
 * The open connections of a node to one endpoint, the idle ones among them, and the waiters for the
 * next connection that is released.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import type {ConnectionRetention} from '../load/connection-retention.js';
import type {Clock} from '../services/services.js';
import type {PooledConnection} from './pooled-connection.js';
import type {EndpointStatement} from './types.js';

/** Maximum numbers of idle connections. */
export type IdleLimits = {
	/** Any idle connections beyond this number are closed at once. */
	readonly idle: number;
	/** This many are kept for `idleCloseMs`; the others are closed after `spareCloseMs`. */
	readonly kept: number;
	/** Chooses which idle connection is closed where there are too many; the least recently used one without it. */
	readonly retention?: ConnectionRetention;
};

type IdleTimes = {
	readonly idleCloseMs: number;
	readonly spareCloseMs: number;
};

type Waiter = () => void;

/** Lends each connection to one user at a time. */
export class OpenConnections implements Disposable {
	private readonly _clock: Clock;
	private readonly _times: IdleTimes;
	private readonly _open = new Set<PooledConnection>();
	/** Ordered by last use; the most recently used connection is at the end and is handed out first. */
	private readonly _idle: PooledConnection[] = [];
	private readonly _waiters: Waiter[] = [];
	private _isDisposed = false;

	constructor(clock: Clock, times: IdleTimes) {
		this._clock = clock;
		this._times = times;
	}

	/** Number of open connections, including those in use. */
	get size(): number {
		return this._open.size;
	}

	/** Adds a new connection that is in use by the caller that opened it. */
	add(connection: PooledConnection): void {
		this._open.add(connection);
		connection.onClose(() => {
			this._remove(connection);
		});
	}

	/**
	 * Takes an idle connection on which a statement may run, preferably one that already holds the state
	 * of its session. An internal statement of the node, for which `statement` is left out, may run on any
	 * connection: preferably one that belongs to the node, otherwise the least recently used.
	 */
	acquire(statement?: EndpointStatement): PooledConnection | undefined {
		if (!statement) {
			const ownIndex = this._idle.findLastIndex(({organisation}) => organisation === undefined);
			return ownIndex === -1 ? this._idle.shift() : this._idle.splice(ownIndex, 1)[0];
		}

		const fitting = this._idle.findLastIndex(connection => connection.isUsableFor(statement) && connection.hasStateOf(statement));
		const index = fitting === -1 ? this._idle.findLastIndex(connection => connection.isUsableFor(statement)) : fitting;
		return index === -1 ? undefined : this._idle.splice(index, 1)[0];
	}

	/** Resolves once a connection is released, or after `waitMs` at the latest. */
	async waitForRelease(waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const waiting: Waiter = () => {
				timer.dispose();
				resolve();
			};

			const timer = this._clock.setTimer(waitMs, () => {
				this._waiters.splice(this._waiters.indexOf(waiting), 1);
				resolve();
			});
			this._waiters.push(waiting);
		});
	}

	/** Closes the idle connection that `retention` values least, without it the least recently used one; returns whether there was one. */
	closeOne(retention?: ConnectionRetention): boolean {
		const index = retention?.leastValuable(this._idle.map(({organisation}) => organisation), this._clock.nowMs()) ?? 0;
		const connection = this._idle.at(index);
		if (!connection) {
			return false;
		}

		this._close(connection);
		return true;
	}

	/** Returns a connection from its user; closes an idle one if there are too many. */
	release(connection: PooledConnection, limits: IdleLimits): void {
		if (!connection.isOpen) {
			this._remove(connection);
			return;
		}

		if (this._isDisposed) {
			this._close(connection);
			return;
		}

		this._addIdle(connection);
		this._waiters.shift()?.();
		if (this._idle.length > limits.idle) {
			this.closeOne(limits.retention);
		}
	}

	/** Closes all idle connections: after a lost answer on one connection, the others may be dead too. */
	closeIdle(): void {
		for (const connection of this._idle.splice(0)) {
			this._close(connection);
		}
	}

	/** Closes connections that have been idle for too long; the `kept` most recently used ones have the longer limit. */
	closeUnused({kept}: IdleLimits): void {
		const nowMs = this._clock.nowMs();
		const {idleCloseMs, spareCloseMs} = this._times;
		const isUnused = ({usedAtMs}: PooledConnection, index: number): boolean =>
			nowMs - usedAtMs > (index < kept ? idleCloseMs : spareCloseMs);
		const unused = this._idle.toReversed().filter((connection, index) => isUnused(connection, index));
		for (const connection of unused) {
			this._close(connection);
		}
	}

	dispose(): void {
		this._isDisposed = true;
		this.closeIdle();
		for (const waiting of this._waiters.splice(0)) {
			waiting();
		}
	}

	/** Adds a connection to the idle ones, which are ordered by their last use by a statement. */
	private _addIdle(connection: PooledConnection): void {
		const later = this._idle.findIndex(({usedAtMs}) => usedAtMs > connection.usedAtMs);
		this._idle.splice(later === -1 ? this._idle.length : later, 0, connection);
	}

	private _close(connection: PooledConnection): void {
		connection.dispose();
		this._remove(connection);
	}

	/** Removes a closed connection, so that it is neither handed out nor counted. */
	private _remove(connection: PooledConnection): void {
		this._open.delete(connection);
		const index = this._idle.indexOf(connection);
		if (index !== -1) {
			this._idle.splice(index, 1);
		}
	}
}
