/**
 * Serves the platform's store and its promotion call over HTTP.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {json} from 'node:stream/consumers';
import type {Either} from 'purify-ts';
import {z} from 'zod';
import {
	dutyHeaders, eraHeader, promotePath, storePaths,
} from '../../platform/names.js';
import {counterOf, storeVersion} from '../../src/common/store/store-version.js';
import type {PlatformFault, PromotionCalls, StoredRows} from '../../src/common/services/services.js';
import {listenOn} from '../../src/node/listen-on.js';
import type {MemoryRowStore} from './memory-row-store.js';

const transactionSchema = z.object({
	'expected-rev': z.array(z.object({
		table: z.string(), part: z.string(), key: z.string(), ver: z.number(),
	})).length(1),
	writes: z.array(z.object({value: z.base64()})).length(1),
});

const promotionSchema = z.object({service: z.string(), id: z.string()});

const statuses: Record<PlatformFault['kind'], number> = {
	conditionFailed: 412, throttled: 429, invalid: 400, unavailable: 503,
};

/** Statuses of promotions: an order that is not carried out conflicts with the state of the group. */
const promotionStatuses = {...statuses, invalid: 409};

type Answer = {readonly status: number; readonly body: unknown};

/** Serves all calls on one port. */
export class LinePlatformServer {
	/** Maximum number of rows in one answer to a read. */
	maximumPageRows = 500;
	/** Whether answers carry the era of the store. */
	sendsEra = true;
	/** Called for each read after its rows were read and before it is answered. */
	onRead: (() => void) | undefined;
	private readonly _store: MemoryRowStore;
	private readonly _promotions: PromotionCalls;
	private readonly _server: Server;
	private readonly _handlers: Readonly<Record<string, (query: URLSearchParams, request: IncomingMessage) => Promise<Answer>>> = {
		[storePaths.range]: async query => {
			const read = await this._store.read(query.get('table') ?? '', query.get('part') ?? '');
			this.onRead?.();
			return pageOf(answerOf(read), query.get('from') ?? '', Math.min(Number(query.get('limit') ?? this.maximumPageRows), this.maximumPageRows));
		},
		[storePaths.feed]: async query => answerOf(await this._store.follow(
			query.get('table') ?? '',
			this._versionOf(Number(query.get('after'))),
			Number(query.get('wait-ms')),
		)),
		[storePaths.transaction]: async (query, request) => this._write(request),
		[promotePath]: async (query, request) => this._promote(request),
	};

	constructor(store: MemoryRowStore, promotions: PromotionCalls) {
		this._store = store;
		this._promotions = promotions;
		this._server = createServer((request, response) => {
			void this._serve(request, response);
		});
	}

	/** Listens on a free port; resolves to the port. */
	async listen(host: string): Promise<number> {
		return listenOn(this._server, {host, port: 0});
	}

	dispose(): void {
		this._server.close();
		this._server.closeAllConnections();
	}

	private async _serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {pathname, searchParams} = new URL(request.url ?? '/', 'http://platform');
		const handler = Object.hasOwn(this._handlers, pathname) ? this._handlers[pathname] : undefined;
		try {
			const {status, body} = handler ? await handler(searchParams, request) : {status: 404, body: {}};
			const era = this.sendsEra ? {[eraHeader]: this._store.era} : {};
			response.writeHead(status, {'content-type': 'application/json', ...era}).end(JSON.stringify(body));
		} catch (error) {
			// The caller aborted the request, or its body is malformed.
			response.writeHead(400).end(String(error));
		}
	}

	private async _write(request: IncomingMessage): Promise<Answer> {
		const {'expected-rev': [expected], writes: [write]} = transactionSchema.parse(await json(request));
		const {table, part, key, ver} = expected;
		const value = Buffer.from(write.value, 'base64').toString();
		const written = await this._store.write({
			table, key, value, partition: part, expectedVersion: ver === 0 ? 0 : this._versionOf(ver),
		});
		return toAnswer(written, ({version, storeNowMs}) => ({status: 200, body: {ver: counterOf(version), 'now-ms': storeNowMs}}));
	}

	/** Converts a counter that a caller sent to a version in the store's current era. */
	private _versionOf(counter: number): number {
		return storeVersion(this._store.era, counter);
	}

	private async _promote(request: IncomingMessage): Promise<Answer> {
		const {service, id} = promotionSchema.parse(await json(request));
		const {headers} = request;
		const holder = String(headers[dutyHeaders.holder.toLowerCase()]);
		const ordered = await this._promotions.promote(service, id, holder, Number(headers[dutyHeaders.epoch.toLowerCase()]));
		return ordered.isLeft()
			? {status: promotionStatuses[ordered.extract().kind], body: ordered.extract()}
			: {status: 200, body: {}};
	}
}

/** Reduces an answer to one page: the rows from a key on, in the order of their keys, at most `limit`. */
function pageOf({status, body}: Answer, from: string, limit: number): Answer {
	const read = z.looseObject({rows: z.array(z.looseObject({key: z.string()}))}).safeParse(body);
	if (status !== 200 || !read.success) {
		return {status, body};
	}

	const rows = read.data.rows.filter(({key}) => key >= from).toSorted((a, b) => a.key < b.key ? -1 : 1);
	return {status, body: {...read.data, rows: rows.slice(0, limit), 'has-more': rows.length > limit}};
}

function answerOf(rows: Either<PlatformFault, StoredRows>): Answer {
	return toAnswer(rows, ({rows: found, version, storeNowMs, isHistoryGone}) => isHistoryGone
		? {status: 410, body: {}}
		: {
			status: 200,
			body: {
				ver: counterOf(version),
				'now-ms': storeNowMs,
				rows: found.map(({table, key, value, version: changed}) => value === undefined
					? {
						table, key, ver: counterOf(changed), deleted: true,
					}
					: {
						table, key, ver: counterOf(changed), value: Buffer.from(value).toString('base64'),
					}),
			},
		});
}

function toAnswer<T>(result: Either<PlatformFault, T>, toAnswer: (value: T) => Answer): Answer {
	return result.isLeft() ? {status: statuses[result.extract().kind], body: {}} : toAnswer(result.unsafeCoerce());
}
