/**
 * What the kernel accounts to a process: processor time, memory, and what it read and wrote.
 * Read from outside, so that measuring costs the process nothing.
 */
import {readFile} from 'node:fs/promises';

/** Clock ticks of /proc in one second; the same on every Linux that Node.js runs on. */
const ticksPerSecond = 100;

/** The account of a process at one moment. Counts go up from its start. */
export type ProcessAccount = {
	readonly cpuMs: number;
	readonly residentBytes: number;
	/** Bytes of read and write calls, sockets included. */
	readonly readBytes: number;
	readonly writtenBytes: number;
	/** Read and write calls. */
	readonly readCalls: number;
	readonly writeCalls: number;
};

/** Reads the account of a process. */
export async function readAccount(pid: number): Promise<ProcessAccount> {
	const [stat, status, io] = await Promise.all(['stat', 'status', 'io'].map(async file => readFile(`/proc/${pid}/${file}`, 'utf8')));
	// The name in brackets may hold anything; numbers begin behind it.
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[11]) + Number(fields[12]);
	return {
		cpuMs: ticks * 1000 / ticksPerSecond,
		residentBytes: numberAfter(status, 'VmRSS:') * 1024,
		readBytes: numberAfter(io, 'rchar:'),
		writtenBytes: numberAfter(io, 'wchar:'),
		readCalls: numberAfter(io, 'syscr:'),
		writeCalls: numberAfter(io, 'syscw:'),
	};
}

/** What a process used between two moments; memory is the later one's. */
export function differenceOf(before: ProcessAccount, after: ProcessAccount): ProcessAccount {
	return {
		cpuMs: after.cpuMs - before.cpuMs,
		residentBytes: after.residentBytes,
		readBytes: after.readBytes - before.readBytes,
		writtenBytes: after.writtenBytes - before.writtenBytes,
		readCalls: after.readCalls - before.readCalls,
		writeCalls: after.writeCalls - before.writeCalls,
	};
}

function numberAfter(text: string, key: string): number {
	const start = text.indexOf(key);
	return start === -1 ? 0 : Number.parseInt(text.slice(start + key.length), 10);
}

/** Processes by what they are; those of one name are counted together. */
export type ProcessGroups = Readonly<Record<string, readonly number[]>>;

/** Adds up what several processes use during some acts. */
export class AccountSum {
	/** What each has used so far, by the names given. */
	readonly total: Record<string, ProcessAccount> = {};

	/** Adds what the processes use during one act. */
	async around(pids: ProcessGroups, act: () => Promise<void>): Promise<void> {
		const before = await readAll(pids);
		await act();
		const after = await readAll(pids);
		for (const name of Object.keys(pids)) {
			const used = differenceOf(before[name], after[name]);
			const sum = this.total[name];
			this.total[name] = sum ? addUp(sum, used) : used;
		}
	}
}

function addUp(sum: ProcessAccount, used: ProcessAccount): ProcessAccount {
	return {
		cpuMs: sum.cpuMs + used.cpuMs,
		residentBytes: Math.max(sum.residentBytes, used.residentBytes),
		readBytes: sum.readBytes + used.readBytes,
		writtenBytes: sum.writtenBytes + used.writtenBytes,
		readCalls: sum.readCalls + used.readCalls,
		writeCalls: sum.writeCalls + used.writeCalls,
	};
}

async function readAll(groups: ProcessGroups): Promise<Record<string, ProcessAccount>> {
	const entries = Object.entries(groups).map(async ([name, pids]) => {
		const accounts = await Promise.all(pids.map(async pid => readAccount(pid)));
		let sum = accounts[0];
		for (const account of accounts.slice(1)) {
			sum = addUp(sum, account);
		}

		return [name, sum] as const;
	});
	return Object.fromEntries(await Promise.all(entries));
}
