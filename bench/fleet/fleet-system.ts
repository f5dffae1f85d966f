/**
 * One scenario's processes: the platform stand-in, the crowd of other nodes, the endpoints
 * of the groups that the measured node serves, and that node.
 */
import {Buffer} from 'node:buffer';
import {mkdir, readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {z} from 'zod';
import {placeDeployment} from '../../demo/placement.js';
import {ProcessSet} from '../../demo/process-set.js';
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import {deploymentSchema} from '../../src/common/settings/deployment-schema.js';
import type {NodeAddresses, ListenAddresses} from '../../src/common/settings/deployment-plan.js';
import type {SettingsInput} from '../../src/common/settings/settings-schema.js';
import {subjectName} from './constants.js';
import {
	hostOf, operationsFor, planEndpoints, planHosts,
} from './fleet-plan.js';
import {memoryFileVariable} from './memory-hook.js';
import {PlatformAccess} from './platform-access.js';
import type {FleetEndpoint, FleetHost, Scenario} from './types.js';

const programs = {
	platform: new URL('../../standins/platform/main.js', import.meta.url),
	endpoints: new URL('../../standins/endpoint/host.js', import.meta.url),
	node: new URL('../../src/node/cli/main.js', import.meta.url),
	crowd: new URL('crowd/main.js', import.meta.url),
} as const;

/** Environment variable from which Node.js reads options. */
const nodeOptionsVariable = 'NODE_OPTIONS';

/** Credentials of callers, operators and endpoints alike. */
const credentials = {user: 'fleet', password: 'fleet'} as const;

const memorySchema = z.object({heapUsed: z.number(), rss: z.number()});

/** Time for the node to collect garbage and write its memory usage to the file. */
const memoryWaitMs = 700;

/** The processes of one scenario. */
export class FleetSystem implements Disposable {
	readonly access: PlatformAccess;
	readonly servedEndpoints: number;
	private readonly _scenario: Scenario;
	private readonly _folder: string;
	private readonly _placement: ListenAddresses;
	private readonly _hosts: readonly FleetHost[];
	private readonly _endpoints: readonly FleetEndpoint[];
	private readonly _processes = new ProcessSet();

	constructor(scenario: Scenario, folder: string, placement: ListenAddresses) {
		this._scenario = scenario;
		this._folder = folder;
		this._placement = placement;
		this._hosts = planHosts(scenario);
		const planned = planEndpoints(scenario, this._hosts);
		this.servedEndpoints = planned.servedCount;
		this._endpoints = planned.endpoints.map(endpoint => {
			const addresses = placement.endpoints.get(endpoint.name);
			return addresses ? {...endpoint, host: addresses.host, port: addresses.port} : endpoint;
		});
		this.access = new PlatformAccess(this._platformUrl);
	}

	/** Process id of the measured node. */
	get subjectPid(): number {
		return this._processes.get(subjectName).pid;
	}

	/** Addresses on which the measured node listens. */
	get subjectAddresses(): NodeAddresses {
		return this._placement.nodes.get(subjectName)!;
	}

	/** Address and credentials with which callers reach the measured node. */
	get callers(): {readonly host: string; readonly port: number; readonly user: string; readonly password: string} {
		const {host, callersPort: port} = this.subjectAddresses;
		return {host, port, ...credentials};
	}

	/** URL and authorization header with which operators reach the measured node. */
	get operators(): {readonly url: string; readonly authorization: string} {
		const {host, operatorsPort} = this.subjectAddresses;
		const {user, password} = credentials;
		return {url: `http://${host}:${operatorsPort}`, authorization: `Basic ${Buffer.from(`${user}:${password}`).toString('base64')}`};
	}

	/** Starts everything; resolves when the measured node is ready. */
	async start(): Promise<void> {
		const {platform} = this._placement;
		const rates = {writesPerSecond: 1_000_000, readsPerSecond: 1_000_000};
		await this._start('platform', programs.platform, {...platform, faults: rates});
		await this.access.propose(operationsFor(this._endpoints));
		await this._startEndpoints();
		const {host: peerHost, peersPort: peerPort} = this.subjectAddresses;
		await this._start('crowd', programs.crowd, {
			platformUrl: this._platformUrl,
			hosts: this._hosts.slice(1),
			subject: hostOf(this._hosts[0], {peerHost, peerPort}),
			comparisonsPerS: 1,
			linkUseMs: this._scenario.linkUseMs,
		});
		await this._startSubject();
	}

	/** Memory of the measured node after a garbage collection, in bytes. */
	async memory(): Promise<z.infer<typeof memorySchema>> {
		process.kill(this.subjectPid, 'SIGUSR2');
		await pause(memoryWaitMs);
		return memorySchema.parse(JSON.parse(await readFile(this._memoryFile, 'utf8')));
	}

	dispose(): void {
		this.access.dispose();
		this._processes.dispose();
	}

	private get _platformUrl(): string {
		const {host, port} = this._placement.platform;
		return `http://${host}:${port}`;
	}

	private get _memoryFile(): string {
		return path.join(this._folder, 'memory.json');
	}

	private async _start(name: string, program: URL, settings: unknown, options: readonly string[] = []): Promise<void> {
		await this._processes.start({
			name, program, settings, options, folder: this._folder,
		});
	}

	/** Starts all endpoints in one process, since what they use is not measured. */
	private async _startEndpoints(): Promise<void> {
		const served = this._endpoints.filter(({name}) => this._placement.endpoints.has(name));
		const files: string[] = [];
		for (const [index, endpoint] of served.entries()) {
			const peers = served.filter(({group, name}) => group === endpoint.group && name !== endpoint.name);
			const file = path.join(this._folder, `${endpoint.name}.json`);
			files.push(file);
			await writeFile(file, JSON.stringify({
				...endpoint,
				...credentials,
				slots: 3,
				connections: 20,
				seed: index + 1,
				initialPrimary: `${endpoint.group}-0`,
				peers: peers.map(({name, host, port}) => ({name, host, port})),
			}));
		}

		if (files.length > 0) {
			// The process set passes the last settings file itself; the options name the others before it.
			const last = files.pop()!;
			const options = ['--fresh', ...files.flatMap(file => ['--settings', file])];
			await this._start('endpoints', programs.endpoints, JSON.parse(await readFile(last, 'utf8')), options);
		}
	}

	private async _startSubject(): Promise<void> {
		const hook = fileURLToPath(new URL('memory-hook.js', import.meta.url));
		await this._processes.start({
			name: subjectName,
			program: programs.node,
			settings: this._subjectSettings(),
			options: ['serve'],
			environment: {[nodeOptionsVariable]: `--import ${hook}`, [memoryFileVariable]: this._memoryFile},
			folder: this._folder,
		});
	}

	private _subjectSettings(): SettingsInput {
		const {host, callersPort, peersPort, operatorsPort} = this.subjectAddresses;
		const {availabilityZone, region} = this._hosts[0];
		const {listReadPerHostMs} = this._scenario;
		return {
			node: {name: subjectName, availabilityZone, region},
			callers: {
				host,
				port: callersPort,
				authentication: {method: 'md5', users: [credentials]},
				tokenKey: 'token-key-of-the-benchmarks',
				maximumConnections: 4000,
			},
			peers: {host, port: peersPort},
			operators: {host, port: operatorsPort, credentials: [credentials]},
			platform: {
				tableEndpointUrl: this._platformUrl,
				objectEndpointUrl: this._platformUrl,
				accessKeyId: 'development',
				secretAccessKey: 'development',
			},
			endpoints: credentials,
			...(listReadPerHostMs !== undefined && {tuning: {membership: {readIntervalMs: 1, readIntervalPerHostMs: listReadPerHostMs}}}),
		};
	}
}

/** Allocates listen addresses for the processes of a scenario. */
export async function allocateFleetAddresses(scenario: Scenario): Promise<ListenAddresses> {
	const hosts = planHosts(scenario);
	const {endpoints, servedGroups} = planEndpoints(scenario, hosts);
	const served = endpoints.filter(({group}) => servedGroups.includes(group));
	const groups = servedGroups.map(name => ({
		name,
		endpoints: served.filter(({group}) => group === name).map(endpoint => ({name: endpoint.name, availabilityZone: endpoint.availabilityZone})),
	}));
	const zones = [...new Set([hosts[0], ...served].map(({availabilityZone}) => availabilityZone))];
	const [{name, availabilityZone}] = hosts;
	return placeDeployment(deploymentSchema.parse({
		name: 'fleet',
		region: 'fleet',
		zones,
		delays: {betweenZonesMs: 0, callersMs: 0},
		nodes: [{name, availabilityZone}],
		services: [{name: 'fleet', groups: groups.length > 0 ? groups : [{name: 'none', endpoints: [{name: 'none', availabilityZone}]}]}],
		endpoint: {
			...credentials, slots: 3, connections: 20, connectMs: 10, serviceMs: 0, lag: {p50Ms: 2, p99Ms: 5},
		},
		callers: [credentials],
		operators: [credentials],
		tokenKey: 'token-key-of-the-benchmarks',
		rules: [],
	}));
}

/** Creates the folder of one scenario and resolves with its path. */
export async function createScenarioFolder(scenario: Scenario, parent: string): Promise<string> {
	const folder = path.join(parent, scenario.name.replaceAll(/\W+/gv, '-'));
	await mkdir(folder, {recursive: true});
	return folder;
}
