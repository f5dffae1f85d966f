/**
 * Exchanges that were given up while the endpoint may still run them.
 */
import type {EndpointConnection} from '../services/services.js';
import {withTimeout} from '../lifecycle/timing.js';
import type {ConnectionPool} from './connection-pool.js';
import type {SlotGrant} from './slot-queue.js';
import type {HomeContext} from './types.js';

/** What an overdue exchange keeps. */
export type OverdueExchange = {
	readonly pool: ConnectionPool;
	readonly connection: EndpointConnection;
	readonly grant: SlotGrant;
};

/**
 * Keeps the slot until the exchange has ended, within a bound: closing the connection does
 * not stop the statement at the endpoint, so a slot that was freed at once might be one too many.
 */
export async function awaitOverdue(context: HomeContext, {pool, connection, grant}: OverdueExchange, exchange: Promise<unknown>): Promise<void> {
	pool.abandon(connection);
	await withTimeout(context.clock, exchange, context.options.overdueExchangeMs);
	pool.discard(connection);
	grant.dispose();
}
