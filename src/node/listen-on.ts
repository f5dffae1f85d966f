/**
 * `Server.listen` as a promise.
 */
import type {ListenOptions, Server} from 'node:net';

/** Listens on a port, or on any free one for port 0; resolves with the port, rejects if the address can't be used. */
export async function listenOn(server: Server, options: ListenOptions): Promise<number> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(options, () => {
			server.off('error', reject);
			resolve();
		});
	});
	const address = server.address();
	return typeof address === 'object' && address ? address.port : options.port ?? 0;
}
