import {describe, it} from 'node:test';
import {expect} from 'earl';
import {OutgoingParts} from './outgoing-parts.js';

describe('OutgoingParts', () => {
	it('ignores acknowledgements of parts that were not sent, and late ones', () => {
		// Guards against a transfer that counts as done although its receiver has not got all of it.
		const parts = new OutgoingParts(new Uint8Array(10), {partBytes: 2, unacknowledgedParts: 2});
		parts.next();
		parts.next();
		parts.acknowledge(5);
		expect(parts.isDone).toEqual(false);
		expect(parts.next()).toEqual(undefined);
		parts.acknowledge(2);
		parts.acknowledge(1);
		expect([parts.next()?.index, parts.next()?.index, parts.next()?.index]).toEqual([2, 3, undefined]);
	});

	it('sends an empty message as one part', () => {
		expect(new OutgoingParts(new Uint8Array(), {partBytes: 2, unacknowledgedParts: 2}).next()).toEqual({index: 0, count: 1, data: new Uint8Array()});
	});
});
