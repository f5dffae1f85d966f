/**
 * The operators' HTTP server: API, page, metrics and health.
 */
import fastify, {
	type FastifyError, type FastifyInstance, type FastifyReply, type FastifyRequest,
} from 'fastify';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import {invalidRequest, sendRefusal, type OperatorRefusal} from './refusal-responses.js';
import {ConfigurationRoutes} from './configuration-routes.js';
import {operatorServerDefaults} from './constants.js';
import {OperatorAuthentication} from './operator-authentication.js';
import {registerPage} from './page-files.js';
import {StatusRoutes} from './status-routes.js';
import type {OperatorServerOptions, OperatorServices} from './types.js';

declare module 'fastify' {
	/* eslint-disable @typescript-eslint/consistent-type-definitions -- a merged declaration must be an interface. */
	interface FastifyRequest {
		/** Name of the authenticated operator; empty on open routes. */
		operator: string;
	}
	/* eslint-enable @typescript-eslint/consistent-type-definitions */
}

/** Routes for the platform's load balancer, which has no credentials. */
const openPaths = new Set(['/healthz', '/readyz']);

const metricsPath = '/metrics';

/** Refusals by the framework's error code. */
const refusalsByCode: Readonly<Record<string, (error: FastifyError) => OperatorRefusal>> = {
	/* eslint-disable @typescript-eslint/naming-convention -- the framework's codes */
	FST_ERR_CTP_BODY_TOO_LARGE: () => ({kind: 'tooLarge', detail: 'expected a smaller body'}),
	FST_ERR_CTP_INVALID_MEDIA_TYPE: () => ({kind: 'unsupportedType', detail: 'expected content-type: application/json'}),
	FST_ERR_CTP_EMPTY_JSON_BODY: () => invalidRequest([{path: '$', expected: 'expected a JSON body'}]),
	FST_ERR_CTP_INVALID_JSON_BODY: ({message}) => invalidRequest([{path: '$', expected: `expected JSON: ${message}`}]),
	FST_ERR_CTP_INVALID_CONTENT_LENGTH: () => invalidRequest([{path: '$', expected: 'expected as many bytes as content-length says'}]),
	/* eslint-enable @typescript-eslint/naming-convention */
};

/** Whether a browser sent the request on behalf of another site. */
function isCrossSite({headers}: FastifyRequest): boolean {
	const site = headers['sec-fetch-site'];
	if (site !== undefined && site !== 'same-origin' && site !== 'none') {
		return true;
	}

	const {origin, host} = headers;
	return origin !== undefined && !(URL.canParse(origin) && new URL(origin).host === host);
}

/** Serves operators until disposed. */
export class OperatorServer implements Disposable {
	private readonly _services: OperatorServices;
	private readonly _options: Required<Omit<OperatorServerOptions, 'tls'>>;
	private readonly _authentication: OperatorAuthentication;
	private readonly _server: FastifyInstance;

	constructor(services: OperatorServices, options: OperatorServerOptions) {
		this._services = services;
		this._options = {...operatorServerDefaults, ...options};
		this._authentication = new OperatorAuthentication(services.clock, options.credentials);
		this._server = this._create(options);
		this._registerHooks();
		new ConfigurationRoutes(services).register(this._server);
		new StatusRoutes(services).register(this._server);
		registerPage(this._server);
	}

	/** Starts to listen; resolves with the port. */
	async listen(host: string, port: number): Promise<number> {
		await this._server.listen({host, port});
		const address = this._server.server.address();
		return typeof address === 'object' && address !== null ? address.port : port;
	}

	/** The underlying server, for requests that are injected without a socket. */
	get server(): FastifyInstance {
		return this._server;
	}

	/** Stops accepting requests; resolves once those in progress are answered. */
	async close(): Promise<void> {
		await this._server.close();
	}

	dispose(): void {
		void this._server.close();
		this._server.server.closeAllConnections();
	}

	private _create({tls}: OperatorServerOptions): FastifyInstance {
		const common = {
			bodyLimit: this._options.bodyLimitBytes,
			requestTimeout: this._options.requestTimeoutMs,
			forceCloseConnections: 'idle',
			logger: false,
		} as const;
		// The type of an instance depends on its kind of server, which does not matter to the routes.
		return tls === undefined ? fastify(common) : fastify({...common, https: {...tls}});
	}

	private _registerHooks(): void {
		const {metrics} = this._services;
		this._server.decorateRequest('operator', '');
		this._server.addHook('onRequest', async (request, reply) => this._authorize(request, reply));
		this._server.addHook('onResponse', async (_request, reply) => {
			metrics.count('operatorRequestsTotal', {status: String(reply.statusCode)});
		});
		this._server.setNotFoundHandler(async (request, reply) => sendRefusal(reply, {kind: 'notFound', detail: `there is no ${request.method} ${request.url.slice(0, 200)}`}));
		this._server.setErrorHandler<FastifyError>(async (error, _request, reply) => this._sendError(error, reply));
	}

	/** Checks whether a request is allowed; if not, sends a refusal, which ends the request. */
	private async _authorize(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply | undefined> {
		const [path = ''] = request.url.split('?', 1);
		if (openPaths.has(path) || (path === metricsPath && this._options.isMetricsOpen)) {
			return undefined;
		}

		const result = await this._authentication.authenticate(request.headers.authorization, request.ip);
		if (result.isLeft()) {
			const refusal = result.swap().unsafeCoerce();
			if (request.headers.authorization !== undefined) {
				this._services.log.event('operatorRefused', {address: request.ip, kind: refusal.kind});
			}

			return sendRefusal(reply, refusal);
		}

		request.operator = result.unsafeCoerce();
		return request.method !== 'GET' && isCrossSite(request)
			? sendRefusal(reply, {kind: 'crossSite', detail: 'expected a request from this page or from a program'})
			: undefined;
	}

	private async _sendError(error: FastifyError, reply: FastifyReply): Promise<FastifyReply> {
		const known = refusalsByCode[error.code];
		if (known) {
			return sendRefusal(reply, known(error));
		}

		if (error.statusCode !== undefined && error.statusCode < 500) {
			return sendRefusal(reply, invalidRequest([{path: '$', expected: error.message}]));
		}

		this._services.log.event('operatorServerFailed', {error: error.stack ?? error.message});
		return sendRefusal(reply, {kind: 'failed', detail: 'the request failed with an internal error; see the log of the node'});
	}
}
