/**
 * Measures the whole path of a statement: direct to an endpoint, through its home, and
 * through another node, side by side in one run.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {LoadProcess} from '../load/load-process.js';
import type {RunBound, Work} from '../load/types.js';
import {AccountSum, readAccount} from '../process-account.js';
import type {BenchContext, BenchResult} from '../types.js';
import {pathAmounts, pathSystem} from './constants.js';
import {
	latencyBounds, latencyTable, loadBounds, loadTable, memoryBounds, memoryTable,
} from './path-report.js';
import {startPathSystem, type PathSystem} from './path-system.js';
import type {
	LatencyPlan, MemoryFigures, Way, WayFigures,
} from './types.js';

/** Runs the benchmark. */
export async function benchPath(context: BenchContext): Promise<BenchResult> {
	const system = await startPathSystem(context);
	const load = new LoadProcess();
	try {
		await pause(pathAmounts.replicationMs);
		const run = new PathRun(system, load, context);
		const result = await run.result();
		const complaints = await system.stop();
		for (const complaint of complaints) {
			context.note(complaint);
		}

		return result;
	} finally {
		load.dispose();
		system.dispose();
	}
}

/** One run over a system that is up. */
class PathRun {
	private readonly _system: PathSystem;
	private readonly _load: LoadProcess;
	private readonly _context: BenchContext;

	constructor(system: PathSystem, load: LoadProcess, context: BenchContext) {
		this._system = system;
		this._load = load;
		this._context = context;
	}

	async result(): Promise<BenchResult> {
		const memory = await this._measureMemory();
		await this._warmUp();
		const latencies = [
			...await this._measureLatency({name: 'read', work: 'preparedRead', ways: this._ways('replica')}),
			...await this._measureLatency({name: 'simple read', work: 'simpleRead', ways: this._ways('replica')}),
			...await this._measureLatency({name: 'read without token', work: 'preparedRead', ways: this._ways('primary', false)}),
			...await this._measureLatency({name: 'write', work: 'preparedWrite', ways: this._ways('primary')}),
		];
		const loads = await this._measureLoads();
		return {
			tables: [latencyTable(latencies), loadTable(loads), memoryTable(memory)],
			bounded: [...latencyBounds(latencies), ...loadBounds(loads), ...memoryBounds(memory)],
		};
	}

	private _ways(role: 'primary' | 'replica', hasToken = true): readonly Way[] {
		const endpoints = this._system.endpointPids;
		const home = [this._system.pidOf(pathSystem.home)];
		const entry = [this._system.pidOf(pathSystem.entry)];
		return [
			{name: 'direct', target: this._system.direct(role), pids: {endpoints}},
			{name: 'one hop', target: this._system.over(pathSystem.home, hasToken), pids: {home, endpoints}},
			{name: 'two hops', target: this._system.over(pathSystem.entry, hasToken), pids: {entry, home, endpoints}},
		];
	}

	/** Lets the processes compile what they will run: a sequential client alone takes long to get there. */
	private async _warmUp(): Promise<void> {
		this._context.note('warm-up');
		const {warmUpConnections: connections, warmUpMs: durationMs} = pathAmounts;
		for (const role of ['replica', 'primary'] as const) {
			for (const way of this._ways(role)) {
				const work = role === 'replica' ? 'preparedRead' : 'preparedWrite';
				await this._load.open({pool: 'warm-up', target: way.target, connections});
				await this._load.run({
					pool: 'warm-up', work, series: 'warm-up', bound: {durationMs}, inProgress: connections,
				});
				await this._load.close('warm-up');
			}
		}
	}

	/** One connection on each way; the ways take turns, so that all meet the same conditions. */
	private async _measureLatency({name, work, ways}: LatencyPlan): Promise<WayFigures[]> {
		const {warmUpStatements, sliceStatements, slices} = pathAmounts;
		this._context.note(`latency: ${name}`);
		const series = (way: Way): string => `${name} ${way.name}`;
		const run = async (way: Way, into: string, statements: number): Promise<void> =>
			this._load.run({
				pool: way.name, work, series: into, bound: {statements}, inProgress: 1,
			});
		for (const way of ways) {
			await this._load.open({pool: way.name, target: way.target, connections: 1});
			await run(way, 'warm-up', warmUpStatements);
		}

		const accounts = new Map(ways.map(way => [way, new AccountSum()]));
		for (let slice = 0; slice < slices; slice++) {
			for (const way of ways) {
				await accounts.get(way)?.around(way.pids, async () => run(way, series(way), sliceStatements));
			}
		}

		const figures: WayFigures[] = [];
		for (const way of ways) {
			await this._load.close(way.name);
			const report = await this._load.report(series(way));
			figures.push({
				way: way.name, work: name, connections: 1, report, accounts: accounts.get(way)?.total ?? {},
			});
		}

		return figures;
	}

	/** Many connections to one node. */
	private async _measureLoads(): Promise<WayFigures[]> {
		const figures: WayFigures[] = [];
		const [direct, oneHop, twoHops] = this._ways('replica');
		const [, writing] = this._ways('primary');
		const {loads} = pathAmounts;
		figures.push(await this._measureLoad(direct, 'preparedRead', 16));
		for (const connections of loads) {
			figures.push(await this._measureLoad(oneHop, 'preparedRead', connections));
		}

		for (const connections of [16, 256]) {
			figures.push(
				await this._measureLoad(twoHops, 'preparedRead', connections),
				await this._measureLoad(writing, 'preparedWrite', connections),
			);
		}

		return figures;
	}

	private async _measureLoad(way: Way, work: Work, connections: number): Promise<WayFigures> {
		this._context.note(`load: ${way.name}, ${work}, ${connections} connections`);
		const {loadMs, maximumInProgress} = pathAmounts;
		const series = `${way.name} ${work} ${connections}`;
		const inProgress = Math.min(connections, maximumInProgress);
		const run = async (into: string, bound: RunBound): Promise<void> => this._load.run({
			pool: series, work, series: into, bound, inProgress,
		});
		await this._load.open({pool: series, target: way.target, connections});
		await run('warm-up', {durationMs: loadMs / 5});
		const accounts = new AccountSum();
		await accounts.around(way.pids, async () => run(series, {durationMs: loadMs}));
		const report = await this._load.report(series);
		await this._load.close(series);
		return {
			way: way.name, work, connections, report, accounts: accounts.total,
		};
	}

	/** Memory of a node that does nothing but hold connections. */
	private async _measureMemory(): Promise<MemoryFigures> {
		const {idleConnections: connections, restMs} = pathAmounts;
		this._context.note(`memory: ${connections} idle connections`);
		const pid = this._system.pidOf(pathSystem.holder);
		await pause(restMs);
		const before = await readAccount(pid);
		await this._load.open({pool: 'idle', target: this._system.over(pathSystem.holder), connections});
		await pause(restMs);
		const after = await readAccount(pid);
		await this._load.close('idle');
		return {connections, before, after};
	}
}
