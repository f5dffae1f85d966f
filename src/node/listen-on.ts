/**
 * Listening, as a promise.
 */
import type {ListenOptions, Server} from 'node:net';

/** Listens; port 0 takes a free one. Resolves with the port, rejects when the address can't be had. */
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
