import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {runProgram} from './program.js';

async function run(commandLine: string[], input = ''): Promise<{code: number; output: string; errors: string}> {
	let output = '';
	let errors = '';
	const context = {
		write(text: string) {
			output += text;
		},
		writeError(text: string) {
			errors += text;
		},
		environment: {},
		readInput: async () => input,
		connectApi() {
			throw new Error('not reached in these tests');
		},
	};
	const code = await runProgram(commandLine, context, () => {
		throw new Error('not started in tests');
	});
	return {code, output, errors};
}

describe('explain-request', () => {
	const refused = {
		time: '2026-01-01T00:00:01.500Z', number: 1103, name: 'statementRefused', level: 'info', node: 'n1', message: 'a statement was refused',
		fields: {
			request: 'r1', kind: 'overloaded', detail: 'full', outcome: 'notRun', tookMs: 3,
		},
	};

	// Guards against conclusions that a text of an endpoint or a caller forges.
	it('prints no line of a text that holds line ends or control characters', async () => {
		const detail = 'cut\n> 00:00:00.000 n1 1000 processStarted\u009B2J';
		const {output} = await run(['explain-request', 'r1', '--logs', '-'], JSON.stringify({...refused, fields: {...refused.fields, detail}}));
		const plain = await run(['explain-request', 'r1', '--logs', '-'], JSON.stringify(refused));
		expect(output.split('\n').length).toEqual(plain.output.split('\n').length);
		expect(/^[\P{Cc}\n]*$/v.test(output)).toEqual(true);
	});

	it('prints the timeline of a request from collected log lines', async () => {
		const {code, output} = await run(['explain-request', 'r1', '--logs', '-'], JSON.stringify(refused));
		expect(code).toEqual(0);
		expect(output.startsWith('> 00:00:01.500 n1 1103 statementRefused kind="overloaded"')).toEqual(true);
		expect(output.includes('n1 answered overloaded after 3 ms (full); the request did not run.')).toEqual(true);
	});

	it('exits with 1 if no line names the request', async () => {
		const {code, errors} = await run(['explain-request', 'r2', '--logs', '-'], JSON.stringify(refused));
		expect(code).toEqual(1);
		expect(errors.includes('no line names r2')).toEqual(true);
	});
});

describe('explain-day', () => {
	const refused = {
		time: '2026-01-01T00:00:01.500Z', number: 1103, name: 'statementRefused', level: 'info', node: 'n1', message: 'a statement was refused',
		fields: {request: 'r1', kind: 'noPrimary', detail: 'i-1 of term 1, silent'},
	};

	it('prints one row per interval, and writes a plot', async () => {
		const folder = await mkdtemp(path.join(tmpdir(), 'quetzalstream-day-'));
		const svg = path.join(folder, 'day.svg');
		const {code, output} = await run(['explain-day', '--logs', '-', '--svg', svg], JSON.stringify(refused));
		expect(code).toEqual(0);
		expect(output.split('\n').map(row => row.trim().split(/ {2,}/v))).toEqual([
			['from', 'primaryOutOfReach', 'events'], ['00:00:01.500', '1', '-'], ['all', '1', '-'], [''],
		]);
		const drawn = await readFile(svg, 'utf8');
		expect(drawn.startsWith('<svg')).toEqual(true);
		await rm(folder, {recursive: true});
	});

	// Guards against rows that the name of a node or a group forges, and against control of the terminal.
	it('prints no line of a name that holds line ends or control characters', async () => {
		const started = {...refused, name: 'promotionStarted', fields: {group: 'svc)\n00:00:01.500  9\u009B2J'}};
		const {output} = await run(['explain-day', '--logs', '-'], JSON.stringify(started));
		expect(output.split('\n').length).toEqual(4);
		expect(/^[\P{Cc}\n]*$/v.test(output)).toEqual(true);
	});

	it('rejects files without log lines, and an interval of length zero', async () => {
		const withoutLines = await run(['explain-day', '--logs', '-'], 'nothing');
		const withoutLength = await run(['explain-day', '--logs', '-', '--seconds', '0'], JSON.stringify(refused));
		expect([withoutLines.code, withoutLength.code]).toEqual([1, 2]);
	});
});

describe('runProgram', () => {
	it('prints help with its commands and exit codes', async () => {
		const {code, output} = await run(['--help']);
		expect(code).toEqual(0);
		for (const part of ['serve', 'check-settings', 'demo', 'bench', 'Exit codes:']) {
			expect(output.includes(part)).toEqual(true);
		}
	});

	const misuses = [[], ['no-such-command'], ['serve'], ['serve', '--no-such-option'], ['check-settings', '--settings']];
	for (const commandLine of misuses) {
		it(`exits with 2 on: quetzalstream ${commandLine.join(' ')}`, async () => {
			const {code, errors} = await run(commandLine);
			expect(code).toEqual(2);
			expect(errors.length > 0).toEqual(true);
		});
	}

	it('checks settings from a file and from standard input', async () => {
		const folder = await mkdtemp(path.join(tmpdir(), 'quetzalstream-'));
		const file = path.join(folder, 'node.jsonc');
		await writeFile(file, '{"node": 3}');
		const fromFile = await run(['check-settings', '--settings', file]);
		const fromInput = await run(['check-settings', '--settings', '-', '--json'], '{}');
		await rm(folder, {recursive: true});
		expect(fromFile.code).toEqual(2);
		expect(fromFile.errors.includes(`${file}:1:2: node: found 3, expected object\n`)).toEqual(true);
		expect(fromInput.code).toEqual(2);
		expect(fromInput.errors.includes('"path":"node"')).toEqual(true);
	});

	it('serves only with valid settings', async () => {
		const {code, errors} = await run(['serve', '--settings', '-'], '{');
		expect(code).toEqual(2);
		expect(errors.startsWith('-:1:2: found the end of the file, expected JSON with comments')).toEqual(true);
	});
});
