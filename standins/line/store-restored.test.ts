import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {tables} from '../../platform/names.js';
import {nodeTable} from '../../src/common/peering/constants.js';
import {cutConnections, databases, LineTestCluster} from './line-test-cluster.js';
import type {LineTestNode} from './line-test-cluster.js';
import type {StoreSnapshot} from './memory-row-store.js';

/** Time within which a change of the configuration must take effect, in virtual milliseconds. */
const applyMs = 3000;

/** Time within which the rows that the store lost are written again, in virtual milliseconds. */
const writtenAgainMs = 2000;

/** Time within which every node must refuse a revoked key, in virtual milliseconds. */
const keyRevocationMs = 5000;

/** Timeout for expected effects, in virtual milliseconds. */
const timeoutMs = 20_000;

/** Number of writes that the store loses, and whose versions it gives out again, in the tests of configuration changes. */
const lostWrites = 100;

const shop = {name: 'shop', 'api-keys': ['key-of-shop']};

describe('a store that is restored from an older snapshot', () => {
	let cluster: LineTestCluster;

	async function start(nodes: number): Promise<LineTestCluster> {
		cluster = new LineTestCluster();
		await cluster.start(nodes);
		return cluster;
	}

	/** Makes the store unavailable for a while, then restores a snapshot: writes since the snapshot are lost. */
	async function restore(snapshot: StoreSnapshot, unavailableMs = 500): Promise<void> {
		cluster.store.isUnavailable = true;
		await cluster.clock.advance(unavailableMs);
		cluster.store.restore(snapshot);
		cluster.store.isUnavailable = false;
	}

	function write(rows: number): void {
		for (let count = 0; count < rows; count++) {
			cluster.store.put('other', 'row', String(count));
		}
	}

	/** Writes through a node until one more promotion has taken effect. */
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

	/** Writes through a node for some time; resolves to the acknowledgements of one endpoint. */
	async function acknowledgedAt(endpoint: string, node: LineTestNode, durationMs: number): Promise<string[]> {
		const endMs = cluster.clock.nowMs() + durationMs;
		const answers: string[] = [];
		while (cluster.clock.nowMs() < endMs) {
			answers.push(await node.session(databases.own).send('WRITE x 1'));
			await cluster.clock.advance(10);
		}

		return answers.filter(answer => answer.startsWith(`COMPLETE ${endpoint}`));
	}

	/** Returns the names of the nodes on which version 2 of the configuration is not active. */
	function staleNodes(): string[] {
		return cluster.nodes.filter(({catalog}) => catalog.version !== 2).map(({self}) => self.name);
	}

	afterEach(() => {
		cluster.dispose();
	});

	/** Restores the store, changes the configuration after a pause, and then writes other rows. */
	async function changeAfterRestore(nodes: number, {writes, pauseMs}: {readonly writes: number; readonly pauseMs: number}): Promise<void> {
		const {store, clock} = await start(nodes);
		const snapshot = store.takeSnapshot();
		write(lostWrites);
		await clock.advance(2500);
		await restore(snapshot);
		await clock.advance(pauseMs);
		cluster.configure(2);
		write(writes);
		await clock.advance(applyMs);
	}

	for (const nodes of [3, 24]) {
		it(`delivers a change whose version is below the one that ${nodes} nodes know`, async () => {
			await changeAfterRestore(nodes, {writes: 0, pauseMs: 500});
			expect(staleNodes()).toEqual([]);
		});

		it(`delivers a change whose version equals the one that ${nodes} nodes know`, async () => {
			await changeAfterRestore(nodes, {writes: lostWrites - 1, pauseMs: 500});
			expect(staleNodes()).toEqual([]);
		});

		it(`delivers a change when the store has passed the version that ${nodes} nodes know before they ask`, async () => {
			await changeAfterRestore(nodes, {writes: lostWrites * 2, pauseMs: 0});
			expect(staleNodes()).toEqual([]);
		});
	}

	it('is not read by every node of a large fleet when it recovers', async () => {
		const {store, clock} = await start(24);
		const snapshot = store.takeSnapshot();
		cluster.register();
		await clock.advance(2500);
		store.isUnavailable = true;
		await clock.advance(2500);
		const callsBefore = store.calls;
		const readsBefore = store.reads.get(tables.operator) ?? 0;
		store.restore(snapshot);
		store.isUnavailable = false;
		await clock.advance(applyMs);
		// One read per zone; the calls include one by each node that looks for its coordinator.
		expect((store.reads.get(tables.operator) ?? 0) - readsBefore <= 3).toEqual(true);
		expect(store.calls - callsBefore <= 24 * 6).toEqual(true);
	});

	it('lets no write be acknowledged at a primary when the record of its replacement is lost', async () => {
		const {store, clock, group} = await start(5);
		const [cutOff, ...others] = cluster.nodes;
		await others[0].session(databases.primary).send('WRITE x 0');
		await clock.advance(100);
		// Neither the old primary nor one of the replicas learns of the promotion.
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

		const snapshot = store.takeSnapshot();
		await writeUntilReplaced(others[0]);
		await clock.advance(200);
		await restore(snapshot);
		cluster.register();
		for (const node of cluster.nodes) {
			node.connector.connectionFaults.clear();
			node.isStoreUnreachable = false;
		}

		// The node's connections to the other nodes and to the new primary stay cut.
		cutConnections(cutOff, ['i-3']);
		expect(await acknowledgedAt('i-1', cutOff, 8000)).toEqual([]);
	});

	it('gives promotions epochs above those that it has lost', async () => {
		const {store, clock} = await start(3);
		const snapshot = store.takeSnapshot();
		await replacePrimary('i-1');
		await restore(snapshot);
		cluster.register();
		await clock.advance(6000);
		await replacePrimary(cluster.group.instances.find(({isPrimary}) => isPrimary)!.id);
		const epochs = cluster.ordered.map(({epoch}) => epoch);
		expect(epochs.length >= 2).toEqual(true);
		expect(epochs).toEqual([...new Set(epochs)].toSorted((a, b) => a - b));
	});

	it('receives the lost registration of a node of a large fleet again', async () => {
		const {store, clock} = await start(24);
		const snapshot = store.takeSnapshot();
		const {self} = cluster.addNode();
		await clock.advance(3000);
		await restore(snapshot);
		await clock.advance(writtenAgainMs);
		const read = await clock.advanceUntil(store.read(nodeTable, ''));
		expect(read.unsafeCoerce().rows.some(({key}) => key === self.name)).toEqual(true);
	});

	it('receives the lost registration of a node of a small fleet again', async () => {
		const {store, clock} = await start(1);
		const snapshot = store.takeSnapshot();
		cluster.addNode();
		await clock.advance(3000);
		await restore(snapshot);
		await clock.advance(writtenAgainMs);
		const read = await clock.advanceUntil(store.read(nodeTable, ''));
		const keys = new Set(read.unsafeCoerce().rows.map(({key}) => key));
		expect(cluster.nodes.map(({self}) => self.name).filter(name => !keys.has(name))).toEqual([]);
	});

	it('lets a node that starts long after the restore obtain leases at once', async () => {
		const {store, clock} = await start(3);
		await restore(store.takeSnapshot());
		await clock.advance(10_000);
		const node = cluster.addNode();
		await clock.advance(500);
		expect(node.logged('leaseStarted').length > 0).toEqual(true);
	});

	it('keeps nodes that start right after the restore from obtaining leases for a while', async () => {
		const {store, clock} = await start(1);
		const snapshot = store.takeSnapshot();
		cluster.restartAll();
		await restore(snapshot);
		await clock.advance(writtenAgainMs);
		expect(cluster.nodes.flatMap(node => node.logged('leaseStarted'))).toEqual([]);
		await clock.advance(2 * writtenAgainMs);
		expect(cluster.nodes.flatMap(node => node.logged('leaseStarted')).length > 0).toEqual(true);
	});

	it('admits no caller with a key whose revocation it has lost', async () => {
		cluster = new LineTestCluster();
		cluster.organisations = [shop];
		cluster.keyRevocationMs = keyRevocationMs;
		await cluster.start(3);
		const {store, clock, nodes: [node]} = cluster;
		const snapshot = store.takeSnapshot();
		node.isStoreUnreachable = true;
		for (const {self} of cluster.nodes) {
			node.unreachablePeers.add(self.name);
		}

		await clock.advance(1200);
		cluster.organisations = [{...shop, 'api-keys': []}];
		cluster.configure(2);
		const revokedAtMs = clock.nowMs();
		await clock.advance(2000);
		await restore(snapshot, 2000);
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

	it('hides no endpoint whose registration it has lost, and does not undo a drain', async () => {
		const {store, clock, nodes: [node]} = await start(3);
		store.put(tables.instances, 'i-3', undefined);
		await clock.advance(4000);
		const snapshot = store.takeSnapshot();
		cluster.register('i-2');
		await clock.advance(500);
		await restore(snapshot);
		await clock.advance(1000);
		const seen = node.registry.ofService('svc').map(({id, isDraining}) => `${id} ${isDraining}`).toSorted();
		expect(seen).toEqual(['i-1 false', 'i-2 true', 'i-3 false']);
	});

	it('does not bring back an endpoint whose removal it has lost until that endpoint registers again', async () => {
		const {store, clock, nodes: [node]} = await start(3);
		const snapshot = store.takeSnapshot();
		store.put(tables.instances, 'i-3', undefined);
		await clock.advance(500);
		await restore(snapshot);
		await clock.advance(1000);
		expect(node.registry.endpoint('i-3') === undefined).toEqual(true);
		cluster.register();
		await clock.advance(100);
		expect(node.registry.endpoint('i-3') === undefined).toEqual(false);
	});

	it('does not make endpoints appear restarted', async () => {
		const {store, clock, nodes} = await start(3);
		const snapshot = store.takeSnapshot();
		cluster.register();
		await clock.advance(500);
		await restore(snapshot);
		await clock.advance(1000);
		cluster.register();
		await clock.advance(1000);
		expect(nodes.flatMap(node => node.logged('endpointRestarted'))).toEqual([]);
	});

	/** Makes all connections of nodes to the primary fail until another endpoint is promoted. */
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
