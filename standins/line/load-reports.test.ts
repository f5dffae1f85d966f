import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import type {StatementPool} from '../../src/common/pools/types.js';
import {giveInstancesWork, runFleetLoad} from './fleet-load.js';
import type {FleetLoadOptions, FleetLoadResult} from './fleet-load.js';
import type {InstanceLoad} from './instance-load.js';
import type {LineTestNode} from './line-test-cluster.js';
import {LineTestCluster} from './line-test-cluster.js';

/** Number of nodes: too many for every node to connect to every endpoint. */
const nodeCount = 24;

/** Load with the work of `case-update` of deployment F (docs/design/load-control.md). */
const load = {
	perS: 500, durationMs: 4000, goalMs: 201, writeShare: 0.12,
};

/** Mean and maximum work at an endpoint. */
const work = {meanMs: 7.6, maximumMs: 81};

type Run = {readonly result: FleetLoadResult; readonly loads: readonly InstanceLoad[]};

describe('load reports in a large fleet', () => {
	const clusters: LineTestCluster[] = [];

	/** Runs a load, whose statements must run as they were sent. */
	async function runLoad(cluster: LineTestCluster, options: FleetLoadOptions): Promise<FleetLoadResult> {
		const result = await runFleetLoad(cluster, options);
		expect(result.violations).toEqual([]);
		return result;
	}

	/** Runs a load with and without load reports; the fault begins after a warm-up. */
	async function compare(seed: number, fault: (cluster: LineTestCluster, loads: readonly InstanceLoad[]) => void, perS = load.perS): Promise<{before: Run; after: Run}> {
		const runs: Run[] = [];
		for (const usesLoadReports of [false, true]) {
			const cluster = new LineTestCluster();
			clusters.push(cluster);
			cluster.usesLoadReports = usesLoadReports;
			await cluster.start(nodeCount);
			const loads = giveInstancesWork(cluster, seed, work.meanMs, work.maximumMs);
			await runLoad(cluster, {
				...load, seed: seed + 100, perS: perS / 4, durationMs: 500,
			});
			fault(cluster, loads);
			runs.push({loads, result: await runLoad(cluster, {...load, seed, perS})});
		}

		return {before: runs[0], after: runs[1]};
	}

	function shareInTime({sent, inTime}: FleetLoadResult): number {
		return inTime / sent;
	}

	afterEach(() => {
		for (const cluster of clusters.splice(0)) {
			cluster.dispose();
		}
	});

	// The endpoints of deployment F turned away 6,000 of 75,883 arrivals.
	it('send a replica that lags far behind at most a fifth of the reads that it turned away before', async () => {
		for (const seed of [1, 2]) {
			const {before, after} = await compare(seed, ({group}) => {
				group.instance('i-2').lagMs = 3000;
			});
			const [turnedAway, stillTurnedAway] = [before, after].map(({loads}) => loads[1].counts.behind);
			expect(turnedAway > 100 && stillTurnedAway <= turnedAway / 5).toEqual(true);
			expect(after.result.inTime).toEqual(after.result.sent);
		}
	});

	it('send replicas that lag by 150 ms at most a third of the reads that they turned away before', async () => {
		let turnedAway = 0;
		let stillTurnedAway = 0;
		for (const seed of [1, 2]) {
			const {before, after} = await compare(seed, ({group}) => {
				for (const instance of group.instances) {
					instance.lagMs = 150;
				}
			}, 800);
			turnedAway += before.loads.reduce((sum, {counts}) => sum + counts.behind, 0);
			stillTurnedAway += after.loads.reduce((sum, {counts}) => sum + counts.behind, 0);
			expect(shareInTime(after.result) >= 0.998).toEqual(true);
		}

		expect(turnedAway > 50 && stillTurnedAway <= turnedAway / 3).toEqual(true);
	});

	it('lose at most half as many statements to a slow replica while the others are near their capacity', async () => {
		for (const seed of [1, 2]) {
			const {before, after} = await compare(seed, (_, loads) => {
				loads[1].slowFactor = 7.5;
			}, 800);
			const [lost, stillLost] = [before, after].map(({result}) => result.sent - result.inTime);
			expect(stillLost <= lost / 2).toEqual(true);
			expect([shareInTime(after.result) >= 0.985, after.result.refused]).toEqual([true, 0]);
		}
	});

	it('lose at most six in ten of the statements while one replica is slow and the other fails half of its work', async () => {
		for (const seed of [1, 2]) {
			const {before, after} = await compare(seed, (_, loads) => {
				loads[1].slowFactor = 7.5;
				loads[2].failedShare = 0.5;
			});
			const [lost, stillLost] = [before, after].map(({result}) => result.sent - result.inTime);
			expect(after.loads[2].counts.failed < before.loads[2].counts.failed / 2).toEqual(true);
			expect(stillLost <= lost * 0.6).toEqual(true);
			expect([shareInTime(after.result) >= 0.97, after.result.refused < before.result.refused]).toEqual([true, true]);
		}
	});

	// Nodes that all follow the same reports move from endpoint to endpoint together: 1,020 statements were lost instead of 156.
	it('lose hardly more while more statements arrive than the endpoints can run', async () => {
		for (const seed of [1, 2]) {
			const {before, after} = await compare(seed, () => undefined, 1700);
			expect(shareInTime(after.result) >= shareInTime(before.result) - 0.01).toEqual(true);
		}
	});

	it('cost nothing while all endpoints are healthy', async () => {
		const {before, after} = await compare(3, () => undefined);
		expect(shareInTime(after.result) >= shareInTime(before.result)).toEqual(true);
		const ejections = clusters.flatMap(({nodes}) => nodes.flatMap(node => node.logged('endpointEjected')));
		expect(ejections).toEqual([]);
	});

	// An endpoint that stayed ejected would leave its work to the others for good.
	it('eject a failing replica on the nodes that use it, and give it work again once it has recovered', async () => {
		const cluster = new LineTestCluster();
		clusters.push(cluster);
		await cluster.start(nodeCount);
		const loads = giveInstancesWork(cluster, 5, work.meanMs, work.maximumMs);
		loads[1].failedShare = 0.5;
		await runLoad(cluster, {...load, arePrepared: true, seed: 5});
		const ejecting = cluster.nodes.filter(node => node.logged('endpointEjected').length > 0);
		expect(ejecting.length >= nodeCount / 2).toEqual(true);
		expect(new Set(ejecting.flatMap(node => node.logged('endpointEjected').map(({endpoint}) => endpoint)))).toEqual(new Set(['i-2']));
		loads[1].failedShare = 0;
		await runLoad(cluster, {
			...load, arePrepared: true, seed: 6, durationMs: 6000,
		});
		const before = loads.map(({counts}) => counts.arrived);
		await runLoad(cluster, {
			...load, arePrepared: true, seed: 7, durationMs: 2000,
		});
		const [, recovered, other] = loads.map(({counts}, index) => counts.arrived - before[index]);
		expect(recovered >= other / 2).toEqual(true);
	});

	// A home would refuse such a statement as well, a round trip later.
	it('let a node turn away a statement that cannot start before its deadline, without a call to the home', async () => {
		const cluster = new LineTestCluster();
		clusters.push(cluster);
		await cluster.start(nodeCount);
		for (const instance of giveInstancesWork(cluster, 8, work.meanMs, work.maximumMs)) {
			instance.slowFactor = 15;
		}

		await runLoad(cluster, {
			...load, seed: 8, durationMs: 2500, perS: 800,
		});
		const atHomes = new Set(cluster.nodes.flatMap(node => node.logged('forwardedRefused').map(({request}) => request)));
		const atNodes = cluster.nodes.flatMap(node => node.logged('statementTurnedAway').filter(({kind, request}) => kind === 'deadlineUnreachable' && !atHomes.has(request)));
		expect(atNodes.length > 0).toEqual(true);
		expect(atNodes.every(({detail}) => /^about \d+ ms of work ahead at i-\d$/v.test(String(detail)))).toEqual(true);
	});

	it('let a home turn away a read for a replica that is behind, without asking the replica', async () => {
		const cluster = new LineTestCluster();
		clusters.push(cluster);
		await cluster.start(nodeCount);
		cluster.group.instance('i-2').lagMs = 3000;
		await runLoad(cluster, {...load, seed: 9, durationMs: 2500});
		const [node] = cluster.nodes;
		const [home] = node.fleet.homes(node.registry.endpoint('i-2')!);
		const {requests} = cluster.nodes.find(({self}) => self.name === home.name)!;
		const {length} = cluster.group.instance('i-1').log;
		const result = await cluster.clock.advanceUntil(requests.run('i-2', {
			id: 'early', text: 'READ x', session: {values: new Map(), prepared: new Map()}, caller: 'c', organisation: undefined, priority: 1, access: 'read',
			floor: {term: 1, offset: length}, deadlineMs: cluster.clock.nowMs() + 800,
		}));
		const {answer, load: report} = result.unsafeCoerce();
		expect([answer.error?.kind, (report?.lagMs ?? 0) > 1000]).toEqual(['behind', true]);
		expect(cluster.group.instance('i-2').ran.includes('early')).toEqual(false);
	});

	it('are not taken from an earlier incarnation of a home', async () => {
		const cluster = new LineTestCluster();
		clusters.push(cluster);
		await cluster.start(nodeCount);
		const endpoint = cluster.nodes[0].registry.endpoint('i-2')!;
		const homes = cluster.nodes[0].fleet.homes(endpoint);
		giveInstancesWork(cluster, 4, work.meanMs, work.maximumMs);
		await runLoad(cluster, {...load, seed: 4, durationMs: 1000});
		const poolsOf = (node: LineTestNode): StatementPool[] => Array.from({length: 20}, () => node.sessionServices.endpointPools.pool(endpoint, undefined));
		const node = cluster.nodes.find(other => poolsOf(other).some(({reportedProgress}) => reportedProgress !== undefined))!;
		const pools = (): StatementPool[] => poolsOf(node);
		for (const home of homes) {
			node.directory.learn({...home, incarnation: '2'});
		}

		expect(pools().every(({reportedProgress}) => reportedProgress === undefined)).toEqual(true);
		expect(pools().every(pool => pool.reportedWaitMs?.(1) === 0)).toEqual(true);
		// The service time that it reported is that of the endpoint, and counts until it is old.
		await cluster.clock.advance(20_000);
		expect(pools().every(pool => Math.abs(pool.estimateMs('read', 1) - pool.answerTimes.averageMs) < 0.1)).toEqual(true);
	});
});
