/**
 * Kills the process of a primary while callers write, and measures for how long no write is
 * acknowledged.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {CallerPool} from './caller-pool.js';
import {retryPauseMs, workload} from './constants.js';
import type {DevelopmentSystem} from './development-system.js';
import type {ProxyClient} from './proxy-client.js';
import type {Scenario} from './scenarios.js';
import type {Reporter} from './types.js';

/** Number of callers that write during the failover, each through another node. */
const writers = 3;

type Writes = {
	/** Ids of acknowledged writes, with the time of the acknowledgement in milliseconds. */
	readonly acknowledged: Map<string, number>;
	/** Number of writes that were answered with an error, by the text of the error. */
	readonly refused: Map<string, number>;
	isOver: boolean;
};

/** Runs one failover; resolves with whether writes resumed and every acknowledged write is present exactly once. */
export async function runFailover(system: DevelopmentSystem, scenario: Scenario, reporter: Reporter): Promise<boolean> {
	const {group, table, user} = scenario.written;
	const primary = await system.primaryOf(group);
	if (primary === undefined) {
		throw new Error(`group ${group} has no primary`);
	}

	const writes: Writes = {acknowledged: new Map(), refused: new Map(), isOver: false};
	const nodes = system.deployment.nodes.map(({name}) => name);
	const running = Array.from({length: writers}, async (_, index) =>
		writeUntilOver(system, {node: nodes[(index * 3) % nodes.length], scenario, name: `failover-${index}`}, writes));
	await waitForAcknowledged(writes, 0, workload.writesAfterFailover);
	reporter.line(`ending the process of ${primary}, the primary of ${group}`);
	const killedAtMs = performance.now();
	await system.kill(primary);
	const hasRecovered = await waitForAcknowledged(writes, killedAtMs + workload.failoverWritePauseMs, workload.writesAfterFailover);
	writes.isOver = true;
	await Promise.all(running);
	if (!hasRecovered) {
		reporter.line(`no write was acknowledged for ${workload.failoverBoundMs} ms`);
		return false;
	}

	reporter.line(`failover gap: ${longestGapMs(writes, killedAtMs).toFixed(0)} ms without an acknowledged write; new primary ${await system.primaryOf(group)}`);
	for (const [text, count] of writes.refused) {
		reporter.line(`${count} writes were answered: ${text}`);
	}

	const pool = new CallerPool(system);
	try {
		const reader = await pool.connect(nodes[0], group, user);
		return await checkWrites(reader, table, writes, reporter);
	} finally {
		await pool.end();
	}
}

/** Restarts the killed endpoint and waits until it is a replica; reports if it does not become one in time. */
export async function restartAndRejoin(system: DevelopmentSystem, endpoint: string, reporter: Reporter): Promise<void> {
	await system.restartEndpoint(endpoint);
	const endMs = performance.now() + workload.failoverBoundMs;
	while (performance.now() < endMs) {
		const status = await system.endpointStatus(endpoint);
		if (status?.role === 'replica') {
			reporter.line(`${endpoint} is back as a replica`);
			return;
		}

		await pause(retryPauseMs);
	}

	reporter.line(`${endpoint} has not rejoined its group as a replica`);
}

async function writeUntilOver(
	system: DevelopmentSystem,
	{node, scenario, name}: {node: string; scenario: Scenario; name: string},
	writes: Writes,
): Promise<void> {
	const {group, table, user} = scenario.written;
	const pool = new CallerPool(system);
	let client: ProxyClient | undefined;
	for (let count = 0; !writes.isOver; count++) {
		const id = `${name}-${count}`;

		try {
			client ??= await pool.connect(node, group, user);
			await client.query(`INSERT INTO ${table} VALUES ($1, 0)`, [id]);
			writes.acknowledged.set(id, performance.now());
		} catch (error) {
			const text = error instanceof Error ? error.message : String(error);
			writes.refused.set(text, (writes.refused.get(text) ?? 0) + 1);
			await client?.end();
			client = undefined;
		}

		await pause(workload.failoverWritePauseMs);
	}

	await pool.end();
}

/** Waits until `count` writes have been acknowledged after a time; resolves with false after a timeout. */
async function waitForAcknowledged(writes: Writes, sinceMs: number, count: number): Promise<boolean> {
	const endMs = performance.now() + workload.failoverBoundMs;
	while (performance.now() < endMs) {
		if ([...writes.acknowledged.values()].filter(atMs => atMs > sinceMs).length >= count) {
			return true;
		}

		await pause(workload.failoverWritePauseMs);
	}

	return false;
}

/** Longest time between two acknowledged writes, from the last one before the kill on. */
function longestGapMs(writes: Writes, killedAtMs: number): number {
	const times = [...writes.acknowledged.values()].toSorted((a, b) => a - b);
	const lastBefore = times.findLastIndex(atMs => atMs <= killedAtMs);
	const gaps = times.slice(lastBefore + 1).map((atMs, index) => atMs - times[lastBefore + index]);
	return Math.max(...gaps);
}

async function checkWrites(reader: ProxyClient, table: string, writes: Writes, reporter: Reporter): Promise<boolean> {
	const {rows} = await reader.query<{id: string}>(`SELECT id FROM ${table}`);
	const present = new Set(rows.map(({id}) => id));
	const lost = [...writes.acknowledged.keys()].filter(id => !present.has(id));
	reporter.line(`${writes.acknowledged.size} acknowledged writes, ${lost.length} lost`);
	return lost.length === 0 && present.size === rows.length;
}
