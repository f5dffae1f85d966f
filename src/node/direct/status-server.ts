/**
 * A small HTTP server for one path: readiness, or metrics.
 */
import {createServer, type Server, type ServerResponse} from 'node:http';
import {listenOn} from '../listen-on.js';
import type {Disposable} from '../../common/lifecycle/disposable.js';

/** An answer to a question. */
export type StatusResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly text: string;
};

const notFound: StatusResponse = {status: 404, contentType: 'text/plain', text: ''};

/** Answers GET at one path, and 404 elsewhere. */
export class StatusServer implements Disposable {
	private readonly _server: Server;

	constructor(path: string, answer: () => StatusResponse | Promise<StatusResponse>) {
		this._server = createServer((request, response) => {
			const isKnown = request.method === 'GET' && request.url?.split('?', 1)[0] === path;
			void this._answer(response, isKnown ? answer : () => notFound);
		});
	}

	/** Listens; rejects when the address is taken. */
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
