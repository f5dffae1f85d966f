/**
 * One randomised run: a world with callers and faults, and the check of every promise at its end.
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

/** World, load and faults of one run. */
export type RunPlan = {
	readonly world: WorldPlan;
	readonly callerCount: number;
	/** Virtual time with load and faults. */
	readonly durationMs: number;
	/** Virtual time with load after the last fault was undone. */
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
	/** Faults to choose from; all of them by default. */
	readonly faultNames?: readonly FaultName[];
	/** Times of a graceful end of a node, where they differ from the defaults. */
	readonly drain?: DrainTimes;
	readonly sabotage: CallerSabotage;
};

/** Findings, history and counts of one run. */
export type RunResult = {
	readonly findings: readonly Finding[];
	readonly history: History;
	readonly faults: ReadonlyMap<FaultName, number>;
	readonly events: ReadonlyMap<LogEventName, number>;
	readonly metrics: HistogramMetrics;
	/** Maximum number of request cycles in progress at one endpoint at the same time. */
	readonly slotPeak: number;
	/** Time until each group acknowledged a write after the last fault, in milliseconds. */
	readonly recoveriesMs: readonly number[];
	/** Time that accepted changes took to come into force, for each node and change, in milliseconds. */
	readonly changeDelaysMs: readonly number[];
};

/** The world of a run and everything that observes it. */
class RunObservers {
	readonly violations: Finding[] = [];
	readonly events = new Map<LogEventName, number>();
	readonly metrics = new HistogramMetrics();
	readonly changes = new ConfigurationWatch();
	readonly endpointWatch: EndpointWatch;
	readonly world: World;

	constructor(plan: WorldPlan) {
		this.endpointWatch = new EndpointWatch(plan.slots, this.changes);
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
						this.violations.push({promise, detail: detail()});
					}

					return condition;
				},
			},
			endpoints: this.endpointWatch,
			configuration: this.endpointWatch,
		});
	}

	/** Ends the observation and returns its findings. */
	finish(): readonly Finding[] {
		this.changes.finish();
		return [...this.endpointWatch.findings, ...this.changes.findings, ...this.violations];
	}
}

/** Time without load at the end, after which no work connection may have a request or transaction open, in milliseconds. */
const quietMs = 3000;

/** Maximum virtual time in which faults and callers must come to an end by themselves, in milliseconds. */
const maximumEndMs = 240_000;

/** Runs a plan to its end and checks every promise; throws if the faults or callers come to no end. */
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
	const callerRuns = callers.map(async caller => caller.run());
	const faultRuns = plan.faultPauseMs > 0 ? Array.from({length: plan.faultChains}, async () => injector.run(plan.faultPauseMs)) : [];
	await clock.advance(plan.durationMs);
	injector.stop();
	await clock.advanceUntil(Promise.all(faultRuns), maximumEndMs);
	const undoneMs = clock.nowMs();
	await clock.advance(plan.recoveryMs);
	for (const caller of callers) {
		caller.stop();
	}

	await clock.advanceUntil(Promise.all(callerRuns), maximumEndMs);
	await clock.advance(quietMs);
	const recoveriesMs = plan.world.groups.map(group => recoveryOf(history, group, undoneMs));
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
		slotPeak: observers.endpointWatch.peakInProgress,
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

/** Time until a group acknowledged a write that was sent after the last fault was undone; infinite if it acknowledged none. */
function recoveryOf({writes}: History, group: string, undoneMs: number): number {
	const ends = writes
		.filter(write => write.group === group && write.outcome === 'acknowledged' && write.startMs >= undoneMs)
		.map(({endMs}) => endMs - undoneMs);
	return Math.min(...ends, Number.POSITIVE_INFINITY);
}

function judgeRecovery({world, recoveryBoundMs}: RunPlan, recoveriesMs: readonly number[]): Finding[] {
	return recoveriesMs.flatMap((recoveryMs, index) => recoveryMs > recoveryBoundMs
		? [{promise: 'notRecovered', detail: `${world.groups[index]} acknowledged the first write ${recoveryMs} ms after the last fault`}]
		: []);
}

/** Findings for work connections that still have a request or transaction open although all callers have ended. */
function leftOpen({endpoints}: World): Finding[] {
	return endpoints
		.filter(({openWorkCount}) => openWorkCount > 0)
		.map(({process, openWorkCount}) => ({promise: 'leftOpen', detail: `${openWorkCount} connections of ${process.name} have a request or transaction open`}));
}

/** Reads every session's table at the primary with the highest term of each group. */
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
