/**
 * What one node spends on the other nodes of a large fleet, while it starts and in a quiet
 * second: counts from whole nodes on a virtual clock, times what one of each costs on this
 * machine over real links.
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
 * Time between two reports of the three instances of the stand-in: each of 42 endpoints says
 * something of itself in the store every 1.2 s, which is 35 changed rows a second.
 */
const reportEveryMs = 86;

/** Virtual time that is counted once nodes serve, and the pause between two statements of every node meanwhile. */
const quiet = {forMs: 10_000, everyMs: 1000} as const;

/** Groups in an overview, endpoints of them, and zones: those of a deployment of 200 nodes. */
const deployment = {groups: 14, endpointsPerGroup: 3, zones: 'abcdef'} as const;

/** Links and calls that are timed. */
const timed = {links: 60, calls: 3000, rankings: 200} as const;

/** Growth of what a node does in a quiet second from 100 nodes to 200 that is accepted: that of a zone's node count alone is none. */
const maximumGrowth = 1.1;

/** Links of a node that is neither home nor asker, to the homes and askers that it uses. */
const maximumOrdinaryLinks = 20;

type Kind = ObservedPeerCall['kind'];

/** Milliseconds of processor time, both ends together. */
type UnitCosts = {
	readonly link: number;
	readonly call: number;
	readonly overview: number;
};

type Counts = {
	readonly nodes: number;
	/** Calls between nodes while all of them start. */
	readonly startCalls: number;
	readonly startLinks: number;
	/** Calls of each kind in a quiet second, of an average node. */
	readonly perS: ReadonlyMap<Kind, number>;
	/** Calls that the busiest node answers in a quiet second. */
	readonly mostAnsweredPerS: number;
	readonly storeCallsPerS: number;
	readonly startStoreCalls: number;
	/** Most links that a node which is neither home nor asker has opened. */
	readonly ordinaryLinks: number;
	readonly rankingMs: number;
};

/** Counts and times, at three sizes. */
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

/** Choices are kept for a quarter of a second: at most four a second for each endpoint. */
function rankingMsPerS({rankingMs}: Counts): number {
	return 4 * rankingMs;
}

function quietMs(counts: Counts, costs: UnitCosts): number {
	return ((counts.perS.get('overview') ?? 0) * costs.overview) + (otherCalls(counts) * costs.call) + rankingMsPerS(counts);
}

async function countFleet(nodes: number): Promise<Counts> {
	const bench = new LineTestCluster();
	const calls: ObservedPeerCall[] = [];
	bench.peerCallListener = call => {
		calls.push(call);
	};

	await bench.start(nodes);
	await bench.clock.advance(3000);
	const startCalls = calls.length;
	const startLinks = linksOf(calls).size;
	const startStoreCalls = bench.store.calls;
	const kept = calls.splice(0);
	reportLater(bench);
	for (let passedMs = 0; passedMs < quiet.forMs; passedMs += quiet.everyMs) {
		await bench.clock.advanceUntil(Promise.all(bench.nodes.map(async node => node.session(databases.primary).start('READ x'))));
		await bench.clock.advance(quiet.everyMs);
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
		storeCallsPerS: (bench.store.calls - startStoreCalls) / seconds,
		ordinaryLinks: mostOrdinaryLinks(bench, [...kept, ...calls]),
		rankingMs: rankingMs(nodes),
	};
	bench.dispose();
	return result;
}

function reportLater(bench: LineTestCluster): void {
	bench.clock.setTimer(reportEveryMs, () => {
		bench.register();
		reportLater(bench);
	});
}

function linksOf(calls: readonly ObservedPeerCall[]): Set<string> {
	return new Set(calls.map(({from, to}) => `${from} ${to}`));
}

function mostOrdinaryLinks(bench: LineTestCluster, calls: readonly ObservedPeerCall[]): number {
	const [{registry, fleet}] = bench.nodes;
	const homes = new Set(registry.ofService('svc').flatMap(endpoint => fleet.homes(endpoint).map(({name}) => name)));
	const special = new Set(bench.nodes.filter(node => node.fleet.isCoordinator || homes.has(node.self.name)).map(({self}) => self.name));
	const links = [...linksOf(calls)].map(link => link.split(' ')[0]).filter(from => !special.has(from));
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

/** Processor time in which a node ranks its homes for every endpoint once. */
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
		// Whatever voids choices, as a node that did not answer does.
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
			// Not looked at.
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
	const answerMs = 5000;
	const tell = async (peer: PeerNode): Promise<unknown> => client.tell(peer, {kind: 'left', name: 'n'}, answerMs);
	const [first, ...others] = peers;
	await tell(first);
	const links = await processorMs(async () => Promise.all(others.map(async peer => tell(peer))));
	const repeated = async (call: () => Promise<unknown>): Promise<number> => {
		const spentMs = await processorMs(async () => {
			for (let count = 0; count < timed.calls; count++) {
				await call();
			}
		});
		return spentMs / timed.calls;
	};

	const call = await repeated(async () => tell(first));
	const overview = await repeated(async () => client.overview(first, '', answerMs));
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
			// Not looked at.
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
