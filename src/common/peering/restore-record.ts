/**
 * The row that tells nodes that start later when the store was last restored from an older snapshot.
 * It is stored among the registrations, which every node reads when it starts.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {hashText} from '../membership/rendezvous.js';
import type {PeerNode, StoredRow} from '../services/services.js';
import {nodeTable} from './constants.js';
import type {PeeringServices} from './types.js';

/** Key of the row; no node has this name. */
export const restoreRecordKey = '*restored';

/** Writes the row, and applies it when it is read. */
export class RestoreRecord implements Disposable {
	private readonly _services: PeeringServices;
	private readonly _others: () => readonly PeerNode[];
	private _timer: Disposable | undefined;

	constructor(services: PeeringServices, others: () => readonly PeerNode[]) {
		this._services = services;
		this._others = others;
	}

	/** Applies a snapshot of the registrations, read at a time on the store's clock in milliseconds. */
	applySnapshot(rows: readonly StoredRow[], storeNowMs: number): void {
		const {restores} = this._services;
		if (restores.era === 0) {
			return;
		}

		const row = rows.find(({key}) => key === restoreRecordKey);
		restores.applyRecord(row?.value, storeNowMs);
		if (!restores.isRecordedIn(row?.value)) {
			this.scheduleWrite();
		}
	}

	/** Applies changes of the registrations: a node that waits for its turn does not write a row that is there already. */
	applyChanges(rows: readonly StoredRow[]): void {
		const row = rows.find(({key}) => key === restoreRecordKey);
		if (row && this._services.restores.isRecordedIn(row.value)) {
			this._timer?.dispose();
		}
	}

	/** Schedules the write of the row, staggered by the rank of this node's name so that one node writes first. */
	scheduleWrite(): void {
		const {clock, self, restores} = this._services;
		const hash = hashText(self.name);
		const rank = this._others().filter(({name}) => hashText(name) < hash).length;
		this._timer?.dispose();
		this._timer = clock.setTimer(rank * restores.options.recordStaggerMs, () => {
			void this._write();
		});
	}

	dispose(): void {
		this._timer?.dispose();
	}

	private async _write(): Promise<void> {
		const {store, restores, log} = this._services;
		const read = await store.read(nodeTable, '');
		if (read.isLeft()) {
			log.event('restoreNotRecorded', read.extract());
			return;
		}

		const {rows, storeNowMs} = read.unsafeCoerce();
		const row = rows.find(({key}) => key === restoreRecordKey);
		if (restores.isRecordedIn(row?.value)) {
			return;
		}

		const written = await store.write({
			table: nodeTable, partition: '', key: restoreRecordKey, value: restores.recordAt(storeNowMs), expectedVersion: row?.version ?? 0,
		});
		written.ifLeft(fault => {
			log.event('restoreNotRecorded', fault);
		});
	}
}
