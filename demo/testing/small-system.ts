/**
 * A small system of processes for tests: four nodes in three availability zones in front of one
 * group of three endpoints.
 */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {deploymentSchema, endpointsOf} from '../../src/common/settings/deployment-schema.js';
import {OperatorClient} from '../../src/node/operators/operator-client.js';
import type {EndpointStatus, GroupStatus} from '../../src/node/operators/types.js';
import {DevelopmentSystem} from '../development-system.js';
import {placeDeployment} from '../placement.js';
import {ProxyClient} from '../proxy-client.js';

const zones = ['a', 'b', 'c'];

/** Name of the only group. */
export const group = 'stock';

const deployment = deploymentSchema.parse({
	name: 'small',
	region: 'r',
	zones,
	delays: {betweenZonesMs: 0, callersMs: 0},
	nodes: ['a-1', 'a-2', 'b-1', 'c-1'].map(name => ({name, availabilityZone: name.slice(0, 1)})),
	services: [{name: 'shop', groups: [{name: group, endpoints: zones.map(zone => ({name: `${group}-${zone}`, availabilityZone: zone}))}]}],
	endpoint: {
		user: 'quetzalstream', password: 'endpoint', slots: 3, connections: 20, connectMs: 2, serviceMs: 0, lag: {p50Ms: 5, p99Ms: 50},
	},
	callers: [{user: 'counter', password: 'counter'}],
	operators: [{user: 'operator', password: 'operator'}],
	tokenKey: 'key-of-the-small-system',
});

/** Timeout for something that has to happen; long, since it only guards against a test that hangs. */
const livenessBoundMs = 20_000;

/** Pause between two polls. */
const pollMs = 20;

/** A running system with the operations that tests need. */
export class SmallSystem {
	readonly system: DevelopmentSystem;
	private readonly _folder: string;
	private readonly _clients: ProxyClient[] = [];

	constructor(system: DevelopmentSystem, folder: string) {
		this.system = system;
		this._folder = folder;
	}

	/** Stops all processes; resolves with a message for each one that did not exit cleanly. */
	async stop(): Promise<readonly string[]> {
		await Promise.all(this._clients.map(async client => client.end()));
		const failures = await this.system.stop();
		this.system.dispose();
		await rm(this._folder, {recursive: true, force: true});
		return failures;
	}

	/** Connects through a node. */
	async connect(node: string): Promise<ProxyClient> {
		const {host, callersPort} = this.system.nodeAddresses(node);
		const client = new ProxyClient({host, port: callersPort}, group, deployment.callers[0]);
		this._clients.push(client);
		await client.connect();
		return client;
	}

	/** The group as a node's status shows it; an empty group if the node does not answer. */
	async status(node = 'b-1'): Promise<GroupStatus> {
		const client = new OperatorClient({url: this.system.operatorsUrl(node), ...deployment.operators[0]});
		const status = await client.status();
		return status.map(({groups}) => groups[0]).orDefault({
			name: group, service: '', term: 0, primary: '', endpoints: [],
		});
	}

	/** Resolves with the primary once the endpoints' own reports agree with a node's status; throws after a timeout. */
	async primary(): Promise<EndpointStatus & {readonly home: string}> {
		return eventually('a primary with a home', async () => {
			const {primary, endpoints} = await this.status();
			const found = endpoints.find(({name}) => name === primary);
			const isAgreed = primary !== '' && await this.system.primaryOf(group) === primary;
			return isAgreed && found?.home !== undefined ? {...found, home: found.home} : undefined;
		});
	}

	/** Restarts a node whose process has ended. */
	async restartNode(name: string): Promise<void> {
		const settings = this.system.plan.nodes.find(({node}) => node.name === name);
		if (settings) {
			await this.system.startNode(settings);
		}
	}

	/** Restarts an endpoint whose process has ended, and waits until it is a replica. */
	async restartEndpoint(name: string): Promise<void> {
		await this.system.restartEndpoint(name);
		await eventually(`${name} as a replica`, async () => {
			const status = await this.system.endpointStatus(name);
			return status?.role === 'replica' ? status : undefined;
		});
	}

	/** Names of the nodes. */
	get nodes(): readonly string[] {
		return deployment.nodes.map(({name}) => name);
	}

	/** Names of the endpoints. */
	get endpoints(): readonly string[] {
		return endpointsOf(deployment).map(({name}) => name);
	}
}

/** Starts all processes; resolves once every node accepts writes. */
export async function startSmallSystem(): Promise<SmallSystem> {
	// The exit handler kills the other processes, but Node.js runs it only on an orderly exit, not on SIGTERM.
	process.once('SIGTERM', () => {
		process.exit(1);
	});
	const folder = await mkdtemp(path.join(tmpdir(), 'quetzalstream-test-'));
	const reporter = {line: () => undefined, progress: () => undefined};
	const system = new DevelopmentSystem(deployment, await placeDeployment(deployment), {
		folder, reporter, plan: {node: {timings: {drainMs: 10_000}, invariants: {isFatal: true}}},
	});
	const small = new SmallSystem(system, folder);
	try {
		await system.start();
		return small;
	} catch (error) {
		await small.stop();
		throw error;
	}
}

/** Polls until a value is there and resolves with it; throws after a timeout. */
export async function eventually<T>(what: string, poll: () => Promise<T | undefined>): Promise<T> {
	const endMs = Date.now() + livenessBoundMs;
	for (let last = ''; ;) {
		try {
			const found = await poll();
			if (found !== undefined) {
				return found;
			}
		} catch (error) {
			last = String(error);
		}

		if (Date.now() > endMs) {
			throw new Error(`${what} did not come within ${livenessBoundMs} ms; last error: ${last}`);
		}

		await pause(pollMs);
	}
}
