import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {z} from 'zod';
import {primacyDefaults} from '../../src/common/primacy/constants.js';
import type {LogEventName} from '../../src/common/services/services.js';
import {answerStartsWith} from './line-test-session.js';
import {databases, LineTestCluster, service} from './line-test-cluster.js';
import type {LineTestNode} from './line-test-cluster.js';

type Fields = Readonly<Record<string, unknown>>;

const proofSchema = z.object({source: z.string(), sourceKind: z.enum(['endpoint', 'peer']), provedAgoMs: z.number()});

type Proof = z.infer<typeof proofSchema>;

/** Time within which a lost primary is replaced and its group is stable again, in virtual milliseconds. */
const replacedWithinMs = 6000;

describe('log events of leases and promotions', () => {
	let cluster: LineTestCluster;

	async function start(nodes: number): Promise<LineTestCluster> {
		cluster = new LineTestCluster();
		await cluster.start(nodes);
		return cluster;
	}

	/** Crashes the primary and lets a node replace it; resolves to that node. */
	async function replacePrimary(): Promise<LineTestNode> {
		const {clock, group, nodes, ordered} = cluster;
		await nodes[0].session(databases.primary).send('WRITE x 1');
		await clock.advance(100);
		group.instance('i-1').isUp = false;
		const session = nodes[0].session(databases.primary);
		const endMs = clock.nowMs() + replacedWithinMs;
		while (clock.nowMs() < endMs) {
			await session.send('WRITE y 1');
			await clock.advance(50);
		}

		expect(ordered.length).toEqual(1);
		return nodes.find(({self}) => self.name === ordered[0].holder)!;
	}

	/** Returns the fields of the only matching event of a name; fails if there is none or more than one. */
	function only(node: LineTestNode, name: LogEventName, doesFit: (fields: Fields) => boolean = () => true): Fields {
		const found = node.logged(name).filter(fields => doesFit(fields));
		expect(found.length).toEqual(1);
		return found[0];
	}

	/** Expects a proof whose lease had not expired when it was logged. */
	function expectLeased({provedAgoMs}: Proof): void {
		expect(provedAgoMs >= 0 && provedAgoMs < primacyDefaults.leaseMs).toEqual(true);
	}

	afterEach(() => {
		cluster.dispose();
	});

	it('name the replica whose proof allowed a write to be acknowledged', async () => {
		const {nodes: [node]} = await start(1);
		expect(await answerStartsWith(node.session(databases.primary).send('WRITE x 1', 'w1'), 'COMPLETE')).toEqual(true);
		const write = only(node, 'writeAcknowledged');
		expect(write).toEqual({
			request: 'w1', group: service, term: 1, position: {term: 1, offset: expect.a(Number)}, isConfirmed: true, proof: expect.a(Object),
		});
		const proof = proofOf(write);
		expect(proof.sourceKind).toEqual('endpoint');
		expect(['i-2', 'i-3']).toInclude(proof.source);
		expectLeased(proof);
	});

	it('name the peer whose proof allowed a write to be acknowledged', async () => {
		const {nodes} = await start(3);
		const coordinator = nodes.find(({fleet}) => fleet.isCoordinator)!;
		const other = nodes.find(node => node !== coordinator)!;
		await coordinator.session(databases.primary).send('READ x');
		for (const id of ['i-2', 'i-3']) {
			other.connector.connectionFaults.set(id, 'refused');
			other.pools.pool(other.registry.endpoint(id)!).closeIdle();
		}

		expect(await answerStartsWith(other.session(databases.primary).send('WRITE x 1', 'w1'), 'COMPLETE')).toEqual(true);
		const proof = proofOf(only(other, 'writeAcknowledged'));
		expect({source: proof.source, sourceKind: proof.sourceKind}).toEqual({source: coordinator.self.name, sourceKind: 'peer'});
		expectLeased(proof);
	});

	it('name the proof of a write that no replica confirmed', async () => {
		const {group, nodes: [node]} = await start(1);
		group.instance('i-2').isReplicationBlocked = true;
		group.instance('i-3').isReplicationBlocked = true;
		await node.session(databases.primary).send('WRITE x 1', 'w1');
		expect(proofOf(only(node, 'writeUnconfirmed')).sourceKind).toEqual('endpoint');
		expect(only(node, 'writeAcknowledged').isConfirmed).toEqual(false);
	});

	it('are not repeated at each poll: a stable group logs one lease, and each endpoint once', async () => {
		const {clock, nodes: [node]} = await start(1);
		const session = node.session(databases.primary);
		for (let round = 0; round < 80; round++) {
			await session.send('READ x');
			await clock.advance(250);
		}

		const lease = only(node, 'leaseStarted');
		expect({term: lease.term, gapMs: lease.gapMs}).toEqual({term: 1, gapMs: undefined});
		expect(node.logged('endpointStateChanged').map(({endpoint}) => String(endpoint)).toSorted()).toEqual(['i-1', 'i-2', 'i-3']);
	});

	it('report how long a term was without a proof', async () => {
		const {clock, nodes: [node]} = await start(1);
		const session = node.session(databases.primary);
		await session.send('READ x');
		node.connector.connectionFaults.set('i-2', 'silent');
		node.connector.connectionFaults.set('i-3', 'silent');
		// A read of the store would prove the term as well.
		node.isStoreUnreachable = true;
		for (let round = 0; round < 10; round++) {
			await session.send('READ x');
			await clock.advance(250);
		}

		node.connector.connectionFaults.clear();
		node.isStoreUnreachable = false;
		await clock.advance(2000);
		const [first, second, ...rest] = node.logged('leaseStarted');
		expect(first.gapMs).toEqual(undefined);
		expect(Number(second.gapMs) > primacyDefaults.leaseMs).toEqual(true);
		expect(rest).toEqual([]);
	});

	it('cover a promotion from its fences to its order and its effect', async () => {
		await start(3);
		const promoter = await replacePrimary();
		const [{id: promoted, epoch}] = cluster.ordered;
		const followerId = promoted === 'i-2' ? 'i-3' : 'i-2';
		expect(promoter.logged('replicaFenced').toSorted((a, b) => String(a.endpoint).localeCompare(String(b.endpoint)))).toEqual(['i-2', 'i-3'].map(endpoint => ({
			group: service, endpoint, term: 2, epoch, why: promoter.logged('promotionStarted')[0].reason, hasAnswered: true,
		})));
		const order = {
			group: service, endpoint: promoted, term: 1, epoch,
		};
		const [{registeredForMs}] = promoter.logged('promotionOrdered');
		expect(promoter.logged('promotionOrdered')).toEqual([{...order, registeredForMs}]);
		expect(Number(registeredForMs) > 0 && Number(registeredForMs) < promoter.registry.registeredForMs(promoted)).toEqual(true);
		expect(promoter.logged('promotionAccepted')).toEqual([order]);
		expect(promoter.logged('replicaResumed')).toEqual([{
			group: service, endpoint: followerId, epoch, why: 'done', hasAnswered: true,
		}]);
		const effect = only(promoter, 'endpointStateChanged', ({endpoint, isPrimary}) => endpoint === promoted && isPrimary === true);
		expect({term: effect.term, knownTerm: effect.knownTerm}).toEqual({term: 2, knownTerm: 1});
		const names = promoter.events.map(({name}) => name);
		const indexes = (['replicaFenced', 'promotionOrdered', 'promotionAccepted', 'promotionFinished'] as const).map(name => names.indexOf(name));
		expect(indexes).toEqual(indexes.toSorted((a, b) => a - b));
		expect(only(promoter, 'leaseStarted', ({term}) => term === 2).gapMs).toEqual(undefined);
	});

	it('name on every node the holder that fenced a term, and the source from which a primary was adopted', async () => {
		await start(3);
		const promoter = await replacePrimary();
		const [{holder, epoch}] = cluster.ordered;
		for (const node of cluster.nodes) {
			const fences = node.logged('termFenced');
			expect(fences.length > 0).toEqual(true);
			expect(fences.every(fields => fields.holder === holder && fields.epoch === epoch && fields.term === 1 && fields.isFenced === true)).toEqual(true);
			const {from} = only(node, 'primaryAdopted', ({term}) => term === 2);
			expect(['endpoint', 'peer', 'notice']).toInclude(String(from));
		}

		expect(only(promoter, 'primaryAdopted', ({term}) => term === 2).from).toEqual('endpoint');
	});

	it('report for how long a fence had been seen when it was removed', async () => {
		const {clock, group, nodes: [node]} = await start(1);
		const session = node.session(databases.primary);
		group.instance('i-2').fencedForTerm = 2;
		for (let round = 0; round < 40; round++) {
			await session.send('READ x');
			await clock.advance(250);
		}

		const {endpoint, seenForMs} = only(node, 'orphanedFenceRemoved');
		expect(endpoint).toEqual('i-2');
		expect(Number(seenForMs) >= primacyDefaults.orphanedFenceMs).toEqual(true);
		const states = node.logged('endpointStateChanged').filter(fields => fields.endpoint === 'i-2').map(({fencedForTerm}) => fencedForTerm);
		expect(states).toEqual([0, 2, 0]);
	});
});

function proofOf({proof}: Fields): Proof {
	return proofSchema.parse(proof);
}
