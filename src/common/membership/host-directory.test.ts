import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {SeededRandom} from '../random/seeded-random.js';
import type {Host} from '../services/services.js';
import {RecordingLog, silentMetrics} from '../testing/observers.js';
import {VirtualClock} from '../testing/virtual-clock.js';
import {HostDirectory} from './host-directory.js';
import {FakeHostList, listedHost} from './testing/hosts.js';

const self = listedHost('h1');
const endpoints = Array.from({length: 200}, (_, index) => ({name: `e${index}`, availabilityZone: 'a'}));

describe('HostDirectory', () => {
	let clock = new VirtualClock();
	let list = new FakeHostList();
	let log = new RecordingLog();
	let directory: HostDirectory;
	let changes = 0;

	function names(): string[] {
		return directory.hosts().map(host => host.name).toSorted();
	}

	/** Names of the hosts that are home of some endpoint of a zone. */
	function homes(availabilityZone = 'a'): string[] {
		const found = endpoints.map(({name}) => directory.homeOf({name, availabilityZone})?.name ?? 'none');
		return [...new Set(found)].toSorted();
	}

	async function startWith(...listed: readonly Host[]): Promise<void> {
		list.listed = listed;
		await directory.start();
	}

	beforeEach(() => {
		clock = new VirtualClock();
		list = new FakeHostList();
		log = new RecordingLog();
		directory = new HostDirectory(self, {
			hostList: list, clock, random: new SeededRandom(1), log, metrics: silentMetrics,
		});
		changes = 0;
		directory.onChange(() => {
			changes++;
		});
	});

	afterEach(() => {
		directory.dispose();
		expect(clock.pendingTimers).toEqual(0);
	});

	it('is no home while it starts and other hosts of its zone are ready', async () => {
		directory.beginStartUp();
		await startWith(self, listedHost('h2'), {...listedHost('h9'), availabilityZone: 'b'});
		expect(homes()).toEqual(['h2']);
		directory.learn({...listedHost('h2'), isLeaving: true});
		expect([homes(), homes('c')]).toEqual([['h1'], ['h9']]);
		directory.learn({...listedHost('h2'), incarnation: 'again'});
		expect(homes()).toEqual(['h2']);
		directory.endStartUp();
		expect(homes()).toEqual(['h1', 'h2']);
	});

	it('follows the list and renews its own registration', async () => {
		await startWith(self, listedHost('h2'));
		expect([names(), list.registered.length]).toEqual([['h1', 'h2'], 1]);
		list.listed = [self, listedHost('h2'), listedHost('h3')];
		await clock.advance(6000);
		expect(names()).toEqual(['h1', 'h2', 'h3']);
		await clock.advance(60_000);
		expect(list.registered.length >= 4 && list.registered.length <= 6).toEqual(true);
		expect([list.reads >= 11 && list.reads <= 15, changes]).toEqual([true, 2]);
	});

	it('registers again at once if the list shows so many hosts that renewals become rarer', async () => {
		const many = Array.from({length: 870}, (_, index) => listedHost(`h${index + 1}`));
		await startWith(...many);
		expect([list.reads, list.registered.length]).toEqual([1, 2]);
		await clock.advance(139_000);
		expect([list.reads, list.registered.length]).toEqual([1, 2]);
		await clock.advance(70_000);
		expect([list.reads, list.registered.length]).toEqual([2, 2]);
	});

	it('tries a failed registration again sooner than the next read of a long list is due', async () => {
		await startWith(...Array.from({length: 870}, (_, index) => listedHost(`h${index + 1}`)));
		list.condition = 'down';
		directory.leave();
		await clock.advance(210_000);
		list.condition = 'up';
		await clock.advance(21_000);
		expect(list.registered.at(-1)?.isLeaving).toEqual(true);
	});

	async function outlive(condition: 'down' | 'hanging'): Promise<void> {
		await startWith(self, listedHost('h2'));
		list.condition = condition;
		await clock.advance(600_000);
		expect([names(), changes]).toEqual([['h1', 'h2'], 1]);
		list.condition = 'up';
		list.listed = [self, listedHost('h3')];
		await clock.advance(15_000);
		expect(names()).toEqual(['h1', 'h3']);
		expect(log.names.filter(name => name.startsWith('hostList'))).toEqual(['hostListUnavailable', 'hostListRead']);
	}

	for (const condition of ['down', 'hanging'] as const) {
		it(`keeps the known hosts while the platform is ${condition}`, async () => outlive(condition));
	}

	it('does not drop hosts because of one incomplete answer of the list', async () => {
		await startWith(self, listedHost('h2'));
		list.listed = [];
		await clock.advance(6000);
		expect(names()).toEqual(['h1', 'h2']);
		await clock.advance(6000);
		expect(names()).toEqual(['h1']);
	});

	it('starts while the platform is down, and learns from peers', async () => {
		list.condition = 'down';
		await directory.start();
		directory.learn(listedHost('h2'));
		expect([names(), homes()]).toEqual([['h1', 'h2'], ['h1', 'h2']]);
	});

	it('keeps a host that the list dropped until there was no contact with it for the list\'s lag', async () => {
		await startWith(self, listedHost('h2'), listedHost('h3'));
		list.listed = [self];
		directory.reportReachability('h2', true);
		await clock.advance(30_000);
		expect(names()).toEqual(['h1', 'h2']);
		directory.reportReachability('h2', true);
		await clock.advance(50_000);
		expect(names()).toEqual(['h1', 'h2']);
		await clock.advance(20_000);
		expect(names()).toEqual(['h1']);
	});

	it('suspects a host that does not answer, and tries it again with backoff', async () => {
		await startWith(self, listedHost('h2'), listedHost('h3'));
		const asked: number[] = [];
		directory.onRetryDue(host => {
			asked.push(clock.nowMs());
			// Both the link and the caller report the outcome.
			directory.reportReachability(host.name, asked.length > 3);
			directory.reportReachability(host.name, asked.length > 3);
		});
		directory.reportReachability('h2', false);
		expect(homes()).toEqual(['h1', 'h2', 'h3']);
		directory.reportReachability('h2', false);
		expect([names(), homes()]).toEqual([['h1', 'h2', 'h3'], ['h1', 'h3']]);
		const startMs = clock.nowMs();
		await clock.advance(14_999);
		expect(homes()).toEqual(['h1', 'h3']);
		await clock.advance(1);
		expect(homes()).toEqual(['h1', 'h2', 'h3']);
		expect(asked.map(atMs => atMs - startMs)).toEqual([1000, 3000, 7000, 15_000]);
	});

	it('ends a suspicion that is not confirmed', async () => {
		await startWith(self, listedHost('h2'));
		directory.reportReachability('h2', false);
		directory.reportReachability('h2', false);
		expect(homes()).toEqual(['h1']);
		await clock.advance(61_000);
		expect(homes()).toEqual(['h1', 'h2']);
	});

	it('remembers that a host is leaving until it starts again, even if a lagging list does not show that', async () => {
		await startWith(self, listedHost('h2'));
		directory.learn(listedHost('h2', {isLeaving: true}));
		await clock.advance(12_000);
		expect([names(), homes(), directory.host('h2')?.isLeaving]).toEqual([['h1', 'h2'], ['h1'], true]);
		directory.learn(listedHost('h2', {incarnation: '2', peerPort: 7002}));
		await clock.advance(12_000);
		expect([homes(), directory.host('h2')?.peerPort]).toEqual([['h1', 'h2'], 7002]);
	});

	it('takes a new incarnation from the list, but not the previous one again', async () => {
		await startWith(self, listedHost('h2', {incarnation: 'b', isLeaving: true}));
		list.listed = [self, listedHost('h2', {incarnation: 'a'})];
		await clock.advance(6000);
		expect([homes(), directory.host('h2')?.incarnation]).toEqual([['h1', 'h2'], 'a']);
		list.listed = [self, listedHost('h2', {incarnation: 'b', isLeaving: true})];
		await clock.advance(12_000);
		expect([homes(), directory.host('h2')?.incarnation]).toEqual([['h1', 'h2'], 'a']);
	});

	it('accepts the list again once there was no contact with the host for longer than the list\'s lag', async () => {
		await startWith(self);
		directory.learn(listedHost('h2', {incarnation: 'c'}));
		list.listed = [self, listedHost('h2', {incarnation: 'd'})];
		await clock.advance(40_000);
		expect(directory.host('h2')?.incarnation).toEqual('c');
		await clock.advance(40_000);
		expect(directory.host('h2')?.incarnation).toEqual('d');
	});

	it('ends the suspicion of a host that started again', async () => {
		await startWith(self, listedHost('h2', {incarnation: 'x'}));
		directory.reportReachability('h2', false);
		directory.reportReachability('h2', false);
		directory.learn(listedHost('h2', {incarnation: 'b'}));
		expect(homes()).toEqual(['h1', 'h2']);
	});

	it('announces that it is leaving until the platform has accepted that', async () => {
		await startWith(self, listedHost('h2'));
		list.condition = 'down';
		directory.leave();
		expect([directory.self.isLeaving, homes()]).toEqual([true, ['h2']]);
		await clock.advance(10_000);
		list.condition = 'up';
		await clock.advance(6000);
		expect(list.registered.at(-1)?.isLeaving).toEqual(true);
	});

	it('chooses a home in the region, or else anywhere, for a zone without hosts', async () => {
		const remote = {availabilityZone: 'z', region: 'far'};
		const near = listedHost('h4', {availabilityZone: 'c', region: 'far'});
		await startWith(self, listedHost('h2', remote), listedHost('h3', {availabilityZone: 'b'}), near);
		expect(homes('z')).toEqual(['h2']);
		directory.learn(listedHost('h2', {...remote, isLeaving: true}));
		expect(homes('z')).toEqual(['h4']);
		directory.learn({...near, isLeaving: true});
		expect(homes('z')).toEqual(['h1', 'h3']);
	});

	it('returns the same homes while the membership does not change', async () => {
		await startWith(self, listedHost('h2'));
		const first = endpoints.map(endpoint => directory.homeOf(endpoint));
		directory.learn(listedHost('h2'));
		expect(endpoints.map(endpoint => directory.homeOf(endpoint))).toEqual(first);
		expect(changes).toEqual(1);
	});
});
