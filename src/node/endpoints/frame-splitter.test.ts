import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {FrameSplitter} from './frame-splitter.js';
import {framesIn} from './frames.js';
import {frame, join} from './testing/canned-endpoint.js';

describe('FrameSplitter', () => {
	it('returns every message once and complete, however the stream is split', () => {
		const bodies = fc.array(fc.uint8Array({maxLength: 40}), {minLength: 1, maxLength: 20});
		const cuts = fc.array(fc.integer({min: 1, max: 30}), {minLength: 1, maxLength: 50});
		fc.assert(fc.property(bodies, cuts, (messages, sizes) => {
			const stream = join(messages.map(body => frame('D', body)));
			const splitter = new FrameSplitter(1000);
			const batches: Uint8Array[] = [];
			for (let offset = 0, index = 0; offset < stream.length; index++) {
				const end = offset + sizes[index % sizes.length];
				const batch = splitter.push(stream.subarray(offset, end));
				if (batch) {
					batches.push(batch);
				}

				offset = end;
			}

			expect(join(batches)).toEqual(stream);
			expect(batches.flatMap(batch => [...framesIn(batch)]).length).toEqual(messages.length);
		}), {seed: 11});
	});

	it('refuses invalid message lengths', () => {
		expect(() => new FrameSplitter(100).push(Uint8Array.of(68, 0, 0, 0, 3))).toThrow('message length is less than 4 bytes');
		expect(() => new FrameSplitter(100).push(Uint8Array.of(68, 255, 0, 0, 0))).toThrow('message length is less than 4 bytes');
		expect(() => new FrameSplitter(100).push(Uint8Array.of(68, 0, 0, 0, 101))).toThrow('message exceeds the size limit');
	});
});
