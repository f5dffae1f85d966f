/**
 * Tables and slopes of the fleet benchmark, and the totals that follow at the target size.
 */
import {membershipDefaults} from '../../src/common/membership/constants.js';
import type {BenchResult, Cell, Table} from '../types.js';
import {
	fleetBounds, fleetBudgets, instancesPerGroup, targetFleet,
} from './constants.js';
import type {ScenarioFigures} from './types.js';

const secondsPerDay = 86_400;

/** Cost of one additional list read, link, served endpoint, change or connection. */
type Slopes = {
	readonly listReadCpuMs: number;
	readonly listReadBytes: number;
	readonly listBytesPerHost: number;
	readonly linkCoreShare: number;
	readonly linkBytesPerS: number;
	readonly linkHeapBytes: number;
	readonly linkResidentBytes: number;
	readonly servedCoreShare: number;
	readonly servedBytesPerS: number;
	readonly servedHeapBytes: number;
	readonly changeCpuMs: number;
	readonly changeBytes: number;
	readonly connectionCoreShare: number;
	readonly connectionHeapBytes: number;
	readonly connectionResidentBytes: number;
};

/** Computes the tables and bounded figures from the figures of all scenarios. */
export function reportFleet(figures: readonly ScenarioFigures[]): BenchResult {
	const slopes = slopesOf(figures);
	const target = targetOf(figures, slopes);
	return {
		tables: [scenarioTable(figures), slopeTable(slopes), targetTable(target)],
		bounded: [
			{name: 'bytes of a list read for each host', value: slopes.listBytesPerHost, maximum: fleetBounds.listBytesPerHost},
			{name: 'bytes/s for each group served', value: slopes.servedBytesPerS, maximum: fleetBounds.bytesPerServedGroupS},
			{name: 'core of control at the target ÷ budget', value: target.coreShare / fleetBudgets.coreShare, maximum: fleetBounds.coreAgainstBudget},
		],
	};
}

function scenarioTable(figures: readonly ScenarioFigures[]): Table {
	return {
		title: 'One node amid a fleet (processor time and bytes as the kernel accounts them; heap after collection)',
		columns: ['scenario', 'endpoints served', 'core %', 'read B/s', 'written B/s', 'read+write calls/s', 'heap MB', 'resident MB', 'list reads', 'changes'],
		rows: figures.map(figure => {
			const {scenario, servedEndpoints, seconds, used, heapBytes, residentBytes, listReads, changes} = figure;
			return [
				scenario.name,
				servedEndpoints,
				coreShareOf(figure) * 100,
				used.readBytes / seconds,
				used.writtenBytes / seconds,
				(used.readCalls + used.writeCalls) / seconds,
				heapBytes / 1e6,
				residentBytes / 1e6,
				listReads,
				changes,
			] satisfies Cell[];
		}),
	};
}

function slopesOf(figures: readonly ScenarioFigures[]): Slopes {
	const find = finder(figures);
	const [hosts, reading] = [find('870 hosts'), find('870 hosts, list read often')];
	const [few, many] = [find('4 groups served'), find('16 groups served')];
	const [full, changing] = [find('970 groups of 870 hosts'), find('970 groups of 870 hosts, changing')];
	const [alone, connected] = [find('alone'), find('3793 idle connections')];
	const linked = find('870 hosts, all linked');
	const perLink = (value: (figure: ScenarioFigures) => number): number => (value(linked) - value(hosts)) / linked.scenario.hosts;
	const reads = reading.listReads - (hosts.listReads * reading.seconds / hosts.seconds);
	const served = many.servedEndpoints - few.servedEndpoints;
	const {idleConnections: connections = 1} = connected.scenario;
	const perServed = (value: (figure: ScenarioFigures) => number): number => (value(many) - value(few)) / served;
	// The node with the connections also serves a group; the cost of one served endpoint is subtracted for it.
	const perConnection = (value: (figure: ScenarioFigures) => number): number => (value(connected) - value(alone) - perServed(value)) / connections;
	const perRead = (value: (figure: ScenarioFigures) => number): number => (value(reading) - value(hosts)) * reading.seconds / reads;
	const perChange = (value: (figure: ScenarioFigures) => number): number => (value(changing) - value(full)) * changing.seconds / changing.changes;
	const listReadBytes = perRead(byteRateOf);
	return {
		listReadCpuMs: perRead(coreShareOf) * 1000,
		listReadBytes,
		listBytesPerHost: listReadBytes / hosts.scenario.hosts,
		linkCoreShare: perLink(coreShareOf),
		linkBytesPerS: perLink(byteRateOf),
		linkHeapBytes: perLink(figure => figure.heapBytes),
		linkResidentBytes: perLink(figure => figure.residentBytes),
		servedCoreShare: perServed(coreShareOf),
		servedBytesPerS: perServed(byteRateOf),
		servedHeapBytes: perServed(figure => figure.heapBytes),
		changeCpuMs: perChange(coreShareOf) * 1000,
		changeBytes: perChange(byteRateOf),
		connectionCoreShare: perConnection(coreShareOf),
		connectionHeapBytes: perConnection(figure => figure.heapBytes),
		connectionResidentBytes: perConnection(figure => figure.residentBytes),
	};
}

function slopeTable(slopes: Slopes): Table {
	return {
		title: 'Slopes',
		columns: ['of', 'for each', 'value'],
		rows: [
			['CPU ms', 'read of the list of 870 hosts', slopes.listReadCpuMs],
			['KB', 'read of the list of 870 hosts', slopes.listReadBytes / 1000],
			['B of a list read', 'host', slopes.listBytesPerHost],
			['core %', '100 links that are used every 25 s', slopes.linkCoreShare * 10_000],
			['B/s', 'link that is used every 25 s', slopes.linkBytesPerS],
			['heap KB', 'link of a peer', slopes.linkHeapBytes / 1000],
			['resident KB', 'link of a peer', slopes.linkResidentBytes / 1000],
			['core %', 'endpoint served', slopes.servedCoreShare * 100],
			['B/s', 'endpoint served', slopes.servedBytesPerS],
			['heap KB', 'endpoint served', slopes.servedHeapBytes / 1000],
			['CPU ms', 'change of the configuration, 970 groups', slopes.changeCpuMs],
			['KB', 'change of the configuration, 970 groups', slopes.changeBytes / 1000],
			['core %', '1000 idle connections', slopes.connectionCoreShare * 100_000],
			['heap KB', 'idle connection', slopes.connectionHeapBytes / 1000],
			['resident KB', 'idle connection', slopes.connectionResidentBytes / 1000],
		],
	};
}

type Target = {
	readonly coreShare: number;
	readonly coreShareAlone: number;
	readonly bytesPerS: number;
	readonly heapBytes: number;
	readonly residentBytes: number;
};

/** Adds to the figures measured at the target size what happens too rarely to fall into a window. */
function targetOf(figures: readonly ScenarioFigures[], slopes: Slopes): Target {
	const find = finder(figures);
	const [alone, full] = [find('alone'), find('970 groups of 870 hosts')];
	const listReadsPerS = 1000 / (membershipDefaults.readIntervalPerHostMs * targetFleet.hosts);
	const extraReadsPerS = listReadsPerS - (full.listReads / full.seconds);
	const changesPerS = targetFleet.changesPerDay / secondsPerDay;
	const infrequentCpuMs = (extraReadsPerS * slopes.listReadCpuMs) + (changesPerS * slopes.changeCpuMs);
	// The measured node may serve more or fewer endpoints than the average node of the fleet.
	const extraServed = (targetFleet.groups * instancesPerGroup / targetFleet.hosts) - full.servedEndpoints;
	return {
		coreShare: coreShareOf(full) + (extraServed * slopes.servedCoreShare) + (infrequentCpuMs / 1000),
		coreShareAlone: coreShareOf(alone),
		bytesPerS: byteRateOf(full) + (extraServed * slopes.servedBytesPerS) + (extraReadsPerS * slopes.listReadBytes) + (changesPerS * slopes.changeBytes),
		heapBytes: full.heapBytes - alone.heapBytes,
		residentBytes: full.residentBytes - alone.residentBytes,
	};
}

function targetTable(target: Target): Table {
	return {
		title: `Control of one node at ${targetFleet.hosts} nodes, ${targetFleet.groups} groups of three, ${targetFleet.changesPerDay} changes a day`,
		columns: ['figure', 'value', 'budget'],
		rows: [
			['core %', target.coreShare * 100, fleetBudgets.coreShare * 100],
			['core % of a node that is alone and polls the log of changes', target.coreShareAlone * 100, '-'],
			['B/s, read and written', target.bytesPerS, fleetBudgets.bytesPerS],
			['heap MB beyond a node that is alone', target.heapBytes / 1e6, fleetBudgets.memoryBytes / 1e6],
			['resident MB beyond a node that is alone', target.residentBytes / 1e6, fleetBudgets.memoryBytes / 1e6],
		],
	};
}

function finder(figures: readonly ScenarioFigures[]): (name: string) => ScenarioFigures {
	return name => {
		const found = figures.find(({scenario}) => scenario.name === name);
		if (!found) {
			throw new Error(`no scenario ${name}`);
		}

		return found;
	};
}

function coreShareOf({used, seconds}: ScenarioFigures): number {
	return used.cpuMs / 1000 / seconds;
}

function byteRateOf({used, seconds}: ScenarioFigures): number {
	return (used.readBytes + used.writtenBytes) / seconds;
}
