/**
 * Computes the processor time that one node spends on the other nodes of a large fleet, while
 * it starts and in a quiet second: the number of links and calls, counted with whole nodes on a
 * virtual clock, times the cost of one link or call, measured on this machine over real links.
 */
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {Fleet} from '../../src/common/peering/fleet.js';
import {fakePeering, peerNode} from '../../src/common/peering/testing/peering-fakes.js';
import type {GroupOverview, PeerNode, PeerRequestHandlers} from '../../src/common/services/services.js';
import {DirectPeerClient} from '../../src/node/direct-peers/peer-client.js';
import {DirectPeerServer} from '../../src/node/direct-peers/peer-server.js';
import {SystemClock} from '../../src/node/system-clock.js';
import {databases, LineTestCluster} from '../../standins/line/line-test-cluster.js';
import type {ObservedPeerCall} from '../../standins/line/line-test-cluster.js';
import type {BenchContext, BenchResult, Table} from '../types.js';

const sizes = [30, 100, 200] as const;

/**
 * Time between two reports of the stand-in's three instances. It gives the 35 changed rows per
 * second of 42 endpoints that each update their row in the store every 1.2 s.
 */
const reportEveryMs = 86;

/** Virtual time over which calls are counted once the nodes serve, and the time between two statements of every node in it. */
const quiet = {forMs: 10_000, everyMs: 1000} as const;

/** Number of groups in an overview, of endpoints in each, and the zones, as in a deployment of 200 nodes. */
const deployment = {groups: 14, endpointsPerGroup: 3, zones: 'abcdef'} as const;

/** Number of links, calls and rankings that are timed. */
const timed = {links: 60, calls: 3000, rankings: 200} as const;

/** Maximum accepted ratio of a node's processor time in a quiet second at 200 nodes to that at 100; more nodes per zone alone should not increase it. */
const maximumGrowth = 1.1;

/** Maximum accepted number of links that a node which is neither home nor coordinator opens, to the homes and coordinators that it uses. */
const maximumOrdinaryLinks = 20;

type Kind = ObservedPeerCall['kind'];

/** Processor time of one operation in milliseconds, both ends together. */
type UnitCosts = {
	readonly link: number;
	readonly call: number;
	readonly overview: number;
};

type Counts = {
	readonly nodes: number;
	/** Calls between nodes while all nodes start. */
	readonly startCalls: number;
	readonly startLinks: number;
	/** Calls of each kind that an average node makes in a quiet second. */
	readonly perS: ReadonlyMap<Kind, number>;
	/** Calls that the node with the most calls answers in a quiet second. */
	readonly mostAnsweredPerS: number;
	readonly storeCallsPerS: number;
	readonly startStoreCalls: number;
	/** Maximum number of links that a node which is neither home nor coordinator has opened. */
	readonly ordinaryLinks: number;
	readonly rankingMs: number;
};

/** Counts calls at three fleet sizes and multiplies them with their measured costs; resolves with tables and bounded figures. */
export async function benchFleetCost({note}: BenchContext): Promise<BenchResult> {
	const costs = await unitCosts();
	note(`one link ${costs.link.toFixed(1)} ms, one call ${costs.call.toFixed(3)} ms, one overview of ${deployment.groups} groups ${costs.overview.toFixed(3)} ms`);
	const counted: Counts[] = [];
	for (const size of sizes) {
		const counts = await countFleet(size);
		counted.push(counts);
		note(`${size} nodes counted`);
	}

	const [, medium, large] = counted;
	return {
		tables: [startTable(counted, costs), quietTable(counted, costs)],
		bounded: [
			{name: 'quiet processor time of a node, 200 nodes against 100', value: quietMs(large, costs) / quietMs(medium, costs), maximum: maximumGrowth},
			{name: 'links of a node that is neither home nor asker, 200 nodes', value: large.ordinaryLinks, maximum: maximumOrdinaryLinks},
		],
	};
}

function startTable(counted: readonly Counts[], costs: UnitCosts): Table {
	return {
		title: 'Start of all nodes at once, a node',
		columns: ['nodes', 'calls to nodes', 'links opened', 'processor ms for links', 'for calls', 'calls to the store', 'most links of an ordinary node'],
		rows: counted.map(({nodes, startCalls, startLinks, startStoreCalls, ordinaryLinks}) => [
			nodes, startCalls / nodes, startLinks / nodes, startLinks * costs.link / nodes, startCalls * costs.call / nodes, startStoreCalls / nodes, ordinaryLinks,
		]),
	};
}

function quietTable(counted: readonly Counts[], costs: UnitCosts): Table {
	return {
		title: 'A quiet second with one statement, a node',
		columns: ['nodes', 'overviews', 'rows', 'statements', 'notices', 'states', 'most answered', 'store calls', 'overviews, ms', 'other calls, ms', 'ranking, ms', 'sum, ms'],
		rows: counted.map(counts => {
			const {nodes, perS, mostAnsweredPerS, storeCallsPerS} = counts;
			const of = (kind: Kind): number => perS.get(kind) ?? 0;
			return [
				nodes,
				of('overview'),
				of('rows'),
				of('run'),
				of('tell'),
				of('status'),
				mostAnsweredPerS,
				storeCallsPerS / nodes,
				of('overview') * costs.overview,
				otherCalls(counts) * costs.call,
				rankingMsPerS(counts),
				quietMs(counts, costs),
			];
		}),
	};
}

function otherCalls({perS}: Counts): number {
	return [...perS].filter(([kind]) => kind !== 'overview').reduce((sum, [, count]) => sum + count, 0);
}

/** A ranking is cached for a quarter of a second, so that each endpoint is ranked at most four times per second. */
function rankingMsPerS({rankingMs}: Counts): number {
	return 4 * rankingMs;
}

function quietMs(counts: Counts, costs: UnitCosts): number {
	return ((counts.perS.get('overview') ?? 0) * costs.overview) + (otherCalls(counts) * costs.call) + rankingMsPerS(counts);
}

async function countFleet(nodes: number): Promise<Counts> {
	const cluster = new LineTestCluster();
	const calls: ObservedPeerCall[] = [];
	cluster.peerCallListener = call => {
		calls.push(call);
	};

	await cluster.start(nodes);
	await cluster.clock.advance(3000);
	const startCalls = calls.length;
	const startLinks = linksOf(calls).size;
	const startStoreCalls = cluster.store.calls;
	const callsDuringStart = calls.splice(0);
	scheduleReport(cluster);
	for (let passedMs = 0; passedMs < quiet.forMs; passedMs += quiet.everyMs) {
		await cluster.clock.advanceUntil(Promise.all(cluster.nodes.map(async node => node.session(databases.primary).start('READ x'))));
		await cluster.clock.advance(quiet.everyMs);
	}

	const seconds = quiet.forMs / 1000;
	const perS = countBy(calls, ({kind}) => kind);
	const answered = countBy(calls, ({to}) => to);
	const result: Counts = {
		nodes,
		startCalls,
		startLinks,
		startStoreCalls,
		perS: new Map([...perS].map(([kind, count]) => [kind, count / nodes / seconds])),
		mostAnsweredPerS: Math.max(...answered.values()) / seconds,
		storeCallsPerS: (cluster.store.calls - startStoreCalls) / seconds,
		ordinaryLinks: mostOrdinaryLinks(cluster, [...callsDuringStart, ...calls]),
		rankingMs: rankingMs(nodes),
	};
	cluster.dispose();
	return result;
}

function scheduleReport(cluster: LineTestCluster): void {
	cluster.clock.setTimer(reportEveryMs, () => {
		cluster.register();
		scheduleReport(cluster);
	});
}

function linksOf(calls: readonly ObservedPeerCall[]): Set<string> {
	return new Set(calls.map(({from, to}) => `${from} ${to}`));
}

function mostOrdinaryLinks(cluster: LineTestCluster, calls: readonly ObservedPeerCall[]): number {
	const [{registry, fleet}] = cluster.nodes;
	const homes = new Set(registry.ofService('svc').flatMap(endpoint => fleet.homes(endpoint).map(({name}) => name)));
	const homesAndCoordinators = new Set(cluster.nodes.filter(node => node.fleet.isCoordinator || homes.has(node.self.name)).map(({self}) => self.name));
	const links = [...linksOf(calls)].map(link => link.split(' ')[0]).filter(from => !homesAndCoordinators.has(from));
	return Math.max(...countBy(links, from => from).values());
}

function countBy<T, K>(items: readonly T[], keyOf: (item: T) => K): Map<K, number> {
	const counts = new Map<K, number>();
	for (const item of items) {
		const key = keyOf(item);
		counts.set(key, (counts.get(key) ?? 0) + 1);
	}

	return counts;
}

/** Time in milliseconds in which a node ranks the homes of every endpoint once. */
function rankingMs(nodes: number): number {
	const peering = fakePeering();
	const {zones, groups, endpointsPerGroup} = deployment;
	for (let index = 1; index < nodes; index++) {
		peering.directory.learn(peerNode(`n${index}`, zones[index % zones.length]));
	}

	const fleet = new Fleet(peering, peering.directory);
	const endpoints = Array.from({length: groups * endpointsPerGroup}, (_, index) => ({
		id: `i-${index}`, availabilityZone: zones[index % zones.length], service: 'svc', host: 'h', port: 1, slots: 3, isDraining: false, claimsPrimary: false, incarnation: 0,
	}));
	const startedAtMs = performance.now();
	for (let round = 0; round < timed.rankings; round++) {
		// A change of reachability invalidates the cached rankings, as when a node does not answer.
		peering.directory.reportReachability('n1', round % 2 === 0);
		for (const endpoint of endpoints) {
			fleet.homes(endpoint);
		}
	}

	return (performance.now() - startedAtMs) / timed.rankings;
}

async function unitCosts(): Promise<UnitCosts> {
	const clock = new SystemClock();
	const servers: DirectPeerServer[] = [];
	const peers: PeerNode[] = [];
	const log = {
		event() {
			// The log is not used.
		},
	};
	for (let index = 0; index < timed.links; index++) {
		const self = peerNode(`n${index}`, 'a');
		const server = new DirectPeerServer({
			clock, log, configurationVersion: () => 1, requests: requestsOf(self),
		});
		servers.push(server);
		peers.push({...self, host: '127.0.0.1', port: await server.listen('127.0.0.1', 0)});
	}

	const client = new DirectPeerClient(clock, () => undefined);
	const timeoutMs = 5000;
	const sendNotice = async (peer: PeerNode): Promise<unknown> => client.tell(peer, {kind: 'left', name: 'n', incarnation: '1'}, timeoutMs);
	const [first, ...others] = peers;
	await sendNotice(first);
	const links = await processorMs(async () => Promise.all(others.map(async peer => sendNotice(peer))));
	const repeated = async (call: () => Promise<unknown>): Promise<number> => {
		const spentMs = await processorMs(async () => {
			for (let count = 0; count < timed.calls; count++) {
				await call();
			}
		});
		return spentMs / timed.calls;
	};

	const call = await repeated(async () => sendNotice(first));
	const overview = await repeated(async () => client.overview(first, '', timeoutMs));
	client.dispose();
	for (const server of servers) {
		server.dispose();
	}

	return {link: links / others.length, call, overview};
}

async function processorMs(work: () => Promise<unknown>): Promise<number> {
	const before = process.cpuUsage();
	await work();
	const {user, system} = process.cpuUsage(before);
	return (user + system) / 1000;
}

function requestsOf(self: PeerNode): PeerRequestHandlers {
	const overviews: GroupOverview[] = Array.from({length: deployment.groups}, (_, index) => ({
		service: `svc-${index}`, primaryId: `i-${index}`, term: 1, heardAgoMs: 12.5, provedAgoMs: 40.25,
		replacement: {begunTerm: 0, agoMs: 4000.5}, sample: {position: {term: 1, offset: 100 + index}, agoMs: 20.5},
	}));
	const never = async <T>(): Promise<T> => new Promise(() => undefined); // eslint-disable-line no-promise-executor-return -- not called
	return {
		self: () => self,
		onNotice() {
			// Notices are ignored; only the cost of the call is measured.
		},
		overview: async () => overviews,
		status: never,
		rows: never,
		run: never,
		begin: never,
		runHeld: never,
		end: never,
		takeUsage: never,
	};
}
