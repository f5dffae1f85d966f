/**
 * Resources that the kernel accounts to a process: processor time, memory, bytes read and
 * written. They are read from outside the process, so that measuring costs it nothing.
 */
import {readFile} from 'node:fs/promises';

/** Clock ticks per second in /proc; the same on every Linux on which Node.js runs. */
const ticksPerSecond = 100;

/** Resource usage of a process at one moment; counts run from the start of the process. */
export type ProcessAccount = {
	readonly cpuMs: number;
	readonly residentBytes: number;
	/** Bytes of read and write calls, including those on sockets. */
	readonly readBytes: number;
	readonly writtenBytes: number;
	/** Number of read and write calls. */
	readonly readCalls: number;
	readonly writeCalls: number;
};

/** Reads the resource usage of a process from /proc; rejects if the process does not exist. */
export async function readAccount(pid: number): Promise<ProcessAccount> {
	const [stat, status, io] = await Promise.all(['stat', 'status', 'io'].map(async file => readFile(`/proc/${pid}/${file}`, 'utf8')));
	// The process name in parentheses may contain any character; the numeric fields start after it.
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

/** Resources used between two moments; memory is that of the later one. */
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

/** Process ids by the role of the processes; those of one role are counted together. */
export type ProcessGroups = Readonly<Record<string, readonly number[]>>;

/** Sums the resources that several processes use during a series of operations. */
export class AccountSum {
	/** Resources used so far, by the role of the processes; memory is the maximum. */
	readonly total: Record<string, ProcessAccount> = {};

	/** Runs one operation and adds the resources that the processes use during it. */
	async around(pids: ProcessGroups, operation: () => Promise<void>): Promise<void> {
		const before = await readAll(pids);
		await operation();
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
