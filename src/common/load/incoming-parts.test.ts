import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {IncomingParts} from './incoming-parts.js';
import {OutgoingParts} from './outgoing-parts.js';

describe('IncomingParts', () => {
	it('joins what OutgoingParts splits, and never sends more unacknowledged parts than allowed', () => {
		fc.assert(fc.property(fc.uint8Array({maxLength: 100}), fc.integer({min: 1, max: 20}), fc.integer({min: 1, max: 4}), (bytes, partBytes, unacknowledgedParts) => {
			const outgoing = new OutgoingParts(bytes, {partBytes, unacknowledgedParts});
			const incoming = new IncomingParts(1000);
			while (!outgoing.isDone) {
				let sent = 0;
				for (let part = outgoing.next(); part; part = outgoing.next()) {
					expect(part.data.length <= partBytes).toEqual(true);
					expect(incoming.isComplete).toEqual(false);
					expect(incoming.add(part)).toEqual(true);
					sent += 1;
				}

				expect(sent > 0 && sent <= unacknowledgedParts).toEqual(true);
				outgoing.acknowledge(incoming.received);
			}

			expect(incoming.isComplete).toEqual(true);
			expect(incoming.message()).toEqual(bytes);
		}), {seed: 1});
	});

	it('is void after a part that is missing, repeated or of another message', () => {
		// Guards against rows that are put together from parts of two answers.
		const data = new Uint8Array(2);
		const follows = [{index: 2, count: 3}, {index: 0, count: 3}, {index: 1, count: 4}, {index: 3, count: 3}];
		for (const next of follows) {
			const parts = new IncomingParts(1000);
			expect(parts.add({index: 0, count: 3, data})).toEqual(true);
			expect(parts.add({...next, data})).toEqual(false);
		}
	});

	it('does not accept more bytes than its limit', () => {
		const parts = new IncomingParts(3);
		expect(parts.add({index: 0, count: 9, data: new Uint8Array(2)})).toEqual(true);
		expect(parts.add({index: 1, count: 9, data: new Uint8Array(2)})).toEqual(false);
	});
});
