/**
 * The load process: runs the requests that its parent process sends, and answers each.
 */
import process from 'node:process';
import {ConnectionPool} from './connection-pool.js';
import {Series} from './series.js';
import type {LoadResponse, LoadRequest} from './types.js';

type Handlers = {
	readonly [Kind in LoadRequest['kind']]: (request: Extract<LoadRequest, {kind: Kind}>) => Promise<LoadResponse>;
};

const pools = new Map<string, ConnectionPool>();
const allSeries = new Map<string, Series>();

const handlers: Handlers = {
	async open({pool, target, connections}) {
		const opened = entryOf(pools, pool, () => new ConnectionPool());
		await opened.open(target, connections);
		return {};
	},
	async run({pool, series, work, bound, inProgress}) {
		const run = {
			work, bound, inProgress, series: entryOf(allSeries, series, () => new Series()),
		};
		await entryOf(pools, pool, () => new ConnectionPool()).run(run);
		return {};
	},
	async close({pool}) {
		await pools.get(pool)?.close();
		pools.delete(pool);
		return {};
	},
	async report({series}) {
		return {report: entryOf(allSeries, series, () => new Series()).report()};
	},
};

async function handle<Kind extends LoadRequest['kind']>(order: Extract<LoadRequest, {kind: Kind}>): Promise<LoadResponse> {
	try {
		return await handlers[order.kind](order);
	} catch (error) {
		return {error: error instanceof Error ? error.message : String(error)};
	}
}

function entryOf<Value>(map: Map<string, Value>, key: string, make: () => Value): Value {
	const value = map.get(key) ?? make();
	map.set(key, value);
	return value;
}

process.on('message', (request: LoadRequest) => {
	void handle(request).then(answer => {
		process.send?.(answer);
	});
});
process.on('disconnect', () => {
	process.exit(0);
});
