/**
 * Routes that show the system: status, audit trail, metrics and health.
 */
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import {parseWith} from '../../common/configuration/problems.js';
import {invalidRequest, platformRefusal} from './refusal-responses.js';
import {sendResult} from './configuration-routes.js';
import {auditQuerySchema} from './request-schemas.js';
import type {OperatorServices} from './types.js';

/** Answers the requests that only read. */
export class StatusRoutes {
	private readonly _services: OperatorServices;

	constructor(services: OperatorServices) {
		this._services = services;
	}

	register(server: FastifyInstance): void {
		const {status, metricsSource, readiness} = this._services;
		server.get('/api/status', async () => status.read());
		server.get('/api/audit', async (request, reply) => this._audit(request, reply));
		server.get('/metrics', async (_request, reply) => reply.type(metricsSource.contentType).send(await metricsSource.text()));
		server.get('/healthz', async () => ({isAlive: true}));
		server.get('/readyz', async (_request, reply) => {
			const {isReady, reason} = readiness();
			return reply.status(isReady ? 200 : 503).send({isReady, reason});
		});
	}

	private async _audit(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
		const query = parseWith(auditQuerySchema, request.query);
		if (query.isLeft()) {
			return sendResult(reply, query.mapLeft(problems => invalidRequest(problems)));
		}

		const {limit, before} = query.unsafeCoerce();
		const page = await this._services.audit.read(limit, before);
		return sendResult(reply, page.mapLeft(fault => fault.kind === 'invalid'
			? invalidRequest([{path: '$.before', expected: fault.detail}])
			: platformRefusal(fault)));
	}
}
