import {describe, it} from 'node:test';
import {expect} from 'earl';
import {parseInstanceState} from './instance-state-parser.js';

describe('parseInstanceState', () => {
	it('reads a report', () => {
		expect(parseInstanceState('replica 5 node-a/3 4/120 4/118 f')).toEqual({
			role: 'replica',
			promisedTerm: 5,
			claimId: 'node-a/3',
			received: {term: 4, offset: 120},
			applied: {term: 4, offset: 118},
			isStreaming: false,
		});
		expect(parseInstanceState('primary 1 - 1/0 1/0 t')?.claimId).toEqual('');
	});

	const malformed = [
		'',
		'primary 1 - 1/0 1/0',
		'primary 1 - 1/0 1/0 t t',
		'primary  1 - 1/0 1/0 t',
		'leader 1 - 1/0 1/0 t',
		'constructor 1 - 1/0 1/0 t',
		'primary -1 - 1/0 1/0 t',
		'primary 1e3 - 1/0 1/0 t',
		'primary 1234567890123456 - 1/0 1/0 t',
		'primary 1  1/0 1/0 t',
		'primary 1 - 1/ 1/0 t',
		'primary 1 - 1/0 1 t',
		'primary 1 - 1/0 1/0 true',
		'primary 1 - 1/0 1/0 t\n',
	];
	for (const text of malformed) {
		it(`refuses ${JSON.stringify(text)}`, () => {
			expect(parseInstanceState(text)).toEqual(undefined);
		});
	}
});
