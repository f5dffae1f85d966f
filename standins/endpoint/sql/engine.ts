/**
 * The objects that the SQL sessions of one instance share.
 */
import type {Disposable} from '../../../src/common/lifecycle/disposable.js';
import type {Clock, Random} from '../../../src/common/services/services.js';
import {statementDefaults} from '../constants.js';
import type {Instance} from '../instance.js';
import {LockTable} from './lock-table.js';
import {StatementCache} from './planner.js';
import type {SqlSession} from './session.js';
import {SqlError} from './sql-error.js';

/** Executes SQL on one instance. `loadParser` of planner.ts must have resolved before the first statement. */
export class SqlEngine implements Disposable {
	readonly instance: Instance;
	readonly clock: Clock;
	readonly random: Random;
	readonly locks: LockTable;
	readonly statements = new StatementCache(statementDefaults.plansCached);
	private readonly _sessions = new Set<SqlSession>();
	private readonly _subscription: Disposable;
	private _commitCount = 0;

	constructor(instance: Instance, clock: Clock, random: Random, lockTimeoutMs: number = statementDefaults.lockTimeoutMs) {
		this.instance = instance;
		this.clock = clock;
		this.random = random;
		this.locks = new LockTable(clock, lockTimeoutMs);
		this._subscription = instance.onStepDown(() => {
			for (const session of this._sessions) {
				session.endWriteTransaction(new SqlError('25006', 'the transaction was ended: this instance is no longer the primary'));
			}
		});
	}

	/** Number of transactions with changes that were committed by this engine. */
	get commitCount(): number {
		return this._commitCount;
	}

	countCommit(): void {
		this._commitCount += 1;
	}

	/** Registers a session, so that its write transaction ends when the instance steps down. */
	register(session: SqlSession): void {
		this._sessions.add(session);
	}

	unregister(session: SqlSession): void {
		this._sessions.delete(session);
	}

	dispose(): void {
		this._subscription.dispose();
	}
}
