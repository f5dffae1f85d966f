import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import type {InstanceControl, InstanceState} from '../../common/services/services.js';
import {VirtualClock} from '../../common/testing/virtual-clock.js';
import {PgEndpointConnector} from './pg-endpoint-connector.js';
import {
	CannedEndpoint, dataRow, errorResponse, frame, join, parameter, ready, startUpMessages, type CannedAnswer,
} from './testing/canned-endpoint.js';

const report = 'replica 3 c1 3/7 3/6 t';
const state: InstanceState = {
	role: 'replica', promisedTerm: 3, claimId: 'c1', received: {term: 3, offset: 7}, applied: {term: 3, offset: 6}, isStreaming: true,
};
const fixture = {clock: new VirtualClock(0), server: new CannedEndpoint(() => undefined)};

afterEach(() => {
	fixture.server.close();
});

async function open(answer: CannedAnswer): Promise<InstanceControl> {
	fixture.clock = new VirtualClock(0);
	fixture.server = new CannedEndpoint((message, socket) => message.type === 'start'
		? startUpMessages(parameter('quetzalstream.state', report))
		: answer(message, socket));
	const connector = new PgEndpointConnector(fixture.clock, {user: 'app', password: '', controlTimeoutMs: 1000});
	const opened = await connector.connectControl(await fixture.server.listen(), 'node-a');
	return opened.unsafeCoerce();
}

function row(...values: string[]): Uint8Array[] {
	return [frame('T', 'columns'), dataRow(...values), frame('C', 'SELECT 1\0'), ready()];
}

async function next<T>(event: (listener: (value: T) => void) => unknown): Promise<T> {
	return new Promise(resolve => {
		event(resolve);
	});
}

describe('PgInstanceControl', () => {
	it('passes the report made at start-up to its first listener, and later reports to its listeners', async () => {
		const control = await open(() => undefined);
		expect(await next(control.onState)).toEqual(state);
		const following = next(control.onState);
		fixture.server.sockets[0]?.write(parameter('quetzalstream.state', 'primary 4 - 4/8 4/8 t'));
		const {role, promisedTerm} = await following;
		expect({role, promisedTerm}).toEqual({role: 'primary', promisedTerm: 4});
	});

	const accepted = {isAccepted: true, state};
	const commands: Array<[string, (control: InstanceControl) => Promise<{extract: () => unknown}>, string[], unknown]> = [
		['SELECT quetzalstream_state()', async control => control.readState(), [report], state],
		['SELECT quetzalstream_raise_term(5, \'o\'\'hara\')', async control => control.raiseTerm(5, 'o\'hara'), ['t', report], accepted],
		['SELECT quetzalstream_promote(5, \'c\')', async control => control.promote(5, 'c'), ['f', report], {isAccepted: false, state}],
		['SELECT quetzalstream_follow(5, \'127.0.0.2\', 5433)', async control => control.follow(5, {
			name: 'e2', group: 'stock', availabilityZone: 'b', host: '127.0.0.2', port: 5433,
		}), ['t', report], accepted],
		['SELECT quetzalstream_attach(\'node-a\', true)', async control => control.attach('node-a', true), ['f', 'node-b'], {isAttached: false, holder: 'node-b'}],
		['SELECT quetzalstream_detach(\'node-a\')', async control => control.detach('node-a'), ['t', ''], undefined],
	];
	for (const [sql, send, answer, expected] of commands) {
		it(`sends the control command ${sql}`, async () => {
			const control = await open(() => row(...answer));
			const result = await send(control);
			expect(result.extract()).toEqual(expected);
			expect(fixture.server.received[0]?.at(-1)).toEqual(`Q${sql}\0`);
		});
	}

	const faults: Array<[string, Uint8Array[], unknown]> = [
		['an error', [errorResponse('42883'), ready()], {mayHaveReached: true, detail: 'the endpoint refused the control command', sqlState: '42883'}],
		['no row', [frame('C', 'SELECT 0\0'), ready()], {mayHaveReached: true, detail: 'control command was answered without a row'}],
		['a malformed state', row('t', 'primary'), {mayHaveReached: true, detail: 'state report is malformed'}],
		['a malformed flag', row('yes', report), {mayHaveReached: true, detail: 'flag in the answer to a control command is malformed'}],
		['a malformed row', [frame('D', Uint8Array.of(0, 2))], {mayHaveReached: true, detail: 'data row is truncated'}],
		['a malformed report', [parameter('quetzalstream.state', 'x'), ...row('t', report)], {mayHaveReached: true, detail: 'state report is malformed'}],
		['two rows', [dataRow('t', report), ...row('t', report)], {mayHaveReached: true, detail: 'control command was answered with more than one row'}],
	];
	for (const [name, frames, fault] of faults) {
		it(`reports ${name}`, async () => {
			const control = await open(() => frames);
			const result = await control.raiseTerm(5, 'c');
			expect<unknown>(result.extract()).toEqual(fault);
		});
	}

	it('sends one command at a time, and matches a late answer to its own command', async () => {
		const control = await open(({body}) => body.includes('attach') ? row('t', 'node-a') : undefined);
		const first = control.raiseTerm(5, 'c');
		const second = control.readState();
		await fixture.clock.advance(1000);
		const results = [await first, await second].map(result => result.extract());
		expect<unknown>(results).toEqual([
			{mayHaveReached: true, detail: 'no answer within 1000 ms'},
			{mayHaveReached: false, detail: 'no answer within 1000 ms'},
		]);
		const third = control.attach('node-a', false);
		fixture.server.sockets[0]?.write(join(row('f', report)));
		const attached = await third;
		expect(attached.extract()).toEqual({isAttached: true, holder: 'node-a'});
		expect(fixture.server.received[0]?.slice(1)).toEqual([
			'QSELECT quetzalstream_raise_term(5, \'c\')\0',
			'QSELECT quetzalstream_attach(\'node-a\', false)\0',
		]);
	});

	it('settles all waiting commands when the connection ends', async () => {
		const control = await open((_message, socket) => {
			socket.destroy();
			return undefined;
		});
		const [first, second] = [control.readState(), control.detach('node-a')];
		const faults = [await first, await second].map(result => result.extract());
		expect<unknown>(faults).toEqual([expect.subset({mayHaveReached: true}), expect.subset({mayHaveReached: false})]);
		await next(control.onClose);
		const late = await control.readState();
		expect(late.isLeft()).toEqual(true);
		control.dispose();
	});
});
