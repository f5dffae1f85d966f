import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {MemoryRowStore} from '../../../standins/line/memory-row-store.js';
import {SeededRandom} from '../random/seeded-random.js';
import {restoreDefaults} from '../store/constants.js';
import {RestoreWatch} from '../store/restore-watch.js';
import {oddRows, oddValues, withField} from '../testing/odd-json.js';
import {RecordingLog, silentMetrics} from '../testing/observers.js';
import {VirtualClock} from '../testing/virtual-clock.js';
import {dutyTable, PromotionDuties} from './promotion-duty.js';

const leaseMs = 2000;

const record = {
	holder: 'other', epoch: 7, usedAtMs: 0, claimId: 'other-1', term: 0, orderedTerm: 0, seenTerm: 0,
};

describe('PromotionDuties after another program wrote the row of a duty', () => {
	let store: MemoryRowStore;
	let clock: VirtualClock;
	let duties: PromotionDuties;

	beforeEach(() => {
		clock = new VirtualClock();
		store = new MemoryRowStore(clock);
		const log = new RecordingLog();
		const restores = new RestoreWatch({
			clock, log, metrics: silentMetrics, options: restoreDefaults,
		});
		duties = new PromotionDuties({
			clock, log, store, restores, random: new SeededRandom(1), node: 'n1',
		}, leaseMs);
	});

	function put(value: string): void {
		store.put(dutyTable, 'holder', value, 'svc');
	}

	/** Epochs of two acquisitions, a lease after the row was written. */
	async function acquireTwice(): Promise<number[]> {
		await clock.advance(leaseMs);
		const first = await clock.advanceUntil(duties.acquire('svc', 1));
		const second = await clock.advanceUntil(duties.acquire('svc', 1));
		return [first, second].map(taken => taken.map(({epoch}) => epoch).orDefault(0));
	}

	// A promoter waited for the end of such a lease, so that no primary was ever replaced.
	it('acquires the duty after a lease, whatever the row says about its last use', async () => {
		for (const usedAtMs of ['1e300', '9007199254740993', '2147483648', '1e400', '-1e300']) {
			put(withField(record, 'usedAtMs', usedAtMs));
			const [first, second] = await acquireTwice();
			expect(first > 0 && second > first).toEqual(true);
		}
	});

	it('waits for the lease of another node that used the duty now', async () => {
		put(JSON.stringify({...record, usedAtMs: clock.nowMs()}));
		const refused = await clock.advanceUntil(duties.acquire('svc', 1));
		expect(refused.swap().map(({waitMs}) => waitMs).extract()).toEqual(leaseMs);
	});

	// The next epoch was no safe integer, so its row was unreadable and epochs started from one again.
	it('uses rising epochs after an odd row', async () => {
		for (const text of [...oddRows, ...oddValues.map(value => withField(record, 'epoch', value)), withField(record, 'epoch', '9007199254740991')]) {
			put(text);
			const [first, second] = await acquireTwice();
			expect(first > 0 && second > first && Number.isSafeInteger(second)).toEqual(true);
		}
	});
});
