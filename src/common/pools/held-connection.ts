/**
 * A connection from this node's pool that a session's transaction holds.
 */
import type {Either} from 'purify-ts';
import type {EndpointPool} from './endpoint-pool.js';
import type {PooledConnection} from './pooled-connection.js';
import type {
	EndpointStatement, HeldTransaction, StatementFault, TimedAnswer,
} from './types.js';

/** A pooled connection that belongs to one transaction until it is released. */
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

	/** Returns the connection to the pool after the transaction has ended. */
	release(): void {
		this._end(true);
	}

	/** Rolls the transaction back and returns the connection to the pool; closes it if the rollback fails or is not answered in time. */
	async rollBack(timeoutMs: number): Promise<void> {
		if (this._isReleased) {
			return;
		}

		this._isReleased = true;
		const result = await this._connection.runInternal([{kind: 'rollback'}], timeoutMs);
		const isClean = result.map(([{status}]) => status === 'idle').orDefault(false);
		this._pool.release(this._connection, isClean);
	}

	/** Closes the connection; the endpoint rolls its transaction back. */
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
