import {describe, it} from 'node:test';
import {expect} from 'earl';
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
});
