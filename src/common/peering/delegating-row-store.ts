/**
 * The store as nodes of a large fleet use it: they read and follow tables through the coordinator of
 * their zone, and from the store itself if the coordinator does not answer.
 *
 * The store limits the calls of all nodes together. 77 nodes that followed two tables each made some
 * 130 calls a second; one node in each zone makes four.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import type {
	ConditionalWrite, PeerNode, PlatformFault, RowStore, StoredRows,
} from '../services/services.js';
import {joinKey} from '../join-key.js';
import {waitForEvent, withTimeout} from '../lifecycle/timing.js';
import {hashText, highestWeights} from '../membership/rendezvous.js';
import {eraOf} from '../store/store-version.js';
import {nodeTable} from './constants.js';
import type {Fleet} from './fleet.js';
import type {PeerDirectory} from './peer-directory.js';
import type {PeerChanges} from './proof-renewal.js';
import type {PeeringServices} from './types.js';

const recentlyUnavailable: PlatformFault = {kind: 'unavailable', detail: 'neither another node nor the store answered the last request, and the next one waits for a backoff'};

type RowQuery = {
	readonly table: string;
	readonly afterVersion: number;
	readonly waitMs: number;
	/** Whether a proof is renewed; following goes on as before if the peer gives none. False if left out. */
	readonly isRenewal?: boolean;
};

/** A request to the store that waits up to a time in milliseconds for changes. */
type StoreRequest = (waitMs: number) => Promise<Either<PlatformFault, StoredRows>>;

type DelegatingRowStoreServices = Pick<PeeringServices, 'calls' | 'clock' | 'self' | 'options' | 'random' | 'restores'> & {
	readonly directory: PeerDirectory;
	readonly fleet: Fleet;
};

/** Backoff after calls to the store that failed: when it ends, and its length. */
type StoreBackoff = {
	readonly untilMs: number;
	readonly forMs: number;
};

type BackoffLengths = {
	readonly firstMs: number;
	readonly longestMs: number;
};

/** Key of the backoff of a node that asks the store only if no other node has rows: one for all tables. */
const allTables = '';

/**
 * Reads and follows tables through the coordinator in a large fleet, and from the store otherwise.
 *
 * In a large fleet the first nodes of a zone's order, the askers, ask the store one after the other:
 * each asks those before it, and the store only if none of them has rows. An asker that gets no answer
 * from the store asks the askers after it and then the coordinators of the other zones. All other nodes
 * ask the askers, then those coordinators, and the store last and seldom.
 *
 * Rows that an asker has from an asker after it, or any node from another zone, are not passed on
 * (`isForOwnUseOnly`). So two nodes never answer each other with what each has from the other, and a
 * node that asks those before it finds out when none of them reaches the store.
 */
export class DelegatingRowStore implements RowStore, PeerChanges {
	private readonly _store: RowStore;
	private readonly _services: DelegatingRowStoreServices;
	/** By table and node: until when a node that gave no rows of a table is not asked for it again. */
	private readonly _peerBackoffUntilMs = new Map<string, number>();
	/** By table, or for all tables: the backoff after the store gave no answer. */
	private readonly _storeBackoffs = new Map<string, StoreBackoff>();

	constructor(store: RowStore, services: DelegatingRowStoreServices) {
		this._store = store;
		this._services = services;
	}

	async read(table: string, partition: string): Promise<Either<PlatformFault, StoredRows>> {
		return this._ask({table, afterVersion: 0, waitMs: 0}, async () => this._store.read(table, partition));
	}

	async follow(table: string, afterVersion: number, waitMs: number): Promise<Either<PlatformFault, StoredRows>> {
		const {clock, directory, options} = this._services;
		if (!directory.isDiscoveryDone) {
			// Otherwise every node of a large fleet would ask the store once at its start, before it knows its coordinator.
			await waitForEvent(clock, directory.onDiscoveryDone, options.lookBeforeFollowMs);
		}

		return this._ask({table, afterVersion, waitMs}, async askedWaitMs => this._store.follow(table, afterVersion, askedWaitMs));
	}

	/**
	 * Returns a store for proofs of freshness. In a large fleet its requests for changes share the
	 * backoff of this node's other calls to the store, and fail at once while it lasts.
	 */
	forProofs(store: Pick<RowStore, 'follow'>): Pick<RowStore, 'follow'> {
		return {
			follow: async (table, afterVersion, waitMs) => {
				const {fleet, self, options} = this._services;
				if (!fleet.isLarge) {
					return store.follow(table, afterVersion, waitMs);
				}

				const rank = fleet.rowAskers(options.rowAskers).findIndex(({name}) => name === self.name);
				return this._askStore(rank === -1 ? allTables : table, waitMs, async askedWaitMs => store.follow(table, afterVersion, askedWaitMs), this._backoffLengths(rank));
			},
		};
	}

	async write(write: ConditionalWrite): Promise<Either<PlatformFault, {version: number; storeNowMs: number}>> {
		return this._store.write(write);
	}

	/** Returns the changes after a version as a node of this zone knows them now; undefined if none has them, or in a small fleet. */
	async askPeers(table: string, afterVersion: number): Promise<StoredRows | undefined> {
		const {fleet, self, options} = this._services;
		if (!fleet.isLarge) {
			return undefined;
		}

		const askers = fleet.rowAskers(options.rowAskers);
		const rank = askers.findIndex(({name}) => name === self.name);
		return this._askPeersWithBackoff(rank === -1 ? askers : askers.slice(0, rank), {
			table, afterVersion, waitMs: 0, isRenewal: true,
		});
	}

	/** Whether the node that is asked for tables first is sending rows of a table at the moment. */
	isReceiving(table: string): boolean {
		const {calls, fleet} = this._services;
		return fleet.isLarge && calls.isReceivingRows?.(fleet.coordinator(), table) === true;
	}

	private async _ask(query: RowQuery, askStore: StoreRequest): Promise<Either<PlatformFault, StoredRows>> {
		const {fleet, self, options} = this._services;
		if (!fleet.isLarge) {
			return askStore(query.waitMs);
		}

		const askers = fleet.rowAskers(options.rowAskers);
		const rank = askers.findIndex(({name}) => name === self.name);
		if (rank === -1) {
			return this._askAsOther(askers, query, askStore);
		}

		const earlier = askers.slice(0, rank);
		const delegated = await this._askPeers(earlier, query, query.table);
		return delegated ? Right(delegated) : this._askAsAsker(rank, askers, query, askStore);
	}

	/** Asks the store, and if it does not answer, the askers after this node and other zones. */
	private async _askAsAsker(rank: number, askers: readonly PeerNode[], query: RowQuery, askStore: StoreRequest): Promise<Either<PlatformFault, StoredRows>> {
		const answer = await this._askStore(query.table, query.waitMs, askStore, this._backoffLengths(rank));
		if (answer.isRight()) {
			return answer;
		}

		// A wait that is longer than the backoff would keep this node from asking the store when it has recovered.
		const backoffLeftMs = Math.max(0, (this._storeBackoffs.get(query.table)?.untilMs ?? 0) - this._services.clock.nowMs());
		const shortQuery = {...query, waitMs: Math.min(query.waitMs, backoffLeftMs)};
		const standIn = await this._askPeers(askers.slice(rank + 1), shortQuery, query.table) ?? await this._askOtherZones(shortQuery);
		return standIn ? Right({...standIn, isForOwnUseOnly: true}) : answer;
	}

	/** Asks the askers, then other zones, and the store itself last. */
	private async _askAsOther(askers: readonly PeerNode[], query: RowQuery, askStore: StoreRequest): Promise<Either<PlatformFault, StoredRows>> {
		const ofZone = await this._askPeers(askers, query, allTables);
		if (ofZone) {
			return Right(ofZone);
		}

		const ofOtherZone = await this._askOtherZones(query);
		if (ofOtherZone) {
			return Right({...ofOtherZone, isForOwnUseOnly: true});
		}

		return this._askStore(allTables, query.waitMs, askStore, this._backoffLengths(-1));
	}

	/** Asks the coordinators of the other zones; undefined if none has rows. */
	private async _askOtherZones(query: RowQuery): Promise<StoredRows | undefined> {
		const {fleet, self} = this._services;
		const coordinators = fleet.observers().filter(({availabilityZone}) => availabilityZone !== self.availabilityZone);
		// The nodes of a zone that the store refuses ask different zones.
		const order = highestWeights(coordinators.map(node => ({name: node.name, hash: hashText(node.name), value: node})), self.name, coordinators.length);
		return this._askPeersWithBackoff(order, query);
	}

	/** Lengths of the store's backoff for a node by its place among the askers; -1 if it is none of them. */
	private _backoffLengths(rank: number): BackoffLengths {
		const {options} = this._services;
		if (rank === -1) {
			return {firstMs: options.storeAwayMs, longestMs: options.longestStoreAwayMs};
		}

		return rank === 0
			? {firstMs: options.askerRetryMs, longestMs: options.longestAskerRetryMs}
			: {firstMs: options.nextAskerRetryMs, longestMs: options.longestNextAskerRetryMs};
	}

	/** Whether the store gave no answer so recently that it is not asked again yet. */
	private _isStoreInBackoff(key: string): boolean {
		return this._services.clock.nowMs() < (this._storeBackoffs.get(key)?.untilMs ?? 0);
	}

	/** Asks the store itself unless it is in backoff, without waiting for changes if it did not answer the last time. */
	private async _askStore(key: string, waitMs: number, ask: StoreRequest, {firstMs, longestMs}: BackoffLengths): Promise<Either<PlatformFault, StoredRows>> {
		const {clock, random, options} = this._services;
		if (this._isStoreInBackoff(key)) {
			return Left(recentlyUnavailable);
		}

		const before = this._storeBackoffs.get(key);
		const answer = before ? await this._probe(key, ask) : await ask(waitMs);
		return answer
			.ifLeft(() => {
				const forMs = Math.min(before ? before.forMs * 2 : firstMs, longestMs);
				const jitter = 1 - (random.next() * options.storeRetryJitterShare);
				this._storeBackoffs.set(key, {forMs, untilMs: clock.nowMs() + (forMs * jitter)});
			})
			.ifRight(() => {
				this._storeBackoffs.delete(key);
			});
	}

	/**
	 * Asks a store that did not answer the last time. An answer that takes longer than `storeProbeMs` is
	 * not waited for; it ends the backoff when it arrives, and the next request is waited for.
	 */
	private async _probe(key: string, ask: StoreRequest): Promise<Either<PlatformFault, StoredRows>> {
		const {clock, options} = this._services;
		const pending = ask(0);
		const answer = await withTimeout(clock, pending, options.storeProbeMs);
		if (answer) {
			return answer;
		}

		void this._endBackoffWith(key, pending);
		return Left(recentlyUnavailable);
	}

	private async _endBackoffWith(key: string, pending: Promise<Either<PlatformFault, StoredRows>>): Promise<void> {
		const answer = await pending;
		if (answer.isRight()) {
			this._storeBackoffs.delete(key);
		}
	}

	/** Rows from the first asker of the zone that has any; undefined if none has. `backoffKey` is that of this node's calls to the store. */
	private async _askPeers(peers: readonly PeerNode[], query: RowQuery, backoffKey: string): Promise<StoredRows | undefined> {
		// Since the store does not answer, only another node can have rows, so the node's own backoff is ignored. When
		// the store answers again, an asker that has read the table is asked before the store, not by every node of a zone.
		if (this._storeBackoffs.has(backoffKey)) {
			for (const peer of peers) {
				this._peerBackoffUntilMs.delete(keyOf(query.table, peer));
			}
		}

		return this._askPeersWithBackoff(peers, query);
	}

	private async _askPeersWithBackoff(peers: readonly PeerNode[], {table, afterVersion, waitMs, isRenewal}: RowQuery): Promise<StoredRows | undefined> {
		const {clock, options} = this._services;
		const longestWaitMs = table === nodeTable ? options.sharedFollowNodesMs : options.sharedFollowMs;
		for (const peer of peers) {
			const key = keyOf(table, peer);
			if (clock.nowMs() >= (this._peerBackoffUntilMs.get(key) ?? 0)) {
				const rows = await this._askPeer(peer, key, {
					table, afterVersion, waitMs: Math.min(waitMs, longestWaitMs), isRenewal,
				});
				if (rows) {
					return rows;
				}
			}
		}

		return undefined;
	}

	private async _askPeer(peer: PeerNode, key: string, {table, afterVersion, waitMs, isRenewal}: RowQuery): Promise<StoredRows | undefined> {
		const {calls, clock, directory, options, restores} = this._services;
		const answer = await calls.rows(peer, table, afterVersion, waitMs);
		return answer
			.ifLeft(reason => {
				if (isRenewal) {
					return;
				}

				directory.reportReachability(peer.name, reason === notFollowedReason);
				this._peerBackoffUntilMs.set(key, clock.nowMs() + options.notFollowingMs);
			})
			.ifRight(({version}) => {
				restores.note(version);
			})
			.toMaybe()
			// A peer that has not noticed the store's last restore yet has only rows of an earlier era.
			.filter(({version}) => eraOf(version) >= restores.era)
			.extract();
	}
}

/** Failure reason of a rows request that the peer answered, but without rows, because it does not follow the table at the moment. */
export const notFollowedReason = 'the peer does not follow the table';

function keyOf(table: string, {name}: PeerNode): string {
	return joinKey(table, name);
}
