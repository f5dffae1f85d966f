/**
 * Runs one node's core in this process, among as many hosts and groups as a measurement needs.
 */
/* eslint-disable @typescript-eslint/naming-convention -- sides of an Either. */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Operation} from '../../src/common/configuration/schema.js';
import {NodeCore} from '../../src/common/node-core.js';
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import type {Host, Metrics} from '../../src/common/services/services.js';
import {TableHostList} from '../../src/node/platform/table-host-list.js';
import {SystemClock} from '../../src/node/system-clock.js';
import {SystemRandom} from '../../src/node/system-random.js';
import {MemoryPlatform} from '../../standins/platform/memory-platform.js';
import {
	CountingPeers, CountingTable, noTraffic, ReportingConnector,
} from './counted-edges.js';
import {controlSizes} from './constants.js';
import type {ControlSize, Traffic, WindowFigures} from './types.js';

/** Operations in one change, few enough that its text stays below the maximum size of a change. */
const operationsPerChange = 500;

const silent = () => {
	// The node's own logs and metrics are not used: everything is measured from outside.
};

const silentMetrics: Metrics = {count: silent, gauge: silent, observe: silent};

/** A host as the host list describes it. */
export function hostOf(index: number, zone: string): Host {
	return {
		name: `host-${index}`,
		availabilityZone: zone,
		region: 'region-1',
		peerHost: '10.100.100.100',
		peerPort: 7400,
		operatorPort: 7500,
		isLeaving: false,
		incarnation: `0123456789ab${index}`,
	};
}

const trafficNames = ['stateReports', 'stateReportBytes', 'peerMessages', 'peerBytes', 'platformReads', 'platformReadBytes', 'platformWrites'] as const;

/** One node's core with in-memory services that count the traffic. */
export class ControlSystem implements Disposable {
	readonly traffic: Traffic = noTraffic();
	readonly connector = new ReportingConnector(this.traffic);
	readonly peers = new CountingPeers(this.traffic);
	readonly core: NodeCore;
	readonly hostList: TableHostList;
	private readonly _platform: MemoryPlatform;
	private _changeCount = 0;

	constructor() {
		const clock = new SystemClock();
		const random = new SystemRandom();
		// Many hosts are registered at once, and the platform's rate limits are not the subject of this benchmark.
		this._platform = new MemoryPlatform(clock, random, {writesPerSecond: 1_000_000, readsPerSecond: 1_000_000});
		const {table, objects} = this._platform.connect();
		const counted = new CountingTable(table, this.traffic);
		this.hostList = new TableHostList(counted, {platformNowMs: () => clock.wallClockMs()});
		this.core = new NodeCore(hostOf(0, 'zone-0'), {
			clock,
			random,
			objects,
			table: counted,
			hostList: this.hostList,
			log: {event: silent},
			metrics: silentMetrics,
			invariants: {check: (_name, condition) => condition},
			connector: this.connector,
			audit: {record: silent},
			terms: {record: silent},
			createPeers: () => this.peers,
		});
	}

	/** Registers the hosts, starts the core and configures the groups. */
	async start({hosts, groups, served}: ControlSize, isSpreadOverZones: boolean): Promise<void> {
		await this.registerHosts(hosts, isSpreadOverZones);
		await this.core.start();
		await this.configure(groups, group => isSpreadOverZones ? group % controlSizes.zones : Number(group >= served));
		await sleep(controlSizes.settleMs);
	}

	/** Registers the other hosts; some of them in the node's own zone only if it is to share the zone's endpoints with them. */
	async registerHosts(count: number, isZoneShared: boolean): Promise<void> {
		const {zones} = controlSizes;
		for (let index = 1; index < count; index++) {
			const zone = isZoneShared ? index % zones : 1 + (index % (zones - 1));
			const list = new TableHostList(this._platform.connect().table, {platformNowMs: () => Date.now()});
			const registered = await list.register(hostOf(index, `zone-${zone}`));
			registered.unsafeCoerce();
		}
	}

	/** Configures groups of three instances, each instance in another zone; `firstZoneOf` gives the zone of the first. */
	async configure(groups: number, firstZoneOf: (group: number) => number): Promise<void> {
		const operations: Operation[] = [{op: 'put', kind: 'service', value: {name: 'service', labels: {}}}];
		for (let group = 0; group < groups; group++) {
			operations.push(...operationsOf(group, firstZoneOf(group)));
		}

		for (let start = 0; start < operations.length; start += operationsPerChange) {
			await this.propose(operations.slice(start, start + operationsPerChange));
		}
	}

	/** Makes one change through the change log, acknowledging the warnings of its preview; throws if it is refused. */
	async propose(operations: readonly Operation[]): Promise<void> {
		this._changeCount += 1;
		const {history, changeLog} = this.core;
		const proposal = {
			changeId: `change-${this._changeCount}`, author: 'bench', basedOn: history.version, operations,
		};
		const proposed = await changeLog.propose(proposal);
		await proposed.caseOf({
			Left: async refusal => refusal.kind === 'unacknowledged'
				? this._proposeAcknowledging(proposal, refusal.preview.warnings.map(({id}) => id))
				: Promise.reject(new Error(`change refused: ${JSON.stringify(refusal).slice(0, 500)}`)),
			Right: async () => undefined,
		});
		this.peers.version = history.version;
	}

	/** Waits for a window of time and resolves with the traffic per second and the processor time in it. */
	async window(durationMs = controlSizes.windowMs): Promise<WindowFigures> {
		const before = {...this.traffic};
		const startMs = performance.now();
		const start = process.cpuUsage();
		await sleep(durationMs);
		const {user, system} = process.cpuUsage(start);
		const seconds = (performance.now() - startMs) / 1000;
		const traffic = noTraffic();
		for (const name of trafficNames) {
			traffic[name] = (this.traffic[name] - before[name]) / seconds;
		}

		return {seconds, coreShare: (user + system) / 1e6 / seconds, traffic};
	}

	dispose(): void {
		this.core.dispose();
	}

	private async _proposeAcknowledging(proposal: Parameters<NodeCore['changeLog']['propose']>[0], acknowledged: readonly string[]): Promise<void> {
		const proposed = await this.core.changeLog.propose({...proposal, acknowledged});
		proposed.ifLeft(refusal => {
			throw new Error(`change refused: ${refusal.kind}`);
		});
	}
}

function operationsOf(group: number, firstZone: number): Operation[] {
	const {zones, instances} = controlSizes;
	const name = `group-${group}`;
	const operations: Operation[] = [{op: 'put', kind: 'group', value: {name, service: 'service', labels: {}}}];
	for (let instance = 0; instance < instances; instance++) {
		const zone = (firstZone + instance) % zones;
		operations.push({
			op: 'put',
			kind: 'endpoint',
			value: {
				name: `${name}-${instance}`, group: name, availabilityZone: `zone-${zone}`, host: '10.100.100.100', port: 5432 + (group * instances) + instance, labels: {}, slots: 3, connections: 20,
			},
		});
	}

	return operations;
}
