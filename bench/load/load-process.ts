/**
 * The benchmark's side of a load process.
 */
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import type {LoadAnswer, LoadOrder, SeriesReport} from './types.js';

const program = new URL('main.js', import.meta.url);

/** A load process; takes one order at a time. */
export class LoadProcess {
	private readonly _child: ChildProcess;
	private readonly _ended: Promise<never>;

	constructor() {
		this._child = fork(fileURLToPath(program), {execArgv: []});
		this._ended = failAtEnd(this._child);
		// Heard of by the order in progress; without one it does not matter.
		this._ended.catch(() => undefined);
	}

	get pid(): number {
		return this._child.pid ?? 0;
	}

	async open(order: Omit<Extract<LoadOrder, {kind: 'open'}>, 'kind'>): Promise<void> {
		await this._order({kind: 'open', ...order});
	}

	async run(order: Omit<Extract<LoadOrder, {kind: 'run'}>, 'kind'>): Promise<void> {
		await this._order({kind: 'run', ...order});
	}

	async close(pool: string): Promise<void> {
		await this._order({kind: 'close', pool});
	}

	/** Figures of a series so far. */
	async report(series: string): Promise<SeriesReport> {
		const {report} = await this._order({kind: 'report', series});
		if (!report) {
			throw new Error(`no report of ${series}`);
		}

		return report;
	}

	/** Ends the process. */
	dispose(): void {
		this._child.kill('SIGKILL');
	}

	private async _order(order: LoadOrder): Promise<LoadAnswer> {
		const answered = new Promise<LoadAnswer>(resolve => {
			this._child.once('message', (message: LoadAnswer) => {
				resolve(message);
			});
		});
		this._child.send(order);
		const answer = await Promise.race([answered, this._ended]);
		if (answer.error !== undefined) {
			throw new Error(`load process: ${answer.error}`);
		}

		return answer;
	}
}

async function failAtEnd(child: ChildProcess): Promise<never> {
	await once(child, 'exit');
	throw new Error(`load process ended with ${child.exitCode ?? child.signalCode}`);
}
