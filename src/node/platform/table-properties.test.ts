/**
 * Invariants of every implementation of the table, regardless of what is lost, late or refused: revisions
 * increase by one at a time, no update is lost, and each change takes effect once.
 */
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {z} from 'zod';
import {LoopbackPlatform} from '../../../standins/platform/loopback-platform.js';
import {MemoryPlatform} from '../../../standins/platform/memory-platform.js';
import {makeInjectedFaults, type InjectedFaults} from '../../../standins/platform/settings.js';
import {SeededRandom} from '../../common/random/seeded-random.js';
import type {Clock, Table, TableItem} from '../../common/services/services.js';
import {valueOf} from '../../common/testing/faults.js';
import {RecordingLog, silentMetrics} from '../../common/testing/observers.js';
import {VirtualClock} from '../../common/testing/virtual-clock.js';
import {SystemClock} from '../system-clock.js';
import {DynamoTable} from './dynamo-table.js';

const changesPerWriter = 3;
const writerCount = 3;
const listSchema = z.array(z.string());
const seed = 20_240_501;

/** Timeout of a read that is not part of what the property varies. */
const readTimeoutMs = 10_000;

const faultsArbitrary = fc.record({
	latencyMs: fc.constantFrom(0, 5, 40),
	latencySpreadMs: fc.constantFrom(0, 30, 3000),
	lostAnswerShare: fc.constantFrom(0, 0.2, 0.6),
	writesPerSecond: fc.constantFrom(5, 400),
});

async function pause(clock: Clock, delayMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		clock.setTimer(delayMs, resolve);
	});
}

/** Appends to a log at the first free number; skips numbers that other changes hold. */
async function appendToLog(table: Table, clock: Clock, changeId: string): Promise<void> {
	let number = 1;
	for (;;) {
		const written = await table.put({
			partition: 'log', sort: String(number).padStart(6, '0'), changeId, body: '{}',
		}, 0);
		if (written.isRight()) {
			return;
		}

		if (written.isLeft() && written.extract().kind === 'conditionFailed') {
			number++;
		} else {
			await pause(clock, 50);
		}
	}
}

/** Adds a change to a list that all writers replace; the list's content shows whether the change is already in it. */
async function addToList(table: Table, clock: Clock, changeId: string): Promise<void> {
	for (;;) {
		const read = await table.get('list', 'shared');
		const item = read.orDefault(undefined);
		const list = item ? listSchema.parse(JSON.parse(item.body)) : [];
		if (list.includes(changeId)) {
			return;
		}

		if (read.isRight()) {
			const body = JSON.stringify([...list, changeId]);
			await table.put({
				partition: 'list', sort: 'shared', changeId, body,
			}, item?.revision ?? 0);
		}

		await pause(clock, 20);
	}
}

/** Writes two items that are only ever written together. */
async function writePair(table: Table, clock: Clock, changeId: string): Promise<void> {
	for (;;) {
		const writes = ['a', 'b'].map(sort => ({
			item: {
				partition: `pair-${changeId}`, sort, changeId, body: '{}',
			}, expectedRevision: 0,
		}));
		const written = await table.putAll(writes);
		if (written.isRight()) {
			return;
		}

		await pause(clock, 50);
	}
}

async function runWriter(table: Table, clock: Clock, writer: number): Promise<void> {
	for (let change = 0; change < changesPerWriter; change++) {
		const changeId = `${writer}-${change}`;
		await appendToLog(table, clock, changeId);
		await addToList(table, clock, changeId);
		await writePair(table, clock, changeId);
	}
}

function changeIds(): string[] {
	const writers = Array.from({length: writerCount}, (_, writer) => writer);
	return writers.flatMap(writer => Array.from({length: changesPerWriter}, (_, change) => `${writer}-${change}`));
}

async function checkTable(table: Table): Promise<void> {
	const log: readonly TableItem[] = await valueOf(table.query('log', '', 100));
	expect(log.map(({changeId}) => changeId).toSorted()).toEqual(changeIds());
	expect(log.map(({sort}) => Number(sort))).toEqual(log.map((_, index) => index + 1));
	expect(log.every(({revision}) => revision === 1)).toEqual(true);
	const shared = await valueOf(table.get('list', 'shared'));
	const list = listSchema.parse(JSON.parse(shared!.body));
	expect(list.toSorted()).toEqual(changeIds());
	expect(shared!.revision).toEqual(list.length);
	for (const changeId of changeIds()) {
		const pair = await valueOf(table.query(`pair-${changeId}`, '', 10));
		expect(pair.map(({revision}) => revision)).toEqual([1, 1]);
	}
}

describe('table invariants', () => {
	it('hold in memory', async () => {
		await fc.assert(fc.asyncProperty(faultsArbitrary, fc.integer(), async (faults, randomSeed) => {
			const clock = new VirtualClock();
			const platform = new MemoryPlatform(clock, new SeededRandom(randomSeed), faults);
			const tables = Array.from({length: writerCount}, () => platform.connect().table);
			const done = Promise.all(tables.map(async (table, writer) => runWriter(table, clock, writer)));
			await clock.advanceUntil(done, 3_600_000);
			// Writes that were still delayed when their writers timed out take effect in this time, or never.
			await clock.advance(10_000);
			Object.assign(platform.faults, makeInjectedFaults());
			await checkTable(tables[0]);
		}), {seed, numRuns: 60});
	});

	describe('over the network', () => {
		const clock = new SystemClock();
		const cases: ReadonlyArray<Partial<InjectedFaults>> = [
			{lostAnswerShare: 0.3, latencySpreadMs: 55},
			{lostAnswerShare: 0.1, writesPerSecond: 40},
		];

		for (const faults of cases) {
			it(`hold under ${JSON.stringify(faults)}`, async () => {
				const platform = new LoopbackPlatform();
				const settings = await platform.start({requestTimeoutMs: 50});
				Object.assign(platform.server.faults, faults);
				const connect = (requestTimeoutMs: number): DynamoTable => new DynamoTable({...settings, requestTimeoutMs}, clock, new RecordingLog(), silentMetrics);
				const tables = Array.from({length: writerCount}, () => connect(settings.requestTimeoutMs));
				// What the writers left is read with time enough, since a read on a busy machine may take longer than a writer waits.
				const reader = connect(readTimeoutMs);
				try {
					await Promise.all(tables.map(async (table, writer) => runWriter(table, clock, writer)));
					platform.clearFaults();
					await checkTable(reader);
				} finally {
					for (const table of [...tables, reader]) {
						table.dispose();
					}

					platform.dispose();
				}
			});
		}
	});
});
