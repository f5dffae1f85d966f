/**
 * A process of the demo: it is started with a settings file and is ready once it prints one
 * line of JSON that says so.
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

/** Start of the line that every program of the system prints on standard output once it is ready. */
const readyPrefix = '{"ready":true';

/** Program, settings and environment of a process to start. */
export type ProcessDescription = {
	readonly name: string;
	/** Compiled program. */
	readonly program: URL;
	/** Command-line options, which come before the option with the settings file. */
	readonly options?: readonly string[];
	readonly settings: unknown;
	/** Environment variables in addition to those of the supervisor. */
	readonly environment?: Readonly<Record<string, string>>;
	/** Folder for its settings file and its log. */
	readonly folder: string;
};

/** Starts a process; resolves before it is ready. */
export async function startProcess(description: ProcessDescription): Promise<SupervisedProcess> {
	const {
		name, program, options = [], settings, environment, folder,
	} = description;
	const settingsFile = path.join(folder, `${name}.json`);
	const logFile = path.join(folder, `${name}.log`);
	await writeFile(settingsFile, JSON.stringify(settings, undefined, '\t'), {mode: 0o600});
	const log = openSync(logFile, 'a');
	const commandLine = ['--enable-source-maps', fileURLToPath(program), ...options, '--settings', settingsFile];
	// With its own process group, the process does not get the terminal's interrupt; only the supervisor does, and it stops the processes in order.
	const child = spawn(process.execPath, commandLine, {
		stdio: ['ignore', 'pipe', log], detached: true, env: {...process.env, ...environment},
	});
	closeSync(log);
	return new SupervisedProcess(name, child, logFile);
}

/** One started process. */
export class SupervisedProcess {
	readonly name: string;
	/** Resolves with the exit code, or with the name of the signal that ended the process. */
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

	/** Whether the process has ever reported that it is ready. */
	get isReady(): boolean {
		return this._isReady;
	}

	get isRunning(): boolean {
		return this._child.exitCode === null && this._child.signalCode === null;
	}

	/** Waits until the process reports that it is ready; rejects with its last log lines if it exits first or a timeout passes. */
	async waitUntilReady(): Promise<void> {
		const waiting = new AbortController();
		const outcome = await Promise.race([
			this._waitForReadyLine(),
			this.exited.then(code => `ended with ${code}`),
			pause(startTimeoutMs, `not ready within ${startTimeoutMs} ms`, {signal: waiting.signal}).catch(() => ''),
		]);
		waiting.abort();
		if (outcome !== undefined) {
			throw new Error(`${this.name}: ${outcome}\n${await this.logTail()}`);
		}

		this._isReady = true;
	}

	/** Sends a signal to this process only. */
	kill(signal: NodeJS.Signals): void {
		if (this.isRunning) {
			this._child.kill(signal);
		}
	}

	/** Asks the process to stop with SIGTERM, and kills it if it has not exited after the grace time. */
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

	/** Resolves with the last lines of the process's log. */
	async logTail(): Promise<string> {
		const text = await readFile(this._logFile, 'utf8');
		return text.trimEnd().split('\n').slice(-shownLogLines).join('\n');
	}

	/** Resolves when the process prints the line that says that it is ready. */
	private async _waitForReadyLine(): Promise<undefined> {
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
