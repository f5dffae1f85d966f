/**
 * Counts the reads that replicas and primaries answered, from the metrics of all nodes.
 */
import {Buffer} from 'node:buffer';
import type {DevelopmentSystem} from './development-system.js';

/** Number of answered reads by the role of the endpoint. */
export type ReadCounts = {
	readonly replica: number;
	readonly primary: number;
};

const linePattern = /^quetzalstream_answered_requests_total\{(?<labels>[^\}]*)\} (?<value>\d+)$/gmv;

/** Sums the counts of all nodes; undefined if a node does not return its metrics. */
export async function readCounts(system: DevelopmentSystem): Promise<ReadCounts | undefined> {
	try {
		const texts = await Promise.all(system.deployment.nodes.map(async ({name}) => fetchMetrics(system, name)));
		const counts = texts.map(text => countReads(text));
		return {
			replica: counts.reduce((sum, {replica}) => sum + replica, 0),
			primary: counts.reduce((sum, {primary}) => sum + primary, 0),
		};
	} catch {
		return undefined;
	}
}

/** Number of reads that one node answered, from the text of its metrics. */
export function countReads(text: string): ReadCounts {
	const counts = {replica: 0, primary: 0};
	for (const {groups: {labels = '', value = ''} = {}} of text.matchAll(linePattern)) {
		const role = /role="(?<role>replica|primary)"/v.exec(labels)?.groups?.role;
		if (labels.includes('access="read"') && (role === 'replica' || role === 'primary')) {
			counts[role] += Number(value);
		}
	}

	return counts;
}

async function fetchMetrics(system: DevelopmentSystem, node: string): Promise<string> {
	const [{user, password}] = system.deployment.operators;
	const response = await fetch(`${system.operatorsUrl(node)}/metrics`, {
		headers: {authorization: `Basic ${Buffer.from(`${user}:${password}`).toString('base64')}`},
	});
	if (!response.ok) {
		throw new Error(`request for the metrics of ${node} failed with HTTP status ${response.status}`);
	}

	return response.text();
}
