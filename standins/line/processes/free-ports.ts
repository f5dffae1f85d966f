/**
 * Free ports for the node processes of a test system.
 */
import {createServer} from 'node:net';
import {listenOn} from '../../../src/node/listen-on.js';

/** Returns free ports of an address. Each is kept open until all are chosen, so that they differ. */
export async function freePorts(host: string, count: number): Promise<number[]> {
	const servers = Array.from({length: count}, () => createServer());
	const ports = await Promise.all(servers.map(async server => listenOn(server, {host, port: 0})));
	for (const server of servers) {
		server.close();
	}

	return ports;
}
