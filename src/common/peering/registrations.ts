/**
 * Membership of a fleet that is too large for every node to notify every other one: a node follows
 * the table of registrations, over the coordinator that follows tables for its zone.
 */
import type {FollowedTable, FollowerServices, TableSubscriber} from '../catalog/table-follower.js';
import {TableFollower} from '../catalog/table-follower.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {StoredRow} from '../services/services.js';
import type {PeerDirectory} from './peer-directory.js';
import {nodeTable} from './constants.js';

/** Registers this node, and keeps the peer directory up to date. */
export class Registrations implements TableSubscriber, Disposable {
	private readonly _directory: PeerDirectory;
	private readonly _follower: TableFollower;
	private _isDisposed = false;

	constructor(directory: PeerDirectory, services: FollowerServices) {
		this._directory = directory;
		this._follower = new TableFollower(nodeTable, this, services, {waitMs: () => services.options.followNodesWaitMs});
	}

	/** The followed table of registrations, for other nodes; it has no changes while the fleet is small. */
	get followed(): FollowedTable {
		return this._follower;
	}

	/** Runs the directory while the fleet is small, then follows the table until disposed. */
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
