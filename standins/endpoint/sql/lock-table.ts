/**
 * Row locks, by table and primary key. A lock request that would close a cycle of waiting transactions is refused at once.
 */
import type {Clock} from '../../../src/common/services/services.js';
import {SqlError} from './sql-error.js';
import {Wait} from './wait.js';

/** A holder of locks. */
export type LockOwner = {
	readonly locks: Set<string>;
	/** Name of the lock that it waits for. */
	awaitedLock: string | undefined;
};

type Waiter = {
	readonly owner: LockOwner;
	readonly wait: Wait;
};

type Lock = {
	owner: LockOwner;
	readonly waiters: Waiter[];
};

/** All row locks of one instance; waiters get a lock in the order of their requests. */
export class LockTable {
	private readonly _locks = new Map<string, Lock>();
	private readonly _clock: Clock;
	private readonly _timeoutMs: number;

	constructor(clock: Clock, timeoutMs: number) {
		this._clock = clock;
		this._timeoutMs = timeoutMs;
	}

	/** Acquires a lock: undefined if the owner holds it now, otherwise a wait that resolves when it does and fails after the lock timeout. */
	acquire(owner: LockOwner, table: string, key: string): Wait | undefined {
		const name = `${table}\0${key}`;
		const lock = this._locks.get(name);
		if (!lock) {
			this._locks.set(name, {owner, waiters: []});
			owner.locks.add(name);
			return undefined;
		}

		return lock.owner === owner ? undefined : this._wait(owner, name, lock);
	}

	/** Releases all locks of an owner; each passes to the next waiter. */
	releaseAll(owner: LockOwner): void {
		for (const name of owner.locks) {
			this._release(name);
		}

		owner.locks.clear();
	}

	private _wait(owner: LockOwner, name: string, lock: Lock): Wait {
		if (this._isWaitingFor(lock.owner, owner)) {
			throw new SqlError('40P01', 'deadlock detected');
		}

		const wait = new Wait(true);
		const waiter: Waiter = {owner, wait};
		owner.awaitedLock = name;
		lock.waiters.push(waiter);
		const timer = this._clock.setTimer(this._timeoutMs, () => {
			wait.fail(new SqlError('55P03', 'canceling statement due to lock timeout'));
		});
		wait.onSettled(() => {
			timer.dispose();
			owner.awaitedLock = undefined;
			const index = lock.waiters.indexOf(waiter);
			if (index !== -1) {
				lock.waiters.splice(index, 1);
			}
		});
		return wait;
	}

	/** Whether an owner waits, directly or through others, for a lock that `wanted` holds. */
	private _isWaitingFor(waiting: LockOwner, wanted: LockOwner): boolean {
		let current: LockOwner | undefined = waiting;
		while (current) {
			if (current === wanted) {
				return true;
			}

			current = current.awaitedLock === undefined ? undefined : this._locks.get(current.awaitedLock)?.owner;
		}

		return false;
	}

	private _release(name: string): void {
		const lock = this._locks.get(name);
		const next = lock?.waiters.shift();
		if (!lock || !next) {
			this._locks.delete(name);
			return;
		}

		lock.owner = next.owner;
		next.owner.locks.add(name);
		next.wait.resolve();
	}
}
