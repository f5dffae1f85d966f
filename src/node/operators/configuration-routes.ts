/**
 * Routes that read and change the configuration.
 */
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import {Right, type Either} from 'purify-ts';
import {explain} from '../../common/configuration/explain.js';
import {
	diffModels, fromDocument, toDocument, type ConfigurationModel,
} from '../../common/configuration/model.js';
import {parseWith, type Problem} from '../../common/configuration/problems.js';
import type {Change, ConfigurationDocument, Operation} from '../../common/configuration/schema.js';
import type {ProposalRefusal} from '../../common/configuration/types.js';
import {
	invalidRequest, platformRefusal, sendRefusal, type OperatorRefusal,
} from './refusal-responses.js';
import {summariseReach} from './reach.js';
import {
	changePathSchema, changesQuerySchema, explainQuerySchema, groupPathSchema, orderPrimarySchema, previewSchema, proposeSchema, undoSchema,
} from './request-schemas.js';
import type {OperatorServices} from './types.js';

/** Sends the result of a request, or the refusal. */
export function sendResult<T>(reply: FastifyReply, result: Either<OperatorRefusal, T>, status = 200): FastifyReply {
	return result.isRight()
		? reply.status(status).send(result.unsafeCoerce())
		: sendRefusal(reply, result.swap().unsafeCoerce());
}

type DesiredChange = {readonly operations?: readonly Operation[]; readonly document?: ConfigurationDocument};

/** The operations of a desired change; a document is compared with the configuration in force. */
function operationsOf(desiredChange: DesiredChange, model: ConfigurationModel): Either<readonly Problem[], readonly Operation[]> {
	return desiredChange.document === undefined
		? Right(desiredChange.operations ?? [])
		: fromDocument(desiredChange.document).map(wanted => diffModels(model, wanted));
}

/** Name of the rule by which the page and the command line order a group's primary. */
export function orderRuleName(group: string): string {
	return `primary.${group}`;
}

/** The operation that orders an endpoint of a group to be primary, or ends the order. */
function orderOperation(group: string, endpoint: string | undefined): Operation {
	const name = orderRuleName(group);
	return endpoint === undefined
		? {op: 'remove', kind: 'rule', name}
		: {
			op: 'put',
			kind: 'rule',
			value: {
				name,
				order: 0,
				selector: {
					endpoints: [{label: 'name', operator: 'equals', value: endpoint}],
					groups: [{label: 'name', operator: 'equals', value: group}],
				},
				effect: {kind: 'orderPrimary'},
			},
		};
}

/** Answers the routes under `/api` that concern the configuration. */
export class ConfigurationRoutes {
	private readonly _services: OperatorServices;

	constructor(services: OperatorServices) {
		this._services = services;
	}

	register(server: FastifyInstance): void {
		server.get('/api/configuration', async () => {
			const {version, model} = this._services.history;
			return {version, document: toDocument(model)};
		});
		server.get('/api/changes', async (request, reply) => this._list(request, reply));
		server.post('/api/changes/preview', async (request, reply) => this._preview(request, reply));
		server.post('/api/changes', async (request, reply) => this._propose(request, reply));
		server.post('/api/changes/:number/undo', async (request, reply) => this._undo(request, reply));
		server.get('/api/changes/:number/reach', async (request, reply) => this._reach(request, reply));
		server.post('/api/groups/:name/primary', async (request, reply) => this._orderPrimary(request, reply));
		server.get('/api/explain', async (request, reply) => this._explain(request, reply));
	}

	private async _list(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
		const query = parseWith(changesQuerySchema, request.query);
		if (query.isLeft()) {
			return sendResult(reply, query.mapLeft(problems => invalidRequest(problems)));
		}

		const {before, limit} = query.unsafeCoerce();
		const {history, changeLog} = this._services;
		const end = Math.min(before ?? Infinity, history.version + 1);
		const found = await changeLog.changesAfter(Math.max(0, end - 1 - limit));
		return sendResult(reply, found
			.map(changes => ({version: history.version, changes: changes.filter(({number}) => number < end).toReversed()}))
			.mapLeft(fault => platformRefusal(fault)));
	}

	private async _preview(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
		const body = parseWith(previewSchema, request.body);
		if (body.isLeft()) {
			return sendResult(reply, body.mapLeft(problems => invalidRequest(problems)));
		}

		const desiredChange = body.unsafeCoerce();
		if ('undoOf' in desiredChange) {
			return sendResult(reply, await this._services.undo.preview(desiredChange.undoOf));
		}

		return sendResult(reply, operationsOf(desiredChange, this._services.history.model)
			.chain(operations => this._services.changeLog.preview(operations))
			.mapLeft(problems => invalidRequest(problems)));
	}

	private async _propose(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
		const body = parseWith(proposeSchema, request.body);
		if (body.isLeft()) {
			return sendResult(reply, body.mapLeft(problems => invalidRequest(problems)));
		}

		const {operations: _operations, document, ...proposal} = body.unsafeCoerce();
		if (document !== undefined && proposal.basedOn > this._services.history.version) {
			// This node lags. A document must be compared with the version that its author had seen, never with an older one.
			await this._services.changeLog.catchUp();
		}

		const operations = operationsOf(body.unsafeCoerce(), this._services.history.model);
		if (operations.isLeft()) {
			return sendResult(reply, operations.mapLeft(problems => invalidRequest(problems)));
		}

		const result = await this._services.changeLog.propose({...proposal, author: request.operator, operations: operations.unsafeCoerce()});
		return this._sendChange(reply, result);
	}

	private async _undo(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
		const path = parseWith(changePathSchema, request.params);
		const body = parseWith(undoSchema, request.body);
		if (path.isLeft() || body.isLeft()) {
			return sendResult(reply, path.chain(() => body).mapLeft(problems => invalidRequest(problems)));
		}

		const {number} = path.unsafeCoerce();
		const result = await this._services.undo.propose(number, {...body.unsafeCoerce(), author: request.operator});
		return this._sendChange(reply, result);
	}

	private async _orderPrimary(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
		const path = parseWith(groupPathSchema, request.params);
		const body = parseWith(orderPrimarySchema, request.body);
		if (path.isLeft() || body.isLeft()) {
			return sendResult(reply, path.chain(() => body).mapLeft(problems => invalidRequest(problems)));
		}

		const {name} = path.unsafeCoerce();
		const {endpoint, ...proposal} = body.unsafeCoerce();
		const problem = this._orderProblem(name, endpoint);
		if (problem) {
			return sendRefusal(reply, invalidRequest([problem]));
		}

		const result = await this._services.changeLog.propose({
			...proposal, author: request.operator, operations: [orderOperation(name, endpoint)],
		});
		return this._sendChange(reply, result);
	}

	private _orderProblem(group: string, endpoint: string | undefined): Problem | undefined {
		const {model} = this._services.history;
		if (!model.group.has(group)) {
			return {path: '$.name', expected: `expected an existing group, but there is no "${group}"`};
		}

		if (endpoint === undefined) {
			return model.rule.has(orderRuleName(group)) ? undefined : {path: '$.endpoint', expected: `expected an endpoint, as there is no rule "${orderRuleName(group)}" to end`};
		}

		return model.endpoint.get(endpoint)?.group === group ? undefined : {path: '$.endpoint', expected: `expected an endpoint of group "${group}"`};
	}

	private async _reach(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
		const path = parseWith(changePathSchema, request.params);
		if (path.isLeft()) {
			return sendResult(reply, path.mapLeft(problems => invalidRequest(problems)));
		}

		return reply.send(summariseReach(path.unsafeCoerce().number, await this._services.reach.nodes()));
	}

	private async _explain(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
		const {version, model} = this._services.history;
		const result = parseWith(explainQuerySchema, request.query).chain(({user, group, zone, application, access}) => explain(version, model, {
			caller: {
				user, applicationName: application, availabilityZone: zone, labels: {},
			},
			group,
			access,
		}));
		return sendResult(reply, result.mapLeft(problems => invalidRequest(problems)));
	}

	private _sendChange(reply: FastifyReply, result: Either<ProposalRefusal, Change>): FastifyReply {
		return sendResult(reply, result.map(change => ({change})), 201);
	}
}
