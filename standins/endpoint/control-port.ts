/**
 * HTTP port that injects faults and reports the status: `POST /faults`, `GET /status`.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import {faultSchema, type FaultCommand} from './faults.js';

/** The endpoint that the port controls. */
export type ControlledEndpoint = {
	readonly status: unknown;
	applyFaultCommand(command: FaultCommand): void;
};

type ControlResponse = {
	readonly code: number;
	readonly body: unknown;
};

/** HTTP server on a port of its own, which injected faults do not affect. */
export class ControlPort implements Disposable {
	private readonly _endpoint: ControlledEndpoint;
	private readonly _server: Server;
	private _port = 0;

	constructor(endpoint: ControlledEndpoint) {
		this._endpoint = endpoint;
		this._server = createServer((request, response) => {
			void this._handleRequest(request, response);
		});
	}

	get port(): number {
		return this._port;
	}

	async listen(host: string, port: number): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this._server.once('error', reject);
			this._server.listen(port, host, resolve);
		});
		const address = this._server.address();
		this._port = typeof address === 'object' && address ? address.port : port;
	}

	dispose(): void {
		this._server.close();
		this._server.closeAllConnections();
	}

	private async _handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {code, body} = await this._route(request);
		response.writeHead(code, {'content-type': 'application/json'});
		response.end(JSON.stringify(body));
	}

	private async _route(request: IncomingMessage): Promise<ControlResponse> {
		const route = `${request.method} ${request.url}`;
		if (route === 'GET /status') {
			return {code: 200, body: this._endpoint.status};
		}

		return route === 'POST /faults' ? this._handleFaultCommand(request) : {code: 404, body: {error: 'unknown route; expected GET /status or POST /faults'}};
	}

	private async _handleFaultCommand(request: IncomingMessage): Promise<ControlResponse> {
		try {
			const command = faultSchema.parse(JSON.parse(await readText(request)));
			this._endpoint.applyFaultCommand(command);
			return {code: 200, body: this._endpoint.status};
		} catch (error) {
			return {code: 400, body: {error: String(error)}};
		}
	}
}

async function readText(request: IncomingMessage): Promise<string> {
	request.setEncoding('utf8');
	let text = '';
	for await (const chunk of request) {
		text += String(chunk);
	}

	return text;
}
