import {describe, it} from 'node:test';
import {expect} from 'earl';
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import type {Host} from '../../src/common/services/services.js';
import {kindOf, valueOf} from '../../src/common/testing/faults.js';
import {VirtualClock} from '../../src/common/testing/virtual-clock.js';
import {clientTimeoutMs, registrationExpiryMs} from './constants.js';
import {MemoryPlatform} from './memory-platform.js';
import type {InjectedFaults} from './settings.js';

function setUp(faults: Partial<InjectedFaults> = {}) {
	const clock = new VirtualClock();
	return {clock, platform: new MemoryPlatform(clock, new SeededRandom(1), faults)};
}

const item = (changeId: string, sort = 'a') => ({
	partition: 'p', sort, changeId, body: '{}',
});

function host(name: string): Host {
	return {
		name,
		availabilityZone: 'zone-a',
		region: 'region',
		peerHost: '127.0.0.1',
		peerPort: 1,
		operatorPort: 2,
		isLeaving: false,
		incarnation: '1',
	};
}

describe('MemoryPlatform', () => {
	it('throttles writes above the rate and a burst of one second, counting each item of a transaction', async () => {
		const {clock, platform} = setUp({writesPerSecond: 10});
		const {table} = platform.connect();
		const writes = (name: string) => [1, 2, 3, 4].map(number => ({item: item(name, `${name}${number}`), expectedRevision: 0}));
		expect(await kindOf(table.putAll(writes('x')))).toEqual('done');
		expect(await kindOf(table.putAll(writes('y')))).toEqual('done');
		expect(await kindOf(table.putAll(writes('z')))).toEqual('throttled');
		expect(await valueOf(table.get('p', 'z1'))).toEqual(undefined);
		await clock.advance(200);
		expect(await kindOf(table.putAll(writes('z')))).toEqual('done');
	});

	it('lets a write take effect after its client timed out', async () => {
		const {clock, platform} = setUp({latencyMs: clientTimeoutMs + 500});
		const {table} = platform.connect();
		const put = await clock.advanceUntil(kindOf(table.put(item('late'), 0)));
		expect(put).toEqual('unavailable');
		platform.faults.latencyMs = 0;
		expect(await valueOf(table.get('p', 'a'))).toEqual(undefined);
		await clock.advance(500);
		const found = await valueOf(table.get('p', 'a'));
		expect(found?.changeId).toEqual('late');
	});

	it('makes the platform unreachable for one client only', async () => {
		const {clock, platform} = setUp();
		const [cut, other] = [platform.connect(), platform.connect()];
		cut.faults.outage = 'silent';
		expect(await clock.advanceUntil(kindOf(cut.objects.put('key', 'cut')))).toEqual('unavailable');
		expect(await kindOf(other.objects.put('key', 'other'))).toEqual('done');
		cut.faults.outage = 'none';
		const found = await valueOf(cut.objects.get('key'));
		expect(found?.body).toEqual('other');
	});

	it('delays changes of the host list, and removes hosts that do not renew their registration', async () => {
		const {clock, platform} = setUp({hostListLagMs: 3000});
		const {hostList} = platform.connect();
		const names = async (): Promise<string> => {
			const hosts = await valueOf(hostList.read());
			return hosts.map(({name, isLeaving}) => `${name}${isLeaving ? '-' : '+'}`).join(' ');
		};

		await hostList.register(host('a'));
		expect(await names()).toEqual('');
		await clock.advance(3000);
		expect(await names()).toEqual('a+');
		await hostList.register(host('b'));
		await hostList.register({...host('a'), isLeaving: true});
		expect(await names()).toEqual('a+');
		await clock.advance(3000);
		expect(await names()).toEqual('a- b+');
		await clock.advance(registrationExpiryMs - 4000);
		await hostList.register(host('b'));
		await clock.advance(4000);
		expect(await names()).toEqual('b+');
	});

	it('deletes expired items', async () => {
		const {clock, platform} = setUp();
		const {table} = platform.connect();
		await table.put({...item('a'), expiresAtMs: clock.wallClockMs() + 1000}, 0);
		await clock.advance(1001);
		expect(await valueOf(table.query('p', '', 10))).toEqual([]);
		expect(await kindOf(table.put(item('b'), 1))).toEqual('conditionFailed');
		expect(await kindOf(table.put(item('b'), 0))).toEqual('done');
	});
});
