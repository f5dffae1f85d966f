/**
 * The open connections of a node to one endpoint: those that nobody uses, and who waits for
 * the next that is given back.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import type {Clock} from '../services/services.js';
import type {PooledConnection} from './pooled-connection.js';
import type {EndpointStatement} from './types.js';

/** How many idle connections are kept, and for how long. */
export type IdleLimits = {
	/** More are closed at once. */
	readonly idle: number;
	/** Those that are kept for `idleCloseMs`. */
	readonly kept: number;
};

type IdleTimes = {
	readonly idleCloseMs: number;
	readonly spareCloseMs: number;
};

type Waiter = () => void;

/** Hands out connections one user at a time. */
export class OpenConnections implements Disposable {
	private readonly _clock: Clock;
	private readonly _times: IdleTimes;
	private readonly _open = new Set<PooledConnection>();
	/** The last used is at the end and is used first. */
	private readonly _idle: PooledConnection[] = [];
	private readonly _waiters: Waiter[] = [];
	private _isDisposed = false;

	constructor(clock: Clock, times: IdleTimes) {
		this._clock = clock;
		this._times = times;
	}

	/** Connections that are open, those in use included. */
	get size(): number {
		return this._open.size;
	}

	/** Takes in a new connection, which its opener uses. */
	add(connection: PooledConnection): void {
		this._open.add(connection);
		connection.onClose(() => {
			this._forget(connection);
		});
	}

	/**
	 * An idle connection on which a statement may run: one that fits its session before any other.
	 * Statements of the node's own run on any: on one of its own, else on the one that is least missed.
	 */
	acquire(statement?: EndpointStatement): PooledConnection | undefined {
		if (!statement) {
			const own = this._idle.findLastIndex(({organisation}) => organisation === undefined);
			return own === -1 ? this._idle.shift() : this._idle.splice(own, 1)[0];
		}

		const fitting = this._idle.findLastIndex(connection => connection.isUsableFor(statement) && connection.hasStateOf(statement));
		const index = fitting === -1 ? this._idle.findLastIndex(connection => connection.isUsableFor(statement)) : fitting;
		return index === -1 ? undefined : this._idle.splice(index, 1)[0];
	}

	/** Waits until a connection is given back or ends, at most for a time. */
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

	/** Closes the idle connection that was not used for longest; whether there was one. */
	closeLeastRecentlyUsed(): boolean {
		const [least] = this._idle;
		if (!least) {
			return false;
		}

		this._close(least);
		return true;
	}

	/** Takes a connection back from its user. */
	release(connection: PooledConnection, limits: IdleLimits): void {
		if (!connection.isOpen) {
			this._forget(connection);
			return;
		}

		if (this._isDisposed) {
			this._close(connection);
			return;
		}

		this._addIdle(connection);
		this._waiters.shift()?.();
		if (this._idle.length > limits.idle) {
			this.closeLeastRecentlyUsed();
		}
	}

	/** Closes idle connections: they may have fallen silent together. */
	closeIdle(): void {
		for (const connection of this._idle.splice(0)) {
			this._close(connection);
		}
	}

	/** Closes connections that nobody has used for a while; those that are kept, later. */
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

	/** Puts a connection among those that nobody uses, in the order of their last use by statements. */
	private _addIdle(connection: PooledConnection): void {
		const later = this._idle.findIndex(({usedAtMs}) => usedAtMs > connection.usedAtMs);
		this._idle.splice(later === -1 ? this._idle.length : later, 0, connection);
	}

	private _close(connection: PooledConnection): void {
		connection.dispose();
		this._forget(connection);
	}

	/** A connection that ended is neither handed out nor counted. */
	private _forget(connection: PooledConnection): void {
		this._open.delete(connection);
		const index = this._idle.indexOf(connection);
		if (index !== -1) {
			this._idle.splice(index, 1);
		}
	}
}
