/**
 * One randomised run: a world, its callers and its faults, judged at the end.
 */
import {SeededRandom} from '../src/common/random/seeded-random.js';
import type {InvariantName, LogEventName} from '../src/common/services/services.js';
import {HistogramMetrics} from './counting-metrics.js';
import {judge, tableKey, type Violation} from './caller/checker.js';
import {History} from './caller/history.js';
import {SimulatedCaller, tableName, type CallerSabotage} from './caller/simulated-caller.js';
import {FaultInjector, type FaultFinding, type FaultName} from './faults.js';
import {World, type WorldPlan} from './world/world.js';

/** What one run does. */
export type RunPlan = {
	readonly world: WorldPlan;
	readonly callerCount: number;
	/** Virtual time with load and faults. */
	readonly durationMs: number;
	readonly pauseMs: number;
	readonly writeShare: number;
	readonly transactionShare: number;
	readonly agedReadShare: number;
	readonly tokenlessReadShare: number;
	readonly maximumAgeMs: number;
	/** Mean time between faults of one chain; zero for none. */
	readonly faultPauseMs: number;
	readonly faultChains: number;
	readonly faultNames?: readonly FaultName[];
	readonly sabotage: CallerSabotage;
};

/** What one run showed. */
export type RunResult = {
	readonly violations: ReadonlyArray<Violation | FaultFinding | {readonly promise: InvariantName; readonly detail: string}>;
	readonly history: History;
	readonly faults: ReadonlyMap<FaultName, number>;
	readonly events: ReadonlyMap<LogEventName, number>;
	readonly metrics: HistogramMetrics;
	/** Slots that were in use at once, at most, per endpoint, and the limit. */
	readonly slotPeak: number;
	/** Groups that took no write within the time for recovery after the last fault. */
	readonly unrecovered: readonly string[];
};

/** Time after the last fault in which everything must work again. */
const recoveryMs = 20_000;

/** Runs and judges. */
export async function run(plan: RunPlan): Promise<RunResult> {
	const broken: Array<{promise: InvariantName; detail: string}> = [];
	const events = new Map<LogEventName, number>();
	const metrics = new HistogramMetrics();
	const world = new World(plan.world, {
		metrics,
		log: {
			event(name) {
				events.set(name, (events.get(name) ?? 0) + 1);
			},
		},
		invariants: {
			check(promise, condition, detail) {
				if (!condition) {
					broken.push({promise, detail: detail()});
				}

				return condition;
			},
		},
	});
	await world.start();
	const history = new History();
	const callers = makeCallers(plan, world, history);
	await world.clock.advanceUntil(Promise.all(callers.map(async caller => caller.prepare())));
	const injector = new FaultInjector(world, new SeededRandom(plan.world.seed), plan.faultNames);
	const working = callers.map(async caller => caller.run());
	const breaking = plan.faultPauseMs > 0 ? Array.from({length: plan.faultChains}, async () => injector.run(plan.faultPauseMs)) : [];
	await world.clock.advance(plan.durationMs);
	injector.stop();
	await world.clock.advanceUntil(Promise.all(breaking), 120_000);
	await world.clock.advance(recoveryMs);
	for (const caller of callers) {
		caller.stop();
	}

	await world.clock.advanceUntil(Promise.all(working), 120_000);
	const lastRecoveryMs = world.clock.nowMs() - recoveryMs;
	const unrecovered = plan.world.groups.filter(group =>
		!history.writes.some(write => write.group === group && write.outcome === 'acknowledged' && write.endMs > lastRecoveryMs));
	const tables = await readTables(world, plan.callerCount);
	world.dispose();
	return {
		violations: [...judge(history, tables), ...injector.findings, ...broken],
		history,
		faults: injector.counts,
		events,
		metrics,
		slotPeak: Math.max(...world.endpoints.map(endpoint => endpoint.slots.figures.peak)),
		unrecovered,
	};
}

function makeCallers(plan: RunPlan, world: World, history: History): SimulatedCaller[] {
	return Array.from({length: plan.callerCount}, (_, number) => new SimulatedCaller(world, history, {
		...plan,
		number,
		seed: (plan.world.seed * 7919) + number,
	}));
}

/** Reads every session's table at the primary of each group's highest term. */
async function readTables(world: World, callerCount: number): Promise<Map<string, readonly number[]>> {
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
