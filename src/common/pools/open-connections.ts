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

type Waiting = (connection: PooledConnection | undefined) => void;

/** Hands out connections one user at a time. */
export class OpenConnections implements Disposable {
	private readonly _clock: Clock;
	private readonly _times: IdleTimes;
	private readonly _open = new Set<PooledConnection>();
	/** The last used is at the end and is used first. */
	private readonly _idle: PooledConnection[] = [];
	private readonly _waiting: Waiting[] = [];
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

	/** An idle connection: one that fits a statement's session before any other. */
	take(statement?: EndpointStatement): PooledConnection | undefined {
		const fitting = statement ? this._idle.findLastIndex(connection => connection.fits(statement)) : -1;
		return fitting === -1 ? this._idle.pop() : this._idle.splice(fitting, 1)[0];
	}

	/** The next connection that is given back; undefined when none is within a time. */
	async next(waitMs: number): Promise<PooledConnection | undefined> {
		return new Promise(resolve => {
			const waiting: Waiting = connection => {
				timer.dispose();
				resolve(connection);
			};

			const timer = this._clock.setTimer(waitMs, () => {
				this._waiting.splice(this._waiting.indexOf(waiting), 1);
				resolve(undefined);
			});
			this._waiting.push(waiting);
		});
	}

	/** Takes a connection back from its user. */
	giveBack(connection: PooledConnection, limits: IdleLimits): void {
		if (!connection.isOpen) {
			this._forget(connection);
			return;
		}

		const waiting = this._waiting.shift();
		if (waiting) {
			waiting(connection);
		} else if (this._isDisposed || this._idle.length >= limits.idle) {
			this._close(connection);
		} else {
			this._idle.push(connection);
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
		for (const waiting of this._waiting.splice(0)) {
			waiting(undefined);
		}
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
