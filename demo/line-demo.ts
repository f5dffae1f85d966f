/**
 * The demo on the text protocol: nodes that connect to endpoints directly, in front of one group
 * of three instances and a platform that run in this process.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {ConnectionLostError, LineClient} from '../standins/line/processes/line-client.js';
import {databases, LineSystem} from '../standins/line/processes/line-system.js';
import type {Reporter} from './types.js';

/** Sizes of the demo; times are in milliseconds. */
const sizes = {
	nodes: 8, callers: 8, thinkMs: 40, calmMs: 4000, afterMs: 4000,
} as const;

/** Counts of the demo, and its failover gap in milliseconds. */
export type LineDemoResult = {
	readonly reads: number;
	readonly readsAtReplicas: number;
	readonly writes: number;
	readonly lost: number;
	readonly gapMs: number;
};

/** Runs the demo from the start of the system to its stop; resolves with its counts. */
export async function runLineDemo(reporter: Reporter): Promise<LineDemoResult> {
	const system = new LineSystem();
	try {
		reporter.line(`starting ${sizes.nodes} nodes before one group of three instances`);
		await system.start(sizes.nodes);
		const shop = new Shop(system);
		const callers = shop.open();
		await pause(sizes.calmMs);
		const {id} = system.group.instances.find(({isPrimary}) => isPrimary)!;
		reporter.line(`ending the primary ${id}`);
		system.crash(id);
		await pause(sizes.afterMs);
		shop.close();
		await callers;
		const result = shop.result();
		const share = (100 * result.readsAtReplicas / result.reads).toFixed(1);
		reporter.line(`${result.reads} reads, ${share} % of them at replicas; ${result.writes} writes`);
		reporter.line(`failover gap ${Math.round(result.gapMs)} ms, ${system.ordered.length} promotion, acknowledged writes lost: ${result.lost}`);
		return result;
	} finally {
		await system.stop(false);
		reporter.line('stopped');
	}
}

/** Callers that each write increasing values to an item of their own, and read it. */
class Shop {
	private readonly _system: LineSystem;
	private readonly _acknowledged = new Map<string, number>();
	private _isClosed = false;
	private _reads = 0;
	private _readsAtReplicas = 0;
	private _writes = 0;
	private _acknowledgedAtMs = performance.now();
	private _gapMs = 0;

	constructor(system: LineSystem) {
		this._system = system;
	}

	async open(): Promise<void> {
		await Promise.all(Array.from({length: sizes.callers}, async (_, caller) => this._runCaller(caller)));
	}

	close(): void {
		this._isClosed = true;
	}

	result(): LineDemoResult {
		const {instances} = this._system.group;
		const primary = instances.filter(({isPrimary, isUp}) => isPrimary && isUp).toSorted((a, b) => b.term - a.term)[0];
		const lost = [...this._acknowledged].filter(([item, value]) => Number(primary.read(item) ?? 0) < value).length;
		return {
			lost, reads: this._reads, readsAtReplicas: this._readsAtReplicas, writes: this._writes, gapMs: this._gapMs,
		};
	}

	private async _runCaller(caller: number): Promise<void> {
		const {nodes} = this._system;
		const {host, callersPort} = nodes[caller % nodes.length].plan;
		let client = await LineClient.open(host, callersPort, databases.own);
		for (let value = 1; !this._isClosed; value++) {
			try {
				await this._writeAndRead(client, `item-${caller}`, value);
			} catch (error) {
				if (!(error instanceof ConnectionLostError)) {
					throw error;
				}

				client = await LineClient.open(host, callersPort, databases.own);
			}
		}

		client.close();
	}

	/** Runs one write and three reads. */
	private async _writeAndRead(client: LineClient, item: string, value: number): Promise<void> {
		const written = await client.query(`w-${item}-${value}`, `WRITE ${item} ${value}`);
		if (written.code === '') {
			this._writes += 1;
			this._acknowledged.set(item, value);
			this._gapMs = Math.max(this._gapMs, performance.now() - this._acknowledgedAtMs);
			this._acknowledgedAtMs = performance.now();
		}

		for (let count = 0; count < 3; count++) {
			// Replicas lag by 20 ms: a session that reads immediately after its write has to read at the primary.
			await pause(sizes.thinkMs);
			const read = await client.query(`r-${item}-${value}-${count}`, `READ ${item}`);
			if (read.code === '') {
				const [instance] = read.digest.split('|');
				this._reads += 1;
				this._readsAtReplicas += this._system.group.instance(instance).isPrimary ? 0 : 1;
			}
		}
	}
}
