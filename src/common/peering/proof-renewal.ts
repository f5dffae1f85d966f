/**
 * Renews proofs that a table is current over other nodes before the store.
 *
 * When a node's proof is about to expire, the coordinator of its zone usually has a newer one. If
 * every node asked the store instead, each of 88 nodes would read a changed row of 300 KB from it.
 */
import type {Either} from 'purify-ts';
import {Right} from 'purify-ts';
import {withTimeout} from '../lifecycle/timing.js';
import type {
	Clock, Metrics, PlatformFault, RowStore, StoredRows,
} from '../services/services.js';

/** Requests for the changes of a table to other nodes. */
export type PeerChanges = {
	/** Returns the changes after a version as another node knows them now; undefined if none has them. */
	askPeers(table: string, afterVersion: number): Promise<StoredRows | undefined>;
	/** Whether another node is sending rows of a table at the moment. */
	isReceiving(table: string): boolean;
};

/** Dependencies and limits of renewals. Times are in milliseconds. */
export type ProofRenewalServices = {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly store: Pick<RowStore, 'follow'>;
	readonly peers: PeerChanges;
	/** Timeout of the requests to other nodes, unless one of them is sending rows of the table. */
	readonly timeoutMs: number;
	/** Maximum age of another node's proof that is accepted without asking the store. */
	readonly maximumAgeMs: number;
};

/** Requests changes from other nodes, and from the store if none of them has a proof that is new enough. */
export class ProofRenewal implements Pick<RowStore, 'follow'> {
	private readonly _services: ProofRenewalServices;

	constructor(services: ProofRenewalServices) {
		this._services = services;
	}

	async follow(table: string, afterVersion: number, waitMs: number): Promise<Either<PlatformFault, StoredRows>> {
		const {clock, metrics, store, peers, timeoutMs, maximumAgeMs} = this._services;
		const isReceiving = peers.isReceiving(table);
		const asked = peers.askPeers(table, afterVersion);
		const found = isReceiving ? await asked : await withTimeout(clock, asked, timeoutMs);
		const isProved = found !== undefined && !found.isHistoryGone && -(found.provedAfterMs ?? Number.NEGATIVE_INFINITY) <= maximumAgeMs;
		// Rows that are being sent prove the table current when they arrive, by the request that they answer.
		if (found && (isProved || isReceiving)) {
			metrics.count('proofRenewalsTotal', {source: 'peer'});
			return Right(found);
		}

		metrics.count('proofRenewalsTotal', {source: 'store'});
		const answer = await store.follow(table, afterVersion, waitMs);
		return answer.isLeft() && found ? Right(found) : answer;
	}
}
