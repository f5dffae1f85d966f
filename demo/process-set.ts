/**
 * The processes of a running system; when the supervisor exits, it kills them all.
 */
import process from 'node:process';
import {startProcess, type ProcessDescription, type SupervisedProcess} from './supervised-process.js';

/** Supervised processes by name. */
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

	/** Starts a process, replacing an ended one of the same name, and waits until it is ready; rejects if it does not become ready. */
	async start(description: ProcessDescription): Promise<SupervisedProcess> {
		const started = await startProcess(description);
		this._processes.set(started.name, started);
		if (this._isClosed) {
			started.kill('SIGKILL');
		}

		await started.waitUntilReady();
		return started;
	}

	/** The process with a name; throws if there is none. */
	get(name: string): SupervisedProcess {
		const found = this._processes.get(name);
		if (!found) {
			throw new Error(`no process named ${name}`);
		}

		return found;
	}

	/** Stops processes concurrently; resolves with the exit code and the last log lines of each that did not exit cleanly. */
	async stop(names: readonly string[]): Promise<string[]> {
		const running = names.flatMap(name => this._processes.get(name) ?? []).filter(({isRunning}) => isRunning);
		const failures = await Promise.all(running.map(async supervised => {
			await supervised.stop();
			const code = await supervised.exited;
			return code === 0 || !supervised.isReady ? [] : [`${supervised.name} ended with ${code}\n${await supervised.logTail()}`];
		}));
		return failures.flat();
	}

	/** Closes the set: a process that is started from now on is killed at once. */
	close(): void {
		this._isClosed = true;
	}

	/** Kills all processes. */
	dispose(): void {
		this._onExit();
		process.off('exit', this._onExit);
	}
}
