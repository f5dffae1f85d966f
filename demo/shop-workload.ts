/**
 * The demo's workload: some callers browse; others write and then read their own write through
 * another node, to which they pass the session token.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {CallerPool} from './caller-pool.js';
import {workload} from './constants.js';
import type {DevelopmentSystem} from './development-system.js';
import type {ProxyClient} from './proxy-client.js';
import {readCounts} from './read-share.js';
import {withRetries} from './retry-hint.js';
import type {Scenario} from './scenarios.js';
import type {Reporter} from './types.js';

/** Counts of the workload; `errors` are by text. */
type Tally = {
	reads: number;
	writes: number;
	ownReads: number;
	missedOwnWrites: number;
	retries: number;
	errors: Map<string, number>;
};

/** Runs the workload on one system. */
export class ShopWorkload {
	private readonly _system: DevelopmentSystem;
	private readonly _scenario: Scenario;
	private readonly _reporter: Reporter;
	private readonly _tally: Tally = {
		reads: 0, writes: 0, ownReads: 0, missedOwnWrites: 0, retries: 0, errors: new Map(),
	};

	constructor(system: DevelopmentSystem, scenario: Scenario, reporter: Reporter) {
		this._system = system;
		this._scenario = scenario;
		this._reporter = reporter;
	}

	/** Creates the tables and the rows that are browsed. */
	async prepare(): Promise<void> {
		const {browsed, written} = this._scenario;
		const pool = new CallerPool(this._system);
		try {
			const [node] = this._nodes();
			const stock = await pool.connect(node, browsed.group, written.user);
			await withRetries(async () => stock.query(`CREATE TABLE ${browsed.table} (id int PRIMARY KEY, name text, price int)`));
			for (let id = 1; id <= workload.items; id++) {
				await withRetries(async () => stock.query(`INSERT INTO ${browsed.table} VALUES ($1, $2, $3)`, [id, `item ${id}`, id * 10]));
			}

			const sales = await pool.connect(node, written.group, written.user);
			await withRetries(async () => sales.query(`CREATE TABLE ${written.table} (id text PRIMARY KEY, item int)`));
		} finally {
			await pool.end();
		}
	}

	/** Runs all callers and reports; resolves with whether every own write was read and no request failed. */
	async run(): Promise<boolean> {
		const pool = new CallerPool(this._system);
		const before = await readCounts(this._system);
		const browsers = Array.from({length: workload.browsers}, async (_, index) => this._browse(pool, index));
		const sellers = Array.from({length: workload.sellers}, async (_, index) => this._sell(pool, index));
		const progressTimer = setInterval(() => {
			this._reporter.progress(this._progress());
		}, 100);
		try {
			await Promise.all([...browsers, ...sellers]);
		} finally {
			clearInterval(progressTimer);
			await pool.end();
		}

		this._report();
		const after = await readCounts(this._system);
		this._reportShare(before, after);
		return this._tally.missedOwnWrites === 0 && this._tally.errors.size === 0;
	}

	private async _browse(pool: CallerPool, index: number): Promise<void> {
		const {group, table, user} = this._scenario.browsed;
		const client = await pool.connect(this._nodeOf(index), group, user);
		for (let count = 0; count < workload.readsPerBrowser; count++) {
			const id = 1 + (((count * 7) + index) % workload.items);

			await this._attempt(async () => {
				await client.query(`SELECT name, price FROM ${table} WHERE id = $1`, [id]);
				this._tally.reads++;
			});
			await pause(workload.thinkMs);
		}
	}

	/** Writes through one node, then reads the write through another one. */
	private async _sell(pool: CallerPool, index: number): Promise<void> {
		const {group, table, user} = this._scenario.written;
		const writer = await pool.connect(this._nodeOf(index), group, user);
		const reader = await pool.connect(this._nodeOf(index + 1), group, user);
		for (let count = 0; count < workload.salesPerSeller; count++) {
			const id = `${index}-${count}`;

			const isAcknowledged = await this._attempt(async () => {
				await writer.query(`INSERT INTO ${table} VALUES ($1, $2)`, [id, 1 + (count % workload.items)]);
				this._tally.writes++;
			});
			// A write that was refused, or whose outcome is unknown, need not be present.
			if (isAcknowledged) {
				await this._readOwn(writer, reader, id);
			}

			await pause(workload.thinkMs);
		}
	}

	private async _readOwn(writer: ProxyClient, reader: ProxyClient, id: string): Promise<void> {
		const {table} = this._scenario.written;
		await this._attempt(async () => {
			if (writer.token !== undefined) {
				await reader.continueSession(writer.token);
			}

			const own = await reader.query(`SELECT item FROM ${table} WHERE id = $1`, [id]);
			this._tally.ownReads++;
			this._tally.missedOwnWrites += own.rows.length === 1 ? 0 : 1;
		});
	}

	/** Runs an operation with retries and counts its final error, if any; resolves with whether it succeeded. */
	private async _attempt(operation: () => Promise<void>): Promise<boolean> {
		try {
			await withRetries(operation, () => {
				this._tally.retries++;
			});
			return true;
		} catch (error) {
			const {errors} = this._tally;
			const text = error instanceof Error ? error.message : String(error);
			errors.set(text, (errors.get(text) ?? 0) + 1);
			return false;
		}
	}

	private _report(): void {
		const {
			reads, writes, ownReads, missedOwnWrites, retries, errors,
		} = this._tally;
		const {words} = this._scenario;
		this._reporter.line(`${reads} ${words.reads}, ${writes} ${words.writes}`);
		this._reporter.line(`${ownReads} reads of an own write through another node, ${missedOwnWrites} missed it`);
		this._reporter.line(`${retries} retries of requests that were refused with a retry hint`);
		for (const [text, count] of errors) {
			this._reporter.line(`${count} times: ${text}`);
		}
	}

	private _reportShare(before: Awaited<ReturnType<typeof readCounts>>, after: Awaited<ReturnType<typeof readCounts>>): void {
		if (!before || !after) {
			this._reporter.line('reads served by replicas: not available, a node did not return its metrics');
			return;
		}

		const replica = after.replica - before.replica;
		const all = replica + after.primary - before.primary;
		this._reporter.line(`reads served by replicas: ${replica} of ${all} (${(100 * replica / Math.max(1, all)).toFixed(1)} %)`);
	}

	private _progress(): string {
		const {reads, writes, ownReads} = this._tally;
		const total = (workload.browsers * workload.readsPerBrowser) + (workload.sellers * workload.salesPerSeller * 2);
		const done = reads + writes + ownReads;
		return `workload ${Math.floor(100 * done / total)} %: ${reads} reads, ${writes} writes`;
	}

	private _nodes(): readonly string[] {
		return this._system.deployment.nodes.map(({name}) => name);
	}

	private _nodeOf(index: number): string {
		const nodes = this._nodes();
		// Neighbours in the list are often in the same zone; a node three places further is in another one.
		return nodes[(index * 3) % nodes.length];
	}
}
