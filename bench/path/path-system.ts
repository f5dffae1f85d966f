/**
 * The system of the path benchmark: three nodes, each in its own zone, and one group with all
 * endpoints in the zone of the first node.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {DevelopmentSystem} from '../../demo/development-system.js';
import {placeDeployment} from '../../demo/placement.js';
import {ProxyClient} from '../../demo/proxy-client.js';
import {deploymentSchema, type Deployment} from '../../src/common/settings/deployment-schema.js';
import {rowCount, tableStatements} from '../load/constants.js';
import type {LoadTarget} from '../load/types.js';
import type {BenchContext} from '../types.js';
import {pathAmounts, pathSystem} from './constants.js';

const zones = {home: 'zone-a', entry: 'zone-b', holder: 'zone-c'} as const;
const endpoints = ['bench-1', 'bench-2', 'bench-3'] as const;

/** Credentials with which the nodes connect to the endpoints. */
const endpointUser = {user: 'quetzalstream', password: 'bench'} as const;

/** The measured processes and the targets through which they are reached. */
export class PathSystem {
	private readonly _system: DevelopmentSystem;
	private readonly _token: string;

	constructor(system: DevelopmentSystem, token: string) {
		this._system = system;
		this._token = token;
	}

	/** Target for connections through a node; with a session token by default. */
	over(node: string, hasToken = true): LoadTarget {
		const {host, callersPort: port} = this._system.nodeAddresses(node);
		return {
			host, port, group: pathSystem.group, ...pathSystem.user, ...(hasToken && {token: this._token}),
		};
	}

	/** Target for direct connections to the primary or to a replica. */
	direct(role: 'primary' | 'replica'): LoadTarget {
		const {host, port} = this._system.endpointAddresses(endpointOf(role));
		return {
			host, port, group: pathSystem.group, ...endpointUser,
		};
	}

	/** Process id of a node or an endpoint. */
	pidOf(name: string): number {
		return this._system.pidOf(name);
	}

	/** Process ids of all endpoints. */
	get endpointPids(): readonly number[] {
		return endpoints.map(name => this.pidOf(name));
	}

	async stop(): Promise<string[]> {
		return this._system.stop();
	}

	/** Kills every process. */
	dispose(): void {
		this._system.dispose();
	}
}

/** Starts all processes and fills the table; rejects if a process does not start. */
export async function startPathSystem({folder, note}: BenchContext): Promise<PathSystem> {
	const deployment = makeDeployment();
	const placement = await placeDeployment(deployment);
	const reporter = {line: note, progress: () => undefined};
	const system = new DevelopmentSystem(deployment, placement, {folder, reporter});
	for (const node of system.plan.nodes) {
		node.callers.maximumConnections = pathSystem.maximumConnections;
	}

	try {
		await system.start();
		return new PathSystem(system, await fill(system));
	} catch (error) {
		system.dispose();
		throw error;
	}
}

/** Name of the primary or of a replica; nothing fails here, so that the first endpoint stays primary. */
function endpointOf(role: 'primary' | 'replica'): string {
	return endpoints[role === 'primary' ? 0 : 1];
}

function makeDeployment(): Deployment {
	const {home, entry, holder, group, user, endpoint} = pathSystem;
	return deploymentSchema.parse({
		name: 'bench',
		region: 'bench',
		zones: Object.values(zones),
		delays: {betweenZonesMs: 0, callersMs: 0},
		nodes: [
			{name: home, availabilityZone: zones.home},
			{name: entry, availabilityZone: zones.entry},
			{name: holder, availabilityZone: zones.holder},
		],
		services: [{
			name: 'bench',
			groups: [{name: group, endpoints: endpoints.map(name => ({name, availabilityZone: zones.home}))}],
		}],
		endpoint: {...endpoint, ...endpointUser},
		callers: [user],
		operators: [{user: 'bench', password: 'bench'}],
		tokenKey: 'token-key-of-the-benchmarks',
		rules: [],
	});
}

/** Creates the table and its rows; resolves with a session token that includes these writes. */
async function fill(system: DevelopmentSystem): Promise<string> {
	const {host, callersPort: port} = system.nodeAddresses(pathSystem.home);
	const client = new ProxyClient({host, port}, pathSystem.group, pathSystem.user);
	// The node that started first was the home of all endpoints until the others joined.
	await pause(pathAmounts.settleMs);
	await client.connect();
	const [create, insert] = tableStatements;
	await client.query(create);
	for (let id = 0; id < rowCount; id++) {
		await client.query(insert, [id, `item ${id}`, id]);
	}

	await client.end();
	return client.token ?? '';
}
