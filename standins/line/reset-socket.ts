/**
 * Ends a connection as a host does that lost it.
 */
import type {Socket} from 'node:net';

/** Resets a socket. One that has ended its own side cannot be reset, and would stay open for ever. */
export function resetSocket(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}
