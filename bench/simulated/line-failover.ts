/**
 * Measures the failover gap and the share of reads at replicas, for fleets whose nodes all
 * connect to the endpoints and for fleets in which only a few homes do. Whole nodes run on a
 * virtual clock in front of a stand-in of one group, whose promotions take 500 ms.
 */
import {pauseFor} from '../../src/common/lifecycle/timing.js';
import {databases, LineTestCluster} from '../../standins/line/line-test-cluster.js';
import type {LineTestNode} from '../../standins/line/line-test-cluster.js';
import type {BenchContext, BenchResult, Table} from '../types.js';
import {percentile} from './statistics.js';

/** Number of nodes of each of the two kinds of fleets. */
const fleets = {'8 nodes': 8, '24 nodes, two homes': 24} as const;

/** Number of runs of each event; in each run the event comes 7 ms later, so that it falls at another point between two polls. */
const runs = 8;
const stepMs = 7;

/** Sizes of one run: number of concurrent callers, and times in virtual milliseconds. */
const sizes = {
	callers: 8, pauseMs: 10, warmUpMs: 1000, measuredMs: 9000,
} as const;

/** Id of the instance that is the primary at the start. */
const firstPrimary = 'i-1';

type Event = {
	readonly name: string;
	readonly act: (bench: LineTestCluster) => void;
	/** Maximum accepted gap, in virtual milliseconds. */
	readonly maximumGapMs: number;
};

function crash({group}: LineTestCluster): void {
	group.instance(firstPrimary).isUp = false;
}

function cutFromPrimary(nodes: readonly LineTestNode[]): void {
	for (const {connector} of nodes) {
		connector.connectionFaults.set(firstPrimary, 'silent');
	}
}

const events: readonly Event[] = [
	{name: 'crash', act: crash, maximumGapMs: 2500},
	{
		name: 'crash, store away for 1 s',
		act(cluster) {
			cluster.store.isUnavailable = true;
			crash(cluster);
			cluster.clock.setTimer(1000, () => {
				cluster.store.isUnavailable = false;
			});
		},
		maximumGapMs: 4500,
	},
	{
		name: 'silent for all',
		act({nodes}) {
			cutFromPrimary(nodes);
		},
		maximumGapMs: 4500,
	},
	{
		name: 'silent for a third of the nodes',
		act({nodes}) {
			cutFromPrimary(nodes.filter((_, index) => index % 3 === 0));
		},
		maximumGapMs: 2500,
	},
	{
		name: 'planned: the primary drains',
		act(cluster) {
			cluster.register(firstPrimary);
		},
		maximumGapMs: 2500,
	},
];

type Sample = {
	readonly gapMs: number;
	readonly lost: number;
	readonly promotions: number;
	readonly readsAtReplicas: number;
	readonly reads: number;
};

/** Measures every event on both fleets; resolves with a table and bounded figures. */
export async function benchLineFailover({note}: BenchContext): Promise<BenchResult> {
	const rows: Array<Table['rows'][number]> = [];
	const bounded: Array<BenchResult['bounded'][number]> = [];
	for (const [fleet, nodes] of Object.entries(fleets)) {
		for (const event of events) {
			const samples: Sample[] = [];
			for (let run = 0; run < runs; run++) {
				samples.push(await sample(event, nodes, run));
			}

			const gaps = samples.map(({gapMs}) => gapMs);
			const sum = (of: (one: Sample) => number): number => samples.reduce((total, one) => total + of(one), 0);
			const share = 100 * sum(({readsAtReplicas}) => readsAtReplicas) / sum(({reads}) => reads);
			rows.push([fleet, event.name, percentile(gaps, 0.5), Math.max(...gaps), sum(({promotions}) => promotions) / runs, sum(({lost}) => lost), share]);
			bounded.push(
				{name: `${fleet}, ${event.name}: longest gap, ms`, value: Math.max(...gaps), maximum: event.maximumGapMs},
				{name: `${fleet}, ${event.name}: acknowledged writes lost`, value: sum(({lost}) => lost), maximum: 0},
			);
			note(`${fleet}, ${event.name}: ${gaps.map(gap => Math.round(gap)).join(', ')} ms`);
		}
	}

	return {
		tables: [{
			title: `Failover over the text protocol, ${runs} runs an event, virtual ms`,
			columns: ['fleet', 'event', 'gap p50', 'gap longest', 'promotions a run', 'writes lost', 'reads at replicas, %'],
			rows,
		}],
		bounded,
	};
}

async function sample(event: Event, nodeCount: number, run: number): Promise<Sample> {
	const cluster = new LineTestCluster();
	try {
		await cluster.start(nodeCount);
		const load = new Load(cluster);
		load.start();
		await cluster.clock.advance(sizes.warmUpMs + (run * stepMs));
		event.act(cluster);
		await cluster.clock.advance(sizes.measuredMs);
		load.stop();
		await cluster.clock.advance(sizes.measuredMs);
		return {...load.counts(), lost: await load.lost(), promotions: cluster.ordered.length};
	} finally {
		cluster.dispose();
	}
}

/** Callers that each write an item of their own, and read it at any age that their route allows. */
class Load {
	private readonly _cluster: LineTestCluster;
	private readonly _acknowledged = new Map<string, number>();
	private _isStopped = false;
	private _lastAckMs: number;
	private _gapMs = 0;
	private _reads = 0;
	private _readsAtReplicas = 0;

	constructor(cluster: LineTestCluster) {
		this._cluster = cluster;
		this._lastAckMs = cluster.clock.nowMs();
	}

	start(): void {
		for (let caller = 0; caller < sizes.callers; caller++) {
			void this._write(caller);
			void this._read(caller);
		}
	}

	stop(): void {
		this._isStopped = true;
	}

	counts(): Pick<Sample, 'gapMs' | 'reads' | 'readsAtReplicas'> {
		return {gapMs: this._gapMs, reads: this._reads, readsAtReplicas: this._readsAtReplicas};
	}

	/** Number of items whose last acknowledged value the last primary does not have. */
	async lost(): Promise<number> {
		const {group} = this._cluster;
		const primary = group.instances.filter(({isPrimary, isUp}) => isPrimary && isUp).toSorted((a, b) => b.term - a.term)[0];
		return [...this._acknowledged].filter(([item, value]) => Number(primary.read(item) ?? 0) < value).length;
	}

	private async _write(caller: number): Promise<void> {
		const {clock, nodes} = this._cluster;
		const session = nodes[caller % nodes.length].session(databases.primary);
		const item = `item-${caller}`;
		for (let value = 1; !this._isStopped; value++) {
			const answer = await session.start(`WRITE ${item} ${value}`);
			if (answer.startsWith('COMPLETE')) {
				this._gapMs = Math.max(this._gapMs, clock.nowMs() - this._lastAckMs);
				this._lastAckMs = clock.nowMs();
				this._acknowledged.set(item, value);
			}

			await pauseFor(clock, sizes.pauseMs);
		}
	}

	private async _read(caller: number): Promise<void> {
		const {clock, nodes} = this._cluster;
		const session = nodes[(caller * 3) % nodes.length].session(databases.own);
		while (!this._isStopped) {
			const answer = await session.start(`READ item-${caller}`);
			const [, instance] = /COMPLETE (i-\d)/v.exec(answer) ?? [];
			if (instance !== undefined) {
				this._reads += 1;
				this._readsAtReplicas += this._cluster.group.instance(instance).isPrimary ? 0 : 1;
			}

			await pauseFor(clock, sizes.pauseMs);
		}
	}
}
