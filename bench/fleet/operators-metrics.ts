/**
 * Reads a node's own counters through its operators' port.
 */
import {exportedName} from '../../src/node/observability/prom-metrics.js';
import type {FleetSystem} from './fleet-system.js';

/** Number of times that the measured node has read the host list. */
export async function listReadsOf({operators}: FleetSystem): Promise<number> {
	const response = await fetch(`${operators.url}/metrics`, {headers: {authorization: operators.authorization}});
	const text = await response.text();
	const lines = text.split('\n').filter(line => line.startsWith(exportedName('hostListReadsTotal')));
	let sum = 0;
	for (const line of lines) {
		sum += Number(line.slice(line.lastIndexOf(' ')));
	}

	return sum;
}
