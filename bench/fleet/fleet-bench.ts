/**
 * Measures what control costs one node's process in a fleet: processor time, memory and bytes,
 * as the kernel accounts them, at growing sizes, and the totals that follow at the target size.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {LoadProcess} from '../load/load-process.js';
import {differenceOf, readAccount} from '../process-account.js';
import type {BenchContext, BenchResult} from '../types.js';
import {
	scenarios, scenarioConcurrency, scrapeRestMs, windowMs,
} from './constants.js';
import {reportFleet} from './fleet-report.js';
import {FleetSystem, createScenarioFolder, allocateFleetAddresses} from './fleet-system.js';
import {listReadsOf} from './operators-metrics.js';
import type {Scenario, ScenarioFigures} from './types.js';

/** Runs every scenario, several at the same time; resolves with tables and bounded figures. */
export async function benchFleet(context: BenchContext): Promise<BenchResult> {
	const waiting = [...scenarios];
	const figures: ScenarioFigures[] = [];
	const runNext = async (): Promise<void> => {
		for (let scenario = waiting.shift(); scenario; scenario = waiting.shift()) {
			context.note(scenario.name);
			figures.push(await measure(scenario, context));
		}
	};

	await Promise.all(Array.from({length: scenarioConcurrency}, async () => runNext()));
	return reportFleet(scenarios.flatMap(scenario => figures.filter(figure => figure.scenario === scenario)));
}

async function measure(scenario: Scenario, {folder: parent}: BenchContext): Promise<ScenarioFigures> {
	const folder = await createScenarioFolder(scenario, parent);
	const system = new FleetSystem(scenario, folder, await allocateFleetAddresses(scenario));
	const load = scenario.idleConnections === undefined ? undefined : new LoadProcess();
	try {
		await system.start();
		await load?.open({pool: 'idle', target: {...system.callers, group: 'group-0'}, connections: scenario.idleConnections ?? 0});
		await pause(scenario.settleMs);
		return await measureWindow(scenario, system);
	} finally {
		load?.dispose();
		system.dispose();
	}
}

async function measureWindow(scenario: Scenario, system: FleetSystem): Promise<ScenarioFigures> {
	const readsBefore = await listReadsOf(system);
	const scrapedMs = performance.now();
	// The scrape leaves garbage, which is to be collected before the window starts.
	await pause(scrapeRestMs);
	const versionBefore = system.access.history.version;
	const before = await readAccount(system.subjectPid);
	const startedMs = performance.now();
	await Promise.all([pause(windowMs), changeRepeatedly(scenario, system)]);
	const after = await readAccount(system.subjectPid);
	const seconds = (performance.now() - startedMs) / 1000;
	const readsSince = await listReadsOf(system) - readsBefore;
	const listReads = readsSince * seconds * 1000 / (performance.now() - scrapedMs);
	const memory = await system.memory();
	return {
		scenario,
		servedEndpoints: system.servedEndpoints,
		seconds,
		used: differenceOf(before, after),
		heapBytes: memory.heapUsed,
		residentBytes: memory.rss,
		listReads,
		changes: system.access.history.version - versionBefore,
	};
}

/** Changes one rule repeatedly, at the rate of the scenario. */
async function changeRepeatedly({changesPerS = 0}: Scenario, {access}: FleetSystem): Promise<void> {
	const count = Math.floor(windowMs / 1000 * changesPerS);
	for (let change = 0; change < count; change++) {
		await access.propose([{
			op: 'put',
			kind: 'rule',
			value: {
				name: 'deadline',
				order: 0,
				selector: {groups: [{label: 'name', operator: 'equals', value: `group-${change}`}]},
				effect: {kind: 'deadline', deadlineMs: 1000 + change},
			},
		}]);
		await pause(1000 / changesPerS);
	}
}
