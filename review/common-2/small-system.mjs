/**
 * A small deployment on loopback: instances and the platform are stand-ins in this process, each
 * node is a process that is started by the command of the deploy file.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync} from 'node:fs';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Left, Right} from 'purify-ts';
import {InstanceServer} from '../../out/standins/line/instance-server.js';
import {LineGroup, registrationOf} from '../../out/standins/line/line-group.js';
import {LinePlatformServer} from '../../out/standins/line/line-platform-server.js';
import {MemoryRowStore} from '../../out/standins/line/memory-row-store.js';
import {listenOn} from '../../out/src/node/listen-on.js';
import {SystemClock} from '../../out/src/node/system-clock.js';

const root = fileURLToPath(new URL('../../', import.meta.url));

/** The command of the deploy file's role. */
const command = ['deploy/start.cjs', '--settings', 'deploy/quetzalstream.jsonc'];

export const service = 'ledger';
export const zones = ['a', 'b', 'c'];

/** Bounds of the small installations, as the users' pages state them. */
export const bounds = {
	graceMs: 6000, drainMs: 7000, configApplyMs: 3000, heartbeatMs: 1200, transactionIdleMs: 3000,
};

/** One node process. */
export class NodeProcess {
	constructor(plan) {
		this.plan = plan;
	}

	get isRunning() {
		return this._child !== undefined && this._child.exitCode === null && this._child.signalCode === null;
	}

	/** Exit code or signal of the ended process. */
	get ended() {
		return this._child?.signalCode ?? this._child?.exitCode;
	}

	async start() {
		const {name, folder, settings} = this.plan;
		const file = path.join(folder, `${name}.conf`);
		await writeFile(file, settings.map(([key, value]) => `${key}=${value}\n`).join(''));
		const log = openSync(path.join(folder, `${name}.log`), 'a');
		this._child = spawn(process.execPath, command, {
			cwd: root,
			stdio: ['ignore', log, log],

			env: {
				PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, QUETZALSTREAM_NODE_FILE: file,
			},
		});
		closeSync(log);
	}

	signal(name) {
		if (this.isRunning) {
			this._child.kill(name);
		}
	}

	/** Waits until the process has ended. */
	async waitForEnd() {
		if (this.isRunning) {
			await once(this._child, 'exit');
		}
	}

	async waitUntilReady() {
		for (let attempt = 0; attempt < 200; attempt++) {
			if (await this.isReady()) {
				return true;
			}

			await pause(100);
		}

		return false;
	}

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
}

/** Starts and owns the stand-ins and the nodes. */
export class SmallSystem {
	clock = new SystemClock();
	store = new MemoryRowStore(this.clock);
	group;
	nodes = [];
	/** Orders to promote, as the platform received them. */
	orders = [];
	/** How long a statement takes at an instance, in milliseconds. */
	workMs = 20;
	/** Routes of the configuration by database. */
	routes;
	/** Whether instances report to the store; they do unless a case stops them. */
	_reporting = new Set();
	_draining = new Set();
	_servers = new Map();
	_addresses = new Map();
	_version = 0;

	constructor({instances = ['i-1', 'i-2', 'i-3'], routes, workMs = 20, subnet = 41}) {
		this.group = new LineGroup(service, instances, this.clock);
		this.routes = routes;
		this.workMs = workMs;
		this.subnet = subnet;
	}

	/** Starts everything; throws if a node does not become ready. */
	async start(nodeCount) {
		process.once('exit', () => {
			for (const node of this.nodes) {
				node.signal('SIGKILL');
			}
		});
		process.once('SIGTERM', () => {
			process.exit(2);
		});
		this.folder = await mkdtemp(path.join(tmpdir(), 'small-system-'));
		for (const instance of this.group.instances) {
			const server = new InstanceServer(instance, this.workMs);
			this._servers.set(instance.id, server);
			this._addresses.set(instance.id, `127.0.0.1:${await server.listen('127.0.0.1')}`);
			this._reporting.add(instance.id);
		}

		this.report();
		this._heartbeat = setInterval(() => {
			this.report();
		}, bounds.heartbeatMs);
		this.configure();
		this._platform = new LinePlatformServer(this.store, {promote: async (name, id, holder, epoch) => this._promote(id, holder, epoch)});
		this._platform.sendsEra = true;
		this.platformAddress = `127.0.0.1:${await this._platform.listen('127.0.0.1')}`;
		for (let index = 0; index < nodeCount; index++) {
			this.nodes.push(new NodeProcess(await this._planNode(index)));
		}

		await Promise.all(this.nodes.map(async node => node.start()));
		const areReady = await Promise.all(this.nodes.map(async node => node.waitUntilReady()));
		if (areReady.includes(false)) {
			throw new Error('a node did not become ready');
		}
	}

	/** Writes the configuration with the next version. */
	configure() {
		this._version += 1;
		this.store.put('op', 'config', JSON.stringify({
			version: this._version,
			routes: this.routes,
			services: [{name: service, 'max-conns': 23}],
			limits: {'tx-idle-ms': bounds.transactionIdleMs},
		}));
	}

	/** Writes the registrations of all instances that report. */
	report() {
		for (const [index, instance] of this.group.instances.entries()) {
			const {id, isUp} = instance;
			if (isUp && this._reporting.has(id)) {
				this.store.put('servers', id, registrationOf(instance, this._addresses.get(id), zones[index % zones.length], this._draining.has(id)));
			}
		}
	}

	server(id) {
		return this._servers.get(id);
	}

	/** Ends the process of an instance: its connections are reset, and its port refuses new ones. */
	async stopInstance(id) {
		this.group.instance(id).isUp = false;
		this._servers.get(id).dispose();
	}

	/** Starts the process of an instance again at its address. */
	async startInstance(id) {
		const instance = this.group.instance(id);
		instance.isUp = true;
		const server = new InstanceServer(instance, this.workMs);
		this._servers.set(id, server);
		const [host, port] = this._addresses.get(id).split(':');
		await listenOn(server._server, {host, port: Number(port)});
	}

	/** Ends everything that was started. */
	async stop() {
		clearInterval(this._heartbeat);
		for (const node of this.nodes) {
			node.signal('SIGCONT');
			node.signal('SIGKILL');
		}

		await Promise.all(this.nodes.map(async node => node.waitForEnd()));
		this._platform?.dispose();
		for (const server of this._servers.values()) {
			server.dispose();
		}

		await rm(this.folder, {recursive: true, force: true});
	}

	async _promote(id, holder, epoch) {
		const instance = this.group.instance(id);
		this.orders.push({id, holder, epoch});
		if (!instance.isUp) {
			return Left({kind: 'invalid', detail: 'the instance does not run'});
		}

		setTimeout(() => {
			this.group.promote(id);
			this.report();
		}, 400);
		return Right(undefined);
	}

	async _planNode(index) {
		const name = `front-${index + 1}`;
		const host = `127.1.${this.subnet}.${index + 2}`;
		const zone = zones[index % zones.length];
		const [callersPort, readyPort, peersPort] = await freePorts(host, 3);
		const settings = [
			['node-id', name],
			['zone', zone],
			['region', 'r'],
			['ip', host],
			['serves', 'frontend'],
			['listen.frontend', `${host}:${callersPort}`],
			['listen.ready', `${host}:${readyPort}`],
			['port-range', `${peersPort},${peersPort}`],
			['platform.addr', this.platformAddress],
			['cloud.addr', this.platformAddress],
			['limits.cpu-share', '0.675'],
			['limits.cores', '1'],
			['heartbeat-ms', String(bounds.heartbeatMs)],
			['bounds.grace-s', String(bounds.graceMs / 1000)],
			['zones.a', 'r'],
			['zones.b', 'r'],
			['zones.c', 'r'],
		];
		return {
			name, host, zone, callersPort, readyPort, peersPort, settings, folder: this.folder,
		};
	}
}

async function freePorts(host, count) {
	const servers = [];
	for (let index = 0; index < count; index++) {
		const server = createServer();
		server.listen({host, port: 0});
		await once(server, 'listening');
		servers.push(server);
	}

	const ports = servers.map(server => server.address().port);
	await Promise.all(servers.map(async server => {
		server.close();
		await once(server, 'close');
	}));
	return ports;
}
