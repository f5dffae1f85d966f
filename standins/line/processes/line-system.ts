/**
 * A complete system of the line protocol on loopback: a group of instances and the platform run in
 * this process, each node runs in its own process, and every server that a node calls has a proxy
 * in front of it for each calling node.
 */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {Left, Right} from 'purify-ts';
import {z} from 'zod';
import {configurationKey, tables} from '../../../platform/names.js';
import type {PlatformFault, PromotionCalls} from '../../../src/common/services/services.js';
import {SystemClock} from '../../../src/node/system-clock.js';
import {InstanceServer} from '../instance-server.js';
import {LineGroup, registrationOf} from '../line-group.js';
import {MemoryRowStore} from '../memory-row-store.js';
import type {StoreSnapshot} from '../memory-row-store.js';
import {LinePlatformServer} from '../line-platform-server.js';
import {FaultyProxy} from '../faulty-proxy.js';
import {dutyTable} from '../../../src/common/primacy/promotion-duty.js';
import {routeKinds} from '../route-kinds.js';
import {freePorts} from './free-ports.js';
import {NodeProcess} from './node-process.js';

const service = 'svc';

/** Databases by the kind of their routes. */
export const databases = {primary: 'db-primary', aged: 'db-aged', own: 'db-own'} as const;
/** Maximum staleness of reads of the databases `aged` and `own`, in milliseconds. */
export const maximumAgeMs = 1500;

const zones = ['a', 'b', 'c'] as const;

/** Durations that the stand-ins simulate, in milliseconds. */
const simulatedTimesMs = {
	work: 2, lag: 20, promotion: 400, sync: 500,
	/** Time for which a stale primary stays a primary after it can reach the new one. */
	demotion: 1000,
	/** Interval between two checks for stale instances. */
	followCheck: 50,
} as const;

/** Last byte of the first node's address. Each node has its own address, since the ports of several nodes could collide on one. */
const firstNodeHost = 2;

/** An organisation as operators change it; a change takes effect with the next configuration. */
export type SystemOrganisation = {
	readonly name: string;
	readonly keys: Set<string>;
	perS: number;
	burst: number;
};

/** An order of a promotion as the platform received it. */
export type PromotionOrder = {readonly id: string; readonly holder: string; readonly epoch: number};

/** How the platform responds to orders. */
export type PromotionBehaviour = {
	/** `lost`: the order takes effect and is never answered; `denied`: it takes effect and is answered with a failure. */
	readonly answer: 'given' | 'lost' | 'denied';
	readonly answerMs: number;
	readonly effectMs: number;
};

/** Behaviour of the platform without faults. */
export const defaultPromotionBehaviour: PromotionBehaviour = {answer: 'given', answerMs: 0, effectMs: simulatedTimesMs.promotion};

const denied: PlatformFault = {kind: 'unavailable', detail: 'denied by the stand-in'};

/** A step of a node towards a promotion: it acquired the duty, or it ordered the promotion. */
export type PromotionStep = 'duty' | 'order';

/** A proxied connection path from a node to a server that it calls. */
export type ProxiedLink = {
	readonly from: NodeProcess;
	readonly kind: 'instance' | 'platform' | 'node';
	/** Id of the instance, or name of the node, at the other end. */
	readonly to: string;
	/** Zone of the other end; empty for the platform, which is in no zone. */
	readonly zone: string;
	readonly proxy: FaultyProxy;
};

/** Starts and owns all servers, proxies and processes of one run. */
export class LineSystem {
	readonly group: LineGroup;
	readonly store: MemoryRowStore;
	readonly nodes: NodeProcess[] = [];
	/** Links from each node to each instance, to the platform and to each other node. */
	readonly links: ProxiedLink[] = [];
	readonly ordered: PromotionOrder[] = [];
	promotionBehaviour = defaultPromotionBehaviour;
	/** Organisations of the configuration; undefined if callers need no key. */
	organisations: readonly SystemOrganisation[] | undefined;
	private readonly _servers = new Map<string, InstanceServer>();
	private readonly _addresses = new Map<string, string>();
	private _platform: LinePlatformServer | undefined;
	private _folder = '';
	private _configurationVersion = 0;
	private _configurationText = '';
	private readonly _addedDatabases: string[] = [];
	private _stepListener: ((step: PromotionStep, node: NodeProcess) => void) | undefined;
	/** For each stale instance, the time since which it can reach the primary of a later term. */
	private readonly _staleSinceMs = new Map<string, number>();
	private readonly _clock = new SystemClock();
	private _followTimer: NodeJS.Timeout | undefined;

	private readonly _promotions: PromotionCalls = {
		promote: async (name, id, holder, epoch) => {
			this.ordered.push({id, holder, epoch});
			this._notifyPromotionStep('order', holder);
			if (!this.group.instance(id).isUp) {
				return Left({kind: 'invalid', detail: 'the instance does not run'});
			}

			if (this.ordered.some(other => other.epoch > epoch)) {
				return Left({kind: 'invalid', detail: 'an order with a newer epoch was received before'});
			}

			const {answer, answerMs, effectMs} = this.promotionBehaviour;
			setTimeout(() => {
				this._applyPromotion(id, epoch);
			}, effectMs);
			await (answer === 'lost' ? new Promise<void>(() => undefined) : pause(answerMs)); // eslint-disable-line no-promise-executor-return -- never answered
			return answer === 'denied' ? Left(denied) : Right(undefined);
		},
	};

	constructor() {
		this.store = new MemoryRowStore(this._clock);
		this.group = new LineGroup(service, ['i-1', 'i-2', 'i-3'], this._clock);
		this.store.onConditionalWrite = ({table, value}) => {
			if (table === dutyTable) {
				this._notifyPromotionStep('duty', z.object({holder: z.string()}).parse(JSON.parse(value)).holder);
			}
		};
	}

	/** Folder that holds the nodes' settings and logs. */
	get folder(): string {
		return this._folder;
	}

	/** Starts everything and waits until every node accepts callers; throws if a node does not become ready. */
	async start(nodeCount: number): Promise<void> {
		this._folder = await mkdtemp(path.join(tmpdir(), 'quetzalstream-line-'));
		for (const instance of this.group.instances) {
			instance.lagMs = simulatedTimesMs.lag;
			const server = new InstanceServer(instance, simulatedTimesMs.work);
			this._servers.set(instance.id, server);
			this._addresses.set(instance.id, `127.0.0.1:${await server.listen('127.0.0.1')}`);
		}

		this.register();
		this.configure();
		this._platform = new LinePlatformServer(this.store, this._promotions);
		const platformAddress = `127.0.0.1:${await this._platform.listen('127.0.0.1')}`;
		for (let index = 0; index < nodeCount; index++) {
			await this._addNode(index, platformAddress);
		}

		for (const node of this.nodes) {
			await this._linkNode(node);
			await node.start();
		}

		this._followTimer = setInterval(() => {
			this._followNewerPrimaries();
		}, simulatedTimesMs.followCheck);
		const areReady = await Promise.all(this.nodes.map(async node => node.waitUntilReady()));
		if (areReady.includes(false)) {
			throw new Error(`a node did not become ready; logs are in ${this._folder}`);
		}
	}

	/** Writes the next configuration, with one more database. */
	addDatabase(name: string): void {
		this._addedDatabases.push(name);
		this.configure();
	}

	/** Writes the next configuration, with many more databases at once. */
	addManyDatabases(count: number): void {
		const first = this._addedDatabases.length;
		this._addedDatabases.push(...Array.from({length: count}, (_, index) => `many-${first + index}`));
		this.configure();
	}

	/** Writes the next configuration. */
	configure(): void {
		this._configurationVersion += 1;
		this._configurationText = this._formatConfiguration();
		this.store.put(tables.operator, configurationKey, this._configurationText);
	}

	/**
	 * Makes the store unavailable for `awayMs` and then restores a snapshot. After another `againMs`
	 * the operator and the instances write again. Writes of nodes since the snapshot stay lost.
	 */
	async restoreStore(snapshot: StoreSnapshot, {awayMs, againMs}: {readonly awayMs: number; readonly againMs: number}): Promise<void> {
		this.store.isUnavailable = true;
		await pause(awayMs);
		this.store.restore(snapshot);
		this.store.isUnavailable = false;
		await pause(againMs);
		this.store.put(tables.operator, configurationKey, this._configurationText);
		this.register();
	}

	/** Writes the registrations of all instances that run and are not isolated. */
	register(): void {
		for (const [index, instance] of this.group.instances.entries()) {
			const {id, isUp, isIsolated} = instance;
			if (isUp && !isIsolated) {
				this.store.put(tables.instances, id, registrationOf(instance, this._addresses.get(id)!, zones[index]));
			}
		}
	}

	/** Returns the links that lead into a zone or out of it. */
	linksAcross(zone: string): ProxiedLink[] {
		return this.links.filter(link => (link.from.plan.zone === zone) !== (link.zone === zone));
	}

	/** Returns the zone of an instance. */
	zoneOf(id: string): string {
		return zones[this.group.instances.findIndex(instance => instance.id === id)];
	}

	/** Resolves to the node that next takes a step towards a promotion, before the node receives the answer. */
	async nextPromotionStep(wanted: PromotionStep): Promise<NodeProcess> {
		return new Promise(resolve => {
			this._stepListener = (step, node) => {
				if (step === wanted) {
					this._stepListener = undefined;
					resolve(node);
				}
			};
		});
	}

	/** Crashes an instance: its connections are reset and it answers nothing. */
	crash(id: string): void {
		this.group.instance(id).isUp = false;
		this._servers.get(id)?.resetConnections();
	}

	/** Starts a replica again under its id with empty memory; it receives the log again after the simulated time `sync`. */
	restartEmpty(id: string): void {
		this.group.restart(id, {syncMs: simulatedTimesMs.sync});
		this.group.instance(id).startedAtMs = Date.now();
		this._servers.get(id)?.resetConnections();
		this.register();
	}

	/** Starts a crashed instance again with its log. */
	restartWithLog(id: string): void {
		this.group.rejoin(id);
		this.register();
	}

	/** Ends everything that was started, and removes the folder with the logs unless `keepsLogs` is set. */
	async stop(keepsLogs: boolean): Promise<void> {
		clearInterval(this._followTimer);
		await Promise.all(this.nodes.map(async node => {
			node.signal('SIGCONT');
			await node.end('SIGKILL');
		}));
		this._platform?.dispose();
		for (const part of [...this._servers.values(), ...this.links.map(({proxy}) => proxy)]) {
			part.dispose();
		}

		if (!keepsLogs) {
			await rm(this._folder, {recursive: true, force: true});
		}
	}

	/** Lets an order take effect, unless one with a later epoch was received meanwhile. */
	private _applyPromotion(id: string, epoch: number): void {
		if (this.ordered.every(other => other.epoch <= epoch)) {
			this.group.promote(id);
			this.register();
		}
	}

	private _formatConfiguration(): string {
		const routes = (['primary', 'aged', 'own'] as const).map(kind => ({
			name: `r-${kind}`, host: databases[kind], kind: routeKinds[kind], service,
			'timeout-ms': 1500, priority: 1, 'max-attempts': 2, 'max-staleness-ms': kind === 'primary' ? 0 : maximumAgeMs,
		}));
		const added = this._addedDatabases.map(name => ({...routes[0], name: `r-${name}`, host: name}));
		return JSON.stringify({
			version: this._configurationVersion, routes: [...routes, ...added], services: [{name: service, 'max-conns': 23}], limits: {'tx-idle-ms': 3000},
			tenants: this.organisations?.map(({name, keys, perS, burst}) => ({
				name, 'api-keys': [...keys], 'rate-per-s': perS, burst,
			})),
		});
	}

	private _notifyPromotionStep(step: PromotionStep, name: string): void {
		const node = this.nodes.find(({plan}) => plan.name === name);
		if (node) {
			this._stepListener?.(step, node);
		}
	}

	/** Makes stale instances follow the primary of a later term once they have been able to reach it for the simulated time `demotion`. */
	private _followNewerPrimaries(): void {
		for (const instance of this.group.instances) {
			const {id, isUp} = instance;
			if (!isUp || !this.group.newerPrimary(instance)) {
				this._staleSinceMs.delete(id);
				continue;
			}

			const sinceMs = this._staleSinceMs.get(id) ?? this._clock.nowMs();
			this._staleSinceMs.set(id, sinceMs);
			if (this._clock.nowMs() - sinceMs >= simulatedTimesMs.demotion) {
				this.group.catchUp(instance);
				this.register();
			}
		}
	}

	private async _addNode(index: number, platformAddress: string): Promise<void> {
		const name = `n${index + 1}`;
		const host = `127.0.31.${index + firstNodeHost}`;
		const [callersPort, readyPort, peersPort] = await freePorts(host, 3);
		this.nodes.push(new NodeProcess({
			name, host, callersPort, readyPort, peersPort, platformAddress, zone: zones[index % zones.length], folder: this._folder,
		}));
	}

	private async _linkNode(node: NodeProcess): Promise<void> {
		await this._link({
			from: node, kind: 'platform', to: 'platform', zone: '',
		}, node.plan.platformAddress);
		for (const [id, address] of this._addresses) {
			await this._link({
				from: node, kind: 'instance', to: id, zone: this.zoneOf(id),
			}, address);
		}

		for (const {plan: {name, zone, host, peersPort}} of this.nodes.filter(other => other !== node)) {
			await this._link({
				from: node, kind: 'node', to: name, zone,
			}, `${host}:${peersPort}`);
		}
	}

	private async _link(link: Omit<ProxiedLink, 'proxy'>, address: string): Promise<void> {
		const [host, port] = address.split(':');
		const proxy = new FaultyProxy({host, port: Number(port)});
		link.from.diversions.set(address, await proxy.listen('127.0.0.1'));
		this.links.push({...link, proxy});
	}
}
