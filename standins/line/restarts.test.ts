import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {answerStartsWith} from './line-test-session.js';
import {databases, LineTestCluster} from './line-test-cluster.js';
import type {LineTestNode} from './line-test-cluster.js';

/** Maximum time until a group serves again, in virtual milliseconds. */
const timeoutMs = 15_000;

/** Time until an instance that has started again has received the log from its primary. */
const syncMs = 300;

describe('instances that start again under their id', () => {
	let cluster: LineTestCluster;

	async function start(nodes: number): Promise<LineTestCluster> {
		cluster = new LineTestCluster();
		for (const instance of cluster.group.instances) {
			instance.startedAtMs = 1000;
		}

		await cluster.start(nodes);
		return cluster;
	}

	/** Starts an instance again; its registration shows the new start after a delay, and without a start time unless `isStartTold` is set. */
	function restart(id: string, options: {readonly isPrimary?: boolean; readonly saysSoAfterMs?: number; readonly isStartTold?: boolean} = {}): void {
		const {isPrimary, saysSoAfterMs = 800, isStartTold = true} = options;
		cluster.group.restart(id, {syncMs, isPrimary});
		cluster.clock.setTimer(saysSoAfterMs, () => {
			cluster.group.instance(id).startedAtMs = isStartTold ? 2000 : undefined;
			cluster.register();
		});
	}

	async function untilDone(node: LineTestNode, text: string, database: string = databases.primary): Promise<string> {
		const endMs = cluster.clock.nowMs() + timeoutMs;
		while (cluster.clock.nowMs() < endMs) {
			const answer = await node.session(database).send(text);
			if (answer.includes('COMPLETE')) {
				return answer;
			}

			await cluster.clock.advance(20);
		}

		throw new Error(`expected a successful answer within ${timeoutMs} ms, found none`);
	}

	afterEach(() => {
		cluster.dispose();
	});

	for (const isStartTold of [true, false]) {
		it(`serve no reads as a primary that lost acknowledged writes, start time ${isStartTold ? 'reported' : 'not reported'}`, async () => {
			const {clock, ordered, nodes} = await start(3);
			for (let count = 1; count <= 5; count++) {
				await nodes[0].session(databases.primary).send(`WRITE x ${count}`);
			}

			await clock.advance(100);
			restart('i-1', {isPrimary: true, isStartTold});
			for (const node of nodes) {
				const answer = await node.session(databases.primary).send('READ x');
				expect(answer.includes('COMPLETE') && !answer.startsWith('DATAROW 5|')).toEqual(false);
			}

			expect(await answerStartsWith(untilDone(nodes[1], 'READ x'), 'DATAROW 5|')).toEqual(true);
			expect(ordered.length).toEqual(1);
		});
	}

	it('acknowledge no writes as a primary that lost acknowledged writes', async () => {
		const {clock, nodes: [node]} = await start(1);
		for (let count = 1; count <= 5; count++) {
			await node.session(databases.primary).send(`WRITE x ${count}`);
		}

		await clock.advance(100);
		restart('i-1', {isPrimary: true});
		const answer = await node.session(databases.primary).send('WRITE y 1');
		expect(answer.startsWith('COMPLETE')).toEqual(false);
		await untilDone(node, 'WRITE y 2');
		expect(await answerStartsWith(untilDone(node, 'READ x'), 'DATAROW 5|')).toEqual(true);
	});

	it('are not accepted as primary by a node that connects after the restart', async () => {
		const {clock, group, nodes} = await start(2);
		const [node, late] = nodes;
		late.connector.connectionFaults.set('i-1', 'silent');
		for (let count = 1; count <= 5; count++) {
			await node.session(databases.primary).send(`WRITE x ${count}`);
		}

		await clock.advance(100);
		group.restart('i-1', {syncMs, isPrimary: true});
		late.connector.connectionFaults.clear();
		const answer = await late.session(databases.primary).send('READ x');
		expect(answer.includes('COMPLETE') && !answer.startsWith('DATAROW 5|')).toEqual(false);
		expect(await answerStartsWith(untilDone(late, 'READ x'), 'DATAROW 5|')).toEqual(true);
	});

	it('prove no term until the store shows that its primary is not being replaced, since their fence is lost', async () => {
		const {clock, nodes: [node]} = await start(1);
		await node.session(databases.primary).send('WRITE x 1');
		await clock.advance(100);
		node.connector.connectionFaults.set('i-3', 'silent');
		// Only the position of the replica shows that it has started again: the node cannot read the store.
		node.isStoreUnreachable = true;
		cluster.group.restart('i-2', {syncMs: 600});
		for (let round = 0; round < 20; round++) {
			await node.session(databases.primary).send('READ x');
			await clock.advance(100);
		}

		expect(await answerStartsWith(node.session(databases.primary).send('READ x'), 'ERROR BUSY')).toEqual(true);
		node.isStoreUnreachable = false;
		expect(await answerStartsWith(untilDone(node, 'READ x'), 'DATAROW 1|')).toEqual(true);
	});

	it('stop a promotion whose fence they lost while it was in progress', async () => {
		const {clock, group, ordered, nodes} = await start(3);
		const [node] = nodes;
		await node.session(databases.primary).send('WRITE x 1');
		await clock.advance(100);
		group.instance('i-1').isUp = false;
		const attempt = node.session(databases.primary).start('WRITE y 1');
		// A replica starts again as soon as it is fenced.
		while (!group.instances.some(({fencedForTerm}) => fencedForTerm > 0)) {
			await clock.advance(1);
		}

		group.restart('i-2', {syncMs: 60_000});
		group.instance('i-2').term = 1;
		await clock.advance(10);
		expect(ordered).toEqual([]);
		await untilDone(nodes[1], 'WRITE z 1');
		await attempt;
		expect(ordered.length).toEqual(1);
		expect(ordered[0].id).toEqual('i-3');
	});

	it('confirm no write that they had received before the restart', async () => {
		const {clock, group, nodes: [node]} = await start(1);
		const session = node.session(databases.primary);
		await session.send('WRITE x 1');
		await clock.advance(100);
		const position = {term: 1, offset: 1};
		expect(await clock.advanceUntil(node.group.confirm(position))).toEqual(true);
		group.instance('i-3').isReplicationBlocked = true;
		restart('i-2', {saysSoAfterMs: 0});
		restart('i-3', {saysSoAfterMs: 0});
		await clock.advance(50);
		expect(await clock.advanceUntil(node.group.confirm(position))).toEqual(false);
	});

	it('serve reads with bounded staleness again once they have the log, over new connections', async () => {
		const {clock, group, nodes: [node]} = await start(1);
		await node.session(databases.primary).send('WRITE x 1');
		await clock.advance(100);
		const before = group.instance('i-2').sessions;
		await node.session(databases.aged).send('READ x');
		restart('i-2');
		expect(before.size).toEqual(0);
		await clock.advance(2000);
		group.instance('i-1').slots = 1;
		const answers = Array.from({length: 30}, async () => node.session(databases.aged).start('READ x'));
		await clock.advance(1000);
		const settled = await Promise.all(answers);
		expect(settled.every(answer => answer.startsWith('DATAROW 1|'))).toEqual(true);
	});
});
