/**
 * A small HTTP server for a single path, for readiness or metrics.
 */
import {createServer, type Server, type ServerResponse} from 'node:http';
import {listenOn} from '../listen-on.js';
import type {Disposable} from '../../common/lifecycle/disposable.js';

/** An HTTP response of the server. */
export type StatusResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly text: string;
};

const notFound: StatusResponse = {status: 404, contentType: 'text/plain', text: ''};

/** Answers GET requests at one path, and all other requests with status 404. */
export class StatusServer implements Disposable {
	private readonly _server: Server;

	constructor(path: string, answer: () => StatusResponse | Promise<StatusResponse>) {
		this._server = createServer((request, response) => {
			const isKnown = request.method === 'GET' && request.url?.split('?', 1)[0] === path;
			void this._answer(response, isKnown ? answer : () => notFound);
		});
	}

	/** Listens on an address; resolves with the port, and rejects if the address is in use. */
	async listen(host: string, port: number): Promise<number> {
		return listenOn(this._server, {host, port});
	}

	dispose(): void {
		this._server.close();
		this._server.closeAllConnections();
	}

	private async _answer(response: ServerResponse, answer: () => StatusResponse | Promise<StatusResponse>): Promise<void> {
		const {status, contentType, text} = await answer();
		response.writeHead(status, {'Content-Type': contentType});
		response.end(text);
	}
}
