import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	assert, constantFrom, dictionary, json, jsonValue, oneof, property, string,
} from 'fast-check';
import {
	hugeRows, oddRows, oddValues, withField,
} from '../testing/odd-json.js';
import {peerNode} from './testing/peering-fakes.js';
import {parseNodeRow} from './node-row.js';

const node = {...peerNode('n1', 'a', 0.5), host: '10.0.0.1', port: 7440};

describe('parseNodeRow', () => {
	it('returns the node that registered itself', () => {
		expect(parseNodeRow('n1', JSON.stringify(node))).toEqual(node);
	});

	it('never throws on what other programs wrote, and returns only nodes that can be called', () => {
		const nearly = dictionary(constantFrom(...Object.keys(node)), jsonValue()).map(fields => JSON.stringify({...node, ...fields}));
		const check = (text: string): void => {
			const found = parseNodeRow('n1', text);
			expect(found === undefined || (found.name === 'n1' && found.port > 0 && found.port < 65_536 && found.cores > 0)).toEqual(true);
		};

		for (const text of [...oddRows, ...hugeRows]) {
			check(text);
		}

		assert(property(oneof(json(), string({unit: 'binary'}), nearly), check), {seed: 1, numRuns: 1000});
	});

	for (const [field, texts] of [
		['name', oddValues],
		['host', [...oddValues, '"unix:/tmp/x"', '"a b"', '"10.0.0.1:80"', '"a/b"']],
		['port', [...oddValues, '0', '65536', '99999', '"7440"']],
		['cores', [...oddValues.filter(text => text !== '0.5'), '0', '"1"', '1e9']],
	] as const) {
		it(`rejects a row with an odd ${field}, which would lead calls to no node`, () => {
			expect(texts.filter(text => parseNodeRow('n1', withField(node, field, text)) !== undefined)).toEqual([]);
		});
	}
});
