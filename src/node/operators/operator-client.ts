/**
 * Client of the operators' API, for the command line and for programs.
 *
 * A custom certificate authority is given to the process by NODE_EXTRA_CA_CERTS.
 */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {Left, Right, type Either} from 'purify-ts';
import {z} from 'zod';
import type {AuditPage} from '../../common/audit/types.js';
import type {Explanation} from '../../common/configuration/explain.js';
import type {
	Change, ConfigurationDocument, documentSchema, operationsSchema,
} from '../../common/configuration/schema.js';
import type {Preview} from '../../common/configuration/types.js';
import type {OperatorRefusal} from './refusal-responses.js';
import {clientDefaults} from './constants.js';
import type {ChangeReach, SystemStatus} from './types.js';

/** Why there is no result. `noAnswer`: no response came, so it is not known whether the request took effect. */
export type ClientRefusal = OperatorRefusal | {readonly kind: 'noAnswer'; readonly detail: string};

/** Address of the API and credentials of the operator. */
export type OperatorClientOptions = {
	/** Such as `http://10.0.0.1:8080`. */
	readonly url: string;
	readonly user: string;
	readonly password: string;
	readonly timeoutMs?: number;
	/** Maximum number of times that one proposal is sent while its outcome is not known. */
	readonly attempts?: number;
	readonly retryPauseMs?: number;
};

/** The desired change: operations, or the whole document that replaces the configuration. */
export type DesiredChange = {readonly operations: unknown} | {readonly document: unknown};

/** Options of a proposal. The change identifier is generated if none is given. */
export type ProposalOptions = {
	readonly basedOn: number;
	readonly changeId?: string;
	readonly note?: string;
	readonly acknowledged?: readonly string[];
};

/** Which caller, group and kind of access the explanation is for. */
export type ExplainQuery = {
	readonly user: string;
	readonly group: string;
	readonly zone?: string;
	readonly application?: string;
	readonly access?: 'read' | 'write';
};

/** The configuration in force and its version. */
export type VersionedDocument = {readonly version: number; readonly document: ConfigurationDocument};

/** Part of the change log, newest first. */
export type ChangeList = {readonly version: number; readonly changes: readonly Change[]};

/** The API belongs to this program, so a response is only checked to be an object. */
function answerSchema<T>() {
	return z.custom<T>(value => typeof value === 'object' && value !== null);
}

const refusalSchema = answerSchema<OperatorRefusal>().refine(refusal => typeof refusal.kind === 'string');

/** Refusals after which the same proposal may be sent again, since it is applied only once. */
const retryableKinds = new Set<ClientRefusal['kind']>(['noAnswer', 'unknown', 'failed']);

type Query = Readonly<Record<string, string | number | undefined>>;

function withQuery(path: string, query: Query): string {
	const parameters = new URLSearchParams();
	for (const [name, value] of Object.entries(query)) {
		if (value !== undefined) {
			parameters.set(name, String(value));
		}
	}

	return parameters.size === 0 ? path : `${path}?${parameters.toString()}`;
}

/** Talks to the operators' API of one node. */
export class OperatorClient {
	private readonly _options: Required<OperatorClientOptions>;

	constructor(options: OperatorClientOptions) {
		this._options = {...clientDefaults, ...options};
	}

	async status(): Promise<Either<ClientRefusal, SystemStatus>> {
		return this._get('/api/status', {});
	}

	async configuration(): Promise<Either<ClientRefusal, VersionedDocument>> {
		return this._get('/api/configuration', {});
	}

	/** Changes before a number, newest first. */
	async changes(limit?: number, before?: number): Promise<Either<ClientRefusal, ChangeList>> {
		return this._get('/api/changes', {limit, before});
	}

	async audit(limit?: number, before?: string): Promise<Either<ClientRefusal, AuditPage>> {
		return this._get('/api/audit', {limit, before});
	}

	async explain(query: ExplainQuery): Promise<Either<ClientRefusal, Explanation>> {
		return this._get('/api/explain', query);
	}

	async reach(number: number): Promise<Either<ClientRefusal, ChangeReach>> {
		return this._get(`/api/changes/${number}/reach`, {});
	}

	/** What a change would do; proposes nothing. */
	async preview(desiredChange: DesiredChange | {readonly undoOf: number}): Promise<Either<ClientRefusal, Preview>> {
		return this._send('POST', '/api/changes/preview', desiredChange);
	}

	/** Proposes a change; sends it again while its outcome is not known. */
	async propose(desiredChange: DesiredChange, options: ProposalOptions): Promise<Either<ClientRefusal, Change>> {
		return this._propose('/api/changes', {...desiredChange, ...options});
	}

	/** Undoes a change by a new one. */
	async undo(number: number, options: ProposalOptions): Promise<Either<ClientRefusal, Change>> {
		return this._propose(`/api/changes/${number}/undo`, options);
	}

	/** Orders an endpoint of a group to be primary; without one, ends the order. */
	async orderPrimary(group: string, endpoint: string | undefined, options: ProposalOptions): Promise<Either<ClientRefusal, Change>> {
		return this._propose(`/api/groups/${encodeURIComponent(group)}/primary`, {endpoint, ...options});
	}

	private async _propose(path: string, body: ProposalOptions & {readonly endpoint?: string}): Promise<Either<ClientRefusal, Change>> {
		// All attempts carry one change identifier: only the first one to arrive is applied.
		const proposal = {...body, changeId: body.changeId ?? randomUUID()};
		for (let attempt = 1; ; attempt++) {
			const answer = await this._send<{change: Change}>('POST', path, proposal);
			const isOutcomeUnknown = answer.isLeft() && retryableKinds.has(answer.swap().unsafeCoerce().kind);
			if (!isOutcomeUnknown || attempt >= this._options.attempts) {
				return answer.map(({change}) => change);
			}

			await this._pause();
		}
	}

	private async _get<T>(path: string, query: Query): Promise<Either<ClientRefusal, T>> {
		return this._send('GET', withQuery(path, query));
	}

	private async _send<T>(method: 'GET' | 'POST', path: string, body?: unknown): Promise<Either<ClientRefusal, T>> {
		const {url, user, password, timeoutMs} = this._options;
		const credentials = Buffer.from(`${user}:${password}`).toString('base64');
		try {
			const response = await fetch(new URL(path, url), {
				method,
				headers: {authorization: `Basic ${credentials}`, ...(body === undefined ? {} : {'content-type': 'application/json'})},
				body: body === undefined ? undefined : JSON.stringify(body),
				signal: AbortSignal.timeout(timeoutMs),
			});
			const answer: unknown = await response.json();
			return response.ok ? Right(answerSchema<T>().parse(answer)) : Left(refusalSchema.parse(answer));
		} catch (error) {
			return Left({kind: 'noAnswer', detail: describeFailure(error)});
		}
	}

	private async _pause(): Promise<void> {
		await new Promise<void>(resolve => {
			setTimeout(resolve, this._options.retryPauseMs);
		});
	}
}

/** Describes why a request failed; the reason of a failed connection is in the error's cause. */
function describeFailure(error: unknown): string {
	if (!(error instanceof Error)) {
		return String(error);
	}

	return error.cause instanceof Error ? `${error.message}: ${error.cause.message}` : error.message;
}
