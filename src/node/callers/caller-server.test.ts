import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import pg from 'pg';
import {Refusal} from '../../common/errors/error-kinds.js';
import {CallerServerHarness} from './testing/caller-server-harness.js';
import {largeAnswerChunks, largeText, blockingText} from './testing/fake-router.js';
import {
	errorFields, extended, untypedMessage, message, startUp,
} from './testing/raw-caller.js';
import {testCertificate} from './testing/test-certificate.js';
import type {CallerOptions} from './types.js';

const harnesses: CallerServerHarness[] = [];

async function startHarness(options: Partial<CallerOptions> = {}): Promise<CallerServerHarness> {
	const harness = new CallerServerHarness(options);
	harnesses.push(harness);
	return harness.start();
}

afterEach(async () => {
	await Promise.all(harnesses.splice(0).map(async harness => harness.stop()));
});

function query(text: string): Uint8Array {
	return message('Q', text);
}

const sync = message('S');
const flush = message('H');

async function codeOfFailure(promise: Promise<unknown>): Promise<string | undefined> {
	try {
		await promise;
		return undefined;
	} catch (error) {
		return error instanceof pg.DatabaseError ? error.code : String(error);
	}
}

describe('CallerServer', () => {
	it('relays simple, parameterised and named statements of a driver', async () => {
		const harness = await startHarness();
		const client = await harness.connect();
		const simple = await client.query('select 1');
		expect(simple.rows).toEqual([{text: 'select 1'}]);
		const parameterised = await client.query('select $1::int', [1]);
		expect(parameterised.rows).toEqual([{text: 'select $1::int'}]);
		const named = {name: 's1', text: 'select a from t where b = $1', values: [2]};
		await client.query(named);
		await client.query(named);
		expect(harness.router.ran.map(({codes}) => codes)).toEqual(['Q', 'PBDES', 'PBDES', 'PBDES']);
		expect(harness.router.ran.map(({cycle}) => cycle.access)).toEqual(['read', 'read', 'read', 'read']);
	});

	it('relays errors and continues the session', async () => {
		const harness = await startHarness();
		const client = await harness.connect();
		expect(await codeOfFailure(client.query('select wrong'))).toEqual('42601');
		expect(await codeOfFailure(client.query('select wrong where $1', [1]))).toEqual('42601');
		const {rows} = await client.query('select 2');
		expect(rows.length).toEqual(1);
	});

	it('answers pipelined cycles in order and skips to Sync after an error', async () => {
		const harness = await startHarness();
		const caller = await harness.startRaw();
		caller.send(query('select 1'), extended('select 2'), sync, extended('select wrong'), extended('select 3'), sync, extended('listen a'), extended('select 4'), flush, sync, sync, query(''));
		expect(await caller.read(6)).toEqual('T D C S ZI 1 2 T D C S ZI 1 2 T E42601 S ZI E0A000 ZI ZI I ZI');
		expect(harness.router.ran.length).toEqual(3);
	});

	it('runs the buffered messages at Flush, except after Bind outside a transaction', async () => {
		const harness = await startHarness();
		const caller = await harness.startRaw();
		caller.send(message('P', 's', 'select 1', new Uint8Array(2)), message('D', 'Ss'), flush, sync);
		expect(await caller.read()).toEqual('1 t T S ZI');
		caller.send(extended('select 1'), flush, sync);
		expect(await caller.read()).toEqual('E0A000 ZI');
		caller.send(query('begin'), extended('select 1'), flush, sync, query('commit'));
		expect(await caller.read(3)).toEqual('T D C S ZT 1 2 T D C S ZT T D C S ZI');
	});

	it('tracks transactions and how its own refusals affect them', async () => {
		const harness = await startHarness();
		const caller = await harness.startRaw();
		const steps: ReadonlyArray<readonly [sent: Uint8Array, refusal: Refusal | undefined, got: string, ran: string | undefined]> = [
			[query('begin'), undefined, 'T D C S ZT', 'begin'],
			[query('select wrong'), undefined, 'E42601 S ZE', 'select wrong'],
			[query('rollback'), undefined, 'T D C S ZI', 'rollback'],
			// The transaction was lost: only its end is accepted, and the proxy answers it itself.
			[query('begin'), undefined, 'T D C S ZT', 'begin'],
			[query('delete from t'), new Refusal('transactionLost'), 'E40001 ZE', 'delete from t'],
			[query('select 1'), undefined, 'E25P02 ZE', undefined],
			[query('commit; select 1'), undefined, 'E25P02 ZE', undefined],
			[query('commit'), undefined, 'C ZI', undefined],
			[query('select 1'), undefined, 'T D C S ZI', 'select 1'],
			// Refused by the proxy: the endpoint still holds the transaction, and the proxy rolls it back there.
			[query('begin'), undefined, 'T D C S ZT', 'begin'],
			[query('listen a'), undefined, 'E0A000 ZE', undefined],
			[query('rollback to a'), undefined, 'T D C S ZT', 'rollback to a'],
			[query('delete from t'), new Refusal('overloaded'), 'E53000 ZE', 'delete from t'],
			[query('commit'), undefined, 'C S ZI', 'ROLLBACK'],
			// The same with the extended protocol.
			[query('begin'), undefined, 'T D C S ZT', 'begin'],
			[extended('delete from t'), new Refusal('transactionLost'), 'E40001 ZE', 'delete from t'],
			[extended('select 1'), undefined, 'E25P02 ZE', undefined],
			[extended('rollback'), undefined, '1 2 n C ZI', undefined],
			// Lost during its commit: the transaction has ended.
			[query('begin'), undefined, 'T D C S ZT', 'begin'],
			[query('commit'), new Refusal('transactionLost'), 'E40001 ZI', 'commit'],
			[query('begin'), new Refusal('noPrimary'), 'E57P03 ZI', 'begin'],
		];
		for (const [sent, refusal, got, ran] of steps) {
			harness.router.refusals.push(...(refusal ? [refusal] : []));
			const before = harness.router.ran.length;
			caller.send(sent, ...(sent[0] === 0x50 ? [sync] : []));

			expect([got, ran, await caller.read()]).toEqual([got, ran, got]);
			expect(harness.router.ran[before]?.texts.at(-1)).toEqual(ran);
		}
	});

	it('routes read-only transactions as reads and refuses to make them read-write', async () => {
		const harness = await startHarness();
		const caller = await harness.startRaw();
		caller.send(query('begin read only'), query('select f()'), query('set transaction read write'), query('rollback'), query('select f()'));
		expect(await caller.read(5)).toEqual('T D C S ZT T D C S ZT E0A000 ZE C S ZI T D C S ZI');
		expect(harness.router.ran.map(({cycle}) => cycle.access)).toEqual(['read', 'read', 'read', 'write']);
	});

	it('reports outcome, retry delay and kind in the hint of an error', async () => {
		const harness = await startHarness();
		const caller = await harness.startRaw();
		harness.router.refusals.push(new Refusal('overloaded', 'queue of a1 is full', {retryAfterMs: 70}));
		const [frame = new Uint8Array(0)] = await caller.send(query('select 1')).readFrames();
		expect([...errorFields(frame)]).toEqual([
			['S', 'ERROR'],
			['V', 'ERROR'],
			['C', '53000'],
			['M', 'too much work is queued'],
			['D', 'queue of a1 is full'],
			['H', 'outcome=notRun retry_after_ms=70 kind=overloaded'],
		]);
	});

	it('sends session tokens and accepts them at start-up and by SET', async () => {
		const harness = await startHarness();
		const client = await harness.connect();
		await client.query('insert into t values (1)');
		const {rows} = await client.query<{'quetzalstream.token': string}>('show quetzalstream.token');
		const token = rows[0]?.['quetzalstream.token'] ?? '';
		const brought = await harness.connect({options: `-c quetzalstream.token=${token} -c quetzalstream.max_age_ms=50`});
		await brought.query('select 1');
		const later = await harness.connect();
		await later.query('select 1');
		await later.query(`set quetzalstream.token = '${token}'`);
		await later.query('select 1');
		expect(harness.router.ran.slice(1).map(({isComplete, session}) => [isComplete, session.maximumAgeMs])).toEqual([
			[true, 50],
			[false, undefined],
			[true, undefined],
		]);
		expect(harness.router.ran[1]?.session.marks.mark('stock').term).toEqual(1);
		expect(await codeOfFailure(later.query('set quetzalstream.token = \'forged\''))).toEqual('22023');
		expect(await codeOfFailure(later.query('set search_path = x'))).toEqual('0A000');
	});

	it('refuses start-up messages with an unknown group or an invalid setting', async () => {
		const harness = await startHarness();
		const cases: ReadonlyArray<readonly [parameters: Readonly<Record<string, string>>, expected: string]> = [
			[{database: 'other'}, 'E3D000'],
			[{options: '-c quetzalstream.token=forged'}, 'E22023'],
			[{options: '-c TimeZone=Asia/Bangkok'}, 'E22023'],
			[{options: '--search-path=x'}, 'E0A000'],
		];
		for (const [parameters, expected] of cases) {
			expect([parameters, await harness.connectRaw().send(startUp(parameters)).readToClose()]).toEqual([parameters, expected]);
		}
	});

	it('checks passwords', async () => {
		const users = [{name: 'app', password: 'secret'}, {name: 'till', password: 'md55118a6332e936b236d554fd3db4dfbfa'}, {name: 'guest'}];
		for (const authentication of ['cleartextPassword', 'md5Password'] as const) {
			const harness = await startHarness({authentication, users});
			const outcomes = [
				codeOfFailure(harness.connect({password: 'secret'})),
				codeOfFailure(harness.connect({user: 'till', password: 'secret'})),
				codeOfFailure(harness.connect({password: 'wrong'})),
				codeOfFailure(harness.connect({user: 'nobody', password: 'secret'})),
				codeOfFailure(harness.connect({user: 'guest', password: 'secret'})),
			];

			expect(await Promise.all(outcomes)).toEqual([undefined, undefined, '28P01', '28P01', '28P01']);
		}
	});

	it('serves over TLS, and only over TLS if it is required', async () => {
		const harness = await startHarness({tls: testCertificate, isTlsRequired: true});
		const client = await harness.connect({ssl: {rejectUnauthorized: false}});
		const {rows} = await client.query('select 1');
		expect(rows).toEqual([{text: 'select 1'}]);
		expect(await codeOfFailure(harness.connect())).toEqual('28P01');
	});

	it('cancels the request in progress, with the right key only', async () => {
		const harness = await startHarness();
		const caller = await harness.startRaw();
		const cancel = (processId: number, secretKey: number) => {
			const key = message('K', new Uint8Array(8));
			new DataView(key.buffer).setUint32(5, processId);
			new DataView(key.buffer).setUint32(9, secretKey);
			return harness.connectRaw().send(untypedMessage(80_877_102, key.subarray(5)));
		};

		const blocked = new Promise<void>(resolve => {
			harness.router.onBlocked = resolve;
		});
		caller.send(query(blockingText));
		await blocked;
		expect(await cancel(caller.processId, caller.secretKey + 1).readToClose()).toEqual('');
		expect(await cancel(caller.processId + 1, caller.secretKey).readToClose()).toEqual('');
		const answer = caller.read();
		cancel(caller.processId, caller.secretKey);
		expect(await answer).toEqual('E57014 ZI');
		expect(await caller.send(query('select 1')).read()).toEqual('T D C S ZI');
		// Between two requests there is nothing to cancel, and the next request is not cancelled.
		expect(await cancel(caller.processId, caller.secretKey).readToClose()).toEqual('');
		expect(await caller.send(query('select 1')).read()).toEqual('T D C S ZI');
	});

	it('aborts the request of a caller that disconnects', async () => {
		const harness = await startHarness();
		const caller = await harness.startRaw();
		const blocked = new Promise<void>(resolve => {
			harness.router.onBlocked = resolve;
		});
		caller.send(query(blockingText));
		await blocked;
		const closed = new Promise<unknown>(resolve => {
			harness.router.close = resolve;
		});
		caller.socket.destroy();
		expect(await closed).toEqual(harness.router.ran[0]?.session);
	});

	it('relays large answers completely', async () => {
		const harness = await startHarness();
		const client = await harness.connect();
		const {rows} = await client.query(largeText);
		expect(rows.length).toEqual(largeAnswerChunks + 1);
	});

	it('drains: idle callers at once, others after their request and transaction', async () => {
		const harness = await startHarness();
		const [idle, busy, open, left] = await Promise.all([harness.startRaw(), harness.startRaw(), harness.startRaw(), harness.startRaw()]);
		await open.send(query('begin')).read();
		await left.send(query('begin')).read();
		const blocked = new Promise<void>(resolve => {
			harness.router.onBlocked = resolve;
		});
		busy.send(query(blockingText));
		await blocked;
		const drained = harness.server.drain(200);
		expect(await idle.readToClose()).toEqual('E57P01');
		expect(await open.send(query('select 1')).read()).toEqual('T D C S ZT');
		expect(await open.send(query('commit')).readToClose()).toEqual('T D C S ZI E57P01');
		await drained;
		expect(await left.readToClose()).toEqual('E57P01');
		expect(await busy.readToClose()).toEqual('E57P01');
	});

	it('does not run a request that was sent before the caller received the last message', async () => {
		const harness = await startHarness();
		const idle = await harness.startRaw();
		const drained = harness.server.drain(200);
		idle.send(query('insert x'));
		expect(await idle.readToClose()).toEqual('E57P01');
		await drained;
		expect(harness.router.ran.length).toEqual(0);
	});
});
