import {describe, it} from 'node:test';
import {expect} from 'earl';
import {MemoryPlatform} from '../../../standins/platform/memory-platform.js';
import {SeededRandom} from '../../common/random/seeded-random.js';
import {VirtualClock} from '../../common/testing/virtual-clock.js';
import {FailoverRecord} from './failover-record.js';
import type {Failover} from './types.js';

function failover(second: number): Failover {
	return {
		group: 'sales', reason: 'crash', gapMs: 100 + second, at: `2024-01-01T00:00:0${second}.000Z`,
	};
}

function build() {
	const clock = new VirtualClock();
	const platform = new MemoryPlatform(clock, new SeededRandom(1));
	const recordOf = (writerId: string): FailoverRecord => new FailoverRecord({table: platform.connect().table, clock, writerId});
	return {
		clock, platform, first: recordOf('n1/1'), second: recordOf('n2/1'),
	};
}

describe('FailoverRecord', () => {
	it('shows the latest failover of all nodes on each of them', async () => {
		const {clock, first, second} = build();
		first.note(failover(2));
		second.note(failover(1));
		await clock.advance(5000);
		await clock.advanceUntil(second.refresh());
		expect([first.last, second.last]).toEqual([failover(2), failover(2)]);
		second.note(failover(3));
		await clock.advance(5000);
		await clock.advanceUntil(first.refresh());
		expect(first.last).toEqual(failover(3));
	});

	it('keeps its own failover while the platform is down, and writes it to the table afterwards', async () => {
		const {clock, platform, first, second} = build();
		platform.faults.outage = 'refused';
		first.note(failover(1));
		await clock.advance(3000);
		expect(first.last).toEqual(failover(1));
		platform.faults.outage = 'none';
		await clock.advance(20_000);
		await clock.advanceUntil(second.refresh());
		expect(second.last).toEqual(failover(1));
		first.dispose();
		second.dispose();
		expect(clock.pendingTimers).toEqual(0);
	});
});
