/**
 * A small system of processes for tests: four nodes in three availability zones before one
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

/** The only group. */
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

/** Longest wait for something that has to come; nothing is measured by it. */
const livenessBoundMs = 20_000;

/** Pause between two looks. */
const lookMs = 20;

/** A system and what tests ask of it. */
export class SmallSystem {
	readonly system: DevelopmentSystem;
	private readonly _folder: string;
	private readonly _clients: ProxyClient[] = [];

	constructor(system: DevelopmentSystem, folder: string) {
		this.system = system;
		this._folder = folder;
	}

	/** Stops all processes; resolves with complaints, none when all ended well. */
	async stop(): Promise<readonly string[]> {
		await Promise.all(this._clients.map(async client => client.end()));
		const complaints = await this.system.stop();
		this.system.dispose();
		await rm(this._folder, {recursive: true, force: true});
		return complaints;
	}

	/** Connects through a node. */
	async connect(node: string): Promise<ProxyClient> {
		const {host, callersPort} = this.system.nodePlace(node);
		const client = new ProxyClient({host, port: callersPort}, group, deployment.callers[0]);
		this._clients.push(client);
		await client.connect();
		return client;
	}

	/** The group as a node's status shows it. */
	async status(node = 'b-1'): Promise<GroupStatus> {
		const client = new OperatorClient({url: this.system.operatorsUrl(node), ...deployment.operators[0]});
		const status = await client.status();
		return status.map(({groups}) => groups[0]).orDefault({
			name: group, service: '', term: 0, primary: '', endpoints: [],
		});
	}

	/** The primary, once the endpoints agree with a node's status. */
	async primary(): Promise<EndpointStatus & {readonly home: string}> {
		return eventually('a primary with a home', async () => {
			const {primary, endpoints} = await this.status();
			const found = endpoints.find(({name}) => name === primary);
			const isAgreed = primary !== '' && await this.system.primaryOf(group) === primary;
			return isAgreed && found?.home !== undefined ? {...found, home: found.home} : undefined;
		});
	}

	/** Starts a node again that was ended. */
	async restartNode(name: string): Promise<void> {
		const settings = this.system.plan.nodes.find(({node}) => node.name === name);
		if (settings) {
			await this.system.startNode(settings);
		}
	}

	/** Starts an endpoint again that was ended, and waits until it follows. */
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

/** Starts all processes and waits until every node takes writes. */
export async function startSmallSystem(): Promise<SmallSystem> {
	// The end of this process ends the others, but only if it is an orderly one.
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

/** Looks until something is there; throws when it does not come. */
export async function eventually<T>(what: string, look: () => Promise<T | undefined>): Promise<T> {
	const endMs = Date.now() + livenessBoundMs;
	for (let last = ''; ;) {
		try {
			const found = await look();
			if (found !== undefined) {
				return found;
			}
		} catch (error) {
			last = String(error);
		}

		if (Date.now() > endMs) {
			throw new Error(`${what} did not come within ${livenessBoundMs} ms; last error: ${last}`);
		}

		await pause(lookMs);
	}
}
