import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../../common/errors/error-kinds.js';
import {listedHost} from '../../common/membership/testing/hosts.js';
import type {
	EndpointDefinition, GroupDefinition, GroupView, Host, InstanceView,
} from '../../common/services/services.js';
import {VirtualClock} from '../../common/testing/virtual-clock.js';
import {GroupViewCollector} from './group-view-collector.js';
import {NodeStatusSource} from './node-status.js';
import {ReachProbe} from './reach.js';
import type {Failover} from './types.js';

const zones = ['a', 'b', 'c'];

function groupNamed(name: string): GroupDefinition {
	return {
		name,
		service: 'shop',
		labels: {},
		endpoints: zones.map((zone): EndpointDefinition => ({
			name: `${name}-${zone}`, group: name, availabilityZone: zone, host: '127.0.0.1', port: 1, labels: {}, slots: 3, connections: 20,
		})),
	};
}

function instance(endpoint: string, offset: number, changes: Partial<InstanceView> = {}): InstanceView {
	const position = {term: 2, offset};
	return {
		endpoint,
		isReachable: true,
		reportedAgoMs: 10,
		state: {
			role: endpoint.endsWith('-a') ? 'primary' : 'replica', promisedTerm: 2, claimId: '', received: position, applied: position, isStreaming: true,
		},
		...changes,
	};
}

function viewOf(group: string, instances = [instance(`${group}-a`, 100), instance(`${group}-b`, 97), instance(`${group}-c`, 100)]): GroupView {
	return {
		group, term: 2, primary: `${group}-a`, instances,
	};
}

/** Node `h1` follows `stock` itself; `h2` is the home of all endpoints. */
function build() {
	const clock = new VirtualClock();
	const hosts = ['h1', 'h2', 'h3'].map((name, index) => listedHost(name, {availabilityZone: zones[index]}));
	const world = {
		views: new Map([['stock', viewOf('stock')], ['sales', viewOf('sales')]]),
		silent: new Set<string>(),
		versions: new Map([['h1', 4], ['h2', 4], ['h3', 4]]),
		counts: [] as Array<{labels: Record<string, string>; value: number}>,
		asked: 0,
	};
	const membership = {
		self: hosts[0],
		hosts: () => hosts,
		homeOf: (): Host => hosts[1],
		isSuspected: (name: string) => world.silent.has(name),
	};
	const refused = new Refusal('peerUnavailable', 'silent');
	const peers = {
		async groupView({name}: Host, group: string) {
			world.asked++;
			return world.silent.has(name) ? Left(refused) : Right(world.views.get(group)!);
		},
		async probe(host: Host) {
			return world.silent.has(host.name) ? Left(refused) : Right({host, configurationVersion: world.versions.get(host.name)!});
		},
	};
	const configuration = {
		version: 4,
		onChange: () => ({dispose: () => undefined}),
		groups: () => [groupNamed('stock'), groupNamed('sales')],
		group: groupNamed,
		callerPolicy() {
			throw new Error('unexpected call of callerPolicy');
		},
		endpointPolicy: (endpoint: string) => ({
			isDraining: endpoint === 'sales-c', acceptsReads: true, primaryPreference: 0, isOrderedPrimary: false,
		}),
	};
	const last: Failover = {
		group: 'sales', reason: 'crash', gapMs: 310, at: '2024-01-01T00:00:00.000Z',
	};
	const source = new NodeStatusSource({
		configuration,
		membership,
		groups: new GroupViewCollector({
			configuration, membership, peers, clock, ownView: group => group === 'stock' ? world.views.get(group) : undefined,
		}),
		reach: new ReachProbe({
			membership, peers, clock, version: () => configuration.version,
		}),
		failovers: {last, refresh: async () => undefined},
		metrics: {values: async name => world.counts.filter(({labels}) => labels.metric === name)},
		clock,
	});
	return {
		clock, world, last, read: async () => clock.advanceUntil(source.read()),
	};
}

describe('NodeStatusSource', () => {
	it('shows its own view of a group that it follows, and that of a home for other groups', async () => {
		const {read, last, world} = build();
		const status = await read();
		expect(status.degraded).toEqual([]);
		expect(status.lastFailover).toEqual(last);
		expect(status.groups.map(({name, primary, term}) => [name, primary, term])).toEqual([['stock', 'stock-a', 2], ['sales', 'sales-a', 2]]);
		expect(status.groups[1].endpoints.map(({lagEntries, isDraining, home}) => [lagEntries, isDraining, home]))
			.toEqual([[undefined, false, 'h2'], [3, false, 'h2'], [0, true, 'h2']]);
		expect(status.nodes.map(({isReachable, configurationVersion}) => [isReachable, configurationVersion])).toEqual([[true, 4], [true, 4], [true, 4]]);
		await read();
		expect(world.asked).toEqual(1);
	});

	it('shows the last known view while a home does not answer, and none once that is too old', async () => {
		const {read, world, clock} = build();
		await read();
		world.silent.add('h2');
		await clock.advance(5000);
		const soon = await read();
		expect([soon.groups[1].primary, soon.degraded]).toEqual(['sales-a', [{subject: 'h2', reason: 'does not answer this node'}]]);
		await clock.advance(10_000);
		const later = await read();
		expect([later.groups[1].primary, later.degraded.map(({subject}) => subject)]).toEqual(['', ['sales', 'h2']]);
	});

	it('reports a lost primary, a lost majority and degraded replicas', async () => {
		const {read, world} = build();
		const lost = {isReachable: false};
		world.views.set('stock', viewOf('stock', [instance('stock-a', 100, lost), instance('stock-b', 100, lost), instance('stock-c', 100)]));
		const rebuilding = instance('sales-b', 0);
		world.views.set('sales', viewOf('sales', [
			instance('sales-a', 5000),
			{...rebuilding, state: {...rebuilding.state!, role: 'rebuilding'}},
			instance('sales-c', 100),
		]));
		const {degraded} = await read();
		expect(degraded.map(({subject, reason}) => `${subject} ${reason}`)).toEqual([
			'stock its primary stock-a cannot be reached, so writes wait until it is reachable again or replaced',
			'stock only 1 of 3 endpoints can be reached: no write can be confirmed and no replica promoted',
			'stock-b cannot be reached',
			'sales-b is being rebuilt',
			'sales-c is 4900 entries behind',
		]);
	});

	it('reports nodes that keep an older configuration, once the newest had time to reach them', async () => {
		const {read, world, clock} = build();
		world.versions.set('h3', 3);
		const soon = await read();
		expect(soon.degraded).toEqual([]);
		await clock.advance(11_000);
		const later = await read();
		expect(later.degraded).toEqual([{subject: 'h3', reason: 'has configuration 3 in force, the newest is 4'}]);
	});

	it('reads the replica read share and degradations from the metrics', async () => {
		const {read, world} = build();
		world.counts.push(
			{labels: {metric: 'answeredRequestsTotal', access: 'read', role: 'replica'}, value: 30},
			{labels: {metric: 'answeredRequestsTotal', access: 'read', role: 'primary'}, value: 10},
			{labels: {metric: 'answeredRequestsTotal', access: 'write', role: 'primary'}, value: 50},
			{labels: {metric: 'platformIsAvailable', service: 'table'}, value: 0},
			{labels: {metric: 'platformIsAvailable', service: 'objects'}, value: 1},
			{labels: {metric: 'invariantViolationsTotal', invariant: 'slots'}, value: 1},
		);
		const status = await read();
		expect(status.replicaReadShare).toEqual(0.75);
		expect(status.degraded.map(({subject}) => subject)).toEqual(['this node', 'platform']);
	});
});
