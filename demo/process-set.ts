/**
 * All processes of a running system; none of them outlives the supervisor.
 */
import process from 'node:process';
import {startProcess, type ProcessDescription, type SupervisedProcess} from './supervised-process.js';

/** Keeps processes by name and ends them by pid. */
export class ProcessSet {
	private readonly _processes = new Map<string, SupervisedProcess>();
	private readonly _onExit: () => void;
	private _isClosed = false;

	constructor() {
		this._onExit = () => {
			for (const supervised of this._processes.values()) {
				supervised.kill('SIGKILL');
			}
		};

		process.on('exit', this._onExit);
	}

	/** Starts a process, in the place of an ended one of the same name, and waits until it is ready. */
	async start(description: ProcessDescription): Promise<SupervisedProcess> {
		const started = await startProcess(description);
		this._processes.set(started.name, started);
		if (this._isClosed) {
			started.kill('SIGKILL');
		}

		await started.becomeReady();
		return started;
	}

	/** The process of a name. */
	get(name: string): SupervisedProcess {
		const found = this._processes.get(name);
		if (!found) {
			throw new Error(`no process ${name}`);
		}

		return found;
	}

	/** Stops processes at one time; the last log of those that did not end well is returned. */
	async stop(names: readonly string[]): Promise<string[]> {
		const running = names.flatMap(name => this._processes.get(name) ?? []).filter(({isRunning}) => isRunning);
		const complaints = await Promise.all(running.map(async supervised => {
			await supervised.stop();
			const code = await supervised.exited;
			return code === 0 || !supervised.isReady ? [] : [`${supervised.name} ended with ${code}\n${await supervised.lastLog()}`];
		}));
		return complaints.flat();
	}

	/** From now on nothing new is started. */
	close(): void {
		this._isClosed = true;
	}

	/** Ends everything at once. */
	dispose(): void {
		this._onExit();
		process.off('exit', this._onExit);
	}
}
