import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {InstanceRun} from './line-group.js';
import {CallerRecord} from './caller-record.js';
import type {SessionStatement} from './caller-record.js';
import {describeViolation, RanAsSent} from './ran-as-sent.js';

/** A run of an id as it must be found right; cases change it. */
function runOf(id: string, text: string, changes: Partial<InstanceRun> = {}): InstanceRun {
	return {
		id, text, connection: 'i-1#1', transaction: undefined, execution: undefined, values: new Map(), code: '', ...changes,
	};
}

const write: SessionStatement = {kind: 'write', item: 'x', data: 'a  b '};
const prepare: SessionStatement = {
	kind: 'prepare', name: 's1', isWrite: false, shape: 'q0 READ ni',
};
const execute: SessionStatement = {kind: 'execute', name: 's1', parameters: 'x y'};
const execution = {isWrite: false, shape: 'q0 READ ni', parameters: 'x y'};
const set: SessionStatement = {kind: 'set', name: '__proto__', value: ' v'};
const begin: SessionStatement = {kind: 'begin', isReadOnly: false};

describe('RanAsSent', () => {
	/** Sessions that each send their statements, all acknowledged; ids are the session's name and the statement's number. */
	function found(sessions: Readonly<Record<string, readonly SessionStatement[]>>, runs: readonly InstanceRun[]): string[] {
		const checks = new RanAsSent();
		for (const [session, statements] of Object.entries(sessions)) {
			const record = new CallerRecord(session, checks);
			for (const [index, statement] of statements.entries()) {
				record.send(`${session}${index}`, statement);
				record.noteAnswer(statement, true);
			}
		}

		for (const run of runs) {
			checks.recordRun(run);
		}

		return checks.violations().map(({rule, reason, run}) => `${rule} ${run.id}: ${reason}`);
	}

	it('finds nothing where everything ran as it was sent', () => {
		expect(found({a: [write, prepare, set, execute], b: [begin, write, {kind: 'commit'}]}, [
			runOf('a0', 'WRITE x a  b '),
			runOf('a3', 'EXECUTE p7 x y', {execution, values: new Map([['__proto__', ' v']])}),
			runOf('b1', 'WRITE x a  b ', {transaction: 1}),
			runOf('b2', 'COMMIT', {transaction: 1}),
		])).toEqual([]);
	});

	const wrongExecutions: ReadonlyArray<readonly [string, Partial<InstanceRun>, string]> = [
		['another shape', {execution: {...execution, shape: 'q0'}}, 'pinned a1: another prepared statement ran'],
		['another access', {execution: {...execution, isWrite: true}}, 'pinned a1: another prepared statement ran'],
		['a name that the connection does not know', {code: 'NOSTMT'}, 'pinned a1: the acknowledged name was not known'],
		['words before the parameters', {text: 'EXECUTE read_qa READ x y', execution}, 'unasked a1: the parameters were changed'],
		['lost blanks', {text: 'EXECUTE p1 xy', execution}, 'unasked a1: the parameters were changed'],
	];
	for (const [what, changes, violation] of wrongExecutions) {
		it(`finds an EXECUTE with ${what}`, () => {
			expect(found({a: [prepare, execute]}, [runOf('a1', 'EXECUTE p7 x y', changes)])).toEqual([violation]);
		});
	}

	it('finds an EXECUTE of a name that its caller has deallocated', () => {
		expect(found({a: [prepare, {kind: 'deallocate', name: 's1'}, execute]}, [runOf('a2', 'EXECUTE p7 x y', {execution})]))
			.toEqual(['pinned a2: another prepared statement ran']);
	});

	const wrongValues: ReadonlyArray<readonly [string, ReadonlyArray<[string, string]>]> = [
		['a missing value', []], ['another value', [['__proto__', 'v']]], ['a value of another session', [['__proto__', ' v'], ['b', '1']]],
	];
	for (const [what, values] of wrongValues) {
		it(`finds a statement that ran with ${what}`, () => {
			expect(found({a: [set, write]}, [runOf('a1', 'WRITE x a  b ', {values: new Map(values)})])).toEqual(['pinned a1: the session values differ']);
		});
	}

	it('finds statements that nobody sent, those of a node itself included, and a changed text', () => {
		expect(found({a: [write]}, [runOf('b0', 'READ x'), runOf('-', 'COMMIT', {transaction: 1}), runOf('a0', 'WRITE x a b')])).toEqual([
			'unasked b0: nobody sent it', 'unasked -: nobody sent it', 'unasked a0: the text was changed',
		]);
	});

	it('finds statements that ran outside of their transaction, or in none that they have', () => {
		expect(found({a: [write, begin, write]}, [runOf('a0', 'WRITE x a  b ', {transaction: 4}), runOf('a2', 'WRITE x a  b ')])).toEqual([
			'pinned a0: ran inside transaction 4 of i-1#1, of nobody', 'pinned a2: ran outside of its transaction a/1',
		]);
	});

	it('finds a transaction that goes on elsewhere, and a commit of another caller', () => {
		const sessions = {a: [begin, write, write], b: [begin, {kind: 'commit'}]} as const;
		expect(found(sessions, [
			runOf('a1', 'WRITE x a  b ', {transaction: 1}), runOf('a2', 'WRITE x a  b ', {connection: 'i-1#2', transaction: 1}), runOf('b1', 'COMMIT', {transaction: 1}),
		])).toEqual([
			'pinned a2: ran in transaction 1 of i-1#2, began in transaction 1 of i-1#1',
			'pinned b1: ran inside transaction 1 of i-1#1, of a/1',
			'unasked b1: committed transaction 1 of i-1#1, of a/1',
		]);
	});

	it('describes a violation with the id and both sides', () => {
		const checks = new RanAsSent();
		new CallerRecord('a', checks).send('a0', write);
		checks.recordRun(runOf('a0', 'READ y'));
		const [text] = checks.violations().map(violation => describeViolation(violation));
		expect(['a0', 'WRITE x a  b ', 'READ y'].filter(part => !text.includes(part))).toEqual([]);
	});
});
