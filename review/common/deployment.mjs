/**
 * A small deployment on loopback for the cases: node processes with the command of the deploy file,
 * and the project's stand-ins for the instances and the platform in this process.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {get} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Right} from 'purify-ts';
import {InstanceServer} from '../../out/standins/line/instance-server.js';
import {LineGroup, registrationOf} from '../../out/standins/line/line-group.js';
import {LinePlatformServer} from '../../out/standins/line/line-platform-server.js';
import {MemoryRowStore} from '../../out/standins/line/memory-row-store.js';
import {freePorts} from '../../out/standins/line/processes/free-ports.js';
import {SystemClock} from '../../out/src/node/system-clock.js';
import {ZoneNetwork} from './zone-network.mjs';

const repository = fileURLToPath(new URL('../..', import.meta.url));

/** Interval at which instances write their registrations. */
const heartbeatMs = 1200;

/** Number of intervals without a report after which a registration is removed. */
const silentIntervals = 3;

/** Time after which a run is ended without a result. */
const longestRunMs = 110_000;

/** Time in which nodes read the registrations of the others. */
const learnMs = 2500;

/** The command of the deploy file that runs a node. */
function nodeCommand() {
	const [, command] = /^run = "(.*)"$/mv.exec(readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8'));
	return command.split(' ');
}

/** One node process. */
export class DeployedNode {
	constructor(plan, folder) {
		this.plan = plan;
		this._folder = folder;
		this._output = '';
	}

	get isRunning() {
		return this._child !== undefined && this._child.exitCode === null && this._child.signalCode === null;
	}

	/** What the process has written to its standard output and standard error. */
	get output() {
		return this._output;
	}

	async start() {
		const {name, settings} = this.plan;
		const file = path.join(this._folder, `${name}.conf`);
		await writeFile(file, settings.map(([key, value]) => `${key}=${value}\n`).join(''));
		const [program, ...words] = nodeCommand();
		const {PATH, HOME, LANG} = process.env;
		this._child = spawn(program, words, {
			cwd: repository,
			stdio: ['ignore', 'pipe', 'pipe'],
			env: {
				PATH, HOME, LANG, QUETZALSTREAM_NODE_FILE: file,
			},
		});
		for (const stream of [this._child.stdout, this._child.stderr]) {
			stream.on('data', chunk => {
				this._output += chunk;
			});
		}
	}

	signal(name) {
		if (this.isRunning) {
			this._child.kill(name);
		}
	}

	async end(name) {
		if (this.isRunning) {
			const exited = once(this._child, 'exit');
			this._child.kill(name);
			await exited;
		}
	}

	/** Whether the node reports that it is ready. */
	async isReady() {
		const {host, readyPort} = this.plan;
		return new Promise(resolve => {
			const request = get({
				host, port: readyPort, path: '/-/readyz', timeout: 500,
			}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve(false);
			});
		});
	}

	async waitUntilReady(timeoutMs) {
		const endMs = performance.now() + timeoutMs;
		while (performance.now() < endMs) {
			if (await this.isReady()) {
				return true;
			}

			await pause(50);
		}

		return false;
	}
}

/** Starts and ends everything of one run. */
export class Deployment {
	/**
	 * `nodes` holds the zone of each node, `instances` the zone of each instance, the primary first;
	 * `databases` are routes, by database.
	 */
	constructor({nodes, instances, databases, slots = 4, connections = 56, extraSettings = [], promotionMs = 1000}) {
		this.nodes = [];
		this.orders = [];
		this._zones = [...new Set([...nodes, ...instances])];
		this._nodeZones = nodes;
		this._instanceZones = instances;
		this._databases = databases;
		this._connections = connections;
		this._extraSettings = extraSettings;
		this._promotionMs = promotionMs;
		this._reportedAtMs = new Map();
		this.network = new ZoneNetwork(this._zones);
		this._clock = new SystemClock();
		this.store = new MemoryRowStore(this._clock);
		this.group = new LineGroup('svc', instances.map((zone, index) => `i-${index + 1}`), this._clock);
		for (const instance of this.group.instances) {
			instance.slots = slots;
			instance.maximumConnections = connections;
			instance.startedAtMs = Date.now();
		}

		this.servers = new Map();
		this._addresses = new Map();
		this._platforms = [];
		this._platformAddresses = new Map();
	}

	async start() {
		for (const signal of ['SIGINT', 'SIGTERM']) {
			process.once(signal, async () => this._abandon());
		}

		setTimeout(async () => this._abandon(), longestRunMs).unref();
		this._folder = await mkdtemp(path.join(tmpdir(), 'quetzalstream-review-'));
		for (const instance of this.group.instances) {
			const server = new InstanceServer(instance, 2);
			this.servers.set(instance.id, server);
			const address = `127.0.0.1:${await server.listen('127.0.0.1')}`;
			this._addresses.set(instance.id, address);
			await this.network.add(address, this.zoneOf(instance));
		}

		this.register();
		this._heartbeat = setInterval(() => {
			this.register();
			this._removeSilentRegistrations();
		}, heartbeatMs / 4);
		this.store.put('op', 'config', this._configuration());
		for (const zone of this._zones) {
			await this._startPlatform(zone);
		}

		for (const [index, zone] of this._nodeZones.entries()) {
			this.nodes.push(await this._createNode(index, zone));
		}

		await Promise.all(this.nodes.map(async node => node.start()));
		const areReady = await Promise.all(this.nodes.map(async node => node.waitUntilReady(30_000)));
		if (areReady.includes(false)) {
			throw new Error('a node did not become ready');
		}

		await pause(learnMs);
		this.network.openNodeLinks();
	}

	zoneOf({id}) {
		return this._instanceZones[this.group.instances.findIndex(instance => instance.id === id)];
	}

	/** Writes the registrations that are due: of all instances that run and reach the store, at each heartbeat and after a change of role. */
	register() {
		for (const instance of this.group.instances.filter(({isUp}) => isUp)) {
			const reported = this._reportedAtMs.get(instance.id);
			const isDue = !reported || reported.isPrimary !== instance.isPrimary || performance.now() - reported.atMs >= heartbeatMs;
			if (isDue && !this.network.isCutFromPlatform(this.zoneOf(instance))) {
				this._reportedAtMs.set(instance.id, {atMs: performance.now(), isPrimary: instance.isPrimary});
				this.store.put('servers', instance.id, registrationOf(instance, this._addresses.get(instance.id), this.zoneOf(instance)));
			}
		}
	}

	/** Writes the registration of an instance at once, as it does when it starts. */
	registerNow(instance) {
		this._reportedAtMs.delete(instance.id);
		this.register();
	}

	/** Waits until a time in milliseconds after the last report of an instance. */
	async waitAfterReport(instance, afterMs) {
		const {atMs: seenMs} = this._reportedAtMs.get(instance.id);
		while (this._reportedAtMs.get(instance.id).atMs === seenMs) {
			await pause(5);
		}

		await pause(afterMs);
	}

	/** Cuts a zone off from the other zones and from the platform. */
	cutZone(zone) {
		this.network.cut(zone);
		const isInside = instance => this.zoneOf(instance) === zone;
		const primary = this.group.instances.find(({isPrimary}) => isPrimary);
		for (const instance of this.group.instances) {
			const isApart = isInside(instance) !== isInside(primary);
			instance.isReplicationBlocked = isApart;
			// An order of the platform does not reach the zone, nor does what instances outside of it learn.
			instance.missesPromotions = isInside(instance);
		}
	}

	_removeSilentRegistrations() {
		for (const [id, {atMs}] of this._reportedAtMs) {
			if (performance.now() - atMs > silentIntervals * heartbeatMs) {
				this._reportedAtMs.delete(id);
				this.store.put('servers', id, undefined);
			}
		}
	}

	async _startPlatform(zone) {
		const promotions = {promote: async (service, id, holder, epoch) => this._promote(id, holder, epoch)};
		const platform = new LinePlatformServer(this.network.storeSeenFrom(zone, this.store), promotions);
		// The pages name no header with an era of the store.
		platform.sendsEra = false;
		const address = `127.0.0.1:${await platform.listen('127.0.0.1')}`;
		this._platforms.push(platform);
		this._platformAddresses.set(zone, await this.network.addPlatform(zone, address));
	}

	async stop() {
		clearInterval(this._heartbeat);
		await Promise.all(this.nodes.map(async node => {
			node.signal('SIGCONT');
			await node.end('SIGKILL');
		}));
		for (const part of [...this._platforms, ...this.servers.values(), this.network]) {
			part.dispose();
		}

		if (this._folder) {
			await rm(this._folder, {recursive: true, force: true});
		}
	}

	/** Ends everything when the run is interrupted or takes too long. */
	async _abandon() {
		await this.stop();
		process.exit(2); // eslint-disable-line unicorn/no-process-exit -- the exit code is the result
	}

	async _promote(id, holder, epoch) {
		this.orders.push({id, holder, epoch});
		setTimeout(() => {
			this.group.promote(id);
			this.register();
		}, this._promotionMs);
		return Right(undefined);
	}

	async _createNode(index, zone) {
		const name = `frontend-${zone}-${index + 1}`;
		// The metrics port is the same on all nodes, so that each run needs addresses of its own.
		const host = `127.0.${32 + (process.pid % 200)}.${index + 2}`;
		const [callersPort, readyPort, peersPort] = await freePorts(host, 3);
		const platformAddress = this._platformAddresses.get(zone);
		await this.network.addNode(`${host}:${peersPort}`, zone);
		const settings = [
			['node-id', name],
			['zone', zone],
			['region', 'r'],
			['ip', host],
			['listen.frontend', `${host}:${callersPort}`],
			['listen.ready', `${host}:${readyPort}`],
			['port-range', `${peersPort},${peersPort}`],
			['platform.addr', platformAddress],
			['cloud.addr', platformAddress],
			['limits.cpu-share', '0.675'],
			['limits.cores', '1'],
			['bounds.grace-s', '6'],
			...this._zones.map(other => [`zones.${other}`, 'r']),
			...this._extraSettings,
		];
		return new DeployedNode({
			name, zone, host, callersPort, readyPort, settings,
		}, this._folder);
	}

	_configuration() {
		return JSON.stringify({
			version: 1,
			routes: Object.entries(this._databases).map(([host, route]) => ({
				name: `r-${host}`, host, prefix: '/', priority: 1, service: 'svc', 'max-attempts': 2, public: false, ...route,
			})),
			services: [{name: 'svc', 'max-conns': this._connections, 'sync-replicas': 0}],
			limits: {'tx-idle-ms': 3000},
		});
	}
}
