import {before, describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {loadParser, StatementClassifier} from './statement-classifier.js';
import type {Statement} from './types.js';

/** Short description of how a statement was classified. */
function describeStatement(statement: Statement): string {
	if (statement.kind === 'relayed') {
		const {transaction} = statement;
		const mode = transaction.kind === 'begin' ? `:${transaction.mode}` : '';
		const chained = 'isChained' in transaction && transaction.isChained ? ':chained' : '';
		return transaction.kind === 'none' ? statement.access : `${transaction.kind}${mode}${chained}`;
	}

	return statement.kind === 'local' ? [statement.act.name, statement.act.subject, statement.act.value].filter(part => part !== undefined).join(' ') : 'refused';
}

/** Statement texts by the expected description. */
const textsByClass: ReadonlyMap<string, readonly string[]> = new Map([
	['read', [
		'select 1',
		'values (1), (2)',
		'table roster',
		'select count(*), max(a) filter (where b) over () from t group by c',
		'select * from t where id = $1 order by a limit 3',
		'with x as (select 1) select * from x union select 2',
		'select now(), current_date, coalesce(a, 0), a::text, extract(year from d), pg_catalog.lower(b) from t',
		'explain select 1',
		'show search_path',
		'select * from t tablesample system (1)',
		'savepoint a',
		'release a',
		'select json_agg(x) from generate_series(1, 3) x',
	]],
	['write', [
		'insert into t values (1)',
		'update t set a = 1',
		'delete from t',
		'merge into t using s on a = b when matched then delete',
		'select * from t for update',
		'select * from t for key share',
		'select * into x from t',
		'select f(1)',
		'select x.lower(a) from t',
		'select * from t where exists (select reserve(1))',
		'with x as (delete from t returning *) select * from x',
		'select nextval(\'s\')',
		'explain analyze select 1',
		'explain (analyze) select 1',
		'explain delete from t',
		'create table t (a int)',
		'create temp table t (a int) on commit drop',
		'drop table t',
		'do $$ begin end $$',
		'call f()',
		'set local statement_timeout = 5',
		'set transaction isolation level serializable',
		'declare c cursor for select 1',
		'fetch c',
		'lock t',
		'select pg_advisory_xact_lock(1)',
		'select set_config(\'a.b\', \'c\', true)',
		'this is no sql',
		'select \'unterminated',
		'select lastval()',
		'analyze t',
	]],
	['refused', [
		'copy t to stdout',
		'copy t from stdin',
		'listen a',
		'notify a',
		'unlisten a',
		'select pg_advisory_lock(1)',
		'select a from t where pg_try_advisory_lock_shared(a)',
		'insert into t select pg_advisory_unlock(1)',
		'declare c cursor with hold for select 1',
		'prepare a as select 1',
		'execute a',
		'explain execute a',
		'load \'x\'',
		'create temp table t (a int)',
		'create temp table t as select 1',
		'select 1 into temp t',
		'create temp view v as select 1',
		'create temp sequence s',
		'select * from pg_temp.t',
		'insert into pg_temp.t values (1)',
		'set session characteristics as transaction read only',
		'select set_config(\'a\', \'b\', false)',
		'select set_config($1, $2, $3)',
		'set transaction_read_only = off',
		'prepare transaction \'x\'',
		'commit prepared \'x\'',
		'set transaction_isolation = serializable',
	]],
	['begin:default', ['begin', 'start transaction isolation level serializable']],
	['begin:readOnly', ['begin read only', 'begin isolation level repeatable read, read only', 'begin read write, read only']],
	['begin:readWrite', ['begin read write']],
	['commit', ['commit', 'end']],
	['commit:chained', ['commit and chain']],
	['rollback', ['rollback', 'abort']],
	['rollbackTo', ['rollback to savepoint a']],
	['empty', ['', ' ', ';', '-- nothing']],
	['set application_name till 4', ['set application_name = \'till 4\'', 'SET SESSION application_name TO \'till 4\'']],
	['set timezone UTC', ['set time zone \'UTC\'']],
	['set client_encoding utf8', ['set names \'utf8\'']],
	['set datestyle iso, mdy', ['set datestyle = iso, mdy']],
	['set statement_timeout 0', ['set statement_timeout = 0']],
	['set quetzalstream.idempotent on', ['set quetzalstream.idempotent = on', 'set quetzalstream.idempotent to \'on\'']],
	['set timezone', ['reset timezone', 'set timezone to default']],
	['set search_path x', ['set search_path = x']],
	['resetAll', ['reset all']],
	['discardAll', ['discard all']],
	['unlockAll', ['select pg_advisory_unlock_all()']],
	['nothing UNLISTEN', ['unlisten *']],
	['deallocate s1', ['deallocate s1']],
	['deallocate', ['deallocate all']],
	['show quetzalstream.token', ['show quetzalstream.token']],
]);

describe('StatementClassifier', () => {
	before(loadParser);

	for (const [expected, texts] of textsByClass) {
		it(`classifies ${expected}`, () => {
			const classifier = new StatementClassifier();
			for (const text of texts) {
				expect([text, classifier.classify(text).map(statement => describeStatement(statement))]).toEqual([text, [expected]]);
			}
		});
	}

	it('classifies each statement of a text', () => {
		const statements = new StatementClassifier().classify('begin; select 1; delete from t; commit');
		expect(statements.map(statement => describeStatement(statement))).toEqual(['begin:default', 'read', 'write', 'commit']);
	});

	it('scans long texts instead of parsing them', () => {
		const padding = 'x'.repeat(60);
		const cases: ReadonlyArray<readonly [text: string, expected: string]> = [
			[String.raw`insert into t values ('${padding};', $1, e'a\'b;', "c;d", $q$;$q$) -- ;`, 'write'],
			[`select 1 -- ${padding}`, 'write'],
			[`select '${padding}';  `, 'write'],
			[`insert into t values ('${padding}'); listen a`, 'refused'],
			[`listen "${padding}"`, 'refused'],
			[String.raw`select date'\'; listen a; --' ${padding}`, 'refused'],
			[`select 1 as a$b$; listen a; select 2 as a$b$ ${padding}`, 'refused'],
			[`select '${padding}`, 'refused'],
			[`select /* ; */ '${padding}'`, 'refused'],
			[`select pg_advisory_lock(1), '${padding}'`, 'refused'],
		];
		const classifier = new StatementClassifier({maximumParsedChars: 40});
		for (const [text, expected] of cases) {
			expect([text, classifier.classify(text).map(statement => describeStatement(statement))]).toEqual([text, [expected]]);
		}
	});

	it('caches a limited number of short texts', () => {
		const classifier = new StatementClassifier({maximumCachedTexts: 3, maximumCachedChars: 20});
		for (let index = 0; index < 10; index++) {
			classifier.classify(`select ${index}`);
			classifier.classify(`select ${index}, 'longer than the bound'`);
		}

		expect(classifier.cachedTexts <= 3).toEqual(true);
		expect(classifier.classify('select 9')).toExactlyEqual(classifier.classify('select 9'));
	});

	it('classifies deeply nested and arbitrary texts without throwing', () => {
		const classifier = new StatementClassifier();
		for (const text of [`select ${'('.repeat(15_000)}`, `select ${'1+'.repeat(15_000)}1`, `select ${'not '.repeat(8000)}true`]) {
			expect(classifier.classify(text).length).toEqual(1);
		}

		fc.assert(fc.property(fc.string({unit: 'binary'}), text => classifier.classify(text).length > 0), {seed: 3, numRuns: 300});
	});
});
