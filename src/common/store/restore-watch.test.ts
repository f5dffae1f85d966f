import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {RecordingLog, silentMetrics} from '../testing/observers.js';
import {VirtualClock} from '../testing/virtual-clock.js';
import {restoreDefaults} from './constants.js';
import {RestoreWatch} from './restore-watch.js';
import {storeVersion} from './store-version.js';

describe('RestoreWatch', () => {
	let clock: VirtualClock;
	let log: RecordingLog;
	let fired: number;
	let watch: RestoreWatch;

	beforeEach(() => {
		clock = new VirtualClock();
		log = new RecordingLog();
		fired = 0;
		watch = new RestoreWatch({
			clock,
			options: restoreDefaults,
			log,
			metrics: silentMetrics,
		});
		watch.onRestore(() => {
			fired += 1;
		});
	});

	it('considers a store that was never restored as settled', () => {
		watch.note(storeVersion(0, 5));
		watch.note(storeVersion(0, 9));
		expect([watch.isSettled, watch.mayMissRegistrations, fired]).toEqual([true, false, 0]);
	});

	it('reports each restore once, and ignores the older era of a delayed response', () => {
		watch.note(storeVersion(0, 5));
		watch.note(storeVersion(1, 2));
		watch.note(storeVersion(0, 6));
		watch.note(storeVersion(1, 3));
		expect([watch.era, fired, log.names]).toEqual([1, 1, ['storeRestored']]);
	});

	it('measures a second restore from its own time', async () => {
		watch.note(storeVersion(0, 5));
		watch.note(storeVersion(1, 2));
		await clock.advance(restoreDefaults.settleMs - 1);
		watch.note(storeVersion(2, 1));
		await clock.advance(restoreDefaults.settleMs - 1);
		expect(watch.isSettled).toEqual(false);
		await clock.advance(1);
		expect(watch.isSettled).toEqual(true);
	});

	it('assumes that a restore before the first response just happened until its recorded time is read', () => {
		watch.note(storeVersion(3, 7));
		expect([watch.isSettled, fired]).toEqual([false, 1]);
		watch.applyRecord(JSON.stringify({era: 2, atMs: 0}), 1_000_000);
		expect(watch.isSettled).toEqual(false);
		watch.applyRecord(JSON.stringify({era: 3, atMs: 0}), 1_000_000);
		expect([watch.isSettled, watch.mayMissRegistrations]).toEqual([true, false]);
	});

	it('ignores a record whose time lies in the future', () => {
		watch.note(storeVersion(1, 7));
		watch.applyRecord(JSON.stringify({era: 1, atMs: 9000}), 100);
		expect(watch.isSettled).toEqual(false);
	});
});
