import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {tables} from '../../platform/names.js';
import {nodeTable} from '../../src/common/peering/constants.js';
import {cutConnections, databases, LineTestCluster} from './line-test-cluster.js';
import type {LineTestNode} from './line-test-cluster.js';
import type {StoreSnapshot} from './memory-row-store.js';

/** Time in which a change of the configuration must be in force, in virtual milliseconds. */
const applyMs = 3000;

/** Time in which operators and endpoints have written again what the store lost. */
const writtenAgainMs = 2000;

/** Time in which a revoked key must count on no node. */
const keyRevocationMs = 5000;

/** Longest time in virtual milliseconds until something comes about. */
const timeoutMs = 20_000;

/** Versions that the store gives out again after each of these tests' copies. */
const lostWrites = 100;

const shop = {name: 'shop', 'api-keys': ['key-of-shop']};

describe('a store that comes back from an older copy', () => {
	let cluster: LineTestCluster;

	async function start(nodes: number): Promise<LineTestCluster> {
		cluster = new LineTestCluster();
		await cluster.start(nodes);
		return cluster;
	}

	/** The store is away for a moment and has lost what was written since the copy. */
	async function restore(copy: StoreSnapshot, awayMs = 500): Promise<void> {
		cluster.store.isUnavailable = true;
		await cluster.clock.advance(awayMs);
		cluster.store.restore(copy);
		cluster.store.isUnavailable = false;
	}

	function write(rows: number): void {
		for (let count = 0; count < rows; count++) {
			cluster.store.put('other', 'row', String(count));
		}
	}

	/** Writes over a node until one more promotion has taken effect. */
	async function writeUntilReplaced(node: LineTestNode): Promise<void> {
		const session = node.session(databases.own);
		const before = cluster.group.promotionEffects.length;
		const endMs = cluster.clock.nowMs() + timeoutMs;
		while (cluster.group.promotionEffects.length === before) {
			expect(cluster.clock.nowMs() < endMs).toEqual(true);
			await session.send('WRITE x 1');
			await cluster.clock.advance(50);
		}
	}

	/** Writes over a node for a time; resolves with what the endpoint acknowledged. */
	async function acknowledgedAt(endpoint: string, node: LineTestNode, durationMs: number): Promise<string[]> {
		const endMs = cluster.clock.nowMs() + durationMs;
		const answers: string[] = [];
		while (cluster.clock.nowMs() < endMs) {
			answers.push(await node.session(databases.own).send('WRITE x 1'));
			await cluster.clock.advance(10);
		}

		return answers.filter(answer => answer.startsWith(`COMPLETE ${endpoint}`));
	}

	/** Names of nodes on which version 2 of the configuration is not in force. */
	function behind(): string[] {
		return cluster.nodes.filter(({catalog}) => catalog.version !== 2).map(({self}) => self.name);
	}

	afterEach(() => {
		cluster.dispose();
	});

	/** Changes the configuration once the store is back, and then writes something else. */
	async function changeAfterRestore(nodes: number, {writes, pauseMs}: {readonly writes: number; readonly pauseMs: number}): Promise<void> {
		const {store, clock} = await start(nodes);
		const copy = store.takeSnapshot();
		write(lostWrites);
		await clock.advance(2500);
		await restore(copy);
		await clock.advance(pauseMs);
		cluster.configure(2);
		write(writes);
		await clock.advance(applyMs);
	}

	for (const nodes of [3, 24]) {
		it(`puts a change in force below the version that ${nodes} nodes know`, async () => {
			await changeAfterRestore(nodes, {writes: 0, pauseMs: 500});
			expect(behind()).toEqual([]);
		});

		it(`puts a change in force at the very version that ${nodes} nodes know`, async () => {
			await changeAfterRestore(nodes, {writes: lostWrites - 1, pauseMs: 500});
			expect(behind()).toEqual([]);
		});

		it(`puts a change in force whose version had passed the one that ${nodes} nodes know before they asked`, async () => {
			await changeAfterRestore(nodes, {writes: lostWrites * 2, pauseMs: 0});
			expect(behind()).toEqual([]);
		});
	}

	it('is not read by every node of a large fleet at its return', async () => {
		const {store, clock} = await start(24);
		const copy = store.takeSnapshot();
		cluster.register();
		await clock.advance(2500);
		store.isUnavailable = true;
		await clock.advance(2500);
		const callsBefore = store.calls;
		const readsBefore = store.reads.get(tables.operator) ?? 0;
		store.restore(copy);
		store.isUnavailable = false;
		await clock.advance(applyMs);
		// Three zones, and what nodes that look for their asker ask once.
		expect((store.reads.get(tables.operator) ?? 0) - readsBefore <= 3).toEqual(true);
		expect(store.calls - callsBefore <= 24 * 6).toEqual(true);
	});

	it('has no write acknowledged at a primary whose replacement is on record no more', async () => {
		const {store, clock, group} = await start(5);
		const [cutOff, ...others] = cluster.nodes;
		await others[0].session(databases.primary).send('WRITE x 0');
		await clock.advance(100);
		// Neither the old primary nor one replica hears of the promotion.
		group.instance('i-1').missesPromotions = true;
		group.instance('i-2').missesPromotions = true;
		group.instance('i-2').isReplicationBlocked = true;
		await others[0].session(databases.primary).send('WRITE x 1');
		cutOff.isStoreUnreachable = true;
		cutConnections(cutOff, ['i-2', 'i-3']);
		for (const node of others) {
			cutOff.unreachablePeers.add(node.self.name);
			cutConnections(node, ['i-1']);
		}

		const copy = store.takeSnapshot();
		await writeUntilReplaced(others[0]);
		await clock.advance(200);
		await restore(copy);
		cluster.register();
		for (const node of cluster.nodes) {
			node.connector.connectionFaults.clear();
			node.isStoreUnreachable = false;
		}

		// Its way to the others and to the new primary stays cut.
		cutConnections(cutOff, ['i-3']);
		expect(await acknowledgedAt('i-1', cutOff, 8000)).toEqual([]);
	});

	it('has promotions carry epochs above those that it has lost', async () => {
		const {store, clock} = await start(3);
		const copy = store.takeSnapshot();
		await replacePrimary('i-1');
		await restore(copy);
		cluster.register();
		await clock.advance(6000);
		await replacePrimary(cluster.group.instances.find(({isPrimary}) => isPrimary)!.id);
		const epochs = cluster.ordered.map(({epoch}) => epoch);
		expect(epochs.length >= 2).toEqual(true);
		expect(epochs).toEqual([...new Set(epochs)].toSorted((a, b) => a - b));
	});

	it('holds the registration of a node that joined a large fleet again', async () => {
		const {store, clock} = await start(24);
		const copy = store.takeSnapshot();
		const {self} = cluster.addNode();
		await clock.advance(3000);
		await restore(copy);
		await clock.advance(writtenAgainMs);
		const read = await clock.advanceUntil(store.read(nodeTable, ''));
		expect(read.unsafeCoerce().rows.some(({key}) => key === self.name)).toEqual(true);
	});

	it('holds every node\'s registration again', async () => {
		const {store, clock} = await start(1);
		const copy = store.takeSnapshot();
		cluster.addNode();
		await clock.advance(3000);
		await restore(copy);
		await clock.advance(writtenAgainMs);
		const read = await clock.advanceUntil(store.read(nodeTable, ''));
		const keys = new Set(read.unsafeCoerce().rows.map(({key}) => key));
		expect(cluster.nodes.map(({self}) => self.name).filter(name => !keys.has(name))).toEqual([]);
	});

	it('tells a node that starts later when it came back', async () => {
		const {store, clock} = await start(3);
		await restore(store.takeSnapshot());
		await clock.advance(10_000);
		const node = cluster.addNode();
		await clock.advance(500);
		expect(node.logged('leaseStarted').length > 0).toEqual(true);
	});

	it('keeps a node that starts at once after it from every lease', async () => {
		const {store, clock} = await start(1);
		const copy = store.takeSnapshot();
		cluster.restartAll();
		await restore(copy);
		await clock.advance(writtenAgainMs);
		expect(cluster.nodes.flatMap(node => node.logged('leaseStarted'))).toEqual([]);
		await clock.advance(2 * writtenAgainMs);
		expect(cluster.nodes.flatMap(node => node.logged('leaseStarted')).length > 0).toEqual(true);
	});

	it('lets nobody in with a key that was revoked in what it has lost', async () => {
		cluster = new LineTestCluster();
		cluster.organisations = [shop];
		cluster.keyRevocationMs = keyRevocationMs;
		await cluster.start(3);
		const {store, clock, nodes: [node]} = cluster;
		const copy = store.takeSnapshot();
		node.isStoreUnreachable = true;
		for (const {self} of cluster.nodes) {
			node.unreachablePeers.add(self.name);
		}

		await clock.advance(1200);
		cluster.organisations = [{...shop, 'api-keys': []}];
		cluster.configure(2);
		const revokedAtMs = clock.nowMs();
		await clock.advance(2000);
		await restore(copy, 2000);
		node.isStoreUnreachable = false;
		const session = node.session(databases.aged, 'key-of-shop');
		const endMs = clock.nowMs() + writtenAgainMs;
		let lastServedMs = 0;
		while (clock.nowMs() < endMs) {
			const sentAtMs = clock.nowMs();
			const answer = await session.send('READ x');
			lastServedMs = answer.includes('COMPLETE') ? sentAtMs - revokedAtMs : lastServedMs;
			await clock.advance(50);
		}

		expect(lastServedMs <= keyRevocationMs).toEqual(true);
	});

	it('hides no endpoint that registered in what it has lost, and undoes no notice to leave', async () => {
		const {store, clock, nodes: [node]} = await start(3);
		store.put(tables.instances, 'i-3', undefined);
		await clock.advance(4000);
		const copy = store.takeSnapshot();
		cluster.register('i-2');
		await clock.advance(500);
		await restore(copy);
		await clock.advance(1000);
		const seen = node.registry.ofService('svc').map(({id, isDraining}) => `${id} ${isDraining}`).toSorted();
		expect(seen).toEqual(['i-1 false', 'i-2 true', 'i-3 false']);
	});

	it('brings back no endpoint whose removal it has lost, until that endpoint reports again', async () => {
		const {store, clock, nodes: [node]} = await start(3);
		const copy = store.takeSnapshot();
		store.put(tables.instances, 'i-3', undefined);
		await clock.advance(500);
		await restore(copy);
		await clock.advance(1000);
		expect(node.registry.endpoint('i-3') === undefined).toEqual(true);
		cluster.register();
		await clock.advance(100);
		expect(node.registry.endpoint('i-3') === undefined).toEqual(false);
	});

	it('makes no endpoint look as if it had started again', async () => {
		const {store, clock, nodes} = await start(3);
		const copy = store.takeSnapshot();
		cluster.register();
		await clock.advance(500);
		await restore(copy);
		await clock.advance(1000);
		cluster.register();
		await clock.advance(1000);
		expect(nodes.flatMap(node => node.logged('endpointRestarted'))).toEqual([]);
	});

	/** Cuts every node off from the primary until another one leads. */
	async function replacePrimary(id: string): Promise<void> {
		for (const node of cluster.nodes) {
			cutConnections(node, [id]);
		}

		await writeUntilReplaced(cluster.nodes[0]);
		await cluster.clock.advance(300);
		for (const node of cluster.nodes) {
			node.connector.connectionFaults.clear();
		}
	}
});
