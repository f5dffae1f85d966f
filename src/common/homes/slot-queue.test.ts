import {describe, it} from 'node:test';
import {expect} from 'earl';
import {VirtualClock} from '../testing/virtual-clock.js';
import {pauseFor} from '../lifecycle/timing.js';
import type {HomeOptions} from './constants.js';
import {defaultHomeOptions} from './constants.js';
import type {SlotRequest} from './slot-queue.js';
import {SlotQueue} from './slot-queue.js';

/** A queue whose statements take a fixed service time. */
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

	/** Runs one statement in each lane, from which the queue learns the service times. */
	async learn(): Promise<this> {
		await this.clock.advanceUntil(Promise.all([this.run('x'), this.run('x', {lane: 'write'}), this.run('x', {lane: 'begin'})]));
		this.served.length = 0;
		return this;
	}

	/** Sends statements at a constant rate; resolves with how many succeeded. */
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
	// The tests check no metrics.
}

function repeat(count: number, run: () => Promise<string>): Array<Promise<string>> {
	return Array.from({length: count}, async () => run());
}

describe('SlotQueue', () => {
	it('never runs more statements than there are slots', async () => {
		const harness = await new QueueHarness(3).learn();
		await harness.clock.advanceUntil(Promise.all(repeat(50, async () => harness.run('a'))));
		expect(harness.maximumRunning).toEqual(3);
		expect(harness.served.length).toEqual(50);
	});

	it('serves open transactions first, then by priority', async () => {
		const harness = await new QueueHarness(1).learn();
		const all = [
			harness.run('first'),
			harness.run('late', {priority: 9}),
			harness.run('normal'),
			harness.run('urgent', {priority: 1}),
			harness.run('open', {lane: 'transaction', priority: 9}),
		];
		await harness.clock.advanceUntil(Promise.all(all));
		expect(harness.served).toEqual(['first', 'open', 'urgent', 'normal', 'late']);
	});

	it('shares slots evenly among callers, and among reads and writes', async () => {
		const harness = await new QueueHarness(1).learn();
		const many = [
			...repeat(30, async () => harness.run('flood')),
			...repeat(5, async () => harness.run('few')),
			...repeat(5, async () => harness.run('writer', {lane: 'write'})),
		];
		await harness.clock.advance(195);
		const firstTwenty = harness.served.slice(0, 20);
		expect(firstTwenty.filter(caller => caller === 'writer').length).toEqual(5);
		expect(firstTwenty.filter(caller => caller === 'few').length).toEqual(5);
		await harness.clock.advanceUntil(Promise.all(many));
	});

	it('charges callers by service time, not by number of statements', async () => {
		const harness = await new QueueHarness(1, {maximumQueueWaitMs: 60_000}).learn();
		const all = [
			...repeat(20, async () => harness.run('slow', {timeLeftMs: 9000}, {serviceMs: 40})),
			...repeat(40, async () => harness.run('fast', {timeLeftMs: 9000})),
		];
		await harness.clock.advance(400);
		const fastCount = harness.served.filter(caller => caller === 'fast').length;
		const slowCount = harness.served.length - fastCount;
		expect(fastCount / slowCount).toBeGreaterThan(2.5);
		await harness.clock.advanceUntil(Promise.all(all));
	});

	it('does not starve low priority', async () => {
		const harness = await new QueueHarness(1, {maximumQueueWaitMs: 60_000}).learn();
		const low = harness.run('low', {priority: 9, timeLeftMs: 5000});
		const flood = repeat(90, async () => harness.run('high', {priority: 1, timeLeftMs: 5000}));
		await harness.clock.advance(320);
		expect(harness.served.includes('low')).toEqual(true);
		await harness.clock.advanceUntil(Promise.all([low, ...flood]));
	});

	it('refuses a statement at once that cannot end before its deadline, with a retry delay', async () => {
		const harness = await new QueueHarness(2).learn();
		const ahead = repeat(22, async () => harness.run('a'));
		const slot = await harness.queue.acquire({
			caller: 'a', priority: 5, lane: 'read', timeLeftMs: 50,
		}, new AbortController().signal);
		const refusal = slot.swap().unsafeCoerce();
		expect(refusal.kind).toEqual('deadlineUnreachable');
		expect(refusal.retryAfterMs).toEqual(105);
		// Another caller is served sooner, so that the same deadline can be met.
		expect(await harness.clock.advanceUntil(harness.run('b', {timeLeftMs: 50}))).toEqual('ok');
		await harness.clock.advanceUntil(Promise.all(ahead));
	});

	it('evicts a statement of the caller that fills a full queue', async () => {
		const harness = new QueueHarness(1, {queueLength: 5});
		const all = [...repeat(6, async () => harness.run('flood')), harness.run('other'), harness.run('flood')];
		const kinds = await harness.clock.advanceUntil(Promise.all(all));
		expect(kinds).toEqual(['ok', 'ok', 'ok', 'ok', 'ok', 'overloaded', 'ok', 'overloaded']);
	});

	it('answers a cancelled or late statement at once', async () => {
		const harness = new QueueHarness(1);
		const controller = new AbortController();
		harness.serviceMs = 1000;
		const running = harness.run('a');
		const cancelled = harness.run('a', {}, {signal: controller.signal});
		const late = harness.run('a', {timeLeftMs: 30});
		controller.abort();
		expect(await cancelled).toEqual('cancelled');
		await harness.clock.advance(30);
		expect(await late).toEqual('deadlineExceeded');
		expect(harness.queue.length).toEqual(0);
		await harness.clock.advanceUntil(running);
	});

	it('serves reads while no transaction may begin', async () => {
		const harness = new QueueHarness(1);
		harness.mayBegin = false;
		const begin = harness.run('a', {lane: 'begin'});
		expect(await harness.clock.advanceUntil(harness.run('a'))).toEqual('ok');
		harness.mayBegin = true;
		harness.queue.serve();
		expect(await harness.clock.advanceUntil(begin)).toEqual('ok');
	});

	for (const factor of [2, 5]) {
		it(`keeps its goodput at ${factor} times its capacity and recovers at once`, async () => {
			const harness = await new QueueHarness(3).learn();
			const capacityPerSecond = 300;
			const served = await harness.offer(capacityPerSecond * factor, 2000, 200);
			expect(served).toBeGreaterThan(capacityPerSecond * 2 * 0.95);
			expect(harness.queue.length).toEqual(0);
			const afterwards = await harness.offer(capacityPerSecond * 0.5, 1000, 50);
			expect(afterwards).toBeGreaterThanOrEqual(150);
		});
	}
});
