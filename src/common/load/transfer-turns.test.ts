import {describe, it} from 'node:test';
import {expect} from 'earl';
import {TransferTurns} from './transfer-turns.js';

describe('TransferTurns', () => {
	it('grants turns in the order of arrival, so that the wait of each is bounded', () => {
		const turns = new TransferTurns<string>(2);
		for (const transfer of ['a', 'b', 'c', 'd']) {
			turns.add(transfer);
		}

		expect([turns.active, turns.waiting]).toEqual([['a', 'b'], ['c', 'd']]);
		turns.remove('b');
		turns.add('e');
		expect([turns.active, turns.waiting]).toEqual([['a', 'c'], ['d', 'e']]);
		turns.remove('e');
		expect([turns.active, turns.waiting]).toEqual([['a', 'c'], ['d']]);
	});
});
