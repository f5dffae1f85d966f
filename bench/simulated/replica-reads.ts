/**
 * Measures the share of reads that replicas serve. The baselines are to send all reads to the
 * primary, and to send those of a session to the primary for some time after its write.
 */
import type {CallerStatement} from '../../soak/caller/exchange.js';
import type {Deployment} from '../../src/common/settings/deployment-schema.js';
import type {BenchContext, BenchResult, Table} from '../types.js';
import {BenchCaller, isAnswered, type SendOptions} from './bench-caller.js';
import {
	deploymentNames, readDeployment, startWorld, type BenchWorld,
} from './bench-world.js';
import {readBenchSizes as sizes} from './constants.js';
import {percentile} from './statistics.js';

/** How reads are sent, depending on how long ago the session wrote. */
type ReadStrategy = {
	readonly name: string;
	readonly options: SendOptions;
	/** Whether a baseline sends a read to the primary. */
	readonly isPinned: (sinceWriteMs: number) => boolean;
};

const readStrategies: readonly ReadStrategy[] = [
	{name: 'token', options: {hasToken: true}, isPinned: () => false},
	{name: 'no token', options: {hasToken: false}, isPinned: () => false},
	{name: 'stated age 1 s', options: {hasToken: true, maximumAgeMs: sizes.maximumAgeMs}, isPinned: () => false},
	{name: 'baseline: primary only', options: {hasToken: true}, isPinned: () => true},
	{name: 'baseline: primary for 2 s after a write', options: {hasToken: true}, isPinned: sinceWriteMs => sinceWriteMs < sizes.pinMs},
];

type Tally = {
	replicaReads: number;
	primaryReads: number;
	failed: number;
	readonly readMs: number[];
	readonly writeMs: number[];
};

/** Measures every strategy on both deployments; resolves with tables and bounded figures. */
export async function benchReplicaReads({note}: BenchContext): Promise<BenchResult> {
	const tables: Table[] = [];
	const shares = new Map<string, number>();
	for (const name of deploymentNames) {
		const deployment = await readDeployment(name);
		const rows: Array<Array<string | number>> = [];
		for (const manner of readStrategies) {
			note(`${name}: ${manner.name}`);
			const tally = await measure(deployment, manner);
			const share = tally.replicaReads / (tally.replicaReads + tally.primaryReads);
			shares.set(`${name} ${manner.name}`, share);
			rows.push([
				manner.name,
				share * 100,
				tally.replicaReads + tally.primaryReads,
				tally.failed,
				percentile(tally.readMs, 0.5),
				percentile(tally.readMs, 0.99),
				percentile(tally.writeMs, 0.5),
				percentile(tally.writeMs, 0.99),
			]);
		}

		tables.push({
			title: `${name}: reads served by replicas, one write in ${sizes.writeInterval} statements, lag p50 20 ms and p99 500 ms, virtual time`,
			columns: ['reads', 'replicas %', 'answered', 'refused', 'read p50 ms', 'read p99 ms', 'write p50 ms', 'write p99 ms'],
			rows,
		});
	}

	const [token] = readStrategies;
	return {
		tables,
		bounded: deploymentNames.map(name => ({
			name: `${name}: share of reads not served by replicas, with a token`, value: 1 - (shares.get(`${name} ${token.name}`) ?? 0), maximum: 0.08,
		})),
	};
}

async function measure(deployment: Deployment, manner: ReadStrategy): Promise<Tally> {
	const tally: Tally = {
		replicaReads: 0, primaryReads: 0, failed: 0, readMs: [], writeMs: [],
	};
	for (const seed of sizes.seeds) {
		const bench = await startWorld(deployment, seed);
		const callers = Array.from({length: sizes.sessions}, (_, number) => new BenchCaller(bench, number));
		await bench.world.clock.advanceUntil(prepare(bench, callers[0]));
		const endMs = bench.world.clock.nowMs() + sizes.measuredMs;
		const sessions = Promise.all(callers.map(async caller => runSession(bench, caller, {manner, tally, endMs})));
		await bench.world.clock.advanceUntil(sessions, sizes.measuredMs * 2);
		bench.world.dispose();
	}

	return tally;
}

async function prepare({world}: BenchWorld, caller: BenchCaller): Promise<void> {
	for (const group of world.plan.groups) {
		const statement: CallerStatement = {sql: 'CREATE TABLE visit (id int PRIMARY KEY, note text)', access: 'write', step: 'none'};
		while (!isAnswered(await caller.send(group, statement, {hasToken: true}))) {
			await caller.pause(100);
		}
	}

	await caller.pause(2000);
}

/** Runs one session: mostly reads, occasionally a write, with a pause before each statement. */
async function runSession(bench: BenchWorld, caller: BenchCaller, {manner, tally, endMs}: {manner: ReadStrategy; tally: Tally; endMs: number}): Promise<void> {
	const {world} = bench;
	const group = world.plan.groups[caller.number % world.plan.groups.length];
	let wroteAtMs = Number.NEGATIVE_INFINITY;
	let count = 0;
	while (world.clock.nowMs() < endMs) {
		await caller.pause(sizes.thinkMs * (0.5 + caller.random.next()));
		count += 1;
		if (caller.random.next() < 1 / sizes.writeInterval) {
			const sql = `INSERT INTO visit VALUES (${(caller.number * 100_000) + count}, 'x')`;
			const timed = await caller.send(group, {sql, access: 'write', step: 'none'}, {hasToken: true});
			if (isAnswered(timed)) {
				tally.writeMs.push(timed.tookMs);
				wroteAtMs = world.clock.nowMs();
			} else {
				tally.failed += 1;
			}

			continue;
		}

		const sql = `SELECT note FROM visit WHERE id = ${(caller.number * 100_000) + Math.floor(caller.random.next() * count)}`;
		const isPinned = manner.isPinned(world.clock.nowMs() - wroteAtMs);
		const timed = await caller.send(group, {sql, access: isPinned ? 'write' : 'read', step: 'none'}, manner.options);
		if (isAnswered(timed)) {
			tally.readMs.push(timed.tookMs);
			tally[timed.isFromPrimary ? 'primaryReads' : 'replicaReads'] += 1;
		} else {
			tally.failed += 1;
		}
	}
}
