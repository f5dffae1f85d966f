/**
 * Measures the processor time of node processes in a large fleet: all starting at once, idle, and
 * under a light load. A second build, in another folder, is measured at the same time on a fleet of
 * its own, so that both run on an equally busy machine; the bounds are ratios to that build.
 */
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import type {BenchContext, BenchResult, Cell} from '../types.js';
import {
	fleetPlan, loadPerS, maximumRatios, phases,
} from './constants.js';
import {
	MeasuredFleet, type FleetAccount, type LoadResult, type NodeRole,
} from './measured-fleet.js';

/** Third bytes of the addresses of the two fleets. */
const thirdBytes = [41, 42] as const;

/** Figures of one build, per node or per statement. */
type Figures = {
	readonly startMs: number;
	readonly idleMsPerS: number;
	readonly idleEntryMsPerS: number;
	readonly idleHomeMsPerS: number;
	readonly idleMessagesPerS: number;
	readonly idleBytesPerS: number;
	readonly storeCallsPerS: number;
	readonly statusRequestsPerS: number;
	readonly idleAfterMsPerS: number;
	readonly lightMsPerS: number;
	readonly lightMessagesPerS: number;
	readonly forwardedMs: number;
	readonly atHomeMs: number;
	readonly refused: number;
	readonly totalMs: number;
};

/** Runs both fleets through all phases; resolves with the figures, and with ratios if there is a build to compare with. */
export async function benchNodeCost({folder, note, against}: BenchContext): Promise<BenchResult> {
	const builds = [...(against === undefined ? [] : [{name: 'compared', build: path.resolve(against)}]), {name: 'this', build: process.cwd()}];
	const fleets = builds.map(({name}) => new MeasuredFleet(name));
	try {
		for (const [index, fleet] of fleets.entries()) {
			await fleet.prepare(builds[index].build, path.join(folder, fleet.name), thirdBytes[index]);
		}

		note(`starting ${fleets.length} fleets of ${fleets[0].size} nodes`);
		const figures = await measure(fleets, note);
		await Promise.all(fleets.map(async fleet => fleet.stop('SIGTERM')));
		return resultOf(fleets.map(({name}) => name), figures);
	} finally {
		await Promise.all(fleets.map(async fleet => fleet.stop('SIGKILL')));
	}
}

/** Resources before and after a load, and its results, of each fleet. */
type Load = {readonly before: readonly Snapshot[]; readonly after: readonly Snapshot[]; readonly results: readonly LoadResult[]};

type Snapshot = {readonly all: FleetAccount; readonly entry: FleetAccount; readonly home: FleetAccount};

async function measure(fleets: readonly MeasuredFleet[], note: (text: string) => void): Promise<Figures[]> {
	await Promise.all(fleets.map(async fleet => fleet.start()));
	const readyAtMs = Date.now();
	await pause(phases.settleMs);
	const started = await snapshots(fleets);
	const startedAtMs = Date.now();
	note('all nodes are ready; measuring them idle');
	await pause(phases.idleMs);
	const idled = await snapshots(fleets);
	const runLoad = async (role: NodeRole | undefined, perS: number, forMs: number): Promise<Load> => {
		note(`load on the ${role ?? 'entry and home'} nodes`);
		const before = await snapshots(fleets);
		const results = await Promise.all(fleets.map(async fleet => fleet.load(role, perS, forMs)));
		const after = await snapshots(fleets);
		await pause(phases.restMs);
		return {before, after, results};
	};

	const light = await runLoad(undefined, loadPerS.light, phases.lightMs);
	const entry = await runLoad('entry', loadPerS.heavy, phases.heavyMs);
	const home = await runLoad('home', loadPerS.heavy, phases.heavyMs);
	note('measuring all nodes idle again');
	const rested = await snapshots(fleets);
	await pause(phases.idleMs);
	const ended = await snapshots(fleets);
	return fleets.map((fleet, index) => {
		const idleS = phases.idleMs / 1000;
		const entries = fleetPlan.zones.length * (fleetPlan.nodesPerZone - fleetPlan.largeHostsPerZone);
		const idle = differenceOf(started[index].all, idled[index].all);
		const idleEntry = differenceOf(started[index].entry, idled[index].entry);
		const idleHome = differenceOf(started[index].home, idled[index].home);
		const lightUse = differenceOf(light.before[index].all, light.after[index].all);
		// A node has compiled more of its code after the loads than before, so what it uses idle is subtracted as measured after them.
		const idleAfter = differenceOf(rested[index].all, ended[index].all);
		const perStatement = ({before, after, results}: Load): number => {
			const used = differenceOf(before[index].all, after[index].all);
			return (used.cpuMs - (idleAfter.cpuMs * phases.heavyMs / phases.idleMs)) / results[index].statements;
		};

		return {
			startMs: (started[index].all.cpuMs - (idle.cpuMs * (startedAtMs - readyAtMs) / phases.idleMs)) / fleet.size,
			idleMsPerS: idle.cpuMs / idleS / fleet.size,
			idleEntryMsPerS: idleEntry.cpuMs / idleS / entries,
			idleHomeMsPerS: idleHome.cpuMs / idleS / (fleet.size - entries),
			idleMessagesPerS: idle.messages / idleS / fleet.size,
			idleBytesPerS: idle.writtenBytes / idleS / fleet.size,
			storeCallsPerS: idle.storeCalls / idleS,
			statusRequestsPerS: idle.statusRequests / idleS,
			idleAfterMsPerS: idleAfter.cpuMs / idleS / fleet.size,
			lightMsPerS: lightUse.cpuMs * 1000 / phases.lightMs / fleet.size,
			lightMessagesPerS: lightUse.messages * 1000 / phases.lightMs / fleet.size,
			forwardedMs: perStatement(entry),
			atHomeMs: perStatement(home),
			refused: [light, entry, home].reduce((sum, {results}) => sum + results[index].refused, 0),
			totalMs: ended[index].all.cpuMs / fleet.size,
		};
	});
}

async function snapshots(fleets: readonly MeasuredFleet[]): Promise<Snapshot[]> {
	return Promise.all(fleets.map(async fleet => ({
		all: await fleet.account(), entry: await fleet.account('entry'), home: await fleet.account('home'),
	})));
}

function differenceOf(before: FleetAccount, after: FleetAccount): FleetAccount {
	return {
		cpuMs: after.cpuMs - before.cpuMs,
		messages: after.messages - before.messages,
		writtenBytes: after.writtenBytes - before.writtenBytes,
		storeCalls: after.storeCalls - before.storeCalls,
		statusRequests: after.statusRequests - before.statusRequests,
	};
}

const titles: Readonly<Record<keyof Figures, string>> = {
	startMs: 'processor ms of a start, without what an idle node uses after it',
	idleMsPerS: 'processor ms of an idle second, mean of all nodes',
	idleEntryMsPerS: 'processor ms of an idle second, small hosts',
	idleHomeMsPerS: 'processor ms of an idle second, homes and coordinators',
	idleMessagesPerS: 'messages to other nodes in an idle second',
	idleBytesPerS: 'bytes written in an idle second',
	storeCallsPerS: 'calls to the store in an idle second, all nodes',
	statusRequestsPerS: 'status requests in an idle second, all nodes',
	idleAfterMsPerS: 'processor ms of an idle second after all loads',
	lightMsPerS: 'processor ms of a second with three statements',
	lightMessagesPerS: 'messages to other nodes in a second with three statements',
	forwardedMs: 'processor ms of a forwarded statement, all nodes',
	atHomeMs: 'processor ms of a statement sent to a large host, all nodes',
	refused: 'refused statements',
	totalMs: 'processor ms of a node over the whole run',
};

function resultOf(names: readonly string[], figures: readonly Figures[]): BenchResult {
	const [compared, own] = figures;
	const isCompared = figures.length > 1;
	const ratio = (key: keyof Figures): number => own[key] / compared[key];
	const keys = Object.keys(titles) as Array<keyof Figures>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- keys of the table above
	return {
		tables: [{
			title: 'Processor time and messages of a node',
			columns: ['figure', ...names, ...(isCompared ? ['ratio'] : [])],
			rows: keys.map((key): Cell[] => [titles[key], ...figures.map(ofBuild => ofBuild[key]), ...(isCompared ? [ratio(key)] : [])]),
		}],
		bounded: isCompared
			? [
				{name: 'processor time of a start, ratio', value: ratio('startMs'), maximum: maximumRatios.start},
				{name: 'processor time of an idle second, ratio', value: ratio('idleMsPerS'), maximum: maximumRatios.idle},
				{name: 'processor time of a forwarded statement, ratio', value: ratio('forwardedMs'), maximum: maximumRatios.forwarded},
				{name: 'messages of an idle second, ratio', value: ratio('idleMessagesPerS'), maximum: maximumRatios.idleMessages},
			]
			: [],
	};
}
