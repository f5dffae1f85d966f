import {setTimeout as pause} from 'node:timers/promises';
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {eventually, startSmallSystem} from './testing/small-system.js';
import {Ledger} from './testing/ledger.js';

/** Acknowledged writes before and after a fault. */
const writesAround = 20;

const small = await startSmallSystem();

describe('processes that fail', () => {
	before(async () => {
		const client = await small.connect('a-1');
		await client.query('CREATE TABLE ledger (name text)');
		await client.query('CREATE TABLE items (id text PRIMARY KEY)');
	});

	after(async () => {
		expect(await small.stop()).toEqual([]);
	});

	async function acknowledged(ledger: Ledger, count: number): Promise<void> {
		await eventually(`${count} acknowledged writes`, async () => ledger.acknowledgedCount >= count || undefined);
	}

	/** Writes through every node while `operation` disturbs the system, then checks the rows against the outcomes of the writes. */
	async function writeThrough(prefix: string, operation: (ledger: Ledger) => Promise<void>): Promise<Ledger> {
		const ledger = new Ledger();
		for (const node of small.nodes) {
			ledger.addWriter(`${prefix}-${node}`, async () => small.connect(node));
		}

		try {
			await acknowledged(ledger, writesAround);
			await operation(ledger);
			await acknowledged(ledger, ledger.acknowledgedCount + writesAround);
		} finally {
			await ledger.end();
		}

		const reader = await small.connect('c-1');
		const {rows} = await reader.query<{name: string}>('SELECT name FROM ledger');
		expect(ledger.contradictions(rows)).toEqual([]);
		return ledger;
	}

	/** Inserts an item, which waits for any transaction that has inserted the same item. */
	async function insertEventually(node: string, id: string): Promise<void> {
		const client = await small.connect(node);
		await eventually(`item ${id}`, async () => client.query('INSERT INTO items VALUES ($1)', [id]));
	}

	it('a primary whose process is paused for a second stays primary', async () => {
		const {name} = await small.primary();
		const {term} = await small.status();
		await writeThrough('stop', async () => {
			small.system.signal(name, 'SIGSTOP');
			await pause(1000);
			small.system.signal(name, 'SIGCONT');
		});
		const after = await small.status();
		expect([after.primary, after.term]).toEqual([name, term]);
	});

	it('a caller whose connection is cut loses its transaction and nobody else\'s', async () => {
		const {home} = await small.primary();
		for (const node of new Set([home, 'b-1'])) {
			const [lost, other] = await Promise.all([small.connect(node), small.connect(node)]);
			await lost.query('BEGIN');
			await lost.query('INSERT INTO items VALUES ($1)', [`cut-${node}`]);
			await other.query('BEGIN');
			await other.query('INSERT INTO items VALUES ($1)', [`kept-${node}`]);
			lost.cut();
			await insertEventually(node, `cut-${node}`);
			await other.query('COMMIT');
			const {rows} = await other.query('SELECT id FROM items WHERE id IN ($1, $2)', [`cut-${node}`, `kept-${node}`]);
			expect(rows.length).toEqual(2);
		}
	});

	for (const part of ['the entry node', 'the home'] as const) {
		it(`${part} that is killed in mid-transaction leaves no transaction open`, async () => {
			const {home} = await small.primary();
			const entry = small.nodes.find(node => node.startsWith('c')) ?? home;
			const killed = part === 'the home' ? home : entry;
			const holders = await Promise.all(Array.from({length: 3}, async () => small.connect(entry)));
			for (const [index, holder] of holders.entries()) {
				await holder.query('BEGIN');
				await holder.query('INSERT INTO items VALUES ($1)', [`${killed}-${index}`]);
			}

			await small.system.kill(killed);
			const others = small.nodes.filter(node => node !== killed);
			await Promise.all(holders.map(async (_holder, index) => insertEventually(others[index], `${killed}-${index}`)));
			await expect(holders[0].query('COMMIT')).toBeRejected();
			await small.restartNode(killed);
		});
	}

	it('a node that is stopped under load interrupts no request', async () => {
		const client = await small.connect('a-1');
		await client.query('BEGIN');
		await client.query('INSERT INTO items VALUES ($1)', ['drained']);
		const slow = await small.connect('a-1');
		const sleeping = slow.query('SELECT pg_sleep(1)');
		const ledger = await writeThrough('drain', async () => {
			small.system.signal('a-1', 'SIGTERM');
			await sleeping;
			await client.query('COMMIT');
			expect(await small.system.exitOf('a-1')).toEqual(0);
			await small.restartNode('a-1');
		});
		expect([...ledger.errors].filter(([name]) => ledger.outcomes.get(name) === 'unknown')).toEqual([]);
		const reader = await small.connect('b-1');
		const {rows} = await reader.query('SELECT id FROM items WHERE id = $1', ['drained']);
		expect(rows.length).toEqual(1);
	});

	it('a primary that is killed while callers write loses no acknowledged write', async () => {
		const {name} = await small.primary();
		const {term} = await small.status();
		await writeThrough('kill', async () => small.system.kill(name));
		const after = await small.primary();
		const {term: laterTerm} = await small.status();
		expect([after.name === name, laterTerm > term]).toEqual([false, true]);
		await small.restartEndpoint(name);
	});
});
