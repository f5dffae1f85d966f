/**
 * The load process: does what its parent orders, one order after the other.
 */
import process from 'node:process';
import {ConnectionPool} from './connection-pool.js';
import {Series} from './series.js';
import type {LoadAnswer, LoadOrder} from './types.js';

type Handlers = {
	readonly [Kind in LoadOrder['kind']]: (order: Extract<LoadOrder, {kind: Kind}>) => Promise<LoadAnswer>;
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

async function handle<Kind extends LoadOrder['kind']>(order: Extract<LoadOrder, {kind: Kind}>): Promise<LoadAnswer> {
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

process.on('message', (order: LoadOrder) => {
	void handle(order).then(answer => {
		process.send?.(answer);
	});
});
process.on('disconnect', () => {
	process.exit(0);
});
