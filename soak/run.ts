/**
 * One randomised run: a world, its callers and its faults, judged at the end.
 */
import {SeededRandom} from '../src/common/random/seeded-random.js';
import type {LogEventName} from '../src/common/services/services.js';
import {HistogramMetrics} from './counting-metrics.js';
import {judge, tableKey} from './caller/checker.js';
import {History} from './caller/history.js';
import {SimulatedCaller, tableName, type CallerSabotage} from './caller/simulated-caller.js';
import type {FaultName} from './faults/fault-actions.js';
import {FaultInjector} from './faults/fault-injector.js';
import type {Finding} from './findings.js';
import {ConfigurationWatch} from './watch/configuration-watch.js';
import {EndpointWatch} from './watch/endpoint-watch.js';
import type {DrainTimes, WorldPlan} from './world/world-plan.js';
import {World} from './world/world.js';

/** What one run does. */
export type RunPlan = {
	readonly world: WorldPlan;
	readonly callerCount: number;
	/** Virtual time with load and faults. */
	readonly durationMs: number;
	/** Virtual time with load after the last fault was mended. */
	readonly recoveryMs: number;
	/** Time within which every group must take writes again. */
	readonly recoveryBoundMs: number;
	readonly pauseMs: number;
	readonly writeShare: number;
	readonly transactionShare: number;
	readonly agedReadShare: number;
	readonly tokenlessReadShare: number;
	readonly maximumAgeMs: number;
	readonly interruptionShare: number;
	/** Mean time between faults of one chain; zero for none. */
	readonly faultPauseMs: number;
	readonly faultChains: number;
	/** Faults that may come; all of them when left out. */
	readonly faultNames?: readonly FaultName[];
	/** Times that a node which is to go is given, where not as usual. */
	readonly drain?: DrainTimes;
	readonly sabotage: CallerSabotage;
};

/** What one run showed. */
export type RunResult = {
	readonly findings: readonly Finding[];
	readonly history: History;
	readonly faults: ReadonlyMap<FaultName, number>;
	readonly events: ReadonlyMap<LogEventName, number>;
	readonly metrics: HistogramMetrics;
	/** Request cycles that were in progress at one endpoint at one time, at most. */
	readonly slotPeak: number;
	/** Time until each group took a write after the last fault. */
	readonly recoveriesMs: readonly number[];
	/** Time that accepted changes took to come into force, for each node and change. */
	readonly changeDelaysMs: readonly number[];
};

/** Everything that listens to a run. */
class RunObservers {
	readonly broken: Finding[] = [];
	readonly events = new Map<LogEventName, number>();
	readonly metrics = new HistogramMetrics();
	readonly changes = new ConfigurationWatch();
	readonly arrivals: EndpointWatch;
	readonly world: World;

	constructor(plan: WorldPlan) {
		this.arrivals = new EndpointWatch(plan.slots, this.changes);
		this.world = new World(plan, {
			metrics: this.metrics,
			log: {
				event: name => {
					this.events.set(name, (this.events.get(name) ?? 0) + 1);
				},
			},
			invariants: {
				check: (promise, condition, detail) => {
					if (!condition) {
						this.broken.push({promise, detail: detail()});
					}

					return condition;
				},
			},
			endpoints: this.arrivals,
			configuration: this.arrivals,
		});
	}

	/** Ends what watches, and says what it found. */
	finish(): readonly Finding[] {
		this.changes.finish();
		return [...this.arrivals.findings, ...this.changes.findings, ...this.broken];
	}
}

/** Time without load at the end, after which nothing may be left open at an endpoint. */
const quietMs = 3000;

/** Longest virtual time for what must come to an end by itself. */
const endBoundMs = 240_000;

/** Runs and judges. */
export async function run(plan: RunPlan): Promise<RunResult> {
	const observers = new RunObservers(plan.world);
	const {world} = observers;
	const {clock} = world;
	await world.start();
	observers.changes.start(world);
	const history = new History();
	const callers = makeCallers(plan, world, history);
	await clock.advanceUntil(Promise.all(callers.map(async caller => caller.prepare())));
	const injector = new FaultInjector(world, new SeededRandom(plan.world.seed), {names: plan.faultNames, drain: plan.drain});
	const working = callers.map(async caller => caller.run());
	const breaking = plan.faultPauseMs > 0 ? Array.from({length: plan.faultChains}, async () => injector.run(plan.faultPauseMs)) : [];
	await clock.advance(plan.durationMs);
	injector.stop();
	await clock.advanceUntil(Promise.all(breaking), endBoundMs);
	const mendedMs = clock.nowMs();
	await clock.advance(plan.recoveryMs);
	for (const caller of callers) {
		caller.stop();
	}

	await clock.advanceUntil(Promise.all(working), endBoundMs);
	await clock.advance(quietMs);
	const recoveriesMs = plan.world.groups.map(group => recoveryOf(history, group, mendedMs));
	const tables = readTables(world, plan.callerCount);
	const watched = observers.finish();
	const findings = [...judge(history, tables), ...injector.findings, ...watched, ...leftOpen(world), ...judgeRecovery(plan, recoveriesMs)];
	world.dispose();
	return {
		findings,
		history,
		faults: injector.counts,
		events: observers.events,
		metrics: observers.metrics,
		slotPeak: observers.arrivals.peakInProgress,
		recoveriesMs,
		changeDelaysMs: observers.changes.delaysMs,
	};
}

function makeCallers(plan: RunPlan, world: World, history: History): SimulatedCaller[] {
	return Array.from({length: plan.callerCount}, (_, number) => new SimulatedCaller(world, history, {
		...plan,
		number,
		seed: (plan.world.seed * 7919) + number,
	}));
}

/** Time until a group acknowledged a write that was sent after everything was mended. */
function recoveryOf({writes}: History, group: string, mendedMs: number): number {
	const ends = writes
		.filter(write => write.group === group && write.outcome === 'acknowledged' && write.startMs >= mendedMs)
		.map(({endMs}) => endMs - mendedMs);
	return Math.min(...ends, Number.POSITIVE_INFINITY);
}

function judgeRecovery({world, recoveryBoundMs}: RunPlan, recoveriesMs: readonly number[]): Finding[] {
	return recoveriesMs.flatMap((recoveryMs, index) => recoveryMs > recoveryBoundMs
		? [{promise: 'notRecovered', detail: `${world.groups[index]} took the first write after ${recoveryMs} ms`}]
		: []);
}

/** What callers have ended but endpoints still have. */
function leftOpen({endpoints}: World): Finding[] {
	return endpoints
		.filter(({openWorkCount}) => openWorkCount > 0)
		.map(({process, openWorkCount}) => ({promise: 'leftOpen', detail: `${openWorkCount} connections of ${process.name}`}));
}

/** Reads every session's table at the primary of each group's highest term. */
function readTables(world: World, callerCount: number): Map<string, readonly number[]> {
	const tables = new Map<string, readonly number[]>();
	for (const group of world.plan.groups) {
		const primaries = world.instancesOf(group).filter(({instance}) => instance.isPrimary);
		const last = primaries.toSorted((a, b) => a.instance.state.promisedTerm - b.instance.state.promisedTerm).at(-1);
		for (let session = 0; session < callerCount; session++) {
			const table = last?.instance.database.tables.get(tableName(session));
			const rows = table ? [...table.rows.values()] : [];
			tables.set(tableKey(group, session), rows.map(([mark]) => Number(mark)).filter(mark => mark !== 0));
		}
	}

	return tables;
}
