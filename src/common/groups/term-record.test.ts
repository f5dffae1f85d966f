import {describe, it} from 'node:test';
import {expect} from 'earl';
import {MemoryPlatform} from '../../../standins/platform/memory-platform.js';
import {SeededRandom} from '../random/seeded-random.js';
import {valueOf} from '../testing/faults.js';
import {RecordingLog, silentMetrics} from '../testing/observers.js';
import {VirtualClock} from '../testing/virtual-clock.js';
import {TermRecords} from './term-record.js';

function setUp() {
	const clock = new VirtualClock();
	const random = new SeededRandom(1);
	const platform = new MemoryPlatform(clock, random);
	const log = new RecordingLog();
	const connect = () => {
		const {table, faults} = platform.connect();
		const records = new TermRecords({
			table, clock, random, log, metrics: silentMetrics,
		});
		return {records, faults, table};
	};

	return {
		clock, platform, log, connect,
	};
}

const termOf = (term: number, primary = `i${term}`) => ({group: 'g', term, primary});

describe('TermRecords', () => {
	it('records the highest pending term after an outage of the table', async () => {
		const {clock, platform, connect} = setUp();
		const {records} = connect();
		platform.faults.outage = 'refused';
		records.record(termOf(2), 'c2');
		await clock.advance(60_000);
		records.record(termOf(4), 'c4');
		records.record(termOf(3), 'c3');
		expect(records.pendingCount).toEqual(1);
		platform.faults.outage = 'none';
		await clock.advance(15_000);
		expect(records.pendingCount).toEqual(0);
		expect(await valueOf(records.read('g'))).toEqual({term: 4, primary: 'i4', claimId: 'c4'});
		expect(clock.pendingTimers).toEqual(0);
	});

	it('backs off during a long outage', async () => {
		const {clock, platform, connect} = setUp();
		platform.faults.outage = 'refused';
		connect().records.record(termOf(2), 'c2');
		await clock.advance(600_000);
		// After the first few attempts, at least half of the maximum delay passes between two of them.
		expect(platform.limits.counts.unavailable < 10 + (600 / 7.5)).toEqual(true);
	});

	it('detects that a write whose answer was lost took effect', async () => {
		const {clock, platform, connect} = setUp();
		const {records, faults, table} = connect();
		faults.lostAnswers = 1;
		records.record(termOf(2), 'c2');
		await clock.advance(1000);
		expect(records.pendingCount).toEqual(0);
		const item = await valueOf(table.get('groups', 'g'));
		expect([item?.revision, platform.limits.counts.writes]).toEqual([1, 1]);
	});

	it('never records a lower term over a higher one when nodes race', async () => {
		const {clock, platform, connect, log} = setUp();
		const nodes = [connect(), connect(), connect()];
		Object.assign(platform.faults, {latencyMs: 1, latencySpreadMs: 300, lostAnswerShare: 0.3});
		for (const term of [2, 5, 3, 4, 7, 6]) {
			nodes[term % 3].records.record(termOf(term), `c${term}`);
		}

		let lastTerm = 0;
		for (let step = 0; step < 200; step++) {
			await clock.advance(100);
			const read = await clock.advanceUntil(nodes[0].records.read('g'));
			const term = read.unsafeCoerce()?.term ?? 0;
			expect(term >= lastTerm).toEqual(true);
			lastTerm = term;
		}

		expect(lastTerm).toEqual(7);
		expect(nodes.map(({records}) => records.pendingCount)).toEqual([0, 0, 0]);
		expect(log.names.includes('termRecordContradicted')).toEqual(false);
	});

	it('logs a contradiction when two claims led the same term', async () => {
		const {clock, connect, log} = setUp();
		const [a, b] = [connect().records, connect().records];
		a.record(termOf(2), 'c');
		await clock.advance(0);
		b.record(termOf(2, 'other'), 'd');
		await clock.advance(0);
		expect(log.names).toEqual(['termRecorded', 'termRecordContradicted']);
	});

	it('stops its tasks when disposed', async () => {
		const {clock, platform, connect} = setUp();
		const {records} = connect();
		platform.faults.outage = 'silent';
		records.record(termOf(2), 'c2');
		await clock.advance(10_000);
		records.dispose();
		await clock.advance(10_000);
		expect(clock.pendingTimers).toEqual(0);
	});
});
