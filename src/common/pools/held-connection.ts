/**
 * A connection of this node's own inside a session's transaction.
 */
import type {Either} from 'purify-ts';
import type {EndpointPool} from './endpoint-pool.js';
import type {PooledConnection} from './pooled-connection.js';
import type {
	EndpointStatement, HeldTransaction, StatementFault, TimedAnswer,
} from './types.js';

/** A connection inside a session's transaction. */
export class HeldConnection implements HeldTransaction {
	private readonly _pool: EndpointPool;
	private readonly _connection: PooledConnection;
	private _isReleased = false;

	constructor(pool: EndpointPool, connection: PooledConnection) {
		this._pool = pool;
		this._connection = connection;
	}

	async run(statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>> {
		return this._pool.runHeld(this._connection, statement);
	}

	/** Gives the connection back after the transaction has ended. */
	release(): void {
		this._end(true);
	}

	/** Rolls the transaction back and gives the connection back; closes it when that is not answered. */
	async rollBack(timeoutMs: number): Promise<void> {
		if (this._isReleased) {
			return;
		}

		this._isReleased = true;
		const result = await this._connection.runInternal([{kind: 'rollback'}], timeoutMs);
		const isClean = result.map(([{status}]) => status === 'idle').orDefault(false);
		this._pool.release(this._connection, isClean);
	}

	/** Closes the connection; the endpoint rolls back what it carried. */
	close(): void {
		this._end(false);
	}

	private _end(isClean: boolean): void {
		if (!this._isReleased) {
			this._isReleased = true;
			this._pool.release(this._connection, isClean);
		}
	}
}
