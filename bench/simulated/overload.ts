/**
 * Measures writes beyond the capacity of a primary: goodput, early refusals, fairness and recovery.
 */
import type {Deployment} from '../../src/common/settings/deployment-schema.js';
import type {
	BenchContext, BenchResult, BoundedFigure, Table,
} from '../types.js';
import {BenchCaller, isAnswered, type TimedAnswer} from './bench-caller.js';
import {
	deploymentNames, readDeployment, startWorld, type BenchWorld,
} from './bench-world.js';
import {overloadBenchSizes as sizes} from './constants.js';
import {percentile} from './statistics.js';

/** One request of the run. */
type Request = {
	readonly caller: BenchCaller;
	readonly sentAtMs: number;
	timed?: TimedAnswer;
};

type Phase = {readonly load: number; readonly durationMs: number};

/** Measures both deployments at each load; resolves with tables and bounded figures. */
export async function benchOverload({note}: BenchContext): Promise<BenchResult> {
	const tables: Table[] = [];
	const bounded: BoundedFigure[] = [];
	for (const name of deploymentNames) {
		const deployment = await readDeployment(name);
		const rows: Array<Array<string | number>> = [];
		for (const load of sizes.loads) {
			note(`${name}: ${load} times the capacity`);
			const figures = summarize(await measure(deployment, load));
			rows.push([`${load}x`, figures.goodput * 100, figures.earlyShare * 100, figures.refusalMs, figures.lightShare * 100, figures.afterShare * 100, figures.recoveryMs]);
			bounded.push(
				{name: `${name} ${load}x: capacity that did no useful work`, value: 1 - figures.goodput, maximum: 0.2},
				{name: `${name} ${load}x: requests of the light caller that were not answered`, value: 1 - figures.lightShare, maximum: 0.1},
				{name: `${name} ${load}x: time to recovery, virtual ms`, value: figures.recoveryMs, maximum: 3000},
			);
		}

		tables.push({
			title: `${name}: writes beyond the primary's capacity of ${capacityPerSecond()} a second, deadline ${sizes.deadlineMs} ms, virtual time`,
			columns: ['load', 'goodput % of capacity', 'refusals that came at once %', 'refused after, p99 ms', 'light caller answered %', 'answered after it %', 'recovered after ms'],
			rows,
		});
	}

	return {tables, bounded};
}

function capacityPerSecond(): number {
	return (sizes.slots * 1000) / sizes.serviceTimeMs;
}

async function measure(deployment: Deployment, load: number): Promise<{requests: Request[]; overloadAtMs: number}> {
	const slow: Deployment = {...deployment, endpoint: {...deployment.endpoint, slots: sizes.slots, serviceMs: sizes.serviceTimeMs}};
	const bench = await startWorld(slow, 1);
	const {clock} = bench.world;
	const callers = Array.from({length: sizes.heavyCallers + 1}, (_, number) => new BenchCaller(bench, number));
	const [group] = bench.world.plan.groups;
	await clock.advanceUntil(createTable(group, callers[0]));
	const requests: Request[] = [];
	const phases: Phase[] = [
		{load: sizes.calmLoad, durationMs: sizes.calmMs},
		{load, durationMs: sizes.overloadMs},
		{load: sizes.calmLoad, durationMs: sizes.afterMs},
	];
	const overloadAtMs = clock.nowMs() + sizes.calmMs;
	await clock.advanceUntil(runPhases(bench, {
		group, callers, requests, phases,
	}), 300_000);
	await clock.advance(sizes.deadlineMs * 4);
	bench.world.dispose();
	return {requests, overloadAtMs};
}

async function createTable(group: string, caller: BenchCaller): Promise<void> {
	while (!isAnswered(await caller.send(group, {sql: 'CREATE TABLE booking (id int PRIMARY KEY)', access: 'write', step: 'none'}, {hasToken: false}))) {
		await caller.pause(100);
	}
}

/** Sends requests at the rate of each phase, whether or not earlier ones have been answered. */
async function runPhases({world}: BenchWorld, run: {group: string; callers: readonly BenchCaller[]; requests: Request[]; phases: readonly Phase[]}): Promise<void> {
	const {group, callers, requests, phases} = run;
	const [light, ...heavy] = callers;
	for (const {load, durationMs} of phases) {
		const endMs = world.clock.nowMs() + durationMs;
		const intervalMs = 1000 / (capacityPerSecond() * load);
		while (world.clock.nowMs() < endMs) {
			await light.pause(intervalMs * (0.5 + light.random.next()));
			// The light caller sends a small share of the requests, the heavy callers send the rest.
			const isLight = light.random.next() < sizes.lightShare / load;
			const caller = isLight ? light : heavy[requests.length % heavy.length];
			const request: Request = {caller, sentAtMs: world.clock.nowMs()};
			requests.push(request);
			void send(group, request, requests.length);
		}
	}
}

async function send(group: string, request: Request, id: number): Promise<void> {
	const statement = {sql: `INSERT INTO booking VALUES (${id})`, access: 'write', step: 'none'} as const;
	request.timed = await request.caller.send(group, statement, {hasToken: false, deadlineMs: sizes.deadlineMs});
}

function summarize({requests, overloadAtMs}: {requests: readonly Request[]; overloadAtMs: number}) {
	const endMs = overloadAtMs + sizes.overloadMs;
	const during = requests.filter(({sentAtMs}) => sentAtMs >= overloadAtMs && sentAtMs < endMs);
	const after = requests.filter(({sentAtMs}) => sentAtMs >= endMs);
	const refused = during.filter(({timed}) => timed?.answer.kind === 'refused');
	const light = during.filter(({caller}) => caller.number === 0);
	const lastFailure = after.findLast(({timed}) => !isAnswered(timed));
	return {
		goodput: countAnswered(during) / (capacityPerSecond() * sizes.overloadMs / 1000),
		earlyShare: refused.filter(({timed}) => timed!.tookMs <= sizes.earlyMs).length / refused.length,
		refusalMs: percentile(refused.map(({timed}) => timed!.tookMs), 0.99),
		lightShare: countAnswered(light) / light.length,
		afterShare: countAnswered(after) / after.length,
		recoveryMs: lastFailure ? lastFailure.sentAtMs - endMs : 0,
	};
}

function countAnswered(requests: readonly Request[]): number {
	return requests.filter(({timed}) => isAnswered(timed)).length;
}
