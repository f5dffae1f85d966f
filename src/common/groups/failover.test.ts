import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {FakeNode, FakeSetup} from './testing/fake-world.js';
import {FakeWorld} from './testing/fake-world.js';
import {Workload} from './testing/workload.js';

type Case = {
	readonly name: string;
	readonly setup?: FakeSetup;
	/** Injects the failure or orders the change. */
	readonly act: (world: FakeWorld) => void | Promise<void>;
	/** Bounds of the longest time without acknowledged writes, in virtual milliseconds. */
	readonly gapMs: readonly [number, number];
	/** Term at the end; 1 means that no promotion took place, and 0 that any term is accepted. */
	readonly term: number;
	readonly primary?: string;
	/** Whether every write must be confirmed. */
	readonly isEveryWriteConfirmed?: boolean;
};

const oldPrimary = 'stock-a';
const settledMs = 9000;

/** Freezes the primary's process for a time. */
function freeze(world: FakeWorld, durationMs: number): void {
	const {process} = world.instance(oldPrimary);
	process.pause();
	world.clock.setTimer(durationMs, () => {
		process.resume();
	});
}

function cut(world: FakeWorld, names: readonly string[], others: readonly string[]): void {
	world.network.cut(names, others);
	world.clock.setTimer(5000, () => {
		world.network.clearCuts();
	});
}

/** The first node whose claim to a higher term an instance has promised. */
async function promoterOf(world: FakeWorld): Promise<FakeNode> {
	await world.clock.advanceWhile(() => world.instances.every(({promisedTerm}) => promisedTerm === 1));
	const claimed = world.instances.find(({promisedTerm}) => promisedTerm > 1)!;
	return world.nodes.find(({host}) => claimed.claimId.startsWith(host.name))!;
}

const cases: readonly Case[] = [
	{
		name: 'crash',
		act(world) {
			world.instance(oldPrimary).crash();
		},
		gapMs: [50, 300],
		term: 2,
	},
	{
		name: 'crash, and restart without its log after 2 s',
		act(world) {
			world.instance(oldPrimary).crash();
			world.clock.setTimer(2000, () => {
				world.instance(oldPrimary).restart(true);
			});
		},
		gapMs: [50, 300],
		term: 2,
	},
	{
		name: 'crash, and immediate restart without its log',
		act(world) {
			world.instance(oldPrimary).crash();
			world.instance(oldPrimary).restart(true);
		},
		gapMs: [1, 300],
		term: 2,
	},
	{
		name: 'freeze of 1.9 s',
		act(world) {
			freeze(world, 1900);
		},
		gapMs: [1900, 2000],
		term: 1,
	},
	{
		name: 'freeze of 5 s',
		act(world) {
			freeze(world, 5000);
		},
		gapMs: [2400, 2900],
		term: 2,
	},
	{
		name: 'primary\'s zone cut off',
		act(world) {
			cut(world, ['a'], ['b', 'c']);
		},
		gapMs: [600, 1200],
		term: 2,
	},
	{
		name: 'loss of the primary\'s zone',
		act(world) {
			world.instance(oldPrimary).crash();
			world.nodes[0].kill();
		},
		gapMs: [50, 300],
		term: 2,
	},
	{
		name: 'cut between the primary and one of its replicas',
		act(world) {
			cut(world, ['a'], ['b']);
		},
		gapMs: [0, 50],
		term: 1,
	},
	{
		name: 'primary that is reachable only from its own home',
		act(world) {
			cut(world, [oldPrimary], ['b', 'c']);
		},
		gapMs: [700, 1500],
		term: 2,
	},
	{
		name: 'loss of both replicas',
		act(world) {
			cut(world, ['b'], ['a', 'c']);
			world.instance('stock-c').process.pause();
			world.clock.setTimer(5000, () => {
				world.instance('stock-c').process.resume();
			});
		},
		gapMs: [4900, 6000],
		term: 1,
	},
	{
		name: 'pause of all monitors',
		act(world) {
			for (const {process} of world.nodes) {
				process.pause();
				world.clock.setTimer(4000, () => {
					process.resume();
				});
			}
		},
		gapMs: [4000, 4200],
		term: 1,
	},
	{
		name: 'pause of the monitors of the replicas, during a crash',
		act(world) {
			for (const {process} of world.nodes.slice(1)) {
				process.pause();
				world.clock.setTimer(4000, () => {
					process.resume();
				});
			}

			world.instance(oldPrimary).crash();
		},
		gapMs: [50, 600],
		term: 2,
	},
	{
		name: 'crash, with all monitors promoting at the same time',
		setup: {options: {staggerMs: 0, staggerJitterMs: 1}},
		act(world) {
			world.instance(oldPrimary).crash();
		},
		gapMs: [50, 1500],
		term: 0,
	},
	{
		name: 'promoter that dies after raising the term',
		async act(world) {
			world.instance(oldPrimary).crash();
			const promoter = await promoterOf(world);
			promoter.kill();
		},
		gapMs: [100, 1500],
		term: 3,
	},
	{
		name: 'promoter that dies after promoting',
		async act(world) {
			world.instance(oldPrimary).crash();
			const promoter = await promoterOf(world);
			await world.clock.advanceWhile(() => !world.primary);
			promoter.kill();
		},
		gapMs: [100, 1000],
		term: 2,
	},
	{
		name: 'promoter that freezes during the promotion',
		async act(world) {
			world.instance(oldPrimary).crash();
			const promoter = await promoterOf(world);
			promoter.process.pause();
			world.clock.setTimer(3000, () => {
				promoter.process.resume();
			});
		},
		gapMs: [100, 1500],
		term: 3,
	},
	{
		name: 'lost answer to the first command to each instance',
		act(world) {
			for (const instance of world.instances) {
				instance.answersToLose = 1;
			}

			world.instance(oldPrimary).crash();
		},
		gapMs: [50, 600],
		term: 2,
	},
	{
		name: 'ordered change',
		act(world) {
			world.setPolicy('stock-c', {isOrderedPrimary: true});
		},
		gapMs: [0, 60],
		term: 2,
		primary: 'stock-c',
		isEveryWriteConfirmed: true,
	},
	{
		name: 'ordered change while the home of the ordered endpoint is dead',
		act(world) {
			world.nodes[2].kill();
			world.setPolicy('stock-c', {isOrderedPrimary: true});
		},
		gapMs: [0, 60],
		term: 2,
		primary: 'stock-c',
		isEveryWriteConfirmed: true,
	},
	{
		name: 'draining of the primary, with a preferred replica',
		act(world) {
			world.setPolicy('stock-c', {primaryPreference: 1});
			world.setPolicy(oldPrimary, {isDraining: true});
		},
		gapMs: [0, 60],
		term: 2,
		primary: 'stock-c',
		isEveryWriteConfirmed: true,
	},
];

describe('failover', () => {
	for (const [number, {name, setup, act, gapMs, term, primary, isEveryWriteConfirmed}] of cases.entries()) {
		it(name, async () => {
			const world = new FakeWorld(number + 1, setup);
			await world.start();
			const load = new Workload(world);
			await world.clock.advance(1500);
			const startMs = world.clock.nowMs();
			await act(world);
			await world.clock.advance(settledMs);
			const gap = load.longestGapMs(startMs);
			load.end();
			await world.clock.advance(1500);

			expect(load.check()).toEqual([]);
			expect(gap).toBeGreaterThanOrEqual(gapMs[0]);
			expect(gap).toBeLessThanOrEqual(gapMs[1]);
			expect(world.primary?.promisedTerm).toEqual(term === 0 ? expect.a(Number) : term);
			expect(world.primary?.name).toEqual(primary ?? expect.a(String));
			expect(isEveryWriteConfirmed ? load.unknown : 0).toEqual(0);
			expectAgreement(world);
			world.dispose();
		});
	}
});

/** Checks that all live instances and nodes agree on one primary, and that its term was recorded. */
function expectAgreement(world: FakeWorld): void {
	const {name, promisedTerm, log} = world.primary!;
	for (const instance of world.instances.filter(({process}) => !process.isDead)) {
		expect(instance.log).toEqual(log);
		expect(instance.state.isStreaming).toEqual(true);
	}

	for (const {monitor} of world.nodes.filter(({process}) => !process.isDead)) {
		const view = monitor.view();
		expect({term: view.term, primary: view.primary}).toEqual({term: promisedTerm, primary: name});
	}

	if (promisedTerm > 1) {
		expect(world.recorded.at(-1)).toEqual({group: 'stock', term: promisedTerm, primary: name});
	}
}
