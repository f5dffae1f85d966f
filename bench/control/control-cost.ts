/**
 * Measures what control costs one node as the system grows: counts of messages and bytes,
 * processor time and memory, their slopes, and the totals that follow at the target size.
 */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {setTimeout as sleep} from 'node:timers/promises';
import {ChangeHistory} from '../../src/common/configuration/change-history.js';
import {membershipDefaults} from '../../src/common/membership/constants.js';
import type {
	BenchContext, BenchResult, BoundedFigure, Table,
} from '../types.js';
import {budgets, controlSizes, targetSize} from './constants.js';
import {ControlSystem, hostOf} from './control-system.js';
import type {WindowFigures} from './types.js';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the flag provides it.

type HostRow = {readonly hosts: number; readonly readBytes: number; readonly readCpuMs: number; readonly changeCpuMs: number; readonly heapBytes: number; readonly listBytesPerSecond: number};
type ServedRow = {readonly served: number; readonly controls: number; readonly heapBytes: number; readonly window: WindowFigures};
type GroupRow = {readonly groups: number; readonly heapBytes: number; readonly changeCpuMs: number; readonly mapHeapBytes: number};
type ChangeRow = {
	readonly groups: number;
	/** Processor time at the node that makes the change, including its preview. */
	readonly cpuMs: number;
	/** Processor time at a node that applies the change. */
	readonly applyCpuMs: number;
	readonly peerMessages: number;
	readonly peerBytes: number;
};

const silent = () => {
	// Nothing is logged here.
};

/** Measures the cost of control at all sizes; resolves with tables, slopes and bounded figures. */
export async function benchControlCost({note}: BenchContext): Promise<BenchResult> {
	note('warming up');
	await withSystem(async system => measureServed(system, controlSizes.served[0]));
	await withSystem(async system => measureHosts(system, controlSizes.hosts[0]));
	note('endpoints served');
	const served: ServedRow[] = [];
	for (const count of controlSizes.served) {
		served.push(await withSystem(async system => measureServed(system, count)));
	}

	note('hosts');
	const hosts: HostRow[] = [];
	for (const count of controlSizes.hosts) {
		hosts.push(await withSystem(async system => measureHosts(system, count)));
	}

	note('groups configured, and changes');
	const groups: GroupRow[] = [];
	const changes: ChangeRow[] = [];
	for (const count of controlSizes.groups) {
		const measured = await withSystem(async system => measureGroups(system, count));
		groups.push(measured.group);
		changes.push(measured.change);
	}

	return report(hosts, served, groups, changes);
}

async function withSystem<T>(measure: (system: ControlSystem) => Promise<T>): Promise<T> {
	await sleep(controlSizes.restMs);
	const system = new ControlSystem();
	try {
		return await measure(system);
	} finally {
		system.dispose();
	}
}

/** Configures only a few groups, so that the number of hosts alone makes the difference. */
async function measureHosts(system: ControlSystem, hosts: number): Promise<HostRow> {
	await system.registerHosts(hosts, true);
	const emptyBytes = heapBytes();
	await system.core.start();
	const usedBytes = heapBytes() - emptyBytes;
	system.traffic.platformReadBytes = 0;
	const readCpuMs = await cpuMsOf(async () => {
		for (let read = 0; read < controlSizes.listReads; read++) {
			await system.hostList.read();
		}
	});
	const readBytes = system.traffic.platformReadBytes / controlSizes.listReads;
	await system.configure(controlSizes.fewHosts, group => group % controlSizes.zones);
	await sleep(controlSizes.settleMs);
	const changeCpuMs = await cpuMsOfMembershipChange(system);
	const intervalMs = Math.max(membershipDefaults.readIntervalMs, membershipDefaults.readIntervalPerHostMs * hosts);
	return {
		hosts, readBytes, readCpuMs: readCpuMs / controlSizes.listReads, changeCpuMs, heapBytes: usedBytes, listBytesPerSecond: readBytes * 1000 / intervalMs,
	};
}

async function measureServed(system: ControlSystem, served: number): Promise<ServedRow> {
	const before = heapBytes();
	await system.start({hosts: controlSizes.fewHosts, groups: served, served}, false);
	const usedBytes = heapBytes() - before;
	const window = await system.window();
	const controls = system.connector.controlCount;
	const actual = system.core.homes.served().length;
	return {
		served: actual, controls, heapBytes: usedBytes, window,
	};
}

/** Places the groups so that the node serves none of their endpoints: only the cost of the configuration itself remains. */
async function measureGroups(system: ControlSystem, groups: number): Promise<{group: GroupRow; change: ChangeRow}> {
	await system.registerHosts(controlSizes.fewHosts, false);
	await system.core.start();
	const before = heapBytes();
	await system.configure(groups, group => 1 + (group % (controlSizes.zones - controlSizes.instances)));
	await sleep(200);
	const configured = heapBytes();
	for (const group of system.core.configuration.groups()) {
		for (const endpoint of group.endpoints) {
			system.core.membership.homeOf(endpoint);
		}
	}

	const mapped = heapBytes();
	const changeCpuMs = await cpuMsOfMembershipChange(system);
	const change = await measureChanges(system, groups);
	return {
		group: {
			groups, heapBytes: configured - before, mapHeapBytes: mapped - configured, changeCpuMs,
		},
		change,
	};
}

/** Makes changes of one rule each, one directly after the other. */
async function measureChanges(system: ControlSystem, groups: number): Promise<ChangeRow> {
	const {configurationChanges} = controlSizes;
	const before = {...system.traffic};
	const {history} = system.core;
	const {version} = history;
	const follower = new ChangeHistory({check: (_name, condition) => condition}, {event: silent});
	follower.applySnapshot(history.snapshotText()).unsafeCoerce();
	const cpuMs = await cpuMsOf(async () => {
		for (let change = 0; change < configurationChanges; change++) {
			await system.propose([{
				op: 'put',
				kind: 'rule',
				value: {
					name: `rule-${change % 10}`,
					order: 0,
					selector: {groups: [{label: 'name', operator: 'equals', value: `group-${change % groups}`}]},
					effect: {kind: 'deadline', deadlineMs: 1000 + change},
				},
			}]);
		}
	});
	const texts = history.changesAfter(version).changes;
	const applyCpuMs = await cpuMsOf(async () => {
		for (const text of texts) {
			follower.applyChanges([text]).unsafeCoerce();
		}
	});
	return {
		groups,
		cpuMs: cpuMs / configurationChanges,
		applyCpuMs: applyCpuMs / texts.length,
		peerMessages: (system.traffic.peerMessages - before.peerMessages) / configurationChanges,
		peerBytes: (system.traffic.peerBytes - before.peerBytes) / configurationChanges,
	};
}

/** Adds hosts one by one, with a pause in which every component that follows the membership can react. */
async function cpuMsOfMembershipChange(system: ControlSystem): Promise<number> {
	const {membershipChanges, zones} = controlSizes;
	const cpuMs = await cpuMsOf(async () => {
		for (let change = 0; change < membershipChanges; change++) {
			system.core.membership.learn(hostOf(10_000 + change, `zone-${change % zones}`));
			await sleep(5);
		}
	});
	return cpuMs / membershipChanges;
}

async function cpuMsOf(operation: () => Promise<void>): Promise<number> {
	const start = process.cpuUsage();
	await operation();
	const {user, system} = process.cpuUsage(start);
	return (user + system) / 1000;
}

function heapBytes(): number {
	collectGarbage();
	return process.memoryUsage().heapUsed;
}

/** Growth from the first to the last size, per unit of size. */
function slope<Row>(rows: readonly Row[], size: (row: Row) => number, value: (row: Row) => number): number {
	const [first, last] = [rows[0], rows.at(-1)!];
	return (value(last) - value(first)) / (size(last) - size(first));
}

/** Value at another size, on the straight line through the first and the last measured size. */
function estimateAt<Row>(rows: readonly Row[], size: (row: Row) => number, value: (row: Row) => number, wanted: number): number {
	return value(rows[0]) + (slope(rows, size, value) * (wanted - size(rows[0])));
}

function idleBytes({traffic}: WindowFigures): number {
	return traffic.stateReportBytes + traffic.peerBytes;
}

function report(hosts: readonly HostRow[], served: readonly ServedRow[], groups: readonly GroupRow[], changes: readonly ChangeRow[]): BenchResult {
	const tables: Table[] = [
		{
			title: 'Hosts in the list',
			columns: ['hosts', 'bytes a read', 'bytes/s at its interval', 'CPU ms a read', 'CPU ms a change of membership', 'heap KB'],
			rows: hosts.map(row => [row.hosts, row.readBytes, row.listBytesPerSecond, row.readCpuMs, row.changeCpuMs, row.heapBytes / 1024]),
		},
		{
			title: 'Endpoints served, idle',
			columns: ['endpoints', 'control connections', 'reports/s', 'report bytes/s', 'peer messages/s', 'peer bytes/s', 'reads/s', 'core %', 'heap KB'],
			rows: served.map(({served: count, controls, window: {traffic, coreShare}, heapBytes: bytes}) => [
				count, controls, traffic.stateReports, traffic.stateReportBytes, traffic.peerMessages, traffic.peerBytes, traffic.platformReads, coreShare * 100, bytes / 1024,
			]),
		},
		{
			title: 'Groups configured, three endpoints each',
			columns: ['groups', 'heap KB of the configuration', 'heap KB of the home map', 'CPU ms a change of membership'],
			rows: groups.map(row => [row.groups, row.heapBytes / 1024, row.mapHeapBytes / 1024, row.changeCpuMs]),
		},
		{
			title: 'Changes of the configuration, one rule each',
			columns: ['groups', 'CPU ms there', 'CPU ms at a node that takes it in', 'peer messages a change', 'peer bytes a change'],
			rows: changes.map(row => [row.groups, row.cpuMs, row.applyCpuMs, row.peerMessages, row.peerBytes]),
		},
		slopeTable(hosts, served, groups),
		totalTable(hosts, served, groups, changes),
	];
	return {tables, bounded: boundsOf(hosts, served)};
}

function slopeTable(hosts: readonly HostRow[], served: readonly ServedRow[], groups: readonly GroupRow[]): Table {
	return {
		title: 'Slopes',
		columns: ['of', 'for each', 'value'],
		rows: [
			['bytes of a list read', 'host', slope(hosts, row => row.hosts, row => row.readBytes)],
			['CPU us of a list read', 'host', slope(hosts, row => row.hosts, row => row.readCpuMs) * 1000],
			['heap bytes', 'host', slope(hosts, row => row.hosts, row => row.heapBytes)],
			['reports/s', 'endpoint served', slope(served, row => row.served, row => row.window.traffic.stateReports)],
			['report bytes/s', 'endpoint served', slope(served, row => row.served, row => row.window.traffic.stateReportBytes)],
			['core %', 'endpoint served', slope(served, row => row.served, row => row.window.coreShare) * 100],
			['heap bytes', 'endpoint served', slope(served, row => row.served, row => row.heapBytes)],
			['heap bytes of configuration and home map', 'group', slope(groups, row => row.groups, row => row.heapBytes + row.mapHeapBytes)],
			['CPU us of a change of membership', 'group', slope(groups, row => row.groups, row => row.changeCpuMs) * 1000],
		],
	};
}

function totalTable(hosts: readonly HostRow[], served: readonly ServedRow[], groups: readonly GroupRow[], changes: readonly ChangeRow[]): Table {
	const list = hosts.at(-1)!;
	const [group, change] = [groups.at(-1)!, changes.at(-1)!];
	const reads = 1000 / (membershipDefaults.readIntervalPerHostMs * targetSize.hosts);
	const idle = estimateAt(served, row => row.served, row => row.window.coreShare, targetSize.served);
	const changesPerSecond = targetSize.changesPerDay / 86_400;
	const replacementsPerSecond = targetSize.replacementsPerDay / 86_400;
	const eventCpuMsPerSecond = (reads * list.readCpuMs) + (changesPerSecond * change.applyCpuMs) + (2 * replacementsPerSecond * (group.changeCpuMs + list.changeCpuMs));
	const heap = list.heapBytes + group.heapBytes + group.mapHeapBytes + estimateAt(served, row => row.served, row => row.heapBytes, targetSize.served);
	const idleSize = estimateAt(served, row => row.served, row => idleBytes(row.window), targetSize.served);
	const bytes = list.listBytesPerSecond + idleSize + (changesPerSecond * change.peerBytes);
	const allReads = (targetSize.hosts * reads) + (2 * controlSizes.zones * 2);
	const allWrites = (targetSize.hosts * reads / membershipDefaults.readsPerRegistration) + (2 * changesPerSecond);
	return {
		title: `At ${targetSize.hosts} nodes and ${targetSize.groups} groups of three, worked out`,
		columns: ['figure', 'value', 'budget'],
		rows: [
			['core %, control', (idle + (eventCpuMsPerSecond / 1000)) * 100, budgets.coreShare * 100],
			['heap MB, control', heap / 1024 / 1024, budgets.memoryBytes / 1024 / 1024],
			['bytes/s a node, control', bytes, budgets.bytesPerSecond],
			['platform reads/s, all nodes', allReads, budgets.platformReadsPerSecond],
			['platform writes/s, all nodes', allWrites, budgets.platformWritesPerSecond],
		],
	};
}

/** Only counts have bounds, since they do not depend on how busy the machine is. */
function boundsOf(hosts: readonly HostRow[], served: readonly ServedRow[]): BoundedFigure[] {
	const busiest = served.at(-1)!;
	const idle = estimateAt(served, row => row.served, row => idleBytes(row.window), targetSize.served);
	const listBytes = hosts.at(-1)!.listBytesPerSecond;
	return [
		{name: 'bytes of a list read for each host', value: slope(hosts, row => row.hosts, row => row.readBytes), maximum: 420},
		{name: 'list bytes/s of a node at 870 hosts', value: listBytes, maximum: 2048},
		{name: 'control connections for each endpoint served', value: busiest.controls / busiest.served, maximum: controlSizes.instances},
		{name: 'reports/s for each control connection', value: busiest.window.traffic.stateReports / busiest.controls, maximum: 2.2},
		{name: 'control bytes/s of a node at the target', value: listBytes + idle, maximum: budgets.bytesPerSecond},
	];
}
