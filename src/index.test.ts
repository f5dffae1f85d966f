import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Left} from 'purify-ts';
import {MemoryPlatform} from '../standins/platform/memory-platform.js';
import {FakeEndpoint} from './common/homes/testing/fake-endpoint.js';
import {queryFrame} from './common/statements/frames.js';
import {SeededRandom} from './common/random/seeded-random.js';
import {RecordingLog, silentMetrics} from './common/testing/observers.js';
import {VirtualClock} from './common/testing/virtual-clock.js';
import type {
	EndpointConnector, Host, Peers, RoutedSession, SessionMarks,
} from './common/services/services.js';
import {
	AuditTrail, hasReached, InvariantChecks, NodeCore, Refusal, TermRecords, zeroPosition,
} from './index.js';

const self: Host = {
	name: 'n1', availabilityZone: 'a', region: 'r', peerHost: '127.0.0.1', peerPort: 1, operatorPort: 2, isLeaving: false, incarnation: '1',
};

const absent = async () => Left(new Refusal('peerUnavailable', 'this node has no peers'));
const silent = (): void => undefined;

/** The transport of a node without peers. */
const noPeers: Peers = {
	executorOf: () => ({execute: absent, release: silent}),
	groupView: absent,
	probe: absent,
	announcePrimary: silent,
	fetchChanges: absent,
	announceVersion: silent,
	handOver: absent,
	announceLeaving: silent,
	dispose: silent,
};

class OwnMarks implements SessionMarks {
	private _position = zeroPosition;

	get isComplete(): boolean {
		return true;
	}

	mark() {
		return this._position;
	}

	advance(_group: string, position: typeof zeroPosition): void {
		this._position = hasReached(this._position, position) ? this._position : position;
	}
}

function sessionOf(id: string): RoutedSession {
	return {
		id,
		caller: {
			user: 'ann', applicationName: '', availabilityZone: 'a', labels: {},
		},
		group: 'stock',
		marks: new OwnMarks(),
		maximumAgeMs: undefined,
		deadlineMs: undefined,
		isIdempotent: false,
		heldEndpoint: undefined,
		transactionStatus: 'idle',
	};
}

function embed(clock: VirtualClock, connector: EndpointConnector): NodeCore {
	const random = new SeededRandom(1);
	const log = new RecordingLog();
	const {table, objects, hostList} = new MemoryPlatform(clock, random).connect();
	const records = {
		table, clock, random, log, metrics: silentMetrics,
	};
	return new NodeCore(self, {
		...records,
		objects,
		hostList,
		connector,
		invariants: new InvariantChecks(log, silentMetrics, {isFatal: true}),
		audit: new AuditTrail(records, 'n1/1'),
		terms: new TermRecords(records),
		createPeers: () => noPeers,
	});
}

describe('the public module', () => {
	it('embeds a node with a custom clock, transport, platform and group', async () => {
		const clock = new VirtualClock();
		const endpoint = new FakeEndpoint(clock);
		const core = embed(clock, endpoint);
		const proposed = await clock.advanceUntil(core.changeLog.propose({
			changeId: 'first-change',
			author: 'ann',
			basedOn: 0,
			operations: [
				{op: 'put', kind: 'service', value: {name: 'shop', labels: {}}},
				{op: 'put', kind: 'group', value: {name: 'stock', service: 'shop', labels: {}}},
				{
					op: 'put',
					kind: 'endpoint',
					value: {
						name: 'stock-1', group: 'stock', availabilityZone: 'a', host: '127.0.0.1', port: 5432, labels: {}, slots: 3, connections: 20,
					},
				},
			],
		}));
		expect(proposed.isRight()).toEqual(true);
		await clock.advanceUntil(core.start());
		const session = sessionOf('n1/1/1');
		const answered = await clock.advanceUntil(core.router.execute(
			session,
			{frames: queryFrame('INSERT x'), access: 'write', step: 'none'},
			{push: () => undefined},
			new AbortController().signal,
		));
		expect(answered.map(end => end.endpoint).extract()).toEqual('stock-1');
		expect([...endpoint.committed]).toEqual(['INSERT x']);
		expect(session.marks.mark('stock')).toEqual(endpoint.state.applied);
		core.dispose();
	});
});
