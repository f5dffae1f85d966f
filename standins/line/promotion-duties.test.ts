import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {assert, asyncProperty, string} from 'fast-check';
import type {HeldDuty} from '../../src/common/primacy/promotion-duty.js';
import {dutyTable, PromotionDuties} from '../../src/common/primacy/promotion-duty.js';
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import {restoreDefaults} from '../../src/common/store/constants.js';
import {RestoreWatch} from '../../src/common/store/restore-watch.js';
import {VersionObservingStore} from '../../src/common/store/version-observing-store.js';
import {RecordingLog, silentMetrics} from '../../src/common/testing/observers.js';
import {VirtualClock} from '../../src/common/testing/virtual-clock.js';
import {MemoryRowStore} from './memory-row-store.js';

const leaseMs = 5000;
const service = 'svc';

describe('PromotionDuties', () => {
	let clock: VirtualClock;
	let store: MemoryRowStore;

	function dutiesOf(node: string): PromotionDuties {
		const log = new RecordingLog();
		const restores = new RestoreWatch({
			clock, log, metrics: silentMetrics, options: restoreDefaults,
		});
		return new PromotionDuties({
			clock, log, node, restores, store: new VersionObservingStore(store, restores), random: new SeededRandom(node.length),
		}, leaseMs);
	}

	async function acquire(duties: PromotionDuties, term: number): Promise<HeldDuty> {
		const taken = await clock.advanceUntil(duties.acquire(service, term));
		return taken.unsafeCoerce();
	}

	async function order(duties: PromotionDuties, duty: HeldDuty, id: string): Promise<HeldDuty | undefined> {
		const recorded = await clock.advanceUntil(duties.recordOrder(service, duty, id));
		return recorded.toMaybe().extract();
	}

	async function begunTerm(): Promise<number | undefined> {
		const state = await dutiesOf('reader').state(service);
		return state.toMaybe().extract()?.begunTerm;
	}

	beforeEach(() => {
		clock = new VirtualClock();
		store = new MemoryRowStore(clock);
	});

	it('keep the record of a term that was ordered to be replaced when a later replacement is cancelled', async () => {
		const duties = dutiesOf('a');
		await order(duties, await acquire(duties, 3), 'i-2');
		const later = await acquire(duties, 4);
		expect([later.term, later.orderedId]).toEqual([4, undefined]);
		expect(await begunTerm()).toEqual(4);
		await clock.advanceUntil(duties.cancelReplacement(service, later));
		expect(await begunTerm()).toEqual(3);
	});

	it('remove a term from the record after a refusal, and nothing that was recorded before', async () => {
		const duties = dutiesOf('a');
		await order(duties, await acquire(duties, 3), 'i-2');
		const later = await acquire(duties, 4);
		const ordered = await order(duties, later, 'i-3');
		expect(await begunTerm()).toEqual(4);
		await clock.advanceUntil(duties.cancelReplacement(service, ordered!, later));
		expect(await begunTerm()).toEqual(3);
	});

	it('return the endpoint that was ordered for the term, and a later term than the caller knows', async () => {
		const duties = dutiesOf('a');
		await order(duties, await acquire(duties, 3), 'i-2');
		const again = await acquire(duties, 2);
		expect([again.term, again.orderedId]).toEqual([3, 'i-2']);
	});

	it('never replace a term whose successor has been seen', async () => {
		const duties = dutiesOf('a');
		const ordered = await order(duties, await acquire(duties, 3), 'i-2');
		await clock.advanceUntil(duties.recordEffect(service, ordered!, 4));
		const again = await acquire(duties, 3);
		expect([again.term, again.orderedId]).toEqual([4, undefined]);
	});

	it('record no order after another node has acquired the duty', async () => {
		const duty = await acquire(dutiesOf('a'), 3);
		await clock.advance(leaseMs);
		await acquire(dutiesOf('bb'), 3);
		expect(await order(dutiesOf('a'), duty, 'i-2')).toEqual(undefined);
	});

	it('find out by reading that an order was recorded although the answer was lost', async () => {
		const duties = dutiesOf('a');
		const duty = await acquire(duties, 3);
		store.writeAnswersToLose = 1;
		const ordered = await order(duties, duty, 'i-2');
		expect(ordered?.version).toEqual(duty.version + 1);
	});

	it('do not acquire a duty that another node may hold and a restored store may have lost', async () => {
		const snapshot = store.takeSnapshot();
		const duties = dutiesOf('a');
		await acquire(duties, 3);
		store.restore(snapshot);
		const refused = await clock.advanceUntil(dutiesOf('bb').acquire(service, 3));
		expect(refused.swap().toMaybe().extract()?.reason).toEqual('heldByAnother');
		await clock.advance(leaseMs);
		const again = await clock.advanceUntil(duties.acquire(service, 3));
		expect(again.isRight()).toEqual(false);
	});

	it('record no order under a claim that the store has lost, even if its version was given out again', async () => {
		store.put('other', 'row', '1');
		const snapshot = store.takeSnapshot();
		const duty = await acquire(dutiesOf('a'), 3);
		store.restore(snapshot);
		store.put(dutyTable, 'holder', JSON.stringify({...duty.record, holder: 'bb'}), service);
		expect(await order(dutiesOf('a'), duty, 'i-2')).toEqual(undefined);
	});

	it('rewrite an order that the store has lost, with the endpoint that it named', async () => {
		const duties = dutiesOf('a');
		const snapshot = store.takeSnapshot();
		await order(duties, await acquire(duties, 3), 'i-2');
		store.restore(snapshot);
		await clock.advanceUntil(duties.rewriteLostRecord(service, {primaryTerm: 3, begunTerm: 3}));
		await clock.advance(leaseMs);
		const again = await acquire(duties, 2);
		expect([again.term, again.orderedId]).toEqual([3, 'i-2']);
	});

	it('rewrite as ordered a replacement that the snapshot shows as begun, since its order may be lost', async () => {
		const duties = dutiesOf('a');
		const duty = await acquire(duties, 3);
		const snapshot = store.takeSnapshot();
		await order(duties, duty, 'i-2');
		store.restore(snapshot);
		const others = dutiesOf('bb');
		await clock.advanceUntil(others.rewriteLostRecord(service, {primaryTerm: 3, begunTerm: 0}));
		await clock.advance(leaseMs);
		const state = await clock.advanceUntil(others.state(service));
		expect(state.toMaybe().extract()?.orderedTerm).toEqual(3);
	});

	it('rewrite nothing if nothing was lost', async () => {
		const duties = dutiesOf('a');
		const ordered = await order(duties, await acquire(duties, 3), 'i-2');
		await clock.advanceUntil(duties.recordEffect(service, ordered!, 4));
		store.restore(store.takeSnapshot());
		const before = store.currentVersion;
		await clock.advanceUntil(dutiesOf('bb').rewriteLostRecord(service, {primaryTerm: 4, begunTerm: 0}));
		expect(store.currentVersion).toEqual(before);
	});

	it('return no term for a row that cannot be parsed', async () => {
		await assert(asyncProperty(string(), async value => {
			store.put(dutyTable, 'holder', value, service);
			expect(await begunTerm()).toEqual(undefined);
		}), {seed: 1, numRuns: 200});
	});
});
