import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, asyncProperty, boolean, constantFrom, integer, record,
} from 'fast-check';
import {pauseFor} from '../lifecycle/timing.js';
import {loadDefaults} from '../load/constants.js';
import {VirtualClock} from '../testing/virtual-clock.js';
import {defaultHomeOptions} from './constants.js';
import type {SlotRequest} from './slot-queue.js';
import {SlotQueue} from './slot-queue.js';
import type {SlotLane} from './types.js';

type Sent = {
	readonly name: string;
	readonly caller?: string;
	readonly lane?: SlotLane;
	readonly priority?: number;
	readonly goalMs?: number;
	readonly timeLeftMs?: number;
	readonly serviceMs?: number;
};

/** A queue that admits and orders by goals. */
class GoalQueueHarness {
	readonly clock = new VirtualClock(0);
	readonly queue: SlotQueue;
	readonly started: string[] = [];
	readonly refused = new Map<string, {readonly kind: string; readonly afterMs: number; readonly retryAfterMs: number}>();
	readonly waitedMs = new Map<string, number>();
	readonly events: string[] = [];
	maximumRunning = 0;
	isByGoal = true;
	isScheduled = true;

	constructor(slots: number) {
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
			options: defaultHomeOptions,
			load: {
				log: {
					event: name => {
						this.events.push(name);
					},
				},
				isAdmissionByGoal: () => this.isByGoal,
				isReturnScheduled: () => this.isScheduled,
				options: loadDefaults,
			},
		}, 'stock-1', slots, () => true);
	}

	async run({name, caller = name, lane = 'read', priority = 1, goalMs, timeLeftMs = 800, serviceMs = 10}: Sent): Promise<void> {
		const enteredAtMs = this.clock.nowMs();
		const request: SlotRequest = {
			caller, priority, lane, timeLeftMs, goalAtMs: goalMs === undefined ? undefined : enteredAtMs + goalMs,
		};
		const slot = await this.queue.acquire(request);
		const afterMs = this.clock.nowMs() - enteredAtMs;
		if (slot.isLeft()) {
			const {kind, retryAfterMs} = slot.extract();
			this.refused.set(name, {kind, retryAfterMs, afterMs});
			return;
		}

		this.waitedMs.set(name, afterMs);
		this.started.push(name);
		this.maximumRunning = Math.max(this.maximumRunning, this.queue.running);
		await pauseFor(this.clock, serviceMs);
		slot.unsafeCoerce().dispose();
	}

	/** Lets the queue learn the work of a class. */
	async learn(priority = 1, serviceMs = 10): Promise<this> {
		for (const lane of ['read', 'write', 'begin', 'transaction'] as const) {
			await this.clock.advanceUntil(this.run({
				name: 'x', lane, priority, serviceMs,
			}));
		}

		this.started.length = 0;
		return this;
	}

	async runAll(sent: readonly Sent[]): Promise<void> {
		await this.clock.advanceUntil(Promise.all(sent.map(async statement => this.run(statement))));
	}
}

function ignore(): void {
	// The tests check no metrics.
}

function flood(count: number, statement: Omit<Sent, 'name'>): Sent[] {
	return Array.from({length: count}, (_, index) => ({...statement, name: `${statement.caller ?? 'flood'}-${index}`}));
}

describe('SlotQueue with goals', () => {
	it('serves open transactions first, then by class, then by goal, and late statements last', async () => {
		const harness = await new GoalQueueHarness(1).learn();
		await harness.runAll([
			{name: 'running', goalMs: 100},
			{name: 'late', goalMs: -1},
			{name: 'far', goalMs: 700},
			{name: 'near', goalMs: 300, lane: 'write'},
			{name: 'begin', goalMs: 400, lane: 'begin'},
			{name: 'open', lane: 'transaction', priority: 9},
			{name: 'urgent', goalMs: 700, priority: 0},
		]);
		expect(harness.started).toEqual(['running', 'open', 'urgent', 'near', 'begin', 'far', 'late']);
	});

	it('serves as without goals while it is not in effect', async () => {
		const harness = await new GoalQueueHarness(1).learn();
		harness.isByGoal = false;
		harness.isScheduled = false;
		await harness.runAll([{name: 'running', goalMs: 100}, {name: 'far', goalMs: 700}, {name: 'near', goalMs: 300}]);
		expect(harness.started).toEqual(['running', 'far', 'near']);
	});

	// Guards against an organisation that delays the others by flooding a queue.
	it('serves a caller with few statements within its goal beside one that floods the queue', async () => {
		const harness = await new GoalQueueHarness(2).learn();
		const all = harness.runAll(flood(200, {caller: 'flood', goalMs: 200}));
		await harness.clock.advance(50);
		const few = harness.runAll(flood(6, {caller: 'few', goalMs: 200}));
		await harness.clock.advanceUntil(few);
		for (const {name} of flood(6, {caller: 'few'})) {
			expect((harness.waitedMs.get(name) ?? Number.POSITIVE_INFINITY) + 10 <= 200).toEqual(true);
		}

		await harness.clock.advanceUntil(all);
	});

	it('refuses at once what it cannot serve before its deadline, and logs it once a second', async () => {
		const harness = await new GoalQueueHarness(1).learn();
		await harness.runAll(flood(200, {goalMs: 150}));
		const refusals = [...harness.refused.values()].filter(({kind}) => kind === 'deadlineUnreachable' || kind === 'overloaded');
		expect(refusals.length > 100 && refusals.every(({afterMs}) => afterMs === 0)).toEqual(true);
		expect(harness.events).toEqual(['goalAdmissionRefused']);
	});

	it('gives refused callers of a class places one after another, none past its deadline', async () => {
		const harness = await new GoalQueueHarness(1).learn();
		await harness.runAll(flood(120, {goalMs: 150, timeLeftMs: 800}));
		const times = [...harness.refused.values()].filter(({afterMs}) => afterMs === 0).map(({retryAfterMs}) => retryAfterMs);
		const places = times.filter(time => time > defaultHomeOptions.retryAfterMinimumMs).slice(0, 40);
		expect(new Set(places).size).toEqual(40);
		expect(times.every(time => time >= defaultHomeOptions.retryAfterMinimumMs && time <= 800)).toEqual(true);
	});

	it('starts no statement later than its deadline, starves none of less urgent classes, and ends each exactly once', async () => {
		const statement = record({
			afterMs: integer({min: 0, max: 8}),
			caller: constantFrom('a', 'b', 'c'),
			lane: constantFrom<SlotLane>('read', 'write', 'begin', 'transaction'),
			priority: integer({min: 0, max: 2}),
			hasGoal: boolean(),
			goalMs: integer({min: -100, max: 400}),
			timeLeftMs: integer({min: 1, max: 800}),
			serviceMs: integer({min: 1, max: 40}),
		});
		await assert(asyncProperty(array(statement, {minLength: 1, maxLength: 120}), integer({min: 1, max: 4}), async (statements, slots) => {
			const harness = new GoalQueueHarness(slots);
			const ended: Array<Promise<void>> = [];
			for (const [index, {afterMs, hasGoal, goalMs, ...sent}] of statements.entries()) {
				await harness.clock.advance(afterMs);
				ended.push(harness.run({...sent, name: String(index), goalMs: hasGoal ? goalMs : undefined}));
			}

			await harness.clock.advanceUntil(Promise.all(ended));
			expect(harness.started.length + harness.refused.size).toEqual(statements.length);
			expect(harness.started.some(name => harness.refused.has(name))).toEqual(false);
			expect(harness.maximumRunning <= slots).toEqual(true);
			expect([harness.queue.length, harness.queue.running, harness.clock.pendingTimers]).toEqual([0, 0, 0]);
			for (const [name, waitedMs] of harness.waitedMs) {
				expect(waitedMs <= statements[Number(name)].timeLeftMs).toEqual(true);
			}

			for (const [name, {afterMs}] of harness.refused) {
				expect(afterMs <= statements[Number(name)].timeLeftMs + 1).toEqual(true);
			}
		}), {seed: 15, numRuns: 60});
	});

	// Guards against starvation: a less urgent class waits at most for one interval of served statements for each statement before it.
	it('serves a late statement of the least urgent class within a bounded time under endless load of more urgent ones', async () => {
		const harness = await new GoalQueueHarness(1).learn(0);
		await harness.learn(2);
		const low = harness.run({
			name: 'low', priority: 2, goalMs: -1, timeLeftMs: 5000,
		});
		const urgent: Array<Promise<void>> = [harness.run({name: 'u', priority: 0, goalMs: 150})];
		for (let count = 0; count < 200; count++) {
			urgent.push(harness.run({name: `u-${count}`, priority: 0, goalMs: 150}));
			await harness.clock.advance(5);
		}

		expect(harness.waitedMs.get('low')! <= defaultHomeOptions.ageingMs + (loadDefaults.lateInterval * 10)).toEqual(true);
		await harness.clock.advanceUntil(Promise.all([low, ...urgent]));
	});
});
