import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ConnectionSessionState} from './connection-session-state.js';
import {emptySessionState} from './session-state.js';

function sessionWith(values: Record<string, string>) {
	const state = emptySessionState();
	for (const [name, value] of Object.entries(values)) {
		state.values.set(name, value);
	}

	return state;
}

describe('ConnectionSessionState', () => {
	it('sets only the values that differ', () => {
		const sessionState = new ConnectionSessionState(8);
		expect(sessionState.statementsToApply(sessionWith({a: '1'}), undefined)).toEqual([{kind: 'set', name: 'a', value: '1'}]);
		expect(sessionState.statementsToApply(sessionWith({a: '1'}), undefined)).toEqual([]);
		expect(sessionState.statementsToApply(sessionWith({a: '1', b: '2'}), undefined)).toEqual([{kind: 'set', name: 'b', value: '2'}]);
	});

	it('discards the state if it holds a value that the session does not have', () => {
		const sessionState = new ConnectionSessionState(8);
		sessionState.statementsToApply(sessionWith({a: '1', b: '2'}), undefined);
		expect(sessionState.isAppliedFor(sessionWith({a: '1'}))).toEqual(false);
		expect(sessionState.statementsToApply(sessionWith({a: '1'}), undefined)).toEqual([{kind: 'discard'}, {kind: 'set', name: 'a', value: '1'}]);
		expect(sessionState.isAppliedFor(sessionWith({a: '1'}))).toEqual(true);
	});

	it('prepares a statement once for all sessions that execute it', () => {
		const sessionState = new ConnectionSessionState(8);
		const statement = {access: 'read', shape: 'q1'} as const;
		expect(sessionState.statementsToApply(emptySessionState(), statement)).toEqual([{kind: 'prepare', name: 'read_q1', ...statement}]);
		expect(sessionState.statementsToApply(emptySessionState(), statement)).toEqual([]);
	});

	it('bounds the number of prepared statements and prepares again those that were discarded', () => {
		const sessionState = new ConnectionSessionState(1);
		const [one, two] = [{access: 'read', shape: 'q1'}, {access: 'write', shape: 'q1'}] as const;
		sessionState.statementsToApply(emptySessionState(), one);
		expect(sessionState.statementsToApply(emptySessionState(), two).map(({kind}) => kind)).toEqual(['discard', 'prepare']);
		expect(sessionState.statementsToApply(emptySessionState(), one).map(({kind}) => kind)).toEqual(['discard', 'prepare']);
	});
});
