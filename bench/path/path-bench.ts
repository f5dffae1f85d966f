/**
 * Measures statements on each path to the data: directly to an endpoint, through its home, and
 * through another node. All paths are measured in one run, so that their figures can be compared.
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
	LatencyPlan, MemoryFigures, AccessPath, PathFigures,
} from './types.js';

/** Runs the benchmark; resolves with tables and bounded figures. */
export async function benchPath(context: BenchContext): Promise<BenchResult> {
	const system = await startPathSystem(context);
	const load = new LoadProcess();
	try {
		await pause(pathAmounts.replicationMs);
		const run = new PathRun(system, load, context);
		const result = await run.result();
		const failures = await system.stop();
		for (const failure of failures) {
			context.note(failure);
		}

		return result;
	} finally {
		load.dispose();
		system.dispose();
	}
}

/** One run on a started system. */
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
			...await this._measureLatency({name: 'read', work: 'preparedRead', paths: this._paths('replica')}),
			...await this._measureLatency({name: 'simple read', work: 'simpleRead', paths: this._paths('replica')}),
			...await this._measureLatency({name: 'read without token', work: 'preparedRead', paths: this._paths('primary', false)}),
			...await this._measureLatency({name: 'write', work: 'preparedWrite', paths: this._paths('primary')}),
		];
		const loads = await this._measureLoads();
		return {
			tables: [latencyTable(latencies), loadTable(loads), memoryTable(memory)],
			bounded: [...latencyBounds(latencies), ...loadBounds(loads), ...memoryBounds(memory)],
		};
	}

	private _paths(role: 'primary' | 'replica', hasToken = true): readonly AccessPath[] {
		const endpoints = this._system.endpointPids;
		const home = [this._system.pidOf(pathSystem.home)];
		const entry = [this._system.pidOf(pathSystem.entry)];
		return [
			{name: 'direct', target: this._system.direct(role), pids: {endpoints}},
			{name: 'one hop', target: this._system.over(pathSystem.home, hasToken), pids: {home, endpoints}},
			{name: 'two hops', target: this._system.over(pathSystem.entry, hasToken), pids: {entry, home, endpoints}},
		];
	}

	/** Lets the processes compile the code that they will run, which takes long with a sequential client alone. */
	private async _warmUp(): Promise<void> {
		this._context.note('warm-up');
		const {warmUpConnections: connections, warmUpMs: durationMs} = pathAmounts;
		for (const role of ['replica', 'primary'] as const) {
			for (const accessPath of this._paths(role)) {
				const work = role === 'replica' ? 'preparedRead' : 'preparedWrite';
				await this._load.open({pool: 'warm-up', target: accessPath.target, connections});
				await this._load.run({
					pool: 'warm-up', work, series: 'warm-up', bound: {durationMs}, inProgress: connections,
				});
				await this._load.close('warm-up');
			}
		}
	}

	/** Measures with one connection on each path; the paths take turns, so that all are measured under the same conditions. */
	private async _measureLatency({name, work, paths}: LatencyPlan): Promise<PathFigures[]> {
		const {warmUpStatements, sliceStatements, slices} = pathAmounts;
		this._context.note(`latency: ${name}`);
		const series = (accessPath: AccessPath): string => `${name} ${accessPath.name}`;
		const run = async (accessPath: AccessPath, into: string, statements: number): Promise<void> =>
			this._load.run({
				pool: accessPath.name, work, series: into, bound: {statements}, inProgress: 1,
			});
		for (const accessPath of paths) {
			await this._load.open({pool: accessPath.name, target: accessPath.target, connections: 1});
			await run(accessPath, 'warm-up', warmUpStatements);
		}

		const accounts = new Map(paths.map(accessPath => [accessPath, new AccountSum()]));
		for (let slice = 0; slice < slices; slice++) {
			for (const accessPath of paths) {
				await accounts.get(accessPath)?.around(accessPath.pids, async () => run(accessPath, series(accessPath), sliceStatements));
			}
		}

		const figures: PathFigures[] = [];
		for (const accessPath of paths) {
			await this._load.close(accessPath.name);
			const report = await this._load.report(series(accessPath));
			figures.push({
				way: accessPath.name, work: name, connections: 1, report, accounts: accounts.get(accessPath)?.total ?? {},
			});
		}

		return figures;
	}

	/** Measures runs over many connections. */
	private async _measureLoads(): Promise<PathFigures[]> {
		const figures: PathFigures[] = [];
		const [direct, oneHop, twoHops] = this._paths('replica');
		const [, writing] = this._paths('primary');
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

	private async _measureLoad(accessPath: AccessPath, work: Work, connections: number): Promise<PathFigures> {
		this._context.note(`load: ${accessPath.name}, ${work}, ${connections} connections`);
		const {loadMs, maximumInProgress} = pathAmounts;
		const series = `${accessPath.name} ${work} ${connections}`;
		const inProgress = Math.min(connections, maximumInProgress);
		const run = async (into: string, bound: RunBound): Promise<void> => this._load.run({
			pool: series, work, series: into, bound, inProgress,
		});
		await this._load.open({pool: series, target: accessPath.target, connections});
		await run('warm-up', {durationMs: loadMs / 5});
		const accounts = new AccountSum();
		await accounts.around(accessPath.pids, async () => run(series, {durationMs: loadMs}));
		const report = await this._load.report(series);
		await this._load.close(series);
		return {
			way: accessPath.name, work, connections, report, accounts: accounts.total,
		};
	}

	/** Measures the memory of a node that does nothing but hold connections. */
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
