import {describe, it} from 'node:test';
import {expect} from 'earl';
import {VirtualClock} from '../testing/virtual-clock.js';
import {pauseFor} from '../lifecycle/timing.js';
import type {HomeOptions} from './constants.js';
import {defaultHomeOptions} from './constants.js';
import type {SlotRequest} from './slot-queue.js';
import {SlotQueue} from './slot-queue.js';

/** A queue with statements that take a fixed time. */
class QueueHarness {
	readonly clock = new VirtualClock(0);
	readonly queue: SlotQueue;
	/** Callers in the order in which they were served. */
	readonly served: string[] = [];
	readonly refused: string[] = [];
	serviceMs = 10;
	mayBegin = true;
	maximumRunning = 0;

	constructor(slots: number, options: Partial<HomeOptions> = {}) {
		this.queue = new SlotQueue({
			clock: this.clock,
			random: {next: () => 0.5},
			metrics: {count: ignore, gauge: ignore, observe: ignore},
			invariants: {
				check(_name, condition, detail) {
					if (!condition) {
						throw new Error(detail());
					}

					return true;
				},
			},
			options: {...defaultHomeOptions, ...options},
		}, 'stock-1', slots, () => this.mayBegin);
	}

	async run(caller: string, change: Partial<SlotRequest> = {}, how: {signal?: AbortSignal; serviceMs?: number} = {}): Promise<string> {
		const slot = await this.queue.acquire({
			caller, priority: 5, lane: 'read', timeLeftMs: 1000, ...change,
		}, how.signal ?? new AbortController().signal);
		if (slot.isLeft()) {
			this.refused.push(caller);
			return slot.extract().kind;
		}

		this.served.push(caller);
		this.maximumRunning = Math.max(this.maximumRunning, this.queue.running);
		await pauseFor(this.clock, how.serviceMs ?? this.serviceMs);
		slot.unsafeCoerce().dispose();
		return 'ok';
	}

	/** Lets the queue learn how long statements take. */
	async learn(): Promise<this> {
		await this.clock.advanceUntil(Promise.all([this.run('x'), this.run('x', {lane: 'write'}), this.run('x', {lane: 'begin'})]));
		this.served.length = 0;
		return this;
	}

	/** Offers statements at an even rate; resolves with how many ended as asked. */
	async offer(perSecond: number, durationMs: number, timeLeftMs: number): Promise<number> {
		const results: Array<Promise<string>> = [];
		const gapMs = 1000 / perSecond;
		for (let atMs = 0; atMs < durationMs; atMs += gapMs) {
			results.push(this.run(`caller-${results.length % 4}`, {timeLeftMs}));
			await this.clock.advance(gapMs);
		}

		const kinds = await this.clock.advanceUntil(Promise.all(results));
		return kinds.filter(kind => kind === 'ok').length;
	}
}

function ignore(): void {
	// Nothing to measure.
}

function repeat(count: number, run: () => Promise<string>): Array<Promise<string>> {
	return Array.from({length: count}, async () => run());
}

describe('SlotQueue', () => {
	it('never runs more statements than there are slots', async () => {
		const bench = await new QueueHarness(3).learn();
		await bench.clock.advanceUntil(Promise.all(repeat(50, async () => bench.run('a'))));
		expect(bench.maximumRunning).toEqual(3);
		expect(bench.served.length).toEqual(50);
	});

	it('serves open transactions first, then by priority', async () => {
		const bench = await new QueueHarness(1).learn();
		const all = [
			bench.run('first'),
			bench.run('late', {priority: 9}),
			bench.run('normal'),
			bench.run('urgent', {priority: 1}),
			bench.run('open', {lane: 'transaction', priority: 9}),
		];
		await bench.clock.advanceUntil(Promise.all(all));
		expect(bench.served).toEqual(['first', 'open', 'urgent', 'normal', 'late']);
	});

	it('shares slots evenly among callers, and among reads and writes', async () => {
		const bench = await new QueueHarness(1).learn();
		const many = [
			...repeat(30, async () => bench.run('flood')),
			...repeat(5, async () => bench.run('few')),
			...repeat(5, async () => bench.run('writer', {lane: 'write'})),
		];
		await bench.clock.advance(195);
		const firstTwenty = bench.served.slice(0, 20);
		expect(firstTwenty.filter(caller => caller === 'writer').length).toEqual(5);
		expect(firstTwenty.filter(caller => caller === 'few').length).toEqual(5);
		await bench.clock.advanceUntil(Promise.all(many));
	});

	it('charges callers for time, not for statements', async () => {
		const bench = await new QueueHarness(1, {maximumQueueWaitMs: 60_000}).learn();
		const all = [
			...repeat(20, async () => bench.run('slow', {timeLeftMs: 9000}, {serviceMs: 40})),
			...repeat(40, async () => bench.run('fast', {timeLeftMs: 9000})),
		];
		await bench.clock.advance(400);
		const fastCount = bench.served.filter(caller => caller === 'fast').length;
		const slowCount = bench.served.length - fastCount;
		expect(fastCount / slowCount).toBeGreaterThan(2.5);
		await bench.clock.advanceUntil(Promise.all(all));
	});

	it('does not starve low priority', async () => {
		const bench = await new QueueHarness(1, {maximumQueueWaitMs: 60_000}).learn();
		const low = bench.run('low', {priority: 9, timeLeftMs: 5000});
		const flood = repeat(90, async () => bench.run('high', {priority: 1, timeLeftMs: 5000}));
		await bench.clock.advance(320);
		expect(bench.served.includes('low')).toEqual(true);
		await bench.clock.advanceUntil(Promise.all([low, ...flood]));
	});

	it('refuses at once what cannot end before its deadline, with a time to come back', async () => {
		const bench = await new QueueHarness(2).learn();
		const ahead = repeat(22, async () => bench.run('a'));
		const slot = await bench.queue.acquire({
			caller: 'a', priority: 5, lane: 'read', timeLeftMs: 50,
		}, new AbortController().signal);
		const refusal = slot.swap().unsafeCoerce();
		expect(refusal.kind).toEqual('deadlineUnreachable');
		expect(refusal.retryAfterMs).toEqual(105);
		// Another caller's turn comes sooner: its deadline can be met.
		expect(await bench.clock.advanceUntil(bench.run('b', {timeLeftMs: 50}))).toEqual('ok');
		await bench.clock.advanceUntil(Promise.all(ahead));
	});

	it('makes room in a full queue at the cost of the caller that fills it', async () => {
		const bench = new QueueHarness(1, {queueLength: 5});
		const all = [...repeat(6, async () => bench.run('flood')), bench.run('other'), bench.run('flood')];
		const kinds = await bench.clock.advanceUntil(Promise.all(all));
		expect(kinds).toEqual(['ok', 'ok', 'ok', 'ok', 'ok', 'overloaded', 'ok', 'overloaded']);
	});

	it('answers a cancelled or late statement at once', async () => {
		const bench = new QueueHarness(1);
		const controller = new AbortController();
		bench.serviceMs = 1000;
		const running = bench.run('a');
		const cancelled = bench.run('a', {}, {signal: controller.signal});
		const late = bench.run('a', {timeLeftMs: 30});
		controller.abort();
		expect(await cancelled).toEqual('cancelled');
		await bench.clock.advance(30);
		expect(await late).toEqual('deadlineExceeded');
		expect(bench.queue.length).toEqual(0);
		await bench.clock.advanceUntil(running);
	});

	it('lets reads pass while no transaction may begin', async () => {
		const bench = new QueueHarness(1);
		bench.mayBegin = false;
		const begin = bench.run('a', {lane: 'begin'});
		expect(await bench.clock.advanceUntil(bench.run('a'))).toEqual('ok');
		bench.mayBegin = true;
		bench.queue.serve();
		expect(await bench.clock.advanceUntil(begin)).toEqual('ok');
	});

	for (const factor of [2, 5]) {
		it(`keeps its goodput at ${factor} times its capacity and recovers at once`, async () => {
			const bench = await new QueueHarness(3).learn();
			const capacityPerSecond = 300;
			const served = await bench.offer(capacityPerSecond * factor, 2000, 200);
			expect(served).toBeGreaterThan(capacityPerSecond * 2 * 0.95);
			expect(bench.queue.length).toEqual(0);
			const afterwards = await bench.offer(capacityPerSecond * 0.5, 1000, 50);
			expect(afterwards).toBeGreaterThanOrEqual(150);
		});
	}
});
