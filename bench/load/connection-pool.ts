/**
 * A pool of connections to one target, over which the load process runs statements.
 */
import {openConcurrency} from './constants.js';
import {RawClient} from './raw-client.js';
import type {Series} from './series.js';
import type {LoadTarget, RunBound, Work} from './types.js';
import {framesOf, prepareFrames} from './work-frames.js';

/** Statements to run over a pool. */
export type PoolRun = {
	readonly work: Work;
	readonly bound: RunBound;
	readonly inProgress: number;
	readonly series: Series;
};

/** Connections to one target. */
export class ConnectionPool {
	private readonly _clients: RawClient[] = [];
	private readonly _frames = new Map<Work, readonly Uint8Array[]>();

	/** Opens connections, a bounded number at the same time, and prepares the statements on each. */
	async open(target: LoadTarget, count: number): Promise<void> {
		let opened = 0;
		const openNext = async (): Promise<void> => {
			while (opened < count) {
				opened++;
				const client = new RawClient(target);
				await client.start();
				await client.request(prepareFrames);
				this._clients.push(client);
			}
		};

		await Promise.all(Array.from({length: Math.min(count, openConcurrency)}, async () => openNext()));
	}

	/** Runs statements until the bound is reached: `inProgress` concurrent tasks, each of which takes the connections of its share in turn. */
	async run(run: PoolRun): Promise<void> {
		const frames = this._framesOf(run.work);
		const startedMs = performance.now();
		const endMs = startedMs + (run.bound.durationMs ?? Number.POSITIVE_INFINITY);
		let remaining = run.bound.statements ?? Number.POSITIVE_INFINITY;
		const runTask = async (task: number): Promise<void> => {
			let turn = task;
			while (remaining > 0 && performance.now() < endMs) {
				remaining--;
				const client = this._clients[turn % this._clients.length];
				const sentMs = performance.now();
				const answer = await client.request(frames[turn % frames.length]);
				run.series.add(performance.now() - sentMs, answer);
				turn += run.inProgress;
			}
		};

		await Promise.all(Array.from({length: run.inProgress}, async (_item, task) => runTask(task)));
		run.series.durationMs += performance.now() - startedMs;
	}

	async close(): Promise<void> {
		await Promise.all(this._clients.splice(0).map(async client => client.close()));
	}

	private _framesOf(work: Work): readonly Uint8Array[] {
		const frames = this._frames.get(work) ?? framesOf(work);
		this._frames.set(work, frames);
		return frames;
	}
}
