/**
 * Starts a load process and controls it from the benchmark's process.
 */
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import type {LoadResponse, LoadRequest, SeriesReport} from './types.js';

const program = new URL('main.js', import.meta.url);

/** A load process; it handles one request at a time. */
export class LoadProcess {
	private readonly _child: ChildProcess;
	private readonly _exited: Promise<never>;

	constructor() {
		this._child = fork(fileURLToPath(program), {execArgv: []});
		this._exited = rejectOnExit(this._child);
		// An exit is reported by the request in progress; without one it is ignored.
		this._exited.catch(() => undefined);
	}

	get pid(): number {
		return this._child.pid ?? 0;
	}

	async open(request: Omit<Extract<LoadRequest, {kind: 'open'}>, 'kind'>): Promise<void> {
		await this._request({kind: 'open', ...request});
	}

	async run(request: Omit<Extract<LoadRequest, {kind: 'run'}>, 'kind'>): Promise<void> {
		await this._request({kind: 'run', ...request});
	}

	async close(pool: string): Promise<void> {
		await this._request({kind: 'close', pool});
	}

	/** Resolves with the figures of a series so far. */
	async report(series: string): Promise<SeriesReport> {
		const {report} = await this._request({kind: 'report', series});
		if (!report) {
			throw new Error(`load process returned no report of series ${series}`);
		}

		return report;
	}

	/** Kills the process. */
	dispose(): void {
		this._child.kill('SIGKILL');
	}

	private async _request(request: LoadRequest): Promise<LoadResponse> {
		const answered = new Promise<LoadResponse>(resolve => {
			this._child.once('message', (message: LoadResponse) => {
				resolve(message);
			});
		});
		this._child.send(request);
		const answer = await Promise.race([answered, this._exited]);
		if (answer.error !== undefined) {
			throw new Error(`load process: ${answer.error}`);
		}

		return answer;
	}
}

async function rejectOnExit(child: ChildProcess): Promise<never> {
	await once(child, 'exit');
	throw new Error(`load process exited with ${child.exitCode ?? child.signalCode}`);
}
