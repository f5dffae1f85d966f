import {describe, it} from 'node:test';
import {expect} from 'earl';
import {assert, property, string} from 'fast-check';
import {ConsolaLog} from './consola-log.js';

function collect(): {lines: string[]; write: (line: string) => void} {
	const lines: string[] = [];
	return {
		lines,
		write(line) {
			lines.push(line);
		},
	};
}

describe('ConsolaLog', () => {
	it('writes one line of JSON per event, also for repeated events', () => {
		const {lines, write} = collect();
		const log = new ConsolaLog({node: 'n1', write});
		log.event('invariantViolated', {count: 2n, error: new Error('cut')});
		log.event('invariantViolated', {count: 2n, error: new Error('cut')});
		expect(lines.length).toEqual(2);
		const record: unknown = JSON.parse(lines[0]);
		expect(record).toEqual({
			time: expect.a(String),
			number: 1004,
			name: 'invariantViolated',
			level: 'error',
			node: 'n1',
			message: 'an invariant did not hold',
			fields: {count: '2', error: 'cut'},
		});
	});

	it('leaves out events below its level', () => {
		const {lines, write} = collect();
		const log = new ConsolaLog({node: 'n1', level: 'warn', write});
		log.event('processStarted');
		expect(lines).toEqual([]);
	});

	it('writes readable lines for terminals', () => {
		const {lines, write} = collect();
		const log = new ConsolaLog({node: 'n1', format: 'pretty', write});
		log.event('processStarted', {port: 5432, zone: 'a'});
		expect(lines[0]?.endsWith('info  n1 1000 process started port=5432 zone=a\n')).toEqual(true);
	});

	// Guards against lines and fields that a caller forges in its names, and against codes that control a terminal.
	it('writes one readable line for each event, and no control characters, whatever the texts hold', () => {
		const {lines, write} = collect();
		const log = new ConsolaLog({node: 'n1', format: 'pretty', write});
		log.event('callerRefused', {database: 'db\n12:00:00.000 info  n1 1000 process started', reason: 'x port=1'});
		expect(lines[0]?.endsWith(String.raw`database="db\n12:00:00.000 info  n1 1000 process started" reason="x port=1"` + '\n')).toEqual(true);
		assert(property(string({unit: 'binary', maxLength: 20}), database => {
			lines.length = 0;
			log.event('callerRefused', {database, reason: 'none'});
			expect(lines.map(line => /^\P{Cc}*\n$/v.test(line) && line.split(' reason=').length === 2)).toEqual([true]);
		}), {seed: 58, numRuns: 300});
	});

	// Guards against log lines of up to 1 MiB, the longest name that a caller may send.
	it('shortens long texts', () => {
		const {lines, write} = collect();
		for (const format of ['json', 'pretty'] as const) {
			new ConsolaLog({node: 'n1', format, write}).event('callerRefused', {database: 'x'.repeat(1_000_000), error: new Error('y'.repeat(1_000_000))});
		}

		expect(lines.map(line => line.length < 3000)).toEqual([true, true]);
		expect(lines.map(line => line.includes('x… (1000000 characters)'))).toEqual([true, true]);
	});
});
