import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {MemoryRowStore} from '../../../standins/line/memory-row-store.js';
import {restoreDefaults} from '../store/constants.js';
import {RestoreWatch} from '../store/restore-watch.js';
import {VersionObservingStore} from '../store/version-observing-store.js';
import {RecordingLog, silentMetrics} from '../testing/observers.js';
import {VirtualClock} from '../testing/virtual-clock.js';
import {auditTable, RowAudit} from './row-audit.js';

describe('RowAudit', () => {
	let clock: VirtualClock;
	let store: MemoryRowStore;
	let watched: VersionObservingStore;
	let audit: RowAudit;

	function record(subject: string): void {
		audit.record({
			actor: 'n1', act: 'promote', subject, basis: 'crashed', outcome: 'done',
		});
	}

	async function subjects(): Promise<string[]> {
		const read = await watched.read(auditTable, '');
		return read.unsafeCoerce().rows.map(({value}) => (JSON.parse(value!) as {subject: string}).subject); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the test wrote it
	}

	beforeEach(() => {
		clock = new VirtualClock();
		store = new MemoryRowStore(clock);
		const log = new RecordingLog();
		const restores = new RestoreWatch({
			clock, log, metrics: silentMetrics, options: restoreDefaults,
		});
		watched = new VersionObservingStore(store, restores);
		audit = new RowAudit({
			clock, log, restores, store: watched, node: 'n1',
		});
	});

	afterEach(() => {
		audit.dispose();
	});

	it('drops no further entry when the one that is being written was dropped because too many waited', async () => {
		// The entry that is being written is the oldest one, which is dropped first.
		for (let count = 0; count <= 256; count++) {
			record(String(count));
		}

		await clock.advance(10);
		const written = await subjects();
		expect(written.at(-1)).toEqual('256');
	});

	it('retains an entry from the time of its write, even if it waited for long before', async () => {
		store.isUnavailable = true;
		record('late');
		await clock.advance(120_000);
		const snapshot = store.takeSnapshot();
		store.isUnavailable = false;
		await clock.advance(2000);
		expect(await subjects()).toEqual(['late']);
		store.restore(snapshot);
		await subjects();
		await clock.advance(2000);
		expect(await subjects()).toEqual(['late']);
	});

	it('writes entries again, once, that a store has lost by a restore from an older snapshot', async () => {
		record('kept');
		await clock.advance(10);
		const snapshot = store.takeSnapshot();
		record('lost');
		await clock.advance(1000);
		store.restore(snapshot);
		expect(await subjects()).toEqual(['kept']);
		await clock.advance(2000);
		expect(await subjects()).toEqual(['kept', 'lost']);
	});
});
