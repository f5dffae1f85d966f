import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {tables} from '../../platform/names.js';
import {dutyTable} from '../../src/common/primacy/promotion-duty.js';
import {answerStartsWith} from './line-test-session.js';
import type {LineTestSession} from './line-test-session.js';
import {
	cutConnections, databases, LineTestCluster, service,
} from './line-test-cluster.js';
import type {LineTestNode} from './line-test-cluster.js';

/** Maximum time for which writes are retried, in virtual milliseconds. */
const timeoutMs = 15_000;

describe('failover over the line protocol', () => {
	let cluster: LineTestCluster;

	async function start(nodes: number): Promise<LineTestCluster> {
		cluster = new LineTestCluster();
		await cluster.start(nodes);
		return cluster;
	}

	/** Retries a write until one is acknowledged; resolves to the time that took, in milliseconds. */
	async function writeUntilDone(session: LineTestSession, text: string): Promise<number> {
		const startedAtMs = cluster.clock.nowMs();
		while (cluster.clock.nowMs() - startedAtMs < timeoutMs) {
			const answer = await session.send(text);
			if (answer.startsWith('COMPLETE')) {
				return cluster.clock.nowMs() - startedAtMs;
			}

			await cluster.clock.advance(20);
		}

		throw new Error(`expected an acknowledged write within ${timeoutMs} ms, found none`);
	}

	afterEach(() => {
		cluster.dispose();
	});

	it('does not treat a primary that receives no requests as lost', async () => {
		const {clock, ordered, nodes: [node]} = await start(3);
		await node.session(databases.primary).send('READ x');
		await clock.advance(60_000);
		expect(ordered).toEqual([]);
		expect(await node.session(databases.primary).send('READ x')).toEqual('COMPLETE i-1||READY I 1.0');
	});

	it('replaces a primary that crashed, once, and keeps what replicas received', async () => {
		const {clock, group, ordered, nodes} = await start(3);
		const sessions = nodes.map(node => node.session(databases.primary));
		await sessions[0].send('WRITE x 1');
		await clock.advance(100);
		group.instance('i-1').isUp = false;
		const gapMs = await writeUntilDone(sessions[1], 'WRITE y 1');
		expect(gapMs < 1700).toEqual(true);
		expect(ordered.length).toEqual(1);
		expect(await answerStartsWith(sessions[2].send('READ x'), 'DATAROW 1|')).toEqual(true);
	});

	it('relays statements through another node while this node alone cannot reach the primary', async () => {
		const {clock, ordered, nodes} = await start(3);
		const session = nodes[0].session(databases.primary);
		await session.send('WRITE x 1');
		nodes[0].connector.connectionFaults.set('i-1', 'refused');
		nodes[0].pools.pool(nodes[0].registry.endpoint('i-1')!).closeIdle();
		await nodes[1].session(databases.primary).send('READ x');
		expect(await writeUntilDone(session, 'WRITE x 2') < 500).toEqual(true);
		await session.send('BEGIN');
		expect(await answerStartsWith(session.send('READ x'), 'DATAROW 2|')).toEqual(true);
		await session.send('WRITE x 3');
		expect(await answerStartsWith(session.send('COMMIT'), 'COMPLETE i-1|')).toEqual(true);
		await clock.advance(3000);
		expect(ordered).toEqual([]);
	});

	it('replaces a draining primary in a planned promotion that loses nothing', async () => {
		const {clock, group, ordered, nodes} = await start(3);
		const session = nodes[0].session(databases.primary);
		await session.send('WRITE x 1');
		cluster.register('i-1');
		await clock.advance(200);
		await writeUntilDone(session, 'WRITE y 1');
		expect(ordered.length).toEqual(1);
		expect(group.instance(ordered[0].id).read('x')).toEqual('1');
	});

	it('loses no write that a leaving node acknowledges while it still serves', async () => {
		// A node that has announced that it leaves goes on serving its sessions for 3 s. If the promoter
		// removes it at the announcement, it fences the replicas without notifying it and orders the
		// promotion 50 ms later: writes that the node acknowledges under its lease are then lost.
		const {clock, group, nodes} = await start(3);
		const [leaving, ...others] = nodes;
		const session = leaving.session(databases.primary);
		await session.send('WRITE x 0');
		await clock.advanceUntil(leaving.directory.leave());
		// The other nodes can no longer reach the primary and ask no node that can; its replicas still receive writes.
		for (const other of others) {
			cutConnections(other, ['i-1']);
		}

		let acknowledged = 0;
		for (let round = 1; round <= 300; round++) {
			const answer = await session.send(`WRITE x ${round}`);
			acknowledged = answer.startsWith('COMPLETE') ? round : acknowledged;
		}

		await clock.advance(2000);
		const primary = group.instances.find(({isPrimary, id}) => isPrimary && id !== 'i-1')!;
		const shown = await others[0].session(databases.primary).send('READ x');
		expect(primary.id === 'i-1').toEqual(false);
		expect(Number(/DATAROW (\d+)/v.exec(shown)?.[1]) >= acknowledged).toEqual(true);
	});

	it('promotes no replica while one that may prove the old term cannot be fenced', async () => {
		const {clock, ordered, nodes} = await start(1);
		const [node] = nodes;
		const session = node.session(databases.primary);
		await session.send('READ x');
		cutConnections(node, ['i-1', 'i-2']);
		await session.send('READ x');
		await clock.advance(10_000);
		expect(ordered).toEqual([]);
		expect(node.logged('promotionFailed').some(({outcome}) => outcome === 'notFenced')).toEqual(true);
	});

	it('acknowledges no write of a primary that was replaced while a partition isolated it', async () => {
		const {clock, group, nodes} = await start(5);
		const cutOff = nodes[0];
		const session = cutOff.session(databases.primary);
		await session.send('WRITE x 1');
		await clock.advance(100);
		// The first node and the primary are on one side of the partition, everything else is on the other.
		cutConnections(cutOff, ['i-2', 'i-3']);
		for (const node of nodes.slice(1)) {
			cutConnections(node, ['i-1']);
			cutOff.unreachablePeers.add(node.self.name);
		}

		group.instance('i-2').isReplicationBlocked = true;
		group.instance('i-3').isReplicationBlocked = true;
		const other = nodes[1].session(databases.primary);
		let isReplaced = false;
		const acknowledgedAfter: string[] = [];
		for (let round = 0; round < 400; round++) {
			const hasNewPrimary = group.instances.slice(1).some(({isPrimary}) => isPrimary);
			isReplaced ||= hasNewPrimary;
			const answer = await session.send(`WRITE old ${round}`);
			if (hasNewPrimary && answer.startsWith('COMPLETE')) {
				acknowledgedAfter.push(answer);
			}

			await other.send(`WRITE new ${round}`);
			await clock.advance(10);
		}

		expect(isReplaced).toEqual(true);
		expect(acknowledgedAfter).toEqual([]);
	});

	it('does not replace a primary that other nodes reach when a node returns from a partition', async () => {
		const {clock, ordered, nodes} = await start(5);
		const [cutOff, ...others] = nodes;
		const session = others[0].session(databases.primary);
		await session.send('WRITE x 1');
		cutConnections(cutOff, ['i-1', 'i-2', 'i-3']);
		cutOff.isStoreUnreachable = true;
		for (const node of others) {
			cutOff.unreachablePeers.add(node.self.name);
		}

		for (let round = 0; round < 60; round++) {
			await cutOff.session(databases.primary).send('READ x');
			await session.send(`WRITE x ${round}`);
			await clock.advance(100);
		}

		cutOff.isStoreUnreachable = false;
		cutOff.unreachablePeers.clear();
		cutOff.connector.connectionFaults.delete('i-2');
		cutOff.connector.connectionFaults.delete('i-3');
		// The connection to the primary recovers last.
		for (let round = 0; round < 30; round++) {
			await cutOff.session(databases.primary).send('READ x');
			await session.send(`WRITE y ${round}`);
			await clock.advance(50);
		}

		expect(ordered).toEqual([]);
	});

	it('replaces no primary that other nodes reach, although the store records that a replacement has begun', async () => {
		const {clock, ordered, store, nodes} = await start(5);
		const [behind, ...others] = nodes;
		await others[0].session(databases.primary).send('WRITE x 1');
		// The node that began the replacement is gone; this one does not reach the primary and reads the store.
		store.put(dutyTable, 'holder', JSON.stringify({
			holder: 'gone', epoch: 1, usedAtMs: clock.nowMs(), claimId: 'x', term: 1,
		}), service);
		cutConnections(behind, ['i-1']);
		void behind.trackers.checkReplacements();
		for (let round = 0; round < 40; round++) {
			await behind.session(databases.own).send('READ x');
			await others[0].session(databases.primary).send(`WRITE x ${round}`);
			await clock.advance(50);
		}

		await clock.advance(6000);
		expect(ordered).toEqual([]);
		expect(await answerStartsWith(others[1].session(databases.primary).send('WRITE x 2'), 'COMPLETE')).toEqual(true);
	});

	it('acknowledges nothing after it has fenced replicas itself, and orders no promotion if the primary answers meanwhile', async () => {
		const {clock, group, ordered, nodes} = await start(3);
		const [node] = nodes;
		const session = node.session(databases.primary);
		await session.send('WRITE x 0');
		await clock.advance(100);
		// It cannot notify the other nodes, and has to wait until their leases have expired.
		for (const other of nodes.slice(1)) {
			node.unreachablePeers.add(other.self.name);
		}

		node.connector.connectionFaults.set('i-1', 'silent');
		while (group.instances.every(({fencedForTerm}) => fencedForTerm === 0)) {
			void session.start('READ x');
			await clock.advance(10);
		}

		node.connector.connectionFaults.clear();
		const answer = await session.send('WRITE x 1');
		expect(answer.startsWith('COMPLETE')).toEqual(false);
		await clock.advance(3000);
		expect(ordered).toEqual([]);
		expect(await answerStartsWith(nodes[0].session(databases.primary).send('WRITE x 2'), 'COMPLETE')).toEqual(true);
	});

	it('acknowledges nothing of a replaced primary on the proof of a replica whose registration has expired', async () => {
		const {clock, group, ordered, store, nodes} = await start(5);
		const cutOff = nodes[0];
		const session = cutOff.session(databases.primary);
		await session.send('WRITE x 1');
		await clock.advance(100);
		// The first node reaches the primary and a replica that the other nodes no longer know; calls between it and them fail.
		store.put(tables.instances, 'i-3', undefined);
		cutConnections(cutOff, ['i-2']);
		for (const node of nodes.slice(1)) {
			cutConnections(node, ['i-1', 'i-3']);
			cutOff.unreachablePeers.add(node.self.name);
		}

		group.instance('i-2').isReplicationBlocked = true;
		group.instance('i-3').isReplicationBlocked = true;
		group.instance('i-1').missesPromotions = true;
		group.instance('i-3').missesPromotions = true;
		const other = nodes[1].session(databases.primary);
		const acknowledgedAfter: string[] = [];
		for (let round = 0; round < 600; round++) {
			const isReplaced = group.instance('i-2').isPrimary;
			const answer = await session.send(`WRITE old ${round}`);
			if (isReplaced && answer.startsWith('COMPLETE')) {
				acknowledgedAfter.push(answer);
			}

			if (ordered.length > 0 && !group.instance('i-2').isPrimary) {
				cluster.register();
			}

			await other.send(`WRITE new ${round}`);
			await clock.advance(10);
		}

		expect(ordered.length).toEqual(1);
		expect(acknowledgedAfter).toEqual([]);
	});

	it('finds out by reading that it acquired a duty although the answer was lost', async () => {
		const {group, ordered, store, nodes: [node]} = await start(1);
		const session = node.session(databases.primary);
		await session.send('WRITE x 1');
		await cluster.clock.advance(100);
		store.writeAnswersToLose = 1;
		group.instance('i-1').isUp = false;
		await writeUntilDone(session, 'WRITE y 1');
		expect(ordered.map(({epoch}) => epoch)).toEqual([1]);
	});

	it('never lets two nodes promote with the same epoch, nor with epochs out of order', async () => {
		const {clock, group, ordered, nodes} = await start(5);
		const sessions = nodes.map(node => node.session(databases.primary));
		await sessions[0].send('WRITE x 1');
		group.instance('i-1').isUp = false;
		await writeUntilDone(sessions[1], 'WRITE y 1');
		group.instance('i-1').isUp = true;
		const [first] = ordered;
		group.instance(first.id).isUp = false;
		await writeUntilDone(sessions[2], 'WRITE z 1');
		await clock.advance(3000);
		const epochs = ordered.map(({epoch}) => epoch);
		expect(new Set(epochs).size).toEqual(epochs.length);
		expect(epochs.toSorted((a, b) => a - b)).toEqual(epochs);
	});

	it('removes fences that a node left at replicas before it stopped', async () => {
		const {clock, group, nodes: [node]} = await start(1);
		const session = node.session(databases.primary);
		group.instance('i-2').fencedForTerm = 2;
		group.instance('i-3').fencedForTerm = 2;
		for (let round = 0; round < 40; round++) {
			await session.send('READ x');
			await clock.advance(250);
		}

		expect(group.instances.map(({fencedForTerm}) => fencedForTerm)).toEqual([0, 0, 0]);
		expect(await answerStartsWith(session.send('READ x'), 'COMPLETE')).toEqual(true);
	});

	it('does not trust proofs from before the host was suspended', async () => {
		const {clock, nodes: [node]} = await start(1);
		await node.session(databases.primary).send('READ x');
		expect(node.group.isLeased).toEqual(true);
		const wallClockMs = clock.wallClockMs.bind(clock);
		clock.wallClockMs = () => wallClockMs() + 2000;
		expect(node.group.isLeased).toEqual(false);
		expect(await answerStartsWith(node.session(databases.primary).send('READ x'), 'COMPLETE')).toEqual(true);
	});

	it('keeps every write that was acknowledged right before its primary crashed', async () => {
		for (let round = 0; round < 5; round++) {
			const {group, nodes} = await start(3);
			const session = nodes[round % 3].session(databases.primary);
			// Replication takes longer than an answer.
			for (const instance of group.instances) {
				instance.replicationDelayMs = 8;
			}

			for (let count = 0; count <= round; count++) {
				expect(await answerStartsWith(session.send(`WRITE x ${count}`), 'COMPLETE')).toEqual(true);
			}

			group.instance('i-1').isUp = false;
			const other = nodes[(round + 1) % 3].session(databases.primary);
			await writeUntilDone(other, 'WRITE y 1');
			expect(await answerStartsWith(other.send('READ x'), `DATAROW ${round}|`)).toEqual(true);
			cluster.dispose();
		}
	});

	it('acknowledges writes while replicas receive nothing, and logs that they are unconfirmed', async () => {
		const {group, nodes: [node]} = await start(1);
		group.instance('i-2').isReplicationBlocked = true;
		group.instance('i-3').isReplicationBlocked = true;
		const session = node.session(databases.primary);
		expect(await answerStartsWith(session.send('WRITE x 1', 'w1'), 'COMPLETE')).toEqual(true);
		expect(node.logged('writeUnconfirmed').map(({request}) => request)).toEqual(['w1']);
	});

	it('refuses statements at once while the primary is silent', async () => {
		const {clock, nodes: [node]} = await start(1);
		const session = node.session(databases.primary);
		await session.send('WRITE x 1');
		node.connector.connectionFaults.set('i-1', 'silent');
		await session.send('WRITE x 2');
		const startedAtMs = clock.nowMs();
		expect(await answerStartsWith(session.send('WRITE x 3'), 'ERROR BUSY')).toEqual(true);
		expect(clock.nowMs() - startedAtMs < 50).toEqual(true);
		node.connector.connectionFaults.delete('i-1');
		// An attempt to connect that is in progress has to end first.
		await clock.advance(1500);
		expect(await answerStartsWith(session.send('WRITE x 4'), 'COMPLETE')).toEqual(true);
	});

	it('serves while the store is unavailable', async () => {
		const {clock, store, nodes} = await start(2);
		const session = nodes[0].session(databases.primary);
		await session.send('WRITE x 1');
		store.isUnavailable = true;
		await clock.advance(8000);
		expect(await answerStartsWith(session.send('READ x'), 'DATAROW 1|')).toEqual(true);
		expect(await answerStartsWith(nodes[1].session(databases.primary).send('WRITE x 2'), 'COMPLETE')).toEqual(true);
	});
});
