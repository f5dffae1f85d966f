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

const repository = fileURLToPath(new URL('../..', import.meta.url));

/** Interval at which instances write their registrations. */
const heartbeatMs = 1200;

/** Time from an order to the promotion's effect. */
const promotionMs = 1000;

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
	constructor({nodes, instances, databases, slots = 4, connections = 56, extraSettings = []}) {
		this.nodes = [];
		this.orders = [];
		this._zones = [...new Set([...nodes, ...instances])];
		this._nodeZones = nodes;
		this._instanceZones = instances;
		this._databases = databases;
		this._connections = connections;
		this._extraSettings = extraSettings;
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
	}

	async start() {
		this._folder = await mkdtemp(path.join(tmpdir(), 'quetzalstream-review-'));
		for (const instance of this.group.instances) {
			const server = new InstanceServer(instance, 2);
			this.servers.set(instance.id, server);
			this._addresses.set(instance.id, `127.0.0.1:${await server.listen('127.0.0.1')}`);
		}

		this.register();
		this._heartbeat = setInterval(() => {
			this.register();
		}, heartbeatMs);
		this.store.put('op', 'config', this._configuration());
		this._platform = new LinePlatformServer(this.store, {promote: async (service, id, holder, epoch) => this._promote(id, holder, epoch)});
		// The pages name no header with an era of the store.
		this._platform.sendsEra = false;
		const platformAddress = `127.0.0.1:${await this._platform.listen('127.0.0.1')}`;
		for (const [index, zone] of this._nodeZones.entries()) {
			this.nodes.push(await this._createNode(index, zone, platformAddress));
		}

		await Promise.all(this.nodes.map(async node => node.start()));
		const areReady = await Promise.all(this.nodes.map(async node => node.waitUntilReady(30_000)));
		if (areReady.includes(false)) {
			throw new Error('a node did not become ready');
		}
	}

	/** Writes the registrations of all instances that run. */
	register() {
		for (const [index, instance] of this.group.instances.entries()) {
			if (instance.isUp) {
				this.store.put('servers', instance.id, registrationOf(instance, this._addresses.get(instance.id), this._instanceZones[index]));
			}
		}
	}

	async stop() {
		clearInterval(this._heartbeat);
		await Promise.all(this.nodes.map(async node => {
			node.signal('SIGCONT');
			await node.end('SIGKILL');
		}));
		this._platform?.dispose();
		for (const server of this.servers.values()) {
			server.dispose();
		}

		if (this._folder) {
			await rm(this._folder, {recursive: true, force: true});
		}
	}

	async _promote(id, holder, epoch) {
		this.orders.push({id, holder, epoch});
		setTimeout(() => {
			this.group.promote(id);
			this.register();
		}, promotionMs);
		return Right(undefined);
	}

	async _createNode(index, zone, platformAddress) {
		const name = `frontend-${zone}-${index + 1}`;
		const host = `127.0.31.${index + 2}`;
		const [callersPort, readyPort, peersPort] = await freePorts(host, 3);
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
