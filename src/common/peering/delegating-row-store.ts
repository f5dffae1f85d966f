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
import {pauseFor, waitForEvent} from '../lifecycle/timing.js';
import {eraOf} from '../store/store-version.js';
import {nodeTable} from './constants.js';
import type {Fleet} from './fleet.js';
import type {PeerDirectory} from './peer-directory.js';
import type {PeeringServices} from './types.js';

const recentlyUnavailable: PlatformFault = {kind: 'unavailable', detail: 'neither another node nor the store answered the last request, and the next one waits for a backoff'};

type RowQuery = {
	readonly table: string;
	readonly afterVersion: number;
	readonly waitMs: number;
};

type DelegatingRowStoreServices = Pick<PeeringServices, 'calls' | 'clock' | 'self' | 'options' | 'restores'> & {
	readonly directory: PeerDirectory;
	readonly fleet: Fleet;
};

/** Reads and follows tables through the coordinator in a large fleet, and from the store otherwise. */
export class DelegatingRowStore implements RowStore {
	private readonly _store: RowStore;
	private readonly _services: DelegatingRowStoreServices;
	/** By table and node: until when a node that gave no rows of a table is not asked for it again. */
	private readonly _peerBackoffUntilMs = new Map<string, number>();
	/** By table: until when the store itself is not asked again after it gave no answer. */
	private readonly _storeBackoffUntilMs = new Map<string, number>();

	constructor(store: RowStore, services: DelegatingRowStoreServices) {
		this._store = store;
		this._services = services;
	}

	async read(table: string, partition: string): Promise<Either<PlatformFault, StoredRows>> {
		const delegated = await this._askCoordinators(table, 0, 0) ?? await this._readAfterCoordinator(table);
		return delegated ? Right(delegated) : this._askStore(table, async () => this._store.read(table, partition));
	}

	async follow(table: string, afterVersion: number, waitMs: number): Promise<Either<PlatformFault, StoredRows>> {
		const {clock, directory, options} = this._services;
		if (!directory.isDiscoveryDone) {
			// Otherwise every node of a large fleet would ask the store once at its start, before it knows its coordinator.
			await waitForEvent(clock, directory.onDiscoveryDone, options.lookBeforeFollowMs);
		}

		const longestWaitMs = table === nodeTable ? options.sharedFollowNodesMs : options.sharedFollowMs;
		const delegated = await this._askCoordinators(table, afterVersion, Math.min(waitMs, longestWaitMs));
		return delegated ? Right(delegated) : this._askStore(table, async () => this._store.follow(table, afterVersion, waitMs));
	}

	async write(write: ConditionalWrite): Promise<Either<PlatformFault, {version: number; storeNowMs: number}>> {
		return this._store.write(write);
	}

	/** Whether this node follows tables at the store, as in a small fleet or as coordinator. */
	private get _usesStoreDirectly(): boolean {
		const {fleet, self} = this._services;
		return !fleet.isLarge || fleet.coordinator().name === self.name;
	}

	/** Whether the store gave no answer for a table so recently that it is not asked again yet. */
	private _isStoreInBackoff(table: string): boolean {
		return this._services.clock.nowMs() < (this._storeBackoffUntilMs.get(table) ?? 0);
	}

	/**
	 * When the store's backoff has ended, gives the coordinator time to read the table and asks it
	 * once more, so that not every node of a zone reads the table from the store. Undefined if no
	 * backoff has ended since the last call, or if the coordinator still gives no rows.
	 */
	private async _readAfterCoordinator(table: string): Promise<StoredRows | undefined> {
		const {clock, fleet, options} = this._services;
		const backoffUntilMs = this._storeBackoffUntilMs.get(table);
		const isBackoffOver = backoffUntilMs !== undefined && clock.nowMs() >= backoffUntilMs;
		if (!isBackoffOver || this._usesStoreDirectly) {
			return undefined;
		}

		this._storeBackoffUntilMs.delete(table);
		await pauseFor(clock, options.readAfterAskerMs);
		this._peerBackoffUntilMs.delete(keyOf(table, fleet.coordinator()));
		return this._askCoordinators(table, 0, 0);
	}

	/** Asks the store itself. A node that normally asks a coordinator fails at once during the store's backoff. */
	private async _askStore(table: string, ask: () => Promise<Either<PlatformFault, StoredRows>>): Promise<Either<PlatformFault, StoredRows>> {
		const {clock, options} = this._services;
		if (this._usesStoreDirectly) {
			return ask();
		}

		if (this._isStoreInBackoff(table)) {
			return Left(recentlyUnavailable);
		}

		const answer = await ask();
		return answer.ifLeft(() => {
			this._storeBackoffUntilMs.set(table, clock.nowMs() + options.storeAwayMs);
		});
	}

	/** Rows from the first coordinator candidate that answers; undefined if the store itself must be asked. */
	private async _askCoordinators(table: string, afterVersion: number, waitMs: number): Promise<StoredRows | undefined> {
		const {fleet, self, clock, options} = this._services;
		if (!fleet.isLarge) {
			return undefined;
		}

		// If the store refuses the zone's coordinator, one other node asks the store in its place, not all of them.
		for (const coordinator of fleet.rowAskers(options.rowAskers)) {
			if (coordinator.name === self.name) {
				return undefined;
			}

			const key = keyOf(table, coordinator);
			// While the store is in backoff, only another node can have rows, so the node's own backoff is ignored.
			if (this._isStoreInBackoff(table) || clock.nowMs() >= (this._peerBackoffUntilMs.get(key) ?? 0)) {
				const rows = await this._askPeer(coordinator, key, {table, afterVersion, waitMs});
				if (rows) {
					return rows;
				}
			}
		}

		return undefined;
	}

	private async _askPeer(coordinator: PeerNode, key: string, {table, afterVersion, waitMs}: RowQuery): Promise<StoredRows | undefined> {
		const {calls, clock, directory, options, restores} = this._services;
		const answer = await calls.rows(coordinator, table, afterVersion, waitMs);
		return answer
			.ifLeft(reason => {
				directory.reportReachability(coordinator.name, reason === notFollowedReason);
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
	return `${table} ${name}`;
}
