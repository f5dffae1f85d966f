import {describe, it} from 'node:test';
import {expect} from 'earl';
import {assert, property, uint8Array} from 'fast-check';
import {directPeerDefaults} from './constants.js';
import {
	decodeAnswer, decodeCall, encodeAnswer, encodeCall,
} from './link-messages.js';

describe('messages of a link', () => {
	it('that cannot be read are not thrown into the stream, which would end it', () => {
		assert(property(uint8Array({maxLength: 60}), bytes => {
			expect([typeof decodeCall(bytes).id, typeof decodeAnswer(bytes).id]).toEqual(['number', 'number']);
		}), {seed: 58, numRuns: 1000});
	});

	it('with a number that is too large to be exact fail their own call', () => {
		const primary = {service: 's', endpointId: 'i', term: 2 ** 60};
		const answer = encodeAnswer({
			id: 7, answer: {
				$case: 'overview', value: {
					configurationVersion: 1, groups: [{
						primary, sampleAgoMs: 0, begunAgoMs: 0,
					}],
				},
			},
		});
		expect(decodeAnswer(answer.unsafeCoerce())).toEqual({id: 7, answer: undefined});
		const call = encodeCall({id: 8, call: {$case: 'tell', value: {kind: {$case: 'primary', value: primary}}}});
		expect(decodeCall(call.unsafeCoerce())).toEqual({id: 8, call: undefined});
	});

	it('that are too large or hold no number where one belongs are not encoded', () => {
		const causeOf = (service: string, term: number): unknown =>
			encodeCall({id: 1, call: {$case: 'tell', value: {kind: {$case: 'primary', value: {service, endpointId: 'i', term}}}}})
				.swap().map(({cause}) => cause).extract();
		expect(causeOf('s'.repeat(directPeerDefaults.maximumMessageBytes), 1)).toEqual('tooLarge');
		expect([Number.NaN, 1.5, -1, 1e300].map(term => causeOf('s', term))).toEqual(['invalid', 'invalid', 'invalid', 'invalid']);
	});
});
