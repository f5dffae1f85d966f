/**
 * Rolls an abandoned transaction back, so that its connection is clean for the next session.
 */
import type {AnswerSink, EndpointConnection} from '../services/services.js';
import {withTimeout} from '../lifecycle/timing.js';
import type {ConnectionPool} from './connection-pool.js';
import type {SlotQueue} from './slot-queue.js';
import type {HomeContext} from './types.js';
import {awaitOverdue} from './overdue.js';

/** A simple query `ROLLBACK`. */
const rollbackFrames = Uint8Array.from([0x51, 0, 0, 0, 13, 0x52, 0x4F, 0x4C, 0x4C, 0x42, 0x41, 0x43, 0x4B, 0]);

const ignoredAnswer: AnswerSink = {
	push() {
		// Nothing reads the answer to the rollback.
	},
};

/** Rolls back in a slot like any statement and releases the connection; closes it if the rollback fails or no slot is granted. */
export async function rollBack(context: HomeContext, queue: SlotQueue, pool: ConnectionPool, connection: EndpointConnection): Promise<void> {
	const {clock, options} = context;
	const timeLeftMs = options.rollbackTimeoutMs;
	const slot = await queue.acquire({
		caller: '', priority: 0, lane: 'transaction', timeLeftMs,
	}, new AbortController().signal);
	const grant = slot.toMaybe().extract();
	if (!grant) {
		pool.discard(connection);
		return;
	}

	const exchange = connection.exchange(rollbackFrames, ignoredAnswer);
	const result = await withTimeout(clock, exchange, timeLeftMs);
	if (!result) {
		await awaitOverdue(context, {pool, connection, grant}, exchange);
		return;
	}

	const end = result.toMaybe().extract();
	if (end?.transactionStatus === 'idle') {
		pool.release(connection);
	} else {
		pool.discard(connection);
	}

	grant.dispose();
}
