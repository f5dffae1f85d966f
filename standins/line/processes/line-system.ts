/**
 * A whole system of the line protocol on loopback: a group of instances and the platform in
 * this process, nodes as processes of their own, and a proxy before all that nodes call.
 */
import {mkdtemp, rm} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Left, Right} from 'purify-ts';
import {configurationKey, tables} from '../../../platform/names.js';
import type {PromotionCalls} from '../../../src/common/services/services.js';
import {listenOn} from '../../../src/node/listen-on.js';
import {SystemClock} from '../../../src/node/system-clock.js';
import {InstanceServer} from '../instance-server.js';
import {LineGroup, registrationOf} from '../line-group.js';
import {MemoryRowStore} from '../memory-row-store.js';
import {PlatformServer} from '../platform-server.js';
import {FaultyProxy} from '../faulty-proxy.js';
import {NodeProcess} from './node-process.js';

const service = 'svc';

/** Databases by the kind of their routes; reads of `aged` and `own` may be this old. */
export const databases = {primary: 'db-primary', aged: 'db-aged', own: 'db-own'} as const;
export const maximumAgeMs = 1500;

const routeKinds = {primary: 'primary', aged: 'bounded_staleness', own: 'read_your_writes'} as const;
const zones = ['a', 'b', 'c'] as const;

/** Times of the stand-ins, in milliseconds. */
const standInTimes = {
	work: 2, lag: 20, promotion: 400, sync: 500,
} as const;

/** Port of all nodes' callers, readiness and peers would collide on one address: each node has its own. */
const firstNodeHost = 2;

/** A promotion as the platform was asked for it. */
export type Ordered = {readonly id: string; readonly holder: string; readonly epoch: number};

/** Owns everything that one run starts. */
export class LineSystem {
	readonly group: LineGroup;
	readonly store: MemoryRowStore;
	readonly nodes: NodeProcess[] = [];
	/** Before each instance, by its id. */
	readonly instanceProxies = new Map<string, FaultyProxy>();
	/** Before the platform, by the name of the node that calls it. */
	readonly platformProxies = new Map<string, FaultyProxy>();
	readonly ordered: Ordered[] = [];
	private readonly _servers = new Map<string, InstanceServer>();
	private readonly _addresses = new Map<string, string>();
	private _platform: PlatformServer | undefined;
	private _folder = '';
	private _configuration = 0;

	private readonly _promotions: PromotionCalls = {
		promote: async (name, id, holder, epoch) => {
			this.ordered.push({id, holder, epoch});
			if (!this.group.instance(id).isUp) {
				return Left({kind: 'invalid', detail: 'does not run'});
			}

			setTimeout(() => {
				this.group.promote(id);
				this.register();
			}, standInTimes.promotion);
			return Right(undefined);
		},
	};

	constructor() {
		const clock = new SystemClock();
		this.store = new MemoryRowStore(clock);
		this.group = new LineGroup(service, ['i-1', 'i-2', 'i-3'], clock);
	}

	/** Folder with the nodes' logs. */
	get folder(): string {
		return this._folder;
	}

	/** Starts everything and waits until every node takes callers. */
	async start(nodeCount: number): Promise<void> {
		this._folder = await mkdtemp(path.join(tmpdir(), 'quetzalstream-line-'));
		for (const instance of this.group.instances) {
			instance.lagMs = standInTimes.lag;
			const server = new InstanceServer(instance, standInTimes.work);
			const proxy = new FaultyProxy({host: '127.0.0.1', port: await server.listen('127.0.0.1')});
			this._servers.set(instance.id, server);
			this.instanceProxies.set(instance.id, proxy);
			this._addresses.set(instance.id, `127.0.0.1:${await proxy.listen('127.0.0.1')}`);
		}

		this.register();
		this.configure();
		this._platform = new PlatformServer(this.store, this._promotions);
		const platform = {host: '127.0.0.1', port: await this._platform.listen('127.0.0.1')};
		for (let index = 0; index < nodeCount; index++) {
			await this._addNode(index, platform);
		}

		const areReady = await Promise.all(this.nodes.map(async node => node.becomeReady()));
		if (areReady.includes(false)) {
			throw new Error(`a node did not become ready; logs are in ${this._folder}`);
		}
	}

	/** Writes a further configuration. */
	configure(): void {
		this._configuration += 1;
		const routes = (['primary', 'aged', 'own'] as const).map(kind => ({
			name: `r-${kind}`, host: databases[kind], kind: routeKinds[kind], service,
			'timeout-ms': 1500, priority: 1, 'max-attempts': 2, 'max-staleness-ms': kind === 'primary' ? 0 : maximumAgeMs,
		}));
		this.store.put(tables.operator, configurationKey, JSON.stringify({
			version: this._configuration, routes, services: [{name: service, 'max-conns': 23}], limits: {'tx-idle-ms': 3000},
		}));
	}

	/** Writes what the running instances say of themselves. */
	register(): void {
		for (const [index, instance] of this.group.instances.entries()) {
			const {id, isUp} = instance;
			if (isUp) {
				this.store.put(tables.instances, id, registrationOf(instance, this._addresses.get(id)!, zones[index]));
			}
		}
	}

	/** Ends an instance without a word. */
	crash(id: string): void {
		this.group.instance(id).isUp = false;
		this._servers.get(id)?.breakConnections();
	}

	/** Starts a replica again under its id with an empty memory; it has its log again after a time. */
	restart(id: string): void {
		this.group.restart(id, {syncMs: standInTimes.sync});
		this.group.instance(id).startedAtMs = Date.now();
		this._servers.get(id)?.breakConnections();
		this.register();
	}

	/** Starts it again with its log. */
	revive(id: string): void {
		this.group.rejoin(id);
		this.register();
	}

	/** Ends everything that was started; removes the logs unless they are to be read. */
	async stop(keepsLogs: boolean): Promise<void> {
		await Promise.all(this.nodes.map(async node => {
			node.signal('SIGCONT');
			await node.end('SIGKILL');
		}));
		this._platform?.dispose();
		for (const part of [...this._servers.values(), ...this.instanceProxies.values(), ...this.platformProxies.values()]) {
			part.dispose();
		}

		if (!keepsLogs) {
			await rm(this._folder, {recursive: true, force: true});
		}
	}

	private async _addNode(index: number, platform: {readonly host: string; readonly port: number}): Promise<void> {
		const name = `n${index + 1}`;
		const host = `127.0.31.${index + firstNodeHost}`;
		const proxy = new FaultyProxy(platform);
		this.platformProxies.set(name, proxy);
		const [callersPort, readyPort, peersPort] = await freePorts(host, 3);
		const node = new NodeProcess({
			name, host, callersPort, readyPort, peersPort, zone: zones[index % zones.length], folder: this._folder,
			platformAddress: `127.0.0.1:${await proxy.listen('127.0.0.1')}`,
		});
		this.nodes.push(node);
		await node.start();
	}
}

/** Ports of an address that are free at the moment; held until all are chosen. */
async function freePorts(host: string, count: number): Promise<number[]> {
	const servers = Array.from({length: count}, () => createServer());
	const ports = await Promise.all(servers.map(async server => listenOn(server, {host, port: 0})));
	for (const server of servers) {
		server.close();
	}

	return ports;
}
