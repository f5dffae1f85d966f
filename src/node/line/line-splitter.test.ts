import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {expect} from 'earl';
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
});
