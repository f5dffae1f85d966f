/**
 * Allocates free loopback addresses for the processes of a deployment. Each process has its own
 * address in the range of its zone, so that a zone can be recognised by its addresses.
 */
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';
import {endpointsOf, type Deployment} from '../src/common/settings/deployment-schema.js';
import type {ListenAddresses} from '../src/common/settings/deployment-plan.js';

const platformHost = '127.0.0.1';

/** Third byte of the first zone's addresses: 127.0.10.x. */
const firstZoneRange = 10;

/** Allocates addresses whose ports are free at the moment; other processes could still take them. */
export async function placeDeployment(deployment: Deployment): Promise<ListenAddresses> {
	const servers: Server[] = [];
	try {
		const hosts = new ZoneHosts(deployment.zones);
		const freePort = async (host: string): Promise<number> => {
			const server = createServer();
			servers.push(server);
			server.listen(0, host);
			await once(server, 'listening');
			const address = server.address();
			return typeof address === 'object' && address ? address.port : 0;
		};

		const nodes = await Promise.all(deployment.nodes.map(async ({name, availabilityZone}) => {
			const host = hosts.next(availabilityZone);
			const [callersPort, peersPort, operatorsPort] = await Promise.all([freePort(host), freePort(host), freePort(host)]);
			return [name, {
				host, callersPort, peersPort, operatorsPort,
			}] as const;
		}));
		const endpoints = await Promise.all(endpointsOf(deployment).map(async ({name, availabilityZone}) => {
			const host = hosts.next(availabilityZone);
			const [port, controlPort] = await Promise.all([freePort(host), freePort(host)]);
			return [name, {host, port, controlPort}] as const;
		}));
		return {
			platform: {host: platformHost, port: await freePort(platformHost)},
			nodes: new Map(nodes),
			endpoints: new Map(endpoints),
		};
	} finally {
		// The ports stay open until all are chosen, so that none is chosen twice.
		for (const server of servers) {
			server.close();
		}
	}
}

/** Allocates a new address in a zone at each call. */
class ZoneHosts {
	private readonly _zones: readonly string[];
	private readonly _counts = new Map<string, number>();

	constructor(zones: readonly string[]) {
		this._zones = zones;
	}

	next(zone: string): string {
		const count = (this._counts.get(zone) ?? 0) + 1;
		this._counts.set(zone, count);
		return `127.0.${firstZoneRange + this._zones.indexOf(zone)}.${count}`;
	}
}
