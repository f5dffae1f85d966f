import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
	LineReader, maximumMessageBytes, readMessage, readQuery, readWriteParameters,
} from './instance-grammar.js';

/** Texts whose characters are bytes, without an end of a line; words hold no blank either. */
const byteText = fc.string({unit: fc.nat({max: 255}).map(code => String.fromCodePoint(code)), minLength: 1})
	.filter(text => !text.includes('\r\n'));
const word = byteText.filter(text => !text.includes(' '));
const runs = {seed: 58, numRuns: 500};

describe('the grammar of an instance', () => {
	it('reads the messages of the published examples', () => {
		expect(readMessage('STARTUP huvo11a tenant i-7f3a91c2')).toEqual({
			kind: 'startUp', service: 'huvo11a', user: 'tenant', id: 'i-7f3a91c2',
		});
		expect(readMessage('STARTUP huvo11a tenant').kind).toEqual('startUp');
		expect(readMessage('QUERY 5c0e AFTERLSN 3.1207 READ 1a4')).toEqual({kind: 'query', id: '5c0e', text: 'AFTERLSN 3.1207 READ 1a4'});
		expect(readQuery('AFTERLSN 3.1207 READ 1a4')).toEqual({text: 'READ 1a4', position: '3.1207', statement: {kind: 'read', item: '1a4'}});
		expect(readQuery('PREPARE s1 WRITE q2c').statement).toEqual({
			kind: 'prepare', name: 's1', isWrite: true, shape: 'q2c',
		});
		expect(readQuery('EXECUTE s1 1a4 xkqpwnzd').statement).toEqual({kind: 'execute', name: 's1', parameters: '1a4 xkqpwnzd'});
		expect(readWriteParameters('1a4 xkq  pwnzd')).toEqual({item: '1a4', data: 'xkq  pwnzd'});
		expect(readQuery('BEGIN READ').statement).toEqual({kind: 'begin', isReadOnly: true});
		expect(readQuery('STEPDOWN 4').statement).toEqual({kind: 'stepDown', term: 4});
	});

	it('ends every field but the last at the first blank, whatever the texts are', () => {
		fc.assert(fc.property(word, word, byteText, (id, name, last) => {
			expect(readMessage(`QUERY ${id} ${last}`)).toEqual({kind: 'query', id, text: last});
			expect(readQuery(`SET ${name} ${last}`).statement).toEqual({kind: 'set', name, value: last});
			expect(readQuery(`EXECUTE ${name} ${last}`).statement).toEqual({kind: 'execute', name, parameters: last});
			expect(readQuery(`WRITE ${name} ${last}`).statement).toEqual({kind: 'write', item: name, data: last});
			expect(readQuery(`READ ${last}`).statement).toEqual({kind: 'read', item: last});
			expect(readQuery(`PREPARE ${name} READ ${last}`).statement).toEqual({
				kind: 'prepare', name, isWrite: false, shape: last,
			});
		}), runs);
	});

	it('refuses missing and empty fields, unknown words, and a position before other statements', () => {
		const texts = '|READ|READ |WRITE x|SET a|SET  b|EXECUTE s|EXECUTE  x|PREPARE s q|PREPARE s BOTH q|PREPARE s READ|COMMIT x|COMMIT |BEGIN WRITE|constructor|__proto__ x|read x'.split('|');
		const positioned = ['AFTERLSN 1.2 WRITE x 1', 'AFTERLSN 1.2 COMMIT', 'AFTERLSN 1 READ x', 'AFTERLSN 1.2', 'PAUSE x'];
		expect([...texts, ...positioned].filter(text => readQuery(text).statement.kind !== 'malformed')).toEqual([]);
		const lines = '|QUERY|QUERY x|QUERY  READ x|STARTUP|TERMINATE x|toString a b'.split('|');
		expect(lines.filter(line => readMessage(line).kind !== 'malformed')).toEqual([]);
	});

	it('ends lines at CR LF only, wherever chunks end', () => {
		fc.assert(fc.property(fc.array(byteText), fc.nat({max: 20}), (texts, size) => {
			const sent = texts.map(text => `${text}\r\n`).join('');
			const reader = new LineReader();
			const lines: string[] = [];
			for (let start = 0; start < sent.length; start += size + 1) {
				lines.push(...reader.push(sent.slice(start, start + size + 1)) ?? []);
			}

			expect(lines).toEqual(texts);
		}), runs);
	});

	it('refuses a line that is longer than a message may be', () => {
		const longest = 'x'.repeat(maximumMessageBytes);
		expect(new LineReader().push(`${longest}\r\n`)?.length).toEqual(1);
		expect(new LineReader().push(`${longest}x\r\n`)).toEqual(undefined);
		expect(new LineReader().push(`${longest}xx`)).toEqual(undefined);
	});

	// Guards against a connection that the stand-in resets although its line is allowed.
	it('reads a line of the maximum length whose end comes in two pieces', () => {
		const longest = 'x'.repeat(maximumMessageBytes);
		const reader = new LineReader();
		expect(reader.push(`${longest}\r`)).toEqual([]);
		expect(reader.push('\n')?.length).toEqual(1);
	});
});
