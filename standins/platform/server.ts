/**
 * The platform stand-in as an HTTP server. It serves DynamoDB's JSON API at `POST /`, S3 objects at
 * `/bucket/key`, and `POST /faults` and `GET /status` for tests. Signatures are not checked.
 */
import {createHash} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import type {Clock, Random} from '../../src/common/services/services.js';
import {defaultTable, maximumBodyBytes} from './constants.js';
import {DynamoError} from './dynamo-error.js';
import {DynamoService} from './dynamo-service.js';
import {FaultInjector, type AccessKind, type Admission} from './fault-injector.js';
import {faultChangeSchema, type InjectedFaults, type PlatformSettings} from './settings.js';

/** An answer of the server. */
type Answer = {
	readonly statusCode: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
};

/** One operation to which faults apply, with its answers in the form of one of the two protocols. */
type PlatformOperation = {
	readonly access: AccessKind;
	readonly count: number;
	readonly run: () => Answer;
	readonly refusals: Readonly<Record<'throttled' | 'refused', Answer>>;
};

type StoredObject = {readonly body: string; readonly etag: string};

const dynamoTargetPrefix = 'DynamoDB_20120810.';
const dynamoErrorPrefix = 'com.amazonaws.dynamodb.v20120810#';

/** Serves one platform on one port. */
export class PlatformServer implements Disposable {
	readonly faults: InjectedFaults;
	private readonly _settings: PlatformSettings;
	private readonly _faultInjector: FaultInjector;
	private readonly _dynamo: DynamoService;
	private readonly _objects = new Map<string, StoredObject>();
	private readonly _server: Server;

	private readonly _handlers: Readonly<Record<Route, (request: IncomingMessage, response: ServerResponse, body: string) => Promise<void>>> = {
		faults: async (_request, response, body) => {
			const change = faultChangeSchema.safeParse(parseJson(body));
			if (!change.success) {
				send(response, jsonAnswer(400, {message: change.error.message}));
				return;
			}

			Object.assign(this.faults, change.data);
			send(response, jsonAnswer(200, this.faults));
		},
		status: async (_request, response) => {
			send(response, jsonAnswer(200, {faults: this.faults, counts: this.counts}));
		},
		dynamo: async (request, response, body) => {
			const operation = this._dynamoOperation(request, body);
			await this._runWithFaults(operation, response);
		},
		objects: async (request, response, body) => {
			await this._runWithFaults(this._objectOperation(request, body), response);
		},
	};

	constructor(settings: PlatformSettings, clock: Clock, random: Random) {
		this._settings = settings;
		this.faults = {...settings.faults};
		this._faultInjector = new FaultInjector(clock, random, [this.faults]);
		this._dynamo = new DynamoService(clock, this.faults, settings.hostsPartition);
		this._dynamo.createTable(defaultTable.name, defaultTable.partitionKey, defaultTable.sortKey);
		this._server = createServer((request, response) => {
			void this._serve(request, response);
		});
	}

	/** Counters of the operations that the platform received. */
	get counts(): Readonly<Record<string, number>> {
		return this._faultInjector.limits.counts;
	}

	/** Starts to listen; resolves to the port. */
	async listen(): Promise<number> {
		await new Promise<void>((resolve, reject) => {
			this._server.once('error', reject);
			this._server.listen(this._settings.port, this._settings.host, resolve);
		});
		const address = this._server.address();
		return typeof address === 'object' && address ? address.port : this._settings.port;
	}

	dispose(): void {
		this._server.close();
		this._server.closeAllConnections();
	}

	private async _serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			const body = await readBody(request);
			const route = routes[`${request.method} ${request.url}`] ?? (request.method === 'POST' ? 'dynamo' : 'objects');
			await this._handlers[route](request, response, body);
		} catch {
			// The client disconnected or its body is too large; no answer can be sent.
			request.socket.destroy();
		}
	}

	private async _runWithFaults(operation: PlatformOperation, response: ServerResponse): Promise<void> {
		const admission: Admission = this._faultInjector.admit(operation.access, operation.count);
		if (admission === 'silent') {
			return;
		}

		if (admission !== 'admitted') {
			send(response, operation.refusals[admission]);
			return;
		}

		await this._faultInjector.wait(this._faultInjector.drawLatencyMs());
		const answer = operation.run();
		if (operation.access === 'write' && this._faultInjector.isAnswerLost()) {
			response.socket?.destroy();
			return;
		}

		send(response, answer);
	}

	private _dynamoOperation(request: IncomingMessage, body: string): PlatformOperation {
		const target = String(request.headers['x-amz-target']);
		try {
			const operation = this._dynamo.prepare(target.replace(dynamoTargetPrefix, ''), body);
			const run = (): Answer => dynamoAnswer(operation.run);
			return {...operation, run, refusals: dynamoRefusals};
		} catch (error) {
			return {
				access: 'read', count: 1, run: () => dynamoErrorAnswer(error), refusals: dynamoRefusals,
			};
		}
	}

	private _objectOperation(request: IncomingMessage, body: string): PlatformOperation {
		const key = decodeURIComponent(new URL(request.url ?? '/', 'http://host').pathname);
		const put = (): Answer => {
			const etag = `"${createHash('md5').update(body).digest('hex')}"`;
			this._objects.set(key, {body, etag});
			return {statusCode: 200, headers: {etag}, body: ''};
		};

		const get = (): Answer => {
			const found = this._objects.get(key);
			return found
				? {statusCode: 200, headers: {etag: found.etag, 'content-type': 'application/json'}, body: found.body}
				: objectError(404, 'NoSuchKey');
		};

		const isWrite = request.method === 'PUT';
		return {
			access: isWrite ? 'write' : 'read', count: 1, run: isWrite ? put : get, refusals: objectRefusals,
		};
	}
}

type Route = 'faults' | 'status' | 'dynamo' | 'objects';

const routes: Readonly<Record<string, Route>> = {
	'POST /faults': 'faults',
	'GET /status': 'status',
};

async function readBody(request: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	let sizeBytes = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		sizeBytes += chunk.length;
		if (sizeBytes > maximumBodyBytes) {
			throw new Error('request body exceeds the maximum size');
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/** Parses JSON; returns undefined, which no schema accepts, if the text is malformed. */
function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function send(response: ServerResponse, answer: Answer): void {
	response.writeHead(answer.statusCode, {...answer.headers, 'content-length': Buffer.byteLength(answer.body)});
	response.end(answer.body);
}

function jsonAnswer(statusCode: number, body: unknown, contentType = 'application/json'): Answer {
	return {statusCode, headers: {'content-type': contentType}, body: JSON.stringify(body)};
}

function dynamoAnswer(run: () => unknown): Answer {
	try {
		return jsonAnswer(200, run(), 'application/x-amz-json-1.0');
	} catch (error) {
		return dynamoErrorAnswer(error);
	}
}

function dynamoErrorAnswer(error: unknown): Answer {
	const known = error instanceof DynamoError ? error : new DynamoError('InternalServerError', String(error), {statusCode: 500});
	const body = {__type: `${dynamoErrorPrefix}${known.type}`, message: known.message, ...known.fields};
	return jsonAnswer(known.statusCode, body, 'application/x-amz-json-1.0');
}

const dynamoRefusals = {
	throttled: dynamoErrorAnswer(new DynamoError('ProvisionedThroughputExceededException', 'rate exceeded')),
	refused: dynamoErrorAnswer(new DynamoError('ServiceUnavailableException', 'outage', {statusCode: 503})),
};

function objectError(statusCode: number, code: string): Answer {
	const body = `<?xml version="1.0" encoding="UTF-8"?><Error><Code>${code}</Code><Message>${code}</Message></Error>`;
	return {statusCode, headers: {'content-type': 'application/xml'}, body};
}

const objectRefusals = {
	throttled: objectError(503, 'SlowDown'),
	refused: objectError(503, 'ServiceUnavailable'),
};
