/**
 * Numeric network addresses, as endpoints register them: no names are resolved.
 */
import {isIPv4} from 'node:net';

/** An address and a port. */
export type Address = {
	readonly host: string;
	readonly port: number;
};

const addressPattern = /^([\d.]+):(\d{1,5})$/v;
const highestPort = 65_535;

/** Parses `host:port` with an IPv4 address; undefined if the text is not one. */
export function parseAddress(text: string): Address | undefined {
	const match = addressPattern.exec(text);
	if (!match || !isIPv4(match[1])) {
		return undefined;
	}

	const port = Number(match[2]);
	return port >= 1 && port <= highestPort ? {host: match[1], port} : undefined;
}
