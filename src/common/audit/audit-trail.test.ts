import {describe, it} from 'node:test';
import {expect} from 'earl';
import {MemoryPlatform} from '../../../standins/platform/memory-platform.js';
import {SeededRandom} from '../random/seeded-random.js';
import {RecordingLog, silentMetrics} from '../testing/observers.js';
import {valueOf} from '../testing/faults.js';
import {VirtualClock} from '../testing/virtual-clock.js';
import {AuditTrail} from './audit-trail.js';
import {droppedAct, type AuditOptions} from './constants.js';
import type {AuditRecord} from './types.js';

const entry = (act: string) => ({
	actor: 'ann', act, subject: 'group a', basis: 'change 1', outcome: 'done',
});

function setUp(options: Partial<AuditOptions> = {}) {
	const clock = new VirtualClock();
	const random = new SeededRandom(1);
	const platform = new MemoryPlatform(clock, random);
	const log = new RecordingLog();
	const connect = (node: string) => {
		const {table, faults} = platform.connect();
		const services = {
			table, clock, random, log, metrics: silentMetrics,
		};
		return {trail: new AuditTrail(services, node, options), faults};
	};

	return {
		clock, platform, log, connect,
	};
}

/** Reads the whole trail in pages. */
async function readAll(trail: AuditTrail, pageLength: number): Promise<AuditRecord[]> {
	const records: AuditRecord[] = [];
	let before: string | undefined;
	do {
		const page = await valueOf(trail.read(pageLength, before));
		records.push(...page.records);
		before = page.next;
	} while (before !== undefined);

	return records;
}

const acts = (records: readonly AuditRecord[]): string[] => records.map(({act}) => act);

describe('AuditTrail', () => {
	it('writes batches at a bounded rate, and stops when no entry is buffered', async () => {
		const {clock, platform, connect} = setUp();
		const {trail} = connect('n1/1');
		for (let number = 0; number < 60; number++) {
			trail.record(entry(`act ${number}`));
		}

		await clock.advance(1000);
		expect([platform.limits.counts.writes, trail.bufferedCount]).toEqual([1, 35]);
		await clock.advance(2000);
		expect([platform.limits.counts.writes, trail.bufferedCount, clock.pendingTimers]).toEqual([3, 0, 0]);
		const first = await valueOf(trail.read(2));
		expect(acts(first.records)).toEqual(['act 59', 'act 58']);
	});

	it('pages through the entries of several nodes and days, newest first, each once', async () => {
		const {clock, platform, connect} = setUp({pageItems: 3, batchEntries: 4});
		platform.faults.readsPerSecond = 1_000_000;
		const random = new SeededRandom(5);
		const nodes = ['n1/1', 'n2/1', 'n2/2'].map(node => connect(node).trail);
		for (let number = 0; number < 300; number++) {
			nodes[Math.floor(random.next() * 3)].record(entry(String(number)));
			await clock.advance(random.next() < 0.02 ? 20 * 3_600_000 : random.next() * 3000);
		}

		await clock.advance(60_000);
		const expected = Array.from({length: 300}, (_, index) => String(299 - index));
		for (const pageLength of [1, 7, 1000]) {
			const records = await readAll(nodes[0], pageLength);
			expect(acts(records)).toEqual(expected);
		}
	});

	it('buffers a bounded number of entries during an outage and records how many it dropped', async () => {
		const {clock, platform, connect} = setUp({bufferedEntries: 10});
		const {trail} = connect('n1/1');
		platform.faults.outage = 'refused';
		for (let number = 0; number < 25; number++) {
			trail.record(entry(String(number)));
			await clock.advance(10_000);
		}

		expect(trail.bufferedCount).toEqual(10);
		platform.faults.outage = 'none';
		await clock.advance(60_000);
		trail.record(entry('after'));
		await clock.advance(1000);
		const records = await readAll(trail, 100);
		expect(acts(records)).toEqual(['after', droppedAct, '9', '8', '7', '6', '5', '4', '3', '2', '1', '0']);
		expect(records[1].outcome).toEqual('dropped 15 entries');
	});

	it('writes each entry once when answers are lost and entries arrive meanwhile', async () => {
		const {clock, platform, connect} = setUp();
		const {trail} = connect('n1/1');
		Object.assign(platform.faults, {lostAnswerShare: 0.6, latencyMs: 5, latencySpreadMs: 2000});
		for (let number = 0; number < 200; number++) {
			trail.record(entry(String(number)));
			await clock.advance(300);
		}

		await clock.advance(600_000);
		Object.assign(platform.faults, {lostAnswerShare: 0, latencyMs: 0, latencySpreadMs: 0});
		expect(acts(await readAll(trail, 50))).toEqual(Array.from({length: 200}, (_, index) => String(199 - index)));
	});

	it('flushes without pauses, and gives up at its timeout', async () => {
		const {clock, platform, connect} = setUp({batchEntries: 1});
		const {trail} = connect('n1/1');
		const record = (): void => {
			for (let number = 0; number < 20; number++) {
				trail.record(entry(String(number)));
			}
		};

		record();
		const startMs = clock.nowMs();
		expect(await clock.advanceUntil(trail.flush(5000))).toEqual(true);
		expect(clock.nowMs() - startMs).toEqual(0);
		platform.faults.outage = 'refused';
		record();
		expect(await clock.advanceUntil(trail.flush(5000))).toEqual(false);
		trail.dispose();
		await clock.advance(60_000);
		expect(clock.pendingTimers).toEqual(0);
	});

	it('drops a batch and reports it when its item belongs to another process', async () => {
		const {clock, connect, log} = setUp();
		const trails = [connect('n1/1').trail, connect('n1/1').trail];
		trails[0].record(entry('first'));
		trails[1].record({...entry('second'), actor: 'bob'});
		await clock.advance(2000);
		const records = await readAll(trails[0], 10);
		expect(acts(records)).toEqual([droppedAct, 'first']);
		expect(log.names).toEqual(['auditEntriesDropped']);
	});

	it('refuses a text that is not a cursor', async () => {
		const read = await setUp().connect('n1/1').trail.read(10, 'yesterday');
		expect(read.isLeft() && read.extract().kind).toEqual('invalid');
	});
});
