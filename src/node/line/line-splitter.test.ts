import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, constantFrom, nat, oneof, property, uint8Array,
} from 'fast-check';
import {LineSplitter, LineTooLongError} from './line-splitter.js';

describe('LineSplitter', () => {
	it('joins lines that arrive in several chunks, even if one is split within the line end', () => {
		const splitter = new LineSplitter(100);
		expect(splitter.push(Buffer.from('QUERY 1 RE'))).toEqual([]);
		expect(splitter.push(Buffer.from('AD x\r'))).toEqual([]);
		expect(splitter.push(Buffer.from('\nQUERY 2 READ y\r\nQ'))).toEqual(['QUERY 1 READ x', 'QUERY 2 READ y']);
		expect(splitter.bufferedBytes).toEqual(1);
	});

	it('keeps every byte', () => {
		const bytes = Buffer.from([0xC3, 0xA9, 0xFF, 0x0D, 0x0A]);
		const [line] = new LineSplitter(100).push(bytes);
		expect(Buffer.from(line, 'latin1')).toEqual(bytes.subarray(0, 3));
	});

	it('rejects a line that is too long, whether complete or not', () => {
		expect(() => new LineSplitter(4).push(Buffer.from('12345'))).toThrow(LineTooLongError);
		expect(() => new LineSplitter(4).push(Buffer.from('12345\r\n'))).toThrow(LineTooLongError);
	});

	it('accepts a line of the maximum length, wherever its line end is split', () => {
		const bytes = Buffer.from('1234\r\n56\r\n');
		for (let at = 0; at <= bytes.length; at++) {
			const splitter = new LineSplitter(4);
			const lines = [...splitter.push(bytes.subarray(0, at)), ...splitter.push(bytes.subarray(at))];
			expect(lines).toEqual(['1234', '56']);
		}
	});

	it('ends lines at CR LF only, whatever the bytes and the chunks', () => {
		const anyLine = uint8Array({maxLength: 20}).map(bytes => Buffer.from(bytes).toString('latin1').replaceAll(/\r+\n/gv, '\n'));
		// A line that ends in CR is followed by CR LF, of which the first CR LF is the line end.
		const anyLines = array(oneof(anyLine, constantFrom('', '\r', '\n', '\n\r', 'a\rb', '\0', '\t', 'a\r')), {maxLength: 8});
		assert(property(anyLines, array(nat(12), {maxLength: 20}), (lines, sizes) => {
			const splitter = new LineSplitter(20);
			let bytes = Buffer.from(lines.map(line => `${line}\r\n`).join(''), 'latin1');
			const found: string[] = [];
			for (const size of sizes) {
				found.push(...splitter.push(bytes.subarray(0, size)));
				bytes = bytes.subarray(size);
			}

			found.push(...splitter.push(bytes));
			expect(found).toEqual(lines);
			expect(splitter.bufferedBytes).toEqual(0);
		}), {seed: 58, numRuns: 500});
	});
});
