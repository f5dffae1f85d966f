import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, constantFrom, oneof, property, record, string,
} from 'fast-check';
import type {InternalStatement} from '../services/services.js';
import {ConnectionSessionState} from './connection-session-state.js';
import type {PreparedStatement, SessionState} from './session-state.js';
import {emptySessionState} from './session-state.js';

function sessionWith(values: Record<string, string>) {
	const state = emptySessionState();
	for (const [name, value] of Object.entries(values)) {
		state.values.set(name, value);
	}

	return state;
}

/** Applies what a session and its prepared statement need; returns the statements that are sent for it. */
function apply(state: ConnectionSessionState, session: SessionState, prepared?: PreparedStatement): readonly InternalStatement[] {
	const change = state.changeFor(session, prepared);
	state.apply(change);
	expect(change.name).toEqual(prepared && state.nameOf(prepared));
	return change.statements;
}

function prepareOf(statements: readonly InternalStatement[]): Extract<InternalStatement, {kind: 'prepare'}> | undefined {
	return statements.find(statement => statement.kind === 'prepare');
}

describe('ConnectionSessionState', () => {
	it('sets only the values that differ', () => {
		const sessionState = new ConnectionSessionState({names: 8, shapeCharacters: 1000});
		expect(apply(sessionState, sessionWith({a: '1'}))).toEqual([{kind: 'set', name: 'a', value: '1'}]);
		expect(apply(sessionState, sessionWith({a: '1'}))).toEqual([]);
		expect(apply(sessionState, sessionWith({a: '1', b: '2'}))).toEqual([{kind: 'set', name: 'b', value: '2'}]);
	});

	it('discards the state if it holds a value that the session does not have', () => {
		const sessionState = new ConnectionSessionState({names: 8, shapeCharacters: 1000});
		apply(sessionState, sessionWith({a: '1', b: '2'}));
		expect(sessionState.isAppliedFor(sessionWith({a: '1'}))).toEqual(false);
		expect(apply(sessionState, sessionWith({a: '1'}))).toEqual([{kind: 'discard'}, {kind: 'set', name: 'a', value: '1'}]);
		expect(sessionState.isAppliedFor(sessionWith({a: '1'}))).toEqual(true);
	});

	it('prepares a statement once for all sessions that execute it', () => {
		const sessionState = new ConnectionSessionState({names: 8, shapeCharacters: 1000});
		const statement = {access: 'read', shape: 'q1'} as const;
		expect(apply(sessionState, emptySessionState(), statement)).toEqual([{kind: 'prepare', name: 'p1', ...statement}]);
		expect(apply(sessionState, emptySessionState(), statement)).toEqual([]);
	});

	it('bounds the number of prepared statements and prepares again those that were discarded', () => {
		const sessionState = new ConnectionSessionState({names: 1, shapeCharacters: 1000});
		const [one, two] = [{access: 'read', shape: 'q1'}, {access: 'write', shape: 'q1'}] as const;
		apply(sessionState, emptySessionState(), one);
		expect(apply(sessionState, emptySessionState(), two).map(({kind}) => kind)).toEqual(['discard', 'prepare']);
		expect(apply(sessionState, emptySessionState(), one).map(({kind}) => kind)).toEqual(['discard', 'prepare']);
	});

	it('records nothing of a change that is not sent', () => {
		const sessionState = new ConnectionSessionState({names: 1, shapeCharacters: 1000});
		const [one, two] = [{access: 'read', shape: 'q1'}, {access: 'read', shape: 'q2'}] as const;
		apply(sessionState, sessionWith({a: '1'}), one);
		expect(sessionState.changeFor(sessionWith({b: '2'}), two).statements.map(({kind}) => kind)).toEqual(['discard', 'set', 'prepare']);
		expect(sessionState.isAppliedFor(sessionWith({a: '1'}))).toEqual(true);
		expect([sessionState.nameOf(one), sessionState.nameOf(two)]).toEqual(['p1', undefined]);
		expect(apply(sessionState, sessionWith({a: '1'}), one)).toEqual([]);
	});

	it('gives no name twice, so that an execution never runs a statement that was discarded', () => {
		const sessionState = new ConnectionSessionState({names: 1, shapeCharacters: 1000});
		const names = ['q1', 'q2', 'q1'].map(shape => prepareOf(apply(sessionState, emptySessionState(), {access: 'read', shape}))?.name);
		expect(names).toEqual(['p1', 'p2', 'p3']);
	});

	it('bounds the length of all shapes, and holds a single longer one alone', () => {
		const sessionState = new ConnectionSessionState({names: 8, shapeCharacters: 10});
		const kindsFor = (length: number): string[] => apply(sessionState, emptySessionState(), {access: 'read', shape: 'x'.repeat(length)}).map(({kind}) => kind);
		expect([kindsFor(4), kindsFor(6), kindsFor(1), kindsFor(50), kindsFor(50), kindsFor(2)]).toEqual([
			['prepare'], ['prepare'], ['discard', 'prepare'], ['discard', 'prepare'], [], ['discard', 'prepare'],
		]);
	});

	it('gives different statements different names of one plain word, whatever their shapes', () => {
		const shape = oneof(string({unit: 'binary', minLength: 1, maxLength: 12}), constantFrom('q', 'q q', 'p1', 'read_q', '__proto__'));
		const anyStatement = record({access: constantFrom('read', 'write'), shape});
		assert(property(array(anyStatement, {maxLength: 40}), statements => {
			const sessionState = new ConnectionSessionState({names: 8, shapeCharacters: 60});
			const known = new Map<string, string>();
			for (const prepared of statements) {
				for (const sent of apply(sessionState, emptySessionState(), prepared)) {
					if (sent.kind === 'discard') {
						known.clear();
					} else if (sent.kind === 'prepare') {
						known.set(sent.name, `${sent.access} ${sent.shape}`);
					}
				}

				const name = sessionState.nameOf(prepared)!;
				expect(/^[a-z0-9]{1,20}$/v.test(name)).toEqual(true);
				expect(known.get(name)).toEqual(`${prepared.access} ${prepared.shape}`);
			}
		}), {seed: 58, numRuns: 300});
	});
});
