/**
 * Exchanges that were abandoned although the endpoint may still be running them.
 */
import type {EndpointConnection} from '../services/services.js';
import {withTimeout} from '../lifecycle/timing.js';
import type {ConnectionPool} from './connection-pool.js';
import type {SlotGrant} from './slot-queue.js';
import type {HomeContext} from './types.js';

/** Resources that an overdue exchange keeps occupied. */
export type OverdueExchange = {
	readonly pool: ConnectionPool;
	readonly connection: EndpointConnection;
	readonly grant: SlotGrant;
};

/**
 * Keeps the slot until the exchange has ended, for at most `overdueExchangeMs`. Closing the
 * connection does not stop the statement at the endpoint; if the slot were freed at once, the
 * endpoint could run more statements than it has slots.
 */
export async function awaitOverdue(context: HomeContext, {pool, connection, grant}: OverdueExchange, exchange: Promise<unknown>): Promise<void> {
	pool.abandon(connection);
	await withTimeout(context.clock, exchange, context.options.overdueExchangeMs);
	pool.discard(connection);
	grant.dispose();
}
