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

	async function take(duties: PromotionDuties, term: number): Promise<HeldDuty> {
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

	it('keep a term that was ordered away on record when a later replacement is given up', async () => {
		const duties = dutiesOf('a');
		await order(duties, await take(duties, 3), 'i-2');
		const later = await take(duties, 4);
		expect([later.term, later.orderedId]).toEqual([4, undefined]);
		expect(await begunTerm()).toEqual(4);
		await clock.advanceUntil(duties.cancelReplacement(service, later));
		expect(await begunTerm()).toEqual(3);
	});

	it('take a term from the record after a refusal, and nothing that stood there before', async () => {
		const duties = dutiesOf('a');
		await order(duties, await take(duties, 3), 'i-2');
		const later = await take(duties, 4);
		const ordered = await order(duties, later, 'i-3');
		expect(await begunTerm()).toEqual(4);
		await clock.advanceUntil(duties.cancelReplacement(service, ordered!, later));
		expect(await begunTerm()).toEqual(3);
	});

	it('name the endpoint that was ordered for the term, and a later term than is known', async () => {
		const duties = dutiesOf('a');
		await order(duties, await take(duties, 3), 'i-2');
		const again = await take(duties, 2);
		expect([again.term, again.orderedId]).toEqual([3, 'i-2']);
	});

	it('never replace a term again whose successor was seen', async () => {
		const duties = dutiesOf('a');
		const ordered = await order(duties, await take(duties, 3), 'i-2');
		await clock.advanceUntil(duties.recordEffect(service, ordered!, 4));
		const again = await take(duties, 3);
		expect([again.term, again.orderedId]).toEqual([4, undefined]);
	});

	it('put no order on record once another node has the duty', async () => {
		const duty = await take(dutiesOf('a'), 3);
		await clock.advance(leaseMs);
		await take(dutiesOf('bb'), 3);
		expect(await order(dutiesOf('a'), duty, 'i-2')).toEqual(undefined);
	});

	it('find out by reading that an order is on record whose answer was lost', async () => {
		const duties = dutiesOf('a');
		const duty = await take(duties, 3);
		store.writeAnswersToLose = 1;
		const ordered = await order(duties, duty, 'i-2');
		expect(ordered?.version).toEqual(duty.version + 1);
	});

	it('do not take a duty that a restored store may have lost', async () => {
		const copy = store.takeSnapshot();
		const duties = dutiesOf('a');
		await take(duties, 3);
		store.restore(copy);
		const refused = await clock.advanceUntil(dutiesOf('bb').acquire(service, 3));
		expect(refused.swap().toMaybe().extract()?.reason).toEqual('heldByAnother');
		await clock.advance(leaseMs);
		const again = await clock.advanceUntil(duties.acquire(service, 3));
		expect(again.isRight()).toEqual(false);
	});

	it('put no order on record under a claim that the store has lost, also where its version was given out again', async () => {
		store.put('other', 'row', '1');
		const copy = store.takeSnapshot();
		const duty = await take(dutiesOf('a'), 3);
		store.restore(copy);
		store.put(dutyTable, 'holder', JSON.stringify({...duty.record, holder: 'bb'}), service);
		expect(await order(dutiesOf('a'), duty, 'i-2')).toEqual(undefined);
	});

	it('put back the order that the store has lost, and whom it named', async () => {
		const duties = dutiesOf('a');
		const copy = store.takeSnapshot();
		await order(duties, await take(duties, 3), 'i-2');
		store.restore(copy);
		await clock.advanceUntil(duties.rewriteLostRecord(service, {primaryTerm: 3, begunTerm: 3}));
		await clock.advance(leaseMs);
		const again = await take(duties, 2);
		expect([again.term, again.orderedId]).toEqual([3, 'i-2']);
	});

	it('put back as ordered what the copy shows begun: the order may be lost', async () => {
		const duties = dutiesOf('a');
		const duty = await take(duties, 3);
		const copy = store.takeSnapshot();
		await order(duties, duty, 'i-2');
		store.restore(copy);
		const others = dutiesOf('bb');
		await clock.advanceUntil(others.rewriteLostRecord(service, {primaryTerm: 3, begunTerm: 0}));
		await clock.advance(leaseMs);
		const state = await clock.advanceUntil(others.state(service));
		expect(state.toMaybe().extract()?.orderedTerm).toEqual(3);
	});

	it('put nothing back where nothing was lost', async () => {
		const duties = dutiesOf('a');
		const ordered = await order(duties, await take(duties, 3), 'i-2');
		await clock.advanceUntil(duties.recordEffect(service, ordered!, 4));
		store.restore(store.takeSnapshot());
		const before = store.currentVersion;
		await clock.advanceUntil(dutiesOf('bb').rewriteLostRecord(service, {primaryTerm: 4, begunTerm: 0}));
		expect(store.currentVersion).toEqual(before);
	});

	it('say nothing of a row that cannot be read', async () => {
		await assert(asyncProperty(string(), async value => {
			store.put(dutyTable, 'holder', value, service);
			expect(await begunTerm()).toEqual(undefined);
		}), {seed: 1, numRuns: 200});
	});
});
