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

	it('takes a store that never came back for settled', () => {
		watch.note(storeVersion(0, 5));
		watch.note(storeVersion(0, 9));
		expect([watch.isSettled, watch.mayMissRegistrations, fired]).toEqual([true, false, 0]);
	});

	it('tells of each restore once, and takes nothing back for an answer that was held up', () => {
		watch.note(storeVersion(0, 5));
		watch.note(storeVersion(1, 2));
		watch.note(storeVersion(0, 6));
		watch.note(storeVersion(1, 3));
		expect([watch.era, fired, log.names]).toEqual([1, 1, ['storeRestored']]);
	});

	it('counts a second restore from its own moment', async () => {
		watch.note(storeVersion(0, 5));
		watch.note(storeVersion(1, 2));
		await clock.advance(restoreDefaults.settleMs - 1);
		watch.note(storeVersion(2, 1));
		await clock.advance(restoreDefaults.settleMs - 1);
		expect(watch.isSettled).toEqual(false);
		await clock.advance(1);
		expect(watch.isSettled).toEqual(true);
	});

	it('takes a restore before the first answer for one of this moment until it is told the time', () => {
		watch.note(storeVersion(3, 7));
		expect([watch.isSettled, fired]).toEqual([false, 1]);
		watch.applyRecord(JSON.stringify({era: 2, atMs: 0}), 1_000_000);
		expect(watch.isSettled).toEqual(false);
		watch.applyRecord(JSON.stringify({era: 3, atMs: 0}), 1_000_000);
		expect([watch.isSettled, watch.mayMissRegistrations]).toEqual([true, false]);
	});

	it('never takes a record for older than its own clock allows', () => {
		watch.note(storeVersion(1, 7));
		watch.applyRecord(JSON.stringify({era: 1, atMs: 9000}), 100);
		expect(watch.isSettled).toEqual(false);
	});
});
