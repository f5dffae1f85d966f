/**
 * A fleet of node processes of one build on loopback, with its own store and instances in this process.
 */
import {mkdir, readFile, rm} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Left} from 'purify-ts';
import {configurationKey, tables} from '../../platform/names.js';
import type {PromotionCalls} from '../../src/common/services/services.js';
import {SystemClock} from '../../src/node/system-clock.js';
import {InstanceServer} from '../../standins/line/instance-server.js';
import {LineGroup, registrationOf, type LineInstance} from '../../standins/line/line-group.js';
import {LinePlatformServer} from '../../standins/line/line-platform-server.js';
import {MemoryRowStore} from '../../standins/line/memory-row-store.js';
import {freePorts} from '../../standins/line/processes/free-ports.js';
import {LineClient} from '../../standins/line/processes/line-client.js';
import {NodeProcess} from '../../standins/line/processes/node-process.js';
import {routeKinds} from '../../standins/line/route-kinds.js';
import {readAccount} from '../process-account.js';
import {fleetPlan, sessionsPerNode, writeEvery} from './constants.js';

/** Module that counts messages; plain JavaScript, which is not compiled. */
const counter = fileURLToPath(new URL('../../../bench/nodes/count-messages.cjs', import.meta.url));

/** Environment variable that names the folder into which it writes. */
const countFolderVariable = 'QUETZALSTREAM_COUNT_FOLDER';

/** Environment variable with further options of Node.js for the processes, such as `--cpu-prof`. */
const optionsVariable = 'NODE_COST_OPTIONS';

/** Interval in milliseconds between two looks for a count, and their number. */
const countPolling = {everyMs: 20, times: 100} as const;

const routeNames = ['primary', 'aged', 'own'] as const satisfies ReadonlyArray<keyof typeof routeKinds>;

/** Nodes by their part in the fleet: small hosts accept statements and forward them, large ones are homes. */
export type NodeRole = 'entry' | 'home';

/** Resources that all nodes of a role used since their start. */
export type FleetAccount = {
	readonly cpuMs: number;
	/** Messages that the nodes wrote to each other. */
	readonly messages: number;
	readonly writtenBytes: number;
	readonly storeCalls: number;
	readonly statusRequests: number;
};

/** Result of a load: statements that were answered, and refusals among them. */
export type LoadResult = {readonly statements: number; readonly refused: number};

/** Starts and owns the servers and the node processes of one build. */
export class MeasuredFleet {
	readonly name: string;
	private readonly _clock = new SystemClock();
	private readonly _store = new MemoryRowStore(this._clock);
	private readonly _groups: readonly LineGroup[];
	private readonly _servers: InstanceServer[] = [];
	private readonly _addresses = new Map<string, string>();
	private readonly _nodes = new Map<NodeProcess, NodeRole>();
	private readonly _platform: LinePlatformServer;
	private _reportTimer: NodeJS.Timeout | undefined;
	private _statements = 0;
	private _folder = '';

	constructor(name: string) {
		this.name = name;
		this._groups = Array.from({length: fleetPlan.groups}, (_, group) =>
			new LineGroup(`svc-${group}`, fleetPlan.zones.map((_zone, index) => `i-${group}-${index}`), this._clock));
		const promotions: PromotionCalls = {
			promote: async () => Left({kind: 'invalid', detail: 'no promotion is expected here'}),
		};
		this._platform = new LinePlatformServer(this._store, promotions);
	}

	/** Listens, writes configuration and registrations, and plans the processes of a build in a folder; the third byte tells the addresses of two fleets apart. */
	async prepare(build: string, folder: string, thirdByte: number): Promise<void> {
		for (const instance of this._groups.flatMap(({instances}) => instances)) {
			instance.slots = fleetPlan.slots;
			instance.maximumConnections = fleetPlan.connections;
			const server = new InstanceServer(instance, fleetPlan.workMs);
			this._servers.push(server);
			this._addresses.set(instance.id, `127.0.0.1:${await server.listen('127.0.0.1')}`);
		}

		this._store.put(tables.operator, configurationKey, this._configuration());
		const instances = this._groups.flatMap(({instances: ofGroup}) => ofGroup.map((instance, index) => ({instance, zone: fleetPlan.zones[index]})));
		for (const {instance, zone} of instances) {
			this._report(instance, zone);
		}

		// The instances report one after the other, as instances that started independently do.
		let next = 0;
		this._reportTimer = setInterval(() => {
			const {instance, zone} = instances[next % instances.length];
			next += 1;
			this._report(instance, zone);
		}, fleetPlan.reportEveryMs / instances.length);
		await mkdir(folder, {recursive: true});
		this._folder = folder;
		process.env[countFolderVariable] = path.dirname(folder);
		const platformAddress = `127.0.0.1:${await this._platform.listen('127.0.0.1')}`;
		const options = process.env[optionsVariable]?.split(' ') ?? [];
		const {zones, nodesPerZone, largeHostsPerZone, cores} = fleetPlan;
		for (let index = 0; index < zones.length * nodesPerZone; index++) {
			const role = Math.floor(index / zones.length) < largeHostsPerZone ? 'home' : 'entry';
			const host = `127.0.${thirdByte}.${index + 2}`;
			const [callersPort, readyPort, peersPort] = await freePorts(host, 3);
			this._nodes.set(new NodeProcess({
				name: `n${index + 1}`,
				zone: zones[index % zones.length],
				host, callersPort, readyPort, peersPort, platformAddress, folder,
				cores: role === 'home' ? cores.large : cores.small,
				program: ['--require', counter, ...options, path.join(build, 'deploy', 'start.cjs')],
			}), role);
		}
	}

	get size(): number {
		return this._nodes.size;
	}

	/** Starts all processes at once, and waits until all nodes are ready. */
	async start(): Promise<void> {
		const nodes = [...this._nodes.keys()];
		await Promise.all(nodes.map(async node => node.start()));
		const areReady = await Promise.all(nodes.map(async node => node.waitUntilReady()));
		if (areReady.includes(false)) {
			throw new Error(`a node of ${this.name} did not become ready`);
		}
	}

	/** Resources that the nodes of a role, or all, used since their start. */
	async account(role?: NodeRole): Promise<FleetAccount> {
		const nodes = [...this._nodes].filter(([, ofNode]) => role === undefined || ofNode === role).map(([node]) => node);
		const accounts = await Promise.all(nodes.map(async ({pid}) => readAccount(pid!)));
		const messages = await Promise.all(nodes.map(async node => this._messages(node)));
		const sum = (figure: 'cpuMs' | 'writtenBytes'): number => accounts.reduce((total, account) => total + account[figure], 0);
		return {
			cpuMs: sum('cpuMs'),
			messages: messages.reduce((total, ofNode) => total + ofNode, 0),
			writtenBytes: sum('writtenBytes'),
			storeCalls: this._store.calls,
			statusRequests: this._groups.reduce((total, {statusRequests}) => total + statusRequests, 0),
		};
	}

	/** Sends statements to each node of a role, or to all nodes, at a rate per node; resolves when the last one is answered. */
	async load(role: NodeRole | undefined, perS: number, forMs: number): Promise<LoadResult> {
		const nodes = [...this._nodes].filter(([, ofNode]) => role === undefined || ofNode === role).map(([node]) => node);
		const everyMs = sessionsPerNode * 1000 / perS;
		const results = await Promise.all(nodes.flatMap((node, index) =>
			Array.from({length: sessionsPerNode}, async (_, session) => this._session(node, index + session, {everyMs, forMs}))));
		return {
			statements: results.reduce((sum, {statements}) => sum + statements, 0),
			refused: results.reduce((sum, {refused}) => sum + refused, 0),
		};
	}

	/** Ends the processes and closes everything. */
	async stop(signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
		clearInterval(this._reportTimer);
		await Promise.all([...this._nodes.keys()].map(async node => node.end(signal)));
		this._platform.dispose();
		for (const server of this._servers) {
			server.dispose();
		}
	}

	/** Runs one session: statements at a fixed interval, with a phase of its own, one at a time. */
	private async _session({plan}: NodeProcess, number: number, {everyMs, forMs}: {readonly everyMs: number; readonly forMs: number}): Promise<LoadResult> {
		const startMs = Date.now() + (everyMs * (number % sessionsPerNode) / sessionsPerNode);
		const endMs = Date.now() + forMs;
		const kind = routeNames[number % routeNames.length];
		const client = await LineClient.open(plan.host, plan.callersPort, databaseOf(kind, number % fleetPlan.groups));
		let statements = 0;
		let refused = 0;
		for (let atMs = startMs; atMs < endMs; atMs += everyMs) {
			await new Promise(resolve => {
				setTimeout(resolve, Math.max(0, atMs - Date.now()));
			});
			this._statements += 1;
			const isWrite = kind !== 'aged' && statements % writeEvery === 0;
			const {code} = await client.query(`q${this._statements}`, isWrite ? `WRITE item-${number} ${this._statements}` : `READ item-${number}`);
			statements += 1;
			refused += code === '' ? 0 : 1;
		}

		client.close();
		return {statements, refused};
	}

	private _report(instance: LineInstance, zone: string): void {
		this._store.put(tables.instances, instance.id, registrationOf(instance, this._addresses.get(instance.id)!, zone));
	}

	/** Number of messages that a node has written to others; asks its process, which answers with a file. */
	private async _messages(node: NodeProcess): Promise<number> {
		const file = path.join(path.dirname(this._folder), String(node.pid));
		await rm(file, {force: true});
		node.signal('SIGUSR2');
		for (let attempt = 0; attempt < countPolling.times; attempt++) {
			await pause(countPolling.everyMs);
			try {
				const text = await readFile(file, 'utf8');
				if (text !== '') {
					return Number(text);
				}
			} catch {
				// The file is not there yet.
			}
		}

		throw new Error(`a node of ${this.name} did not report its count of messages`);
	}

	private _configuration(): string {
		const routes = this._groups.flatMap(({service}, group) => routeNames.map(kind => ({
			name: `r-${kind}-${group}`, host: databaseOf(kind, group), kind: routeKinds[kind], service,
			'timeout-ms': 1500, priority: 1, 'max-attempts': 2, 'max-staleness-ms': kind === 'primary' ? 0 : 1500,
		})));
		return JSON.stringify({
			version: 1, routes, services: this._groups.map(({service}) => ({name: service, 'max-conns': fleetPlan.connections})), limits: {'tx-idle-ms': 3000},
		});
	}
}

function databaseOf(kind: string, group: number): string {
	return `db-${kind}-${group}`;
}
