/**
 * One node that runs in its own process, which is signalled by its process id.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream} from 'node:fs';
import {writeFile} from 'node:fs/promises';
import {get} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {readyPath, settingsFileVariable} from '../../../platform/names.js';
import type {UsageRule} from '../../../src/common/organisations/usage-rule.js';
import {diversionsVariable} from './diverted-connections.js';

const compiledProgram = fileURLToPath(new URL('node-main.js', import.meta.url));

/** Interval in milliseconds between two checks whether a node is ready, and the number of checks. */
const readinessPolling = {everyMs: 100, times: 300} as const;

/** Settings of access control: the time within which a revoked key must be refused, and the rule for usage limits. */
export const accessRule: {readonly keyRevocationMs: number; readonly usage: UsageRule} = {
	keyRevocationMs: 5000, usage: {windowS: 5, overshootShare: 0.1, slack: 20},
};

/** Name, zone, addresses and folder of a node. */
export type NodePlan = {
	readonly name: string;
	readonly zone: string;
	readonly host: string;
	readonly callersPort: number;
	readonly readyPort: number;
	readonly peersPort: number;
	/** Addresses of the store and of the promotion call. */
	readonly platformAddress: string;
	/** Folder of the node's settings and log. */
	readonly folder: string;
	/** Speed of the host as a multiple of one standard core; one if missing. */
	readonly cores?: number;
	/** Arguments of the process before those of a node: options of Node.js and the program; the compiled modules of this repository if missing. */
	readonly program?: readonly string[];
};

/** Starts, signals and restarts one node. */
export class NodeProcess {
	readonly plan: NodePlan;
	/** For each address, the port of the proxy to which the node's connections are diverted. */
	readonly diversions = new Map<string, number>();
	private _child: ChildProcess | undefined;

	constructor(plan: NodePlan) {
		this.plan = plan;
	}

	/** Id of the process; undefined before the first start. */
	get pid(): number | undefined {
		return this._child?.pid;
	}

	get isRunning(): boolean {
		return this._child?.exitCode === null && this._child.signalCode === null;
	}

	/** Starts the process without waiting until it is ready. */
	async start(): Promise<void> {
		const {name, folder} = this.plan;
		const file = path.join(folder, `${name}.conf`);
		await writeFile(file, settingsOf(this.plan));
		const settings = path.join(folder, `${name}.jsonc`);
		await writeFile(settings, '{"metrics": {"port": 0}, "logs": {"linesPerS": 1000}}');
		// Two faults that ended the process at the same time both start it again: a second process would outlive the run.
		if (this.isRunning) {
			return;
		}

		const child = spawn(process.execPath, [...this.plan.program ?? [compiledProgram], '--settings', settings], {
			stdio: ['ignore', 'pipe', 'pipe'], env: {
				...process.env, [settingsFileVariable]: file, [diversionsVariable]: JSON.stringify(Object.fromEntries(this.diversions)),
			},
		});
		const log = createWriteStream(path.join(folder, `${name}.log`), {flags: 'a'});
		child.stdout.pipe(log);
		child.stderr.pipe(log, {end: false});
		this._child = child;
	}

	/** Waits until the node accepts callers; resolves to false if it does not in time. */
	async waitUntilReady(): Promise<boolean> {
		for (let attempt = 0; attempt < readinessPolling.times; attempt++) {
			if (await this.isReady()) {
				return true;
			}

			await pause(readinessPolling.everyMs);
		}

		return false;
	}

	/** Resolves to whether the node reports that it accepts callers. */
	async isReady(): Promise<boolean> {
		const {host, readyPort} = this.plan;
		return new Promise(resolve => {
			const request = get({
				host, port: readyPort, path: readyPath, timeout: 500,
			}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve(false);
			});
		});
	}

	signal(signal: NodeJS.Signals): void {
		if (this.isRunning) {
			this._child!.kill(signal);
		}
	}

	/** Sends a signal that ends the process, and waits until the process has exited. */
	async end(signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
		const child = this._child;
		if (!child || !this.isRunning) {
			return;
		}

		const exited = once(child, 'exit');
		child.kill(signal);
		await exited;
	}
}

function settingsOf({name, zone, host, callersPort, readyPort, peersPort, platformAddress, cores = 1}: NodePlan): string {
	const fields = [
		['node-id', name],
		['zone', zone],
		['region', 'r'],
		['ip', host],
		['listen.frontend', `${host}:${callersPort}`],
		['listen.ready', `${host}:${readyPort}`],
		['port-range', `${peersPort},${peersPort}`],
		['platform.addr', platformAddress],
		['cloud.addr', platformAddress],
		['limits.cpu-share', '1'],
		['limits.cores', String(cores)],
		['bounds.grace-s', '6'],
		['zones.a', 'r'],
		['zones.b', 'r'],
		['zones.c', 'r'],
		['bounds.strict-revoke', 'true'],
		['bounds.revoke-ms', String(accessRule.keyRevocationMs)],
		['bounds.quota-window-s', String(accessRule.usage.windowS)],
		['bounds.quota-overshoot', String(accessRule.usage.overshootShare)],
		['bounds.quota-slack', String(accessRule.usage.slack)],
	] as const;
	return fields.map(([key, value]) => `${key}=${value}\n`).join('');
}
