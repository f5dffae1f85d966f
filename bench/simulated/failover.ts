/**
 * Measures the failover gap, which is the longest time between two acknowledged writes from the
 * last one before an event on, and counts acknowledged writes that the new primary does not have.
 */
import type {Operation} from '../../src/common/configuration/schema.js';
import type {NodeOptions} from '../../src/common/node-core.js';
import type {Deployment} from '../../src/common/settings/deployment-schema.js';
import type {World} from '../../soak/world/world.js';
import type {SimulatedEndpoint} from '../../soak/world/simulated-endpoint.js';
import type {BenchContext, BenchResult, Table} from '../types.js';
import {BenchCaller, isAnswered} from './bench-caller.js';
import {
	deploymentNames, readDeployment, startWorld, type BenchWorld,
} from './bench-world.js';
import {failoverBenchSizes as sizes} from './constants.js';
import {percentile} from './statistics.js';

/** A fault or a planned change that replaces or delays the primary of the first group. */
type Event = {
	readonly name: string;
	readonly act: (world: World, primary: SimulatedEndpoint) => Promise<void> | void;
	readonly nodeOptions?: NodeOptions;
	/** Maximum accepted 99th percentile of the gap, in virtual milliseconds. */
	readonly maximumGapMs: number;
};

type Sample = {readonly gapMs: number; readonly lostCount: number; readonly promotionCount: number};

/** The events, by name. */
export const failoverEvents: readonly Event[] = [
	{
		name: 'crash',
		act(_world, primary) {
			primary.crash();
		},
		maximumGapMs: 1500,
	},
	{
		name: 'crash, platform down',
		act(world, primary) {
			world.platform.faults.outage = 'silent';
			primary.crash();
		},
		maximumGapMs: 3000,
	},
	{
		name: 'freeze for good',
		act(_world, primary) {
			primary.process.freeze();
		},
		maximumGapMs: 4000,
	},
	{
		name: 'freeze for 1.9 s',
		act(world, primary) {
			primary.process.freeze();
			world.clock.setTimer(1900, () => {
				primary.process.thaw();
			});
		},
		maximumGapMs: 2500,
	},
	{
		name: 'zone of the primary cut off',
		act(world, primary) {
			world.isolate(primary.process.availabilityZone, false);
		},
		maximumGapMs: 1500,
	},
	{
		name: 'zone cut off, answer at commit',
		act(world, primary) {
			world.isolate(primary.process.availabilityZone, false);
		},
		nodeOptions: {homes: {acknowledgement: 'commit'}},
		maximumGapMs: 1500,
	},
	{
		name: 'zone cut off, platform down',
		act(world, primary) {
			world.platform.faults.outage = 'silent';
			world.isolate(primary.process.availabilityZone, true);
		},
		maximumGapMs: 3000,
	},
	{
		name: 'ordered by an operator',
		act: async (world, primary) => movePrimaryByRule(world, primary, {kind: 'orderPrimary'}),
		maximumGapMs: 300,
	},
	{
		name: 'drain of the endpoint',
		act: async (world, primary) => movePrimaryByRule(world, primary, {kind: 'drain', isDraining: true}),
		maximumGapMs: 300,
	},
	{
		name: 'node that serves the primary leaves',
		async act(world, primary) {
			const node = [...world.nodes.values()].find(({core}) => core.homes.served().includes(primary.process.name));
			await world.drainNode(node!.process.name, {boundMs: 5000});
		},
		maximumGapMs: 300,
	},
];

/** Measures every event on both deployments; resolves with tables and bounded figures. */
export async function benchFailover({note}: BenchContext): Promise<BenchResult> {
	const tables: Table[] = [];
	const bounded: Array<{name: string; value: number; maximum: number}> = [];
	for (const name of deploymentNames) {
		const deployment = await readDeployment(name);
		const rows: Array<Array<string | number>> = [];
		for (const event of failoverEvents) {
			note(`${name}: ${event.name}`);
			const samples = await measureEvent(deployment, event);
			const gaps = samples.map(({gapMs}) => gapMs);
			const lost = sum(samples.map(({lostCount}) => lostCount));
			rows.push([event.name, samples.length, percentile(gaps, 0.5), percentile(gaps, 0.99), lost, sum(samples.map(({promotionCount}) => promotionCount))]);
			bounded.push({name: `${name}: ${event.name}: gap p99, virtual ms`, value: percentile(gaps, 0.99), maximum: event.maximumGapMs});
			if (!event.nodeOptions) {
				bounded.push({name: `${name}: ${event.name}: acknowledged writes lost`, value: lost, maximum: 0});
			}
		}

		tables.push({
			title: `${name}: failover gap in virtual milliseconds`, columns: ['event', 'runs', 'gap p50', 'gap p99', 'acknowledged writes lost', 'promotions'], rows,
		});
	}

	return {tables, bounded};
}

/** Measures one event, one sample per seed; exported so that an event can be measured alone. */
export async function measureEvent(deployment: Deployment, event: Event): Promise<Sample[]> {
	const samples: Sample[] = [];
	for (let seed = 1; seed <= sizes.runs; seed++) {
		const bench = await startWorld(deployment, seed, event.nodeOptions);
		samples.push(await runOnce(bench, event));
		bench.world.dispose();
	}

	return samples;
}

async function runOnce(bench: BenchWorld, event: Event): Promise<Sample> {
	const {world} = bench;
	const {clock} = world;
	const [group] = world.plan.groups;
	const [primary] = world.instancesOf(group);
	const writers = Array.from({length: sizes.writers}, (_, number) => new BenchCaller(bench, number));
	await clock.advanceUntil(createTable(group, writers[0]));
	const acknowledged = new Map<number, number>();
	const eventAtMs = clock.nowMs() + sizes.beforeMs;
	const endMs = eventAtMs + sizes.afterMs;
	const working = Promise.all(writers.map(async writer => write(bench, writer, {group, acknowledged, endMs})));
	// The random part lets the event fall at any point between two heartbeats and two writes.
	await clock.advance(sizes.beforeMs + (world.random.next() * 500));
	const atMs = clock.nowMs();
	void event.act(world, primary);
	await clock.advanceUntil(working, sizes.afterMs * 4);
	const newPrimary = primaryOf(world, group);
	const table = newPrimary.instance.database.tables.get('booking');
	const storedIds = new Set([...table?.rows.values() ?? []].map(([id]) => Number(id)));
	return {
		gapMs: longestGapMs([...acknowledged.values()], atMs, endMs),
		lostCount: [...acknowledged.keys()].filter(id => !storedIds.has(id)).length,
		promotionCount: newPrimary.instance.state.promisedTerm - 1,
	};
}

async function createTable(group: string, caller: BenchCaller): Promise<void> {
	while (!isAnswered(await caller.send(group, {sql: 'CREATE TABLE booking (id int PRIMARY KEY)', access: 'write', step: 'none'}, {hasToken: false}))) {
		await caller.pause(100);
	}
}

async function write(bench: BenchWorld, writer: BenchCaller, {group, acknowledged, endMs}: {group: string; acknowledged: Map<number, number>; endMs: number}): Promise<void> {
	const {clock} = bench.world;
	let count = 0;
	while (clock.nowMs() < endMs) {
		await writer.pause(sizes.thinkMs * (0.5 + writer.random.next()));
		count += 1;
		const id = (writer.number * 100_000) + count;
		const timed = await writer.send(group, {sql: `INSERT INTO booking VALUES (${id})`, access: 'write', step: 'none'}, {hasToken: true, deadlineMs: 2000});
		if (isAnswered(timed)) {
			acknowledged.set(id, clock.nowMs());
		}
	}
}

/** Longest time between two acknowledged writes, from the last one before the event on. */
function longestGapMs(timesMs: readonly number[], atMs: number, endMs: number): number {
	const sorted = [...timesMs, endMs].toSorted((a, b) => a - b);
	let longest = 0;
	for (const [index, timeMs] of sorted.entries()) {
		const before = sorted[index - 1] ?? atMs;
		if (timeMs >= atMs) {
			longest = Math.max(longest, timeMs - before);
		}
	}

	return longest;
}

function primaryOf(world: World, group: string): SimulatedEndpoint {
	const primaries = world.instancesOf(group).filter(({instance}) => instance.isPrimary);
	return primaries.toSorted((a, b) => a.instance.state.promisedTerm - b.instance.state.promisedTerm).at(-1)!;
}

async function movePrimaryByRule(world: World, primary: SimulatedEndpoint, effect: {kind: 'orderPrimary'} | {kind: 'drain'; isDraining: true}): Promise<void> {
	const {name} = primary.process;
	const group = name.slice(0, name.lastIndexOf('-'));
	const other = world.instancesOf(group).find(endpoint => endpoint !== primary)!;
	const target = effect.kind === 'drain' ? name : other.process.name;
	const operations: Operation[] = [{
		op: 'put',
		kind: 'rule',
		value: {
			name: 'order', order: 0, selector: {endpoints: [{label: 'name', operator: 'equals', value: target}]}, effect,
		},
	}];
	const [node] = world.nodes.values();
	await world.operators.propose(node, operations, 'operator');
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
