/**
 * The system of the path benchmark: three nodes in zones of their own, with all endpoints
 * of one group in the zone of the first.
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

/** Credentials of the product towards the endpoints. */
const endpointUser = {user: 'quetzalstream', password: 'bench'} as const;

/** The processes under measurement and the ways to them. */
export class PathSystem {
	private readonly _system: DevelopmentSystem;
	private readonly _token: string;

	constructor(system: DevelopmentSystem, token: string) {
		this._system = system;
		this._token = token;
	}

	/** The way over a node; with a token unless told otherwise. */
	over(node: string, hasToken = true): LoadTarget {
		const {host, callersPort: port} = this._system.nodePlace(node);
		return {
			host, port, group: pathSystem.group, ...pathSystem.user, ...(hasToken && {token: this._token}),
		};
	}

	/** The direct way to the primary, or to a replica. */
	direct(role: 'primary' | 'replica'): LoadTarget {
		const {host, port} = this._system.endpointPlace(endpointOf(role));
		return {
			host, port, group: pathSystem.group, ...endpointUser,
		};
	}

	/** Process of a node or an endpoint. */
	pidOf(name: string): number {
		return this._system.pidOf(name);
	}

	/** Processes of all endpoints. */
	get endpointPids(): readonly number[] {
		return endpoints.map(name => this.pidOf(name));
	}

	async stop(): Promise<string[]> {
		return this._system.stop();
	}

	/** Ends every process at once. */
	dispose(): void {
		this._system.dispose();
	}
}

/** Starts everything and fills the table. */
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

/** Nothing fails here, so that the first primary stays. */
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

/** Makes the table and its rows; resolves with a token that includes them. */
async function fill(system: DevelopmentSystem): Promise<string> {
	const {host, callersPort: port} = system.nodePlace(pathSystem.home);
	const client = new ProxyClient({host, port}, pathSystem.group, pathSystem.user);
	// Whichever node started first was home of everything until now.
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
