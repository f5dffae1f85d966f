import {describe, it} from 'node:test';
import {expect} from 'earl';
import {PackedRowsCache} from './packed-rows-cache.js';

describe('PackedRowsCache', () => {
	it('compresses rows once for all requesters, and anew for another version or table', () => {
		const cache = new PackedRowsCache(4);
		let calls = 0;
		const get = (table: string, version: number): number => cache.get(table, [{key: 'k', version}], () => {
			calls += 1;
			return Uint8Array.of(calls);
		})[0];
		expect([get('t', 1), get('t', 1), get('t', 2), get('u', 1), get('t', 1)]).toEqual([1, 1, 2, 3, 1]);
	});

	it('keeps only the most recently used ones', () => {
		const cache = new PackedRowsCache(2);
		let calls = 0;
		const get = (version: number): void => {
			cache.get('t', [{key: 'k', version}], () => {
				calls += 1;
				return new Uint8Array();
			});
		};

		for (const version of [1, 2, 1, 3, 1, 2]) {
			get(version);
		}

		expect(calls).toEqual(4);
	});
});
