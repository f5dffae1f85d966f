import {describe, it} from 'node:test';
import {expect} from 'earl';
import {SeededRandom} from '../../common/random/seeded-random.js';
import type {Host} from '../../common/services/services.js';
import {kindOf, valueOf} from '../../common/testing/faults.js';
import {VirtualClock} from '../../common/testing/virtual-clock.js';
import {MemoryPlatform} from '../../../standins/platform/memory-platform.js';
import {registrationExpiryMs, TableHostList} from './table-host-list.js';

function host(name: string, changes: Partial<Host> = {}): Host {
	return {
		name,
		availabilityZone: 'zone-a',
		region: 'region',
		peerHost: '127.0.0.1',
		peerPort: 1,
		operatorPort: 2,
		isLeaving: false,
		incarnation: '1',
		...changes,
	};
}

function setUp() {
	const clock = new VirtualClock();
	const platform = new MemoryPlatform(clock, new SeededRandom(1));
	const connect = () => {
		const {table, faults} = platform.connect();
		return {list: new TableHostList(table, {platformNowMs: () => table.nowMs()}), faults};
	};

	return {clock, platform, connect};
}

describe('TableHostList', () => {
	it('lists live and leaving hosts until their registrations expire', async () => {
		const {clock, connect} = setUp();
		const [a, b] = [connect(), connect()];
		await a.list.register(host('a'));
		await b.list.register(host('b'));
		await b.list.register(host('b', {isLeaving: true}));
		expect(await valueOf(a.list.read())).toEqual([host('a'), host('b', {isLeaving: true})]);
		await clock.advance(registrationExpiryMs(2) - 1000);
		await a.list.register(host('a'));
		await clock.advance(2000);
		expect(await valueOf(a.list.read())).toEqual([host('a')]);
		expect(await kindOf(b.list.register(host('b')))).toEqual('done');
		expect(await valueOf(a.list.read())).toEqual([host('a'), host('b')]);
	});

	it('keeps the last state when answers are lost and registrations overlap', async () => {
		const {clock, connect} = setUp();
		const {list, faults} = connect();
		faults.lostAnswers = 1;
		expect(await kindOf(list.register(host('a')))).toEqual('unavailable');
		expect(await kindOf(list.register(host('a')))).toEqual('done');
		faults.latencyMs = 10;
		faults.lostAnswers = 1;
		const both = Promise.all([kindOf(list.register(host('a'))), kindOf(list.register(host('a', {isLeaving: true})))]);
		expect(await clock.advanceUntil(both)).toEqual(['unavailable', 'done']);
		const read = await clock.advanceUntil(list.read());
		expect(read.unsafeCoerce()).toEqual([host('a', {isLeaving: true})]);
	});

	it('leaves a name to the process that registered it last', async () => {
		const {connect} = setUp();
		const [older, newer] = [connect().list, connect().list];
		await older.register(host('a', {incarnation: '1'}));
		await newer.register(host('a', {incarnation: '2'}));
		expect(await kindOf(older.register(host('a', {incarnation: '1'})))).toEqual('conditionFailed');
		expect(await kindOf(newer.register(host('a', {incarnation: '2'})))).toEqual('done');
	});
});
