/**
 * Compares the latency through a node with that of a direct connection to the same endpoint, in one run.
 */
import {endpointsOf} from '../src/common/settings/deployment-schema.js';
import {CallerPool} from './caller-pool.js';
import {workload} from './constants.js';
import type {DevelopmentSystem} from './development-system.js';
import type {ProxyClient} from './proxy-client.js';
import {withRetries} from './retry-hint.js';
import {describeMs, percentile, timeMs} from './samples.js';
import type {Scenario} from './scenarios.js';
import type {Reporter} from './types.js';

type Comparison = {
	readonly direct: readonly number[];
	readonly proxied: readonly number[];
};

/** Compares single reads and single writes, and reports the median and 99th percentile of each. */
export async function compareLatency(system: DevelopmentSystem, scenario: Scenario, reporter: Reporter): Promise<void> {
	const {group, table, user} = scenario.written;
	const primary = await system.primaryOf(group);
	if (primary === undefined) {
		throw new Error(`group ${group} has no primary`);
	}

	const pool = new CallerPool(system);
	try {
		const direct = await pool.connectDirectly(primary, group);
		const proxied = await pool.connect(nodeInZoneOf(system, primary), group, user);
		const read = async (client: ProxyClient, name: string): Promise<unknown> =>
			client.query(`SELECT item FROM ${table} WHERE id = $1`, [name]);
		const write = async (client: ProxyClient, name: string): Promise<unknown> =>
			client.query(`INSERT INTO ${table} VALUES ($1, 0)`, [name]);
		report(reporter, 'reads', await alternate(direct, proxied, read));
		report(reporter, 'writes, confirmed by a majority', await alternate(direct, proxied, write));
	} finally {
		await pool.end();
	}
}

/** Alternates between the two connections, so that both are measured under the same conditions. */
async function alternate(
	direct: ProxyClient,
	proxied: ProxyClient,
	operation: (client: ProxyClient, name: string) => Promise<unknown>,
): Promise<Comparison> {
	const samples = {direct: [] as number[], proxied: [] as number[]};
	for (let count = 0; count < workload.latencySamples; count++) {
		samples.direct.push(await timeMs(async () => operation(direct, `direct-${count}`)));
		samples.proxied.push(await timeMs(async () => withRetries(async () => operation(proxied, `proxied-${count}`))));
	}

	return samples;
}

function report(reporter: Reporter, name: string, {direct, proxied}: Comparison): void {
	const addedMs = percentile(proxied, 0.5) - percentile(direct, 0.5);
	reporter.line(`latency of ${name}: direct ${describeMs(direct)}; through a node ${describeMs(proxied)}; added ${addedMs.toFixed(2)} ms at p50`);
}

/** Name of a node in the zone of an endpoint, or of the first node if there is none. */
function nodeInZoneOf(system: DevelopmentSystem, endpoint: string): string {
	const zone = endpointsOf(system.deployment).find(({name}) => name === endpoint)?.availabilityZone;
	const {nodes} = system.deployment;
	return (nodes.find(({availabilityZone}) => availabilityZone === zone) ?? nodes[0]).name;
}
