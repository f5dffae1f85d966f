import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import type {EndpointRegistration} from '../services/services.js';
import {RegistrationDecoder} from './registration-decoder.js';

const registration: EndpointRegistration = {
	id: 'i-1', service: 's', availabilityZone: 'a', host: 'h', port: 1, slots: 3, isDraining: false, claimsPrimary: false, startedAtMs: undefined, reportNumber: 0,
};

/** Rows of the form `<content>#<report number>`, with `@<start time>` in the content if it is known, and `!` if another number is in force. */
const splitReport = (value: string): {rest: string; number: number} | undefined => {
	const [rest, digits] = value.split('#');
	return digits === undefined ? undefined : {rest, number: Number(digits)};
};

describe('RegistrationDecoder', () => {
	let decodings: string[];
	let decoder: RegistrationDecoder;

	beforeEach(() => {
		decodings = [];
		decoder = new RegistrationDecoder({
			splitReport,
			decodeEndpoint(key, value) {
				decodings.push(value);
				const [content, digits] = value.split('#');
				const startedAtMs = content.includes('@') ? Number(content.split('@')[1]) : undefined;
				return content === 'unreadable'
					? undefined
					: {
						...registration, id: key, host: content, startedAtMs, reportNumber: content === '!' ? 99 : Number(digits),
					};
			},
		});
	});

	const isRepeatedAfter = (known: string, value: string): boolean => {
		decoder.decode('i-1', known);
		return decoder.isRepeated('i-1', known, value);
	};

	it('decodes a row that only counts on as the first one, without its schema', () => {
		const first = decoder.decode('i-1', 'x#4');
		expect(decoder.decode('i-1', 'x#5')).toEqual({...first!, reportNumber: 5});
		expect(decodings).toEqual(['x#4']);
	});

	it('decodes by the schema what differs otherwise, belongs to another endpoint, or was not readable', () => {
		for (const [key, value] of [['i-1', 'x#4'], ['i-1', 'y#5'], ['i-2', 'y#5'], ['i-2', 'unreadable#6'], ['i-2', 'unreadable#7']]) {
			decoder.decode(key, value);
		}

		expect(decodings).toEqual(['x#4', 'y#5', 'y#5', 'unreadable#6', 'unreadable#7']);
	});

	it('never takes a number that the schema does not take', () => {
		expect([decoder.decode('i-1', '!#4'), decoder.decode('i-1', '!#5')].map(found => found?.reportNumber)).toEqual([99, 99]);
	});

	for (const [name, known, value, isRepeated] of [
		['only counts another report', 'x#8', 'x#9', true],
		['counts another report early after a start whose time is known', 'x@1#1', 'x@1#2', true],
		// A node that knows an early number could take the first reports after a restart for later ones.
		['is one of the first reports after a start whose time is not known', 'x#7', 'x#8', false],
		['shows a restart by its number', 'x#9', 'x#8', false],
		['shows a restart by its start time', 'x@1#8', 'x@2#9', false],
		['changed otherwise', 'x#8', 'y#9', false],
		['can not be split', 'x', 'x', false],
	] as const) {
		it(`${isRepeated ? 'lets other nodes wait for' : 'passes on at once'} a row that ${name}`, () => {
			expect(isRepeatedAfter(known, value)).toEqual(isRepeated);
		});
	}
});
