import {before, describe, it} from 'node:test';
import {expect} from 'earl';
import {loadParser, StatementClassifier} from './statement-classifier.js';
import {planTransaction} from './transaction-plan.js';

const outside = {isOpen: false, isReadOnly: false};
const writing = {isOpen: true, isReadOnly: false};
const reading = {isOpen: true, isReadOnly: true};

describe('planTransaction', () => {
	before(loadParser);

	it('plans sequences of statements inside and outside transactions', () => {
		const cases = [
			{text: 'select 1', from: outside, plan: 'read none'},
			{text: 'select 1; select 2', from: outside, plan: 'read none'},
			{text: 'select 1; delete from t', from: outside, plan: 'write none'},
			{text: 'begin', from: outside, plan: 'write begin'},
			{text: 'begin read only', from: outside, plan: 'read begin readOnly'},
			{text: 'begin read only; select f()', from: outside, plan: 'read begin readOnly'},
			{text: 'begin read only; select 1; commit', from: outside, plan: 'read none readOnly'},
			{text: 'begin read only; commit; delete from t', from: outside, plan: 'write none readOnly'},
			{text: 'begin read only; commit; begin', from: outside, plan: 'write begin'},
			{text: 'begin; select 1; commit; begin read only', from: outside, plan: 'write begin'},
			{text: 'commit', from: outside, plan: 'write none'},
			{text: 'select 1', from: writing, plan: 'write none'},
			{text: 'commit', from: writing, plan: 'write commit'},
			{text: 'commit; select 1', from: writing, plan: 'write commit'},
			{text: 'commit and chain', from: writing, plan: 'write commit'},
			{text: 'commit; begin read only', from: writing, plan: 'write commit'},
			{text: 'rollback', from: writing, plan: 'write rollback'},
			{text: 'rollback to a', from: writing, plan: 'write none'},
			{text: 'begin read only', from: writing, plan: 'write none'},
			{text: 'select f()', from: reading, plan: 'read none readOnly'},
			{text: 'delete from t', from: reading, plan: 'read none readOnly'},
			{text: 'commit', from: reading, plan: 'read commit readOnly'},
			{text: 'commit and chain', from: reading, plan: 'read commit readOnly'},
			{text: 'commit; begin', from: reading, plan: 'write commit'},
			{text: 'begin', from: reading, plan: 'read none readOnly'},
			{text: 'begin read write', from: reading, plan: 'refused'},
			{text: 'set transaction read write', from: reading, plan: 'refused'},
			{text: 'set local transaction_read_only = off', from: reading, plan: 'refused'},
			{text: 'do $$ begin end $$', from: reading, plan: 'refused'},
			{text: 'call f()', from: reading, plan: 'refused'},
			{text: 'set transaction read write', from: writing, plan: 'write none'},
			{text: 'select lastval()', from: outside, plan: 'refused'},
			{text: 'select lastval()', from: writing, plan: 'write none'},
			{text: 'insert into t values (1); select lastval()', from: outside, plan: 'write none'},
		];
		const classifier = new StatementClassifier();
		for (const {text, from, plan} of cases) {
			const statements = classifier.classify(text).filter(statement => statement.kind === 'relayed');
			const {access, step, isReadOnlyAfter, refusal} = planTransaction(statements, from);
			const found = refusal === undefined ? `${access} ${step}${isReadOnlyAfter ? ' readOnly' : ''}` : 'refused';
			expect([text, from, found]).toEqual([text, from, plan]);
		}
	});
});
