/**
 * The store as nodes of a large fleet use it: tables that every node follows are asked of the
 * node that asks for the zone, and of the store itself where that does not answer.
 *
 * The store bounds its calls for all nodes together. 77 nodes that followed two tables each made
 * some 130 calls a second; one node a zone makes four.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import type {
	ConditionalWrite, PeerNode, PlatformFault, RowStore, StoredRows,
} from '../services/services.js';
import {pauseFor, waitForEvent} from '../lifecycle/timing.js';
import {eraOf} from '../store/store-version.js';
import type {Fleet} from './fleet.js';
import type {PeerDirectory} from './peer-directory.js';
import type {PeeringServices} from './types.js';

const recentlyUnavailable: PlatformFault = {kind: 'unavailable', detail: 'neither the asked nodes nor the store answered a moment ago'};

type RowQuery = {
	readonly table: string;
	readonly afterVersion: number;
	readonly waitMs: number;
};

type DelegatingRowStoreServices = Pick<PeeringServices, 'calls' | 'clock' | 'self' | 'options' | 'restores'> & {
	readonly directory: PeerDirectory;
	readonly fleet: Fleet;
};

/** Reads and follows tables over another node where one does so for all. */
export class DelegatingRowStore implements RowStore {
	private readonly _store: RowStore;
	private readonly _services: DelegatingRowStoreServices;
	/** Until when a node that does not follow a table is passed over for it, by table and node. */
	private readonly _peerBackoffUntilMs = new Map<string, number>();
	/** Until when the store itself is not asked for a table, as it gave no answer a moment ago. */
	private readonly _storeBackoffUntilMs = new Map<string, number>();

	constructor(store: RowStore, services: DelegatingRowStoreServices) {
		this._store = store;
		this._services = services;
	}

	async read(table: string, partition: string): Promise<Either<PlatformFault, StoredRows>> {
		const shared = await this._askCoordinators(table, 0, 0) ?? await this._readAfterCoordinator(table);
		return shared ? Right(shared) : this._askStore(table, async () => this._store.read(table, partition));
	}

	async follow(table: string, afterVersion: number, waitMs: number): Promise<Either<PlatformFault, StoredRows>> {
		const {clock, directory, options} = this._services;
		if (!directory.isDiscoveryDone) {
			// Every node of a large fleet that starts would ask the store once before it knows its asker.
			await waitForEvent(clock, directory.onDiscoveryDone, options.lookBeforeFollowMs);
		}

		const shared = await this._askCoordinators(table, afterVersion, Math.min(waitMs, this._services.options.sharedFollowMs));
		return shared ? Right(shared) : this._askStore(table, async () => this._store.follow(table, afterVersion, waitMs));
	}

	async write(write: ConditionalWrite): Promise<Either<PlatformFault, {version: number; storeNowMs: number}>> {
		return this._store.write(write);
	}

	/** Whether no other node follows tables for this one. */
	private get _usesStoreDirectly(): boolean {
		const {fleet, self} = this._services;
		return !fleet.isLarge || fleet.coordinator().name === self.name;
	}

	/** Whether the store gave this node no answer a moment ago. */
	private _isStoreInBackoff(table: string): boolean {
		return this._services.clock.nowMs() < (this._storeBackoffUntilMs.get(table) ?? 0);
	}

	/** Asks once more where the store is just back: the nodes of a zone need not all read the table. */
	private async _readAfterCoordinator(table: string): Promise<StoredRows | undefined> {
		const {clock, fleet, options} = this._services;
		const awayUntilMs = this._storeBackoffUntilMs.get(table);
		const isJustBack = awayUntilMs !== undefined && clock.nowMs() >= awayUntilMs;
		if (!isJustBack || this._usesStoreDirectly) {
			return undefined;
		}

		this._storeBackoffUntilMs.delete(table);
		await pauseFor(clock, options.readAfterAskerMs);
		this._peerBackoffUntilMs.delete(keyOf(table, fleet.coordinator()));
		return this._askCoordinators(table, 0, 0);
	}

	/** Asks the store itself, unless it gave no answer a moment ago and another node asks it too. */
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

	/** What the asking node says; undefined where the store itself must be asked. */
	private async _askCoordinators(table: string, afterVersion: number, waitMs: number): Promise<StoredRows | undefined> {
		const {fleet, self, clock, options} = this._services;
		if (!fleet.isLarge) {
			return undefined;
		}

		// Where the store turns the zone's asker away, one other node asks in its place, not all of them.
		for (const coordinator of fleet.rowAskers(options.rowAskers)) {
			if (coordinator.name === self.name) {
				return undefined;
			}

			const key = keyOf(table, coordinator);
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
			// A node that has not noticed yet that the store came back from a copy knows nothing newer.
			.filter(({version}) => eraOf(version) >= restores.era)
			.extract();
	}
}

/** Reason of a peer that lives and does not follow the table at the moment. */
export const notFollowedReason = 'the peer does not follow the table';

function keyOf(table: string, {name}: PeerNode): string {
	return `${table} ${name}`;
}
