/**
 * The store as nodes of a large fleet use it: tables that every node follows are asked of the
 * node that asks for the zone, and of the store itself where that does not answer.
 *
 * The store bounds its calls for all nodes together. 77 nodes that followed two tables each made
 * some 130 calls a second; one node a zone makes four.
 */
import type {Either} from 'purify-ts';
import {Right} from 'purify-ts';
import type {
	ConditionalWrite, PlatformFault, RowStore, StoredRows,
} from '../services/services.js';
import type {Fleet} from './fleet.js';
import type {PeerDirectory} from './peer-directory.js';
import type {PeeringServices} from './types.js';

type SharedRowServices = Pick<PeeringServices, 'calls' | 'options'> & {
	readonly directory: PeerDirectory;
	readonly fleet: Fleet;
};

/** Reads and follows tables over another node where one does so for all. */
export class SharedRows implements RowStore {
	private readonly _store: RowStore;
	private readonly _services: SharedRowServices;

	constructor(store: RowStore, services: SharedRowServices) {
		this._store = store;
		this._services = services;
	}

	async read(table: string, partition: string): Promise<Either<PlatformFault, StoredRows>> {
		const shared = await this._shared(table, 0, 0);
		return shared ? Right(shared) : this._store.read(table, partition);
	}

	async follow(table: string, afterVersion: number, waitMs: number): Promise<Either<PlatformFault, StoredRows>> {
		const shared = await this._shared(table, afterVersion, Math.min(waitMs, this._services.options.sharedFollowMs));
		return shared ? Right(shared) : this._store.follow(table, afterVersion, waitMs);
	}

	async write(write: ConditionalWrite): Promise<Either<PlatformFault, {version: number; storeNowMs: number}>> {
		return this._store.write(write);
	}

	/** What the asking node says; undefined where the store itself must be asked. */
	private async _shared(table: string, afterVersion: number, waitMs: number): Promise<StoredRows | undefined> {
		const {fleet, calls, directory} = this._services;
		if (!fleet.isLarge || fleet.isAsker) {
			return undefined;
		}

		const asker = fleet.asker();
		const answer = await calls.rows(asker, table, afterVersion, waitMs);
		return answer
			.ifLeft(reason => {
				directory.noteAnswer(asker.name, reason === notFollowed);
			})
			.toMaybe()
			.extract();
	}
}

/** Reason of a peer that lives and does not follow the table at the moment. */
export const notFollowed = 'the peer does not follow the table';
