/**
 * Diverts a node's connections to proxies of the stand-ins. Nodes announce their own addresses to
 * each other, so other nodes use a proxy in front of a node only if their connections are diverted.
 */
import {Socket} from 'node:net';
import process from 'node:process';
import {z} from 'zod';

/** Environment variable that holds, as JSON, the port of the proxy on 127.0.0.1 for each diverted address. */
export const diversionsVariable = 'QUETZALSTREAM_STANDIN_DIVERSIONS';

const portsSchema = z.record(z.string(), z.number());

type Target = {readonly host?: string; readonly port?: number | string};

/** Diverts every connection that this process opens from now on to an address that has a proxy. */
export function divertConnections(): void {
	const ports = new Map(Object.entries(portsSchema.parse(JSON.parse(process.env[diversionsVariable] ?? '{}'))));
	const {connect} = Socket.prototype;
	const divert = (target: Target): Target => {
		const port = ports.get(`${target.host}:${target.port}`);
		return port === undefined ? target : {...target, host: '127.0.0.1', port};
	};

	Socket.prototype.connect = function (this: Socket, ...given: unknown[]): Socket {
		const [first] = given;
		if (Array.isArray(first)) {
			// Node's own functions pass one array of arguments that they have normalised and marked.
			first[0] = divert(first[0] as Target); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- Node's own functions put the options first
		} else if (typeof first === 'object' && first !== null) {
			given[0] = divert(first);
		}

		Reflect.apply(connect, this, given);
		return this;
	};
}
