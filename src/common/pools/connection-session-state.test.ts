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
		const carried = new ConnectionSessionState(8);
		expect(carried.statementsToApply(sessionWith({a: '1'}), undefined)).toEqual([{kind: 'set', name: 'a', value: '1'}]);
		expect(carried.statementsToApply(sessionWith({a: '1'}), undefined)).toEqual([]);
		expect(carried.statementsToApply(sessionWith({a: '1', b: '2'}), undefined)).toEqual([{kind: 'set', name: 'b', value: '2'}]);
	});

	it('discards the state if it holds a value that the session does not have', () => {
		const carried = new ConnectionSessionState(8);
		carried.statementsToApply(sessionWith({a: '1', b: '2'}), undefined);
		expect(carried.isAppliedFor(sessionWith({a: '1'}))).toEqual(false);
		expect(carried.statementsToApply(sessionWith({a: '1'}), undefined)).toEqual([{kind: 'discard'}, {kind: 'set', name: 'a', value: '1'}]);
		expect(carried.isAppliedFor(sessionWith({a: '1'}))).toEqual(true);
	});

	it('prepares a statement once for all sessions that execute it', () => {
		const carried = new ConnectionSessionState(8);
		const statement = {access: 'read', shape: 'q1'} as const;
		expect(carried.statementsToApply(emptySessionState(), statement)).toEqual([{kind: 'prepare', name: 'read_q1', ...statement}]);
		expect(carried.statementsToApply(emptySessionState(), statement)).toEqual([]);
	});

	it('bounds the number of prepared statements and prepares again those that were discarded', () => {
		const carried = new ConnectionSessionState(1);
		const [one, two] = [{access: 'read', shape: 'q1'}, {access: 'write', shape: 'q1'}] as const;
		carried.statementsToApply(emptySessionState(), one);
		expect(carried.statementsToApply(emptySessionState(), two).map(({kind}) => kind)).toEqual(['discard', 'prepare']);
		expect(carried.statementsToApply(emptySessionState(), one).map(({kind}) => kind)).toEqual(['discard', 'prepare']);
	});
});
