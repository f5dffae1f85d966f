import {describe, it} from 'node:test';
import {expect, mockObject} from 'earl';
import {Left, Right} from 'purify-ts';
import type {Change} from '../../common/configuration/schema.js';
import type {ClientRefusal} from '../operators/operator-client.js';
import type {SystemStatus} from '../operators/types.js';
import type {ExitCode} from './constants.js';
import {runProgram} from './program.js';
import type {OperatorApi} from './types.js';

const environment = {
	/* eslint-disable @typescript-eslint/naming-convention */
	QUETZALSTREAM_URL: 'http://127.0.0.1:1',
	QUETZALSTREAM_USER: 'ann',
	QUETZALSTREAM_PASSWORD: 'secret',
	/* eslint-enable @typescript-eslint/naming-convention */
};

const change: Change = {
	number: 8,
	changeId: 'change-8',
	author: 'ann',
	basedOn: 7,
	at: '2026-01-31T20:00:00Z',
	operations: [{op: 'remove', kind: 'rule', name: 'old'}],
	inverse: [{op: 'remove', kind: 'rule', name: 'old'}],
	acknowledged: [],
};

const status: SystemStatus = {
	node: {name: 'n1', availabilityZone: 'a'},
	configurationVersion: 7,
	groups: [{
		name: 'stock',
		service: 'shop',
		term: 2,
		primary: 'stock-1',
		endpoints: [
			{
				name: 'stock-1', availabilityZone: 'a', role: 'primary', isReachable: true, isDraining: false, home: 'n1',
			},
			{
				name: 'stock-2', availabilityZone: 'b', isReachable: false, isDraining: true, lagEntries: 4, ageMs: 20.4,
			},
		],
	}],
	nodes: [{
		name: 'n1', availabilityZone: 'a', isLeaving: false, isReachable: true, configurationVersion: 7,
	}],
	degraded: [{subject: 'stock-2', reason: 'no answer'}],
};

async function run(commandLine: string[], api: Partial<OperatorApi>, input = '') {
	const output = {text: '', errors: ''};
	const connections: unknown[] = [];
	const code = await runProgram(commandLine, {
		write(text) {
			output.text += text;
		},
		writeError(text) {
			output.errors += text;
		},
		environment,
		readInput: async () => input,
		connectApi(options) {
			connections.push(options);
			return mockObject<OperatorApi>(api);
		},
	}, () => {
		throw new Error('not started in these tests');
	});
	return {code, connections, ...output};
}

describe('commands for operators', () => {
	it('take the address and credentials from options before the environment', async () => {
		const {connections} = await run(['status', '--user', 'ben'], {status: async () => Right(status)});
		expect(connections).toEqual([{url: 'http://127.0.0.1:1', user: 'ben', password: 'secret'}]);
	});

	it('show the status as tables, and as JSON', async () => {
		const api = {status: async () => Right(status)};
		const {code, text} = await run(['status'], api);
		expect(code).toEqual(0);
		expect(text.split('\n').slice(2, 5)).toEqual([
			'GROUP  TERM  ENDPOINT  ZONE  ROLE                           LAG  AGE    HOME',
			'stock  2     stock-1   a     primary                        -    -      n1',
			'stock  2     stock-2   b     unknown (no answer, draining)  4    20 ms  -',
		]);
		expect(text.includes('degraded: stock-2: no answer')).toEqual(true);
		const json = await run(['status', '--json'], api);
		expect(JSON.parse(json.text)).toEqual(status);
	});

	it('apply a file based on the number that it was read at, and wait until it is in force', async () => {
		const api = {
			propose: async () => Right(change),
			reach: async () => Right({
				number: 8, nodeCount: 2, inForceCount: 2, isEverywhere: true, lagging: [], cutOff: [],
			}),
		};
		const mocks = mockObject<OperatorApi>(api);
		const {code, text} = await run(['config', 'apply', '-', '--note', 'why', '--acknowledge', 'noReader:stock'], mocks, '{"version": 7, "document": {}}');
		expect(code).toEqual(0);
		expect(text).toEqual('accepted as change 8; in force on 2 of 2 nodes\n');
		expect(mocks.propose).toHaveBeenOnlyCalledWith(
			{document: {services: [], callers: [], rules: []}},
			{basedOn: 7, note: 'why', acknowledged: ['noReader:stock']},
		);
	});

	it('base a change on the newest number if none is given', async () => {
		const mocks = mockObject<OperatorApi>({
			configuration: async () => Right({version: 9, document: {services: [], callers: [], rules: []}}),
			undo: async () => Right(change),
		});
		const {code, text} = await run(['config', 'undo', '8', '--no-wait'], mocks);
		expect([code, text]).toEqual([0, 'accepted as change 8\n']);
		expect(mocks.undo).toHaveBeenOnlyCalledWith(8, {basedOn: 9});
	});

	const badFiles: Array<[string, string]> = [
		['{"version": 7, "document": {"rules": 3}}', '-:1:29: document.rules: found 3, expected array'],
		['[{"op": "put"}]', '-:1:2: [0].kind: found nothing, expected \'service\''],
		['{"ruls": []}', '-:1:2: ruls: found an unknown property, expected one of services, callers, rules'],
	];
	for (const [input, message] of badFiles) {
		it(`tell what is wrong with ${input}`, async () => {
			const {code, errors} = await run(['config', 'propose', '-'], {}, input);
			expect(code).toEqual(2);
			expect(errors).toEqual(expect.includes(message));
		});
	}

	const refusals: Array<[ClientRefusal, ExitCode, string]> = [
		[{kind: 'noAnswer', detail: 'connect ECONNREFUSED'}, 4, 'no answer: connect ECONNREFUSED'],
		[{kind: 'unauthorized'}, 3, 'user or password is wrong'],
		[{kind: 'conflict', version: 8, changes: [change]}, 3, '8  2026-01-31T20:00:00Z  ann  remove rule old'],
		[{kind: 'unavailable', detail: 'the platform does not answer', retryAfterMs: 5000}, 1, 'the platform does not answer; try again in 5 s'],
		[{kind: 'invalid', problems: [{path: '$.rules', expected: 'expected a list'}]}, 2, '$.rules: expected a list'],
	];
	for (const [refusal, expected, message] of refusals) {
		it(`exit with ${expected} on ${refusal.kind}`, async () => {
			const {code, errors} = await run(['audit'], {audit: async () => Left(refusal)});
			expect(code).toEqual(expected);
			expect(errors).toEqual(expect.includes(message));
		});
	}

	it('require whole numbers for numeric arguments', async () => {
		const {code, errors} = await run(['config', 'undo', 'last'], {});
		expect(code).toEqual(2);
		expect(errors).toEqual(expect.includes('It must be a whole number.'));
	});

	it('require a valid URL of the operators API', async () => {
		const {code, errors} = await run(['status', '--url', 'not a URL'], {});
		expect([code, errors]).toEqual([2, 'quetzalstream: not a URL is not a URL\n']);
	});
});
