import {describe, it} from 'node:test';
import {expect} from 'earl';
import {MemoryRowStore} from '../../../standins/line/memory-row-store.js';
import type {Log, Metrics} from '../services/services.js';
import {restoreDefaults} from '../store/constants.js';
import {RestoreWatch} from '../store/restore-watch.js';
import {WatchedRows} from '../store/watched-rows.js';
import {VirtualClock} from '../testing/virtual-clock.js';
import {auditTable, RowAudit} from './row-audit.js';

const log: Log = {
	event() {
		// Not looked at.
	},
};

const metrics: Metrics = {
	count() {
		// Not looked at.
	},
	gauge() {
		// Not looked at.
	},
	observe() {
		// Not looked at.
	},
};

describe('RowAudit', () => {
	it('writes entries again that a store has lost by coming back from an older copy, once', async () => {
		const clock = new VirtualClock();
		const store = new MemoryRowStore(clock);
		const restores = new RestoreWatch({
			clock, log, metrics, options: restoreDefaults,
		});
		const watched = new WatchedRows(store, restores);
		const audit = new RowAudit({
			clock, log, restores, store: watched, node: 'n1',
		});
		const record = (subject: string): void => {
			audit.record({
				actor: 'n1', act: 'promote', subject, basis: 'crashed', outcome: 'done',
			});
		};

		const subjects = async (): Promise<string[]> => {
			const read = await watched.read(auditTable, '');
			return read.unsafeCoerce().rows.map(({value}) => (JSON.parse(value!) as {subject: string}).subject); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the test wrote it
		};

		record('kept');
		await clock.advance(10);
		const copy = store.takeCopy();
		record('lost');
		await clock.advance(1000);
		store.restore(copy);
		expect(await subjects()).toEqual(['kept']);
		await clock.advance(2000);
		expect(await subjects()).toEqual(['kept', 'lost']);
		audit.dispose();
	});
});
