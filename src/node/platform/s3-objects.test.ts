import {
	after, before, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {kindOf, valueOf} from '../../common/testing/faults.js';
import {RecordingLog, silentMetrics} from '../../common/testing/observers.js';
import {LoopbackPlatform} from '../../../standins/platform/loopback-platform.js';
import type {InjectedFaults} from '../../../standins/platform/settings.js';
import {SystemClock} from '../system-clock.js';
import {S3Objects} from './s3-objects.js';

const platform = new LoopbackPlatform();
const log = new RecordingLog();
let objects: S3Objects;

/** Result kinds of all operations, run concurrently. */
async function kindsOfAll(): Promise<string[]> {
	return Promise.all([
		kindOf(objects.get('a')),
		kindOf(objects.put('a', '{}')),
	]);
}

before(async () => {
	objects = new S3Objects(await platform.start({requestTimeoutMs: 300}), new SystemClock(), log, silentMetrics);
});

beforeEach(() => {
	platform.clearFaults();
});

after(() => {
	objects.dispose();
	platform.dispose();
});

describe('S3Objects', () => {
	it('reads what it wrote, with its ETag, and undefined for an absent key', async () => {
		const {etag} = await valueOf(objects.put('snapshots/a b', '{"é":1}'));
		expect(await valueOf(objects.get('snapshots/a b'))).toEqual({body: '{"é":1}', etag});
		expect(await valueOf(objects.get('snapshots/absent'))).toEqual(undefined);
		const replaced = await valueOf(objects.put('snapshots/a b', '{}'));
		expect(replaced.etag).not.toEqual(etag);
	});

	const outages: ReadonlyArray<readonly [string, Partial<InjectedFaults>, string]> = [
		['answers with errors', {outage: 'refused'}, 'unavailable'],
		['never answers', {outage: 'silent'}, 'unavailable'],
		['limits the rate', {writesPerSecond: 0.001, readsPerSecond: 0.001}, 'throttled'],
	];

	for (const [name, faults, kind] of outages) {
		it(`answers in bounded time when the store ${name}`, async () => {
			Object.assign(platform.server.faults, faults);
			expect(await kindsOfAll()).toEqual([kind, kind]);
		});
	}
});
