/**
 * Who is there, in a fleet too large for every node to tell every other one: the table of the
 * registrations is followed, over the node that follows tables for the zone.
 */
import type {FollowedTable, FollowerServices, TableSubscriber} from '../catalog/table-follower.js';
import {TableFollower} from '../catalog/table-follower.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {StoredRow} from '../services/services.js';
import type {PeerDirectory} from './peer-directory.js';
import {nodeTable} from './constants.js';

/** Registers this node and keeps the directory up to date. */
export class Registrations implements TableSubscriber, Disposable {
	private readonly _directory: PeerDirectory;
	private readonly _follower: TableFollower;
	private _isDisposed = false;

	constructor(directory: PeerDirectory, services: FollowerServices) {
		this._directory = directory;
		this._follower = new TableFollower(nodeTable, this, services, {waitMs: () => services.options.followNodesWaitMs});
	}

	/** What is followed, for other nodes; not followed while the fleet is small. */
	get followed(): FollowedTable {
		return this._follower;
	}

	/** Runs until disposed. */
	async run(): Promise<void> {
		await this._directory.run();
		if (!this._isDisposed) {
			await this._follower.run();
		}
	}

	applySnapshot(rows: readonly StoredRow[]): void {
		this._directory.applySnapshot(rows);
	}

	applyRow(row: StoredRow): void {
		this._directory.applyRows([row]);
	}

	dispose(): void {
		this._isDisposed = true;
		this._follower.dispose();
	}
}
