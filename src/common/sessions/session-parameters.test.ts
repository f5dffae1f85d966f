import {describe, it} from 'node:test';
import {expect} from 'earl';
import {CallerSession} from './caller-session.js';
import {TokenSessionMarks} from './token-session-marks.js';
import {readParameter, resetParameters, writeParameter} from './session-parameters.js';
import {SessionTokenCodec} from './session-token.js';

const codec = new SessionTokenCodec({sign: bytes => new Uint8Array(16).fill(bytes.length)});

function makeSession(): CallerSession {
	const caller = {
		user: 'app', applicationName: '', availabilityZone: 'a', labels: {},
	};
	return new CallerSession('n1/i1/1', caller, 'stock', new TokenSessionMarks(codec, 'stock', 'primary'));
}

describe('session parameters', () => {
	it('are accepted if they change nothing, stored if they are the proxy\'s own, and refused otherwise', () => {
		const token = codec.encode({positions: new Map([['stock', {term: 1, offset: 2}]]), isTruncated: false});
		const cases: ReadonlyArray<readonly [name: string, value: string | undefined, expected: string]> = [
			['application_name', 'till 4', 'till 4'],
			// eslint-disable-next-line unicorn/text-encoding-identifier-case -- spellings of the database
			['client_encoding', 'utf-8', 'UTF8'],
			['client_encoding', 'LATIN1', 'invalidParameter'],
			['DateStyle', 'ISO', 'ISO, MDY'],
			['DateStyle', 'German', 'invalidParameter'],
			['TimeZone', 'Etc/UTC', 'UTC'],
			['TimeZone', 'Asia/Bangkok', 'invalidParameter'],
			['TimeZone', undefined, 'UTC'],
			['extra_float_digits', '3', '1'],
			['extra_float_digits', '0', 'invalidParameter'],
			['standard_conforming_strings', 'off', 'invalidParameter'],
			['statement_timeout', '5s', '5000'],
			['statement_timeout', '2 min', '120000'],
			['statement_timeout', '0', ''],
			['statement_timeout', '-1', 'invalidParameter'],
			['statement_timeout', '1 week', 'invalidParameter'],
			['quetzalstream.max_age_ms', '0', '0'],
			['quetzalstream.max_age_ms', '', ''],
			['quetzalstream.idempotent', 'on', 'on'],
			['quetzalstream.idempotent', 'maybe', 'invalidParameter'],
			['quetzalstream.token', token, token],
			['quetzalstream.token', 'forged', 'invalidToken'],
			['search_path', 'x', 'unsupportedStatement'],
		];
		for (const [name, value, expected] of cases) {
			const session = makeSession();
			const refusal = writeParameter(session, name, value);
			expect(refusal?.kind ?? readParameter(session, name)).toEqual(expected);
		}
	});

	it('are reset to their defaults, while the marks stay', () => {
		const session = makeSession();
		session.marks.advance('stock', {term: 1, offset: 2});
		writeParameter(session, 'statement_timeout', '5s');
		writeParameter(session, 'quetzalstream.idempotent', 'on');
		resetParameters(session);
		expect(session.deadlineMs).toEqual(undefined);
		expect(session.isIdempotent).toEqual(false);
		expect(session.marks.mark('stock')).toEqual({term: 1, offset: 2});
	});
});
