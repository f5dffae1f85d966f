/**
 * A process of the demo: started with a settings file, ready when it says so in one line
 * of JSON, ended by its pid.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {openSync, closeSync} from 'node:fs';
import {readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {shownLogLines, startTimeoutMs, stopGraceMs} from './constants.js';

/** Every program of the system says so on standard output once it is ready. */
const readyPrefix = '{"ready":true';

/** What is started. */
export type ProcessDescription = {
	readonly name: string;
	/** Compiled program. */
	readonly program: URL;
	/** Options before the settings file. */
	readonly options?: readonly string[];
	readonly settings: unknown;
	/** Variables of its environment beside those of the supervisor. */
	readonly environment?: Readonly<Record<string, string>>;
	/** Where its settings and its log are written. */
	readonly folder: string;
};

/** Starts a process; it is not ready yet. */
export async function startProcess(description: ProcessDescription): Promise<SupervisedProcess> {
	const {
		name, program, options = [], settings, environment, folder,
	} = description;
	const settingsFile = path.join(folder, `${name}.json`);
	const logFile = path.join(folder, `${name}.log`);
	await writeFile(settingsFile, JSON.stringify(settings, undefined, '\t'), {mode: 0o600});
	const log = openSync(logFile, 'a');
	const commandLine = ['--enable-source-maps', fileURLToPath(program), ...options, '--settings', settingsFile];
	// A group of its own: the terminal's interrupt reaches only the supervisor, which ends the others in order.
	const child = spawn(process.execPath, commandLine, {
		stdio: ['ignore', 'pipe', log], detached: true, env: {...process.env, ...environment},
	});
	closeSync(log);
	return new SupervisedProcess(name, child, logFile);
}

/** One started process. */
export class SupervisedProcess {
	readonly name: string;
	/** Resolves with the exit code, or the signal that ended it. */
	readonly exited: Promise<number | string>;
	private readonly _child: ChildProcess;
	private readonly _logFile: string;
	private _isReady = false;

	constructor(name: string, child: ChildProcess, logFile: string) {
		this.name = name;
		this._child = child;
		this._logFile = logFile;
		this.exited = exitOf(child);
	}

	get pid(): number {
		return this._child.pid ?? 0;
	}

	/** Whether it ever said that it is ready. */
	get isReady(): boolean {
		return this._isReady;
	}

	get isRunning(): boolean {
		return this._child.exitCode === null && this._child.signalCode === null;
	}

	/** Waits until the process says that it is ready; rejects with its last words when it does not. */
	async becomeReady(): Promise<void> {
		const waiting = new AbortController();
		const outcome = await Promise.race([
			this._readyLine(),
			this.exited.then(code => `ended with ${code}`),
			pause(startTimeoutMs, `not ready within ${startTimeoutMs} ms`, {signal: waiting.signal}).catch(() => ''),
		]);
		waiting.abort();
		if (outcome !== undefined) {
			throw new Error(`${this.name}: ${outcome}\n${await this.lastLog()}`);
		}

		this._isReady = true;
	}

	/** Sends a signal to this process only. */
	kill(signal: NodeJS.Signals): void {
		if (this.isRunning) {
			this._child.kill(signal);
		}
	}

	/** Asks the process to stop, and ends it when it does not. */
	async stop(): Promise<void> {
		this.kill('SIGTERM');
		const waiting = new AbortController();
		await Promise.race([
			this.exited,
			pause(stopGraceMs, undefined, {signal: waiting.signal}).catch(() => undefined),
		]);
		waiting.abort();
		this.kill('SIGKILL');
		await this.exited;
	}

	/** The last lines of what the process logged. */
	async lastLog(): Promise<string> {
		const text = await readFile(this._logFile, 'utf8');
		return text.trimEnd().split('\n').slice(-shownLogLines).join('\n');
	}

	/** Settles when the process says that it is ready. */
	private async _readyLine(): Promise<undefined> {
		const {stdout} = this._child;
		if (!stdout) {
			return undefined;
		}

		const lines = createInterface({input: stdout});
		return new Promise(resolve => {
			lines.on('line', line => {
				if (line.startsWith(readyPrefix)) {
					resolve(undefined);
				}
			});
		});
	}
}

async function exitOf(child: ChildProcess): Promise<number | string> {
	return new Promise(resolve => {
		child.once('exit', (code, signal) => {
			resolve(code ?? signal ?? 'unknown');
		});
	});
}
