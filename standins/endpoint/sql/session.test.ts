import {before, describe, it} from 'node:test';
import {expect} from 'earl';
import type {SqlValue} from '../types.js';
import {InProcessGroup} from '../testing/in-process-group.js';
import {makeRandom} from '../make-random.js';
import {SqlEngine} from './engine.js';
import {loadParser} from './planner.js';
import {SqlSession} from './session.js';
import {SqlError} from './sql-error.js';

type Parameters = readonly SqlValue[];
type Answer = string | ReadonlyArray<readonly SqlValue[]>;

/** Sessions of one instance, in a group with only that instance. */
class SqlHarness {
	readonly group = new InProcessGroup(['a']);
	readonly engine = new SqlEngine(this.group.get('a'), this.group.clock, makeRandom(1), 1000);

	session(): SqlSession {
		return new SqlSession(this.engine, {user: 'user', database: 'group', processId: 1});
	}

	/** Runs statements; returns the rows of the last one, its command tag if it has no rows, or the SQLSTATE of an error. */
	async run(session: SqlSession, text: string, parameters: readonly SqlValue[] = []): Promise<Answer> {
		try {
			let answer: Answer = '';
			for (const statement of this.engine.statements.parse(text)) {
				session.describe(statement, []);
				const {rows, tag} = await session.execute(statement, [], parameters);
				answer = rows ?? tag;
			}

			session.commitImplicitTransaction();
			return answer;
		} catch (error) {
			session.failTransaction();
			return error instanceof SqlError ? error.sqlState : String(error);
		}
	}
}

const setUpStatements = [
	'CREATE TABLE IF NOT EXISTS items (id int PRIMARY KEY, name text NOT NULL, price numeric(10, 2), stock int8 DEFAULT 0, at timestamptz DEFAULT now())',
	'INSERT INTO items (id, name, price) VALUES (1, \'apple\', 1.5), (2, \'pear\', 2), (3, \'plum\', NULL)',
];

/** Texts with their expected answers and their parameters; they run in this order in one session, so each depends on those before it. */
const statements: ReadonlyArray<readonly [string, Answer, Parameters?]> = [
	['SELECT id, name FROM items WHERE id = 2', [[2, 'pear']]],
	['SELECT name FROM items WHERE id = $1', [['plum']], [3]],
	['SELECT id FROM items WHERE name LIKE \'p%\' AND NOT (price IS NULL) OR id IN (1, 7) ORDER BY id DESC', [[2], [1]]],
	['SELECT id FROM items WHERE id = ANY ($1) ORDER BY 1', [[1], [3]], ['{1,3,9}']],
	['SELECT count(*), count(price), sum(price), min(name), avg(id) FROM items', [[3, 2, 3.5, 'apple', 2]]],
	['SELECT price IS NULL AS unknown, count(*) FROM items GROUP BY unknown HAVING count(*) > 1', [[false, 2]]],
	['SELECT id FROM items ORDER BY price DESC NULLS LAST, id LIMIT 1 OFFSET 1', [[1]]],
	['SELECT 7 / 2, 7.0 / 2, -3 % 2, \'a\' || 1, upper(\'x\'), coalesce(NULL, 4), CASE WHEN 1 > 2 THEN \'y\' ELSE \'n\' END, 1 = NULL', [[3, 3.5, -1, 'a1', 'X', 4, 'n', undefined]]],
	['UPDATE items SET stock = stock + 5 WHERE id < 3 RETURNING id, stock', [[1, 5], [2, 5]]],
	['INSERT INTO items (id, name) VALUES (1, \'fig\') ON CONFLICT DO NOTHING', 'INSERT 0 0'],
	['INSERT INTO items (id, name) VALUES (1, \'fig\') ON CONFLICT (id) DO UPDATE SET name = excluded.name, stock = items.stock + 1 RETURNING name, stock', [['fig', 6]]],
	['UPDATE items SET id = 9 WHERE id = 3', 'UPDATE 1'],
	['DELETE FROM items WHERE id = 9', 'DELETE 1'],
	['CREATE TABLE numbered (id serial PRIMARY KEY, v text); INSERT INTO numbered (v) SELECT \'v\' || g FROM generate_series(1, 3) g; SELECT id, v FROM numbered WHERE id > 1', [[2, 'v2'], [3, 'v3']]],
	['CREATE TABLE keyless (v int); INSERT INTO keyless VALUES (1), (1); SELECT v FROM keyless', [[1], [1]]],
	['SHOW TimeZone', [['UTC']]],
	['SET statement_timeout = 5; SHOW statement_timeout', [['5']]],
	['BEGIN; DELETE FROM items; ROLLBACK; SELECT count(*) FROM items', [[2]]],
	['BEGIN; CREATE TABLE gone (v int); INSERT INTO gone VALUES (1); SELECT v FROM gone', [[1]]],
	['ROLLBACK; SELECT * FROM gone', '42P01'],
	['SELECT nothing FROM items', '42703'],
	['SELECT no_function(1)', '42883'],
	['SELECT id = \'x\' FROM items', '22P02'],
	['SELECT name + 1 FROM items', '42883'],
	['SELECT id, count(*) FROM items', '42803'],
	['SELECT 1 / 0', '22012'],
	['SELECT 2147483647 + 1', '22003'],
	['SELEC 1', '42601'],
	['INSERT INTO items (id, name) VALUES (1, \'x\')', '23505'],
	['INSERT INTO items (id) VALUES (20)', '23502'],
	['SELECT * FROM items JOIN numbered ON true', '0A000'],
	['CREATE TABLE items (id int)', '42P07'],
	['BEGIN READ ONLY; DELETE FROM items', '25006'],
	['SELECT 1', '25P02'],
	['COMMIT', 'ROLLBACK'],
	['DROP TABLE keyless; SELECT * FROM keyless', '42P01'],
	['DISCARD ALL', 'DISCARD ALL'],
];

describe('SqlSession', () => {
	before(loadParser);

	it('runs statements, or refuses them with the expected SQLSTATE', async () => {
		const harness = new SqlHarness();
		const session = harness.session();
		for (const text of setUpStatements) {
			await harness.run(session, text);
		}

		for (const [text, answer, parameters] of statements) {
			expect([text, await harness.run(session, text, parameters)]).toEqual([text, answer]);
		}
	});

	it('parameterises the literals of simple queries, only if that is safe', () => {
		const {statements: cache} = new SqlHarness().engine;
		const cases: ReadonlyArray<readonly [string, readonly string[]]> = [
			['SELECT * FROM t WHERE id = 12 AND name = \'it\'\'s\'', ['12', 'it\'s']],
			['SELECT t1.c2 FROM t1 WHERE x > 1.5 LIMIT 3', ['1.5', '3']],
			['SELECT * FROM t ORDER BY 1', []],
			['SELECT \'2020-01-01\'::date', []],
			['SELECT date \'2020-01-01\'', []],
			['SELECT $1, 2', []],
			['SELECT 1; SELECT 2', []],
			['SELECT E\'x\', 5', ['5']],
		];
		for (const [text, texts] of cases) {
			expect([text, cache.parseSimple(text).literalTexts]).toEqual([text, texts]);
		}

		// A simple query shares the cache entry of the same text with parameters.
		expect(cache.parse('SELECT * FROM t WHERE id = $1 AND name = $2')).toExactlyEqual(cache.parseSimple('SELECT * FROM t WHERE id = 5 AND name = \'x\'').statements);
	});

	it('makes writers of one row wait for each other, and detects deadlocks', async () => {
		const harness = new SqlHarness();
		const [one, two] = [harness.session(), harness.session()];
		for (const text of setUpStatements) {
			await harness.run(one, text);
		}

		await harness.run(one, 'BEGIN; UPDATE items SET stock = 10 WHERE id = 1');
		await harness.run(two, 'BEGIN; UPDATE items SET stock = 20 WHERE id = 2');
		const waiting = harness.run(two, 'UPDATE items SET stock = stock + 1 WHERE id = 1 RETURNING stock');
		// Each session now needs a row of the other: the first one is refused, and its rollback lets the second one continue.
		expect(await harness.run(one, 'UPDATE items SET stock = 0 WHERE id = 2')).toEqual('40P01');
		expect(await waiting).toEqual([[1]]);
		expect(await harness.run(one, 'ROLLBACK; SELECT stock FROM items WHERE id = 1')).toEqual([[0]]);
		const tooLong = harness.run(one, 'DELETE FROM items WHERE id = 2');
		// Longer than the lock timeout of the harness.
		await harness.group.clock.advance(1001);
		expect(await tooLong).toEqual('55P03');
		const forUpdate = harness.run(one, 'SELECT stock FROM items WHERE id = 2 FOR UPDATE');
		await harness.run(two, 'COMMIT');
		expect(await forUpdate).toEqual([[20]]);
	});

	it('ends write transactions when the instance steps down, and lets read transactions continue', async () => {
		const harness = new SqlHarness();
		const [writer, reader, waiter] = [harness.session(), harness.session(), harness.session()];
		for (const text of setUpStatements) {
			await harness.run(writer, text);
		}

		await harness.run(writer, 'BEGIN; DELETE FROM items WHERE id = 1');
		await harness.run(reader, 'BEGIN; SELECT * FROM items');
		const waiting = harness.run(waiter, 'UPDATE items SET stock = 1 WHERE id = 1');
		harness.group.get('a').raiseTerm(2, 'claim');
		expect(await waiting).toEqual('25006');
		expect(await harness.run(writer, 'COMMIT')).toEqual('25006');
		expect(writer.status).toEqual('I');
		expect(await harness.run(reader, 'SELECT count(*) FROM items')).toEqual([[3]]);
		expect(await harness.run(reader, 'DELETE FROM items')).toEqual('25006');
	});
});
