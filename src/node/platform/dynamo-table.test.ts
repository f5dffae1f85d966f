import {
	after, before, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {kindOf, valueOf} from '../../common/testing/faults.js';
import {RecordingLog, silentMetrics} from '../../common/testing/observers.js';
import {LoopbackPlatform} from '../../../standins/platform/loopback-platform.js';
import type {InjectedFaults} from '../../../standins/platform/settings.js';
import {SystemClock} from '../system-clock.js';
import {DynamoTable} from './dynamo-table.js';

const platform = new LoopbackPlatform();
const log = new RecordingLog();
let table: DynamoTable;
let nextKey = 0;

function item(changeId: string, body = '{}', sort = `key-${nextKey}`) {
	return {
		partition: 'test', sort, changeId, body,
	};
}

/** Result kinds of all operations, run concurrently. */
async function kindsOfAll(): Promise<string[]> {
	return Promise.all([
		kindOf(table.get('test', 'a')),
		kindOf(table.query('test', '', 10)),
		kindOf(table.put(item('a'), 0)),
		kindOf(table.putAll([{item: item('b', '{}', 'b'), expectedRevision: 0}])),
	]);
}

before(async () => {
	const settings = await platform.start({requestTimeoutMs: 300, connectTimeoutMs: 200});
	table = new DynamoTable(settings, new SystemClock(), log, silentMetrics);
});

beforeEach(() => {
	platform.clearFaults();
	nextKey++;
});

after(() => {
	table.dispose();
	platform.dispose();
});

describe('DynamoTable', () => {
	it('writes only on the expected revision, and reads what it wrote', async () => {
		const first = await table.put({...item('a', '"é"'), expiresAtMs: 9_999_999_999_000}, 0);
		expect(first.unsafeCoerce().revision).toEqual(1);
		expect(await kindOf(table.put(item('b'), 0))).toEqual('conditionFailed');
		expect(await kindOf(table.put(item('c'), 2))).toEqual('conditionFailed');
		const second = await table.put(item('d', '2'), 1);
		expect(second.unsafeCoerce().revision).toEqual(2);
		expect(await table.get('test', item('').sort)).toEqual(second);
		expect(await valueOf(table.get('test', 'absent'))).toEqual(undefined);
	});

	it('recovers the outcome of a write whose answer was lost, regardless of the revision that the retry expects', async () => {
		platform.server.faults.lostAnswers = 1;
		expect(await kindOf(table.put(item('a'), 0))).toEqual('unavailable');
		const retried = await valueOf(table.put(item('a'), 0));
		const retriedAgain = await valueOf(table.put(item('a'), 1));
		expect([retried.revision, retriedAgain.revision]).toEqual([1, 1]);
	});

	it('writes several items atomically, and recovers the outcome if the answer was lost', async () => {
		const writes = (changeId: string, expectedRevision: number) => ['x', 'y'].map(part =>
			({item: item(changeId, '{}', `${part}${nextKey}`), expectedRevision}));
		platform.server.faults.lostAnswers = 1;
		expect(await kindOf(table.putAll(writes('a', 0)))).toEqual('unavailable');
		expect(await kindOf(table.putAll(writes('a', 0)))).toEqual('done');
		expect(await kindOf(table.putAll([...writes('b', 1).slice(0, 1), ...writes('b', 0).slice(1)]))).toEqual('conditionFailed');
		const kept = await valueOf(table.get('test', `x${nextKey}`));
		expect(kept?.changeId).toEqual('a');
	});

	it('pages through a partition in order of the sort keys', async () => {
		const body = JSON.stringify('x'.repeat(200_000));
		for (const sort of ['c', 'a', 'e', 'b', 'd', 'f', 'g', 'h']) {
			await table.put({
				partition: 'pages', sort, changeId: sort, body,
			}, 0);
		}

		const sorts = async (afterSort: string, limit: number): Promise<string> => {
			const items = await valueOf(table.query('pages', afterSort, limit));
			return items.map(({sort}) => sort).join('');
		};

		expect(await sorts('', 100)).toEqual('abcdefgh');
		expect(await sorts('b', 3)).toEqual('cde');
		expect(await sorts('h', 3)).toEqual('');
	});

	const outages: ReadonlyArray<readonly [string, Partial<InjectedFaults>, string]> = [
		['answers with errors', {outage: 'refused'}, 'unavailable'],
		['never answers', {outage: 'silent'}, 'unavailable'],
		['is slower than the timeout', {latencyMs: 1000}, 'unavailable'],
		['limits the rate', {writesPerSecond: 0.001, readsPerSecond: 0.001}, 'throttled'],
	];

	for (const [name, faults, kind] of outages) {
		it(`answers in bounded time when the platform ${name}`, async () => {
			Object.assign(platform.server.faults, faults);
			expect(await kindsOfAll()).toEqual([kind, kind, kind, kind]);
		});
	}

	it('reports a refused connection as unavailable, and logs the change of state once', async () => {
		const gone = new LoopbackPlatform();
		const settings = await gone.start({requestTimeoutMs: 300});
		const unreachable = new DynamoTable(settings, new SystemClock(), log, silentMetrics);
		await unreachable.get('test', 'a');
		gone.dispose();
		log.names.length = 0;
		expect(await kindOf(unreachable.get('test', 'a'))).toEqual('unavailable');
		expect(await kindOf(unreachable.put(item('a'), 0))).toEqual('unavailable');
		expect(log.names).toEqual(['platformUnavailable']);
		unreachable.dispose();
	});

	it('knows the platform\'s time after one response', async () => {
		await table.get('test', 'a');
		expect(Math.abs(table.platformNowMs()! - Date.now()) < 5000).toEqual(true);
	});
});
