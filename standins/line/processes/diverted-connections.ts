/**
 * Makes a node's connections go over proxies of the stand-ins. Nodes tell each other their own
 * addresses, so a proxy before a node is only in the way of others if they connect elsewhere.
 */
import {Socket} from 'node:net';
import process from 'node:process';
import {z} from 'zod';

/** Environment variable with the port on 127.0.0.1 for each address, as JSON. */
export const diversionsVariable = 'QUETZALSTREAM_STANDIN_DIVERSIONS';

const portsSchema = z.record(z.string(), z.number());

type Target = {readonly host?: string; readonly port?: number | string};

/** Diverts every connection that this process opens from now on to an address with a proxy. */
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
			// Node's own functions hand over one list that they have normalised and marked.
			first[0] = divert(first[0] as Target); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- what Node documents for its own functions
		} else if (typeof first === 'object' && first !== null) {
			given[0] = divert(first);
		}

		Reflect.apply(connect, this, given);
		return this;
	};
}
