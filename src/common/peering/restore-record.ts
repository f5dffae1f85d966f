/**
 * The row that tells nodes which start later when the store last came back from an older copy. It
 * stands among the registrations, which every node reads when it starts.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {hashText} from '../membership/rendezvous.js';
import type {PeerNode, StoredRow} from '../services/services.js';
import {nodeTable} from './constants.js';
import type {PeeringServices} from './types.js';

/** Key of the row; no node has such a name. */
export const restoreRecordKey = '*restored';

/** Writes the row, and takes it in. */
export class RestoreRecord implements Disposable {
	private readonly _services: PeeringServices;
	private readonly _others: () => readonly PeerNode[];
	private _timer: Disposable | undefined;

	constructor(services: PeeringServices, others: () => readonly PeerNode[]) {
		this._services = services;
		this._others = others;
	}

	/** Takes in the registrations as the store said them at a time on its clock. */
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

	/** Takes in changes of the registrations: whoever waits for its turn need not write a row that is there. */
	applyChanges(rows: readonly StoredRow[]): void {
		const row = rows.find(({key}) => key === restoreRecordKey);
		if (row && this._services.restores.isRecordedIn(row.value)) {
			this._timer?.dispose();
		}
	}

	/** Has the row written, by whichever node's turn comes first. */
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
