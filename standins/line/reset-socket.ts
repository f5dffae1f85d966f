/**
 * Ends a connection abruptly, as a host does that has lost its state.
 */
import type {Socket} from 'node:net';

/** Resets a socket. A socket that has ended its writable side cannot be reset and would stay open for ever, so it is destroyed. */
export function resetSocket(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}
