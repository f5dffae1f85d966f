/**
 * Rows in which nodes register themselves. Other programs can write to the table too.
 */
import {z} from 'zod';
import type {PeerNode} from '../services/services.js';
import {parseJsonWith} from '../configuration/problems.js';

/** A host of more cores than any machine has would be preferred over all others. */
const mostCores = 4096;

const highestPort = 65_535;

const nodeSchema = z.object({
	name: z.string().min(1),
	availabilityZone: z.string(),
	/** An IPv4 address or a host name; other texts could select another transport, such as `unix:`. */
	host: z.string().regex(/^[A-Za-z\d][A-Za-z\d.\-]{0,252}$/v),
	port: z.int().min(1).max(highestPort),
	incarnation: z.string(),
	cores: z.number().positive().max(mostCores),
});

/** Returns the node that a row describes; undefined if the row describes none, or another one than its key names. */
export function parseNodeRow(key: string, value: string): PeerNode | undefined {
	return parseJsonWith(nodeSchema, value).toMaybe().filter(({name}) => name === key).extract();
}
