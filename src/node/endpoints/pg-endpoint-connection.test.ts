import {once} from 'node:events';
import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {serialize} from 'pg-protocol';
import type {AnswerSink, EndpointConnection} from '../../common/services/services.js';
import {SystemClock} from '../system-clock.js';
import {PgEndpointConnector} from './pg-endpoint-connector.js';
import {
	CannedEndpoint, dataRow, errorResponse, frame, int32, join, parameter, ready, startUpMessages, type CannedAnswer,
} from './testing/canned-endpoint.js';

const connector = new PgEndpointConnector(new SystemClock(), {user: 'app', password: 'secret'});
const query = serialize.query('SELECT 1');
const done = frame('C', 'SELECT 1\0');
const fixture = {server: new CannedEndpoint(() => undefined)};

afterEach(() => {
	fixture.server.close();
});

/** Opens a work connection to a server that answers queries; position 1/5 is reported at start-up. */
async function open(answer: CannedAnswer): Promise<EndpointConnection> {
	fixture.server = new CannedEndpoint((message, socket) => message.type === 'start'
		? startUpMessages(parameter('quetzalstream.position', '1/5'))
		: answer(message, socket));
	const opened = await connector.connectWork(await fixture.server.listen(), 'node-a');
	return opened.unsafeCoerce();
}

class Collector implements AnswerSink {
	readonly pushes: Uint8Array[] = [];

	push(frames: Uint8Array): void {
		this.pushes.push(Uint8Array.from(frames));
	}
}

describe('PgEndpointConnection', () => {
	it('names its home and group in the start-up message', async () => {
		const connection = await open(() => undefined);
		const [start] = fixture.server.received[0];
		expect(start?.includes('\0application_name\0quetzalstream-work:node-a\0')).toEqual(true);
		expect(start?.includes('\0database\0stock\0')).toEqual(true);
		connection.dispose();
	});

	it('relays an answer unchanged in one push, without reports and the final message', async () => {
		const answer = [frame('T', 'columns'), dataRow('1'), done];
		const connection = await open(() => [...answer, parameter('quetzalstream.position', '2/9'), ready('T')]);
		const sink = new Collector();
		const end = await connection.exchange(query, sink);
		expect(sink.pushes).toEqual([join(answer)]);
		expect(end.extract()).toEqual({transactionStatus: 'open', position: {term: 2, offset: 9}});
		expect(fixture.server.received[0]?.[1]).toEqual('QSELECT 1\0');
	});

	it('keeps the latest reported position and records the first error', async () => {
		const connection = await open(() => [errorResponse('23505'), errorResponse('25P02'), frame('N', '\0'), ready('E')]);
		const sink = new Collector();
		const end = await connection.exchange(query, sink);
		expect(end.extract()).toEqual({transactionStatus: 'failed', position: {term: 1, offset: 5}, errorSqlState: '23505'});
		expect(sink.pushes).toEqual([join([errorResponse('23505'), errorResponse('25P02'), frame('N', '\0')])]);
	});

	it('drops asynchronous messages and runs one exchange after the other', async () => {
		let count = 0;
		const connection = await open(() => {
			count++;
			return [parameter('TimeZone', 'UTC'), dataRow(String(count)), frame('A', int32(1), 'a\0b\0'), done, ready()];
		});
		for (const row of ['1', '2']) {
			const sink = new Collector();
			const end = await connection.exchange(query, sink);
			expect(end.isRight()).toEqual(true);
			expect(join(sink.pushes)).toEqual(join([dataRow(row), done]));
		}
	});

	it('does not push further frames while the sink is busy', async () => {
		const rows = Array.from({length: 100}, () => dataRow('x'.repeat(50_000)));
		const connection = await open(() => [...rows, done, ready()]);
		let waiting = 0;
		let pushedBytes = 0;
		const end = await connection.exchange(query, {
			async push(frames) {
				expect(++waiting).toEqual(1);
				pushedBytes += frames.length;
				await new Promise(resolve => {
					setImmediate(resolve);
				});
				waiting--;
			},
		});
		expect(end.isRight()).toEqual(true);
		expect(pushedBytes).toEqual(join([...rows, done]).length);
	});

	const violations: Array<[string, Uint8Array[], string]> = [
		['an unknown message', [frame('x', 'a')], 'type 0x78 is not expected here'],
		['a message of another phase', [frame('R', int32(0))], 'authentication is not expected here'],
		['a request for copy data', [frame('G', 'a')], 'type 0x47 is not expected here'],
		['an invalid length', [Uint8Array.of(68, 0, 0, 0, 1)], 'message length is less than 4 bytes'],
		['a malformed position', [parameter('quetzalstream.position', '2'), ready()], 'position report is malformed'],
		['an unterminated parameter', [frame('S', 'name')], 'text is not terminated by a zero byte'],
		['an error without a code', [frame('E', 'Mtext\0\0')], 'error response without an SQLSTATE of 5 characters'],
		['a malformed status', [ready('Q')], 'transaction status is malformed'],
	];
	for (const [name, frames, detail] of violations) {
		it(`ends the connection with a fault on ${name}`, async () => {
			const connection = await open(() => frames);
			const closed = new Promise<void>(resolve => {
				connection.onClose(resolve);
			});
			const end = await connection.exchange(query, new Collector());
			expect(end.extract()).toEqual({mayHaveReached: true, detail});
			await closed;
			const next = await connection.exchange(query, new Collector());
			expect(next.extract()).toEqual({mayHaveReached: false, detail});
		});
	}

	it('ends the connection on an answer outside of an exchange', async () => {
		const connection = await open(() => [done, ready(), done]);
		const closed = new Promise<void>(resolve => {
			connection.onClose(resolve);
		});
		const end = await connection.exchange(query, new Collector());
		expect(end.isRight()).toEqual(true);
		await closed;
	});

	it('does not relay a fatal error, and reports its code with the fault', async () => {
		const connection = await open((_message, socket) => {
			socket.end(join([dataRow('1'), errorResponse('57P01', 'FATAL')]));
			return undefined;
		});
		const sink = new Collector();
		const end = await connection.exchange(query, sink);
		expect(end.extract()).toEqual({mayHaveReached: true, detail: 'connection closed by the endpoint', sqlState: '57P01'});
		expect(sink.pushes).toEqual([dataRow('1')]);
	});

	it('ends the exchange with a fault when the sink fails', async () => {
		const connection = await open(() => [done, ready()]);
		const end = await connection.exchange(query, {
			async push() {
				throw new Error('sink failed');
			},
		});
		expect(end.extract()).toEqual({mayHaveReached: true, detail: 'sink failed'});
	});

	it('reports that nothing was sent on a connection that has ended', async () => {
		const connection = await open(() => undefined);
		connection.dispose();
		const end = await connection.exchange(query, new Collector());
		expect(end.extract()).toEqual({mayHaveReached: false, detail: 'connection closed by this node'});
		await new Promise<void>(resolve => {
			connection.onClose(resolve);
		});
	});

	it('settles the exchange in progress at once when it is disposed', async () => {
		const connection = await open((_message, socket) => {
			socket.write(dataRow('1'));
			return undefined;
		});
		const end = await connection.exchange(query, {
			push() {
				connection.dispose();
			},
		});
		expect(end.extract()).toEqual({mayHaveReached: true, detail: 'connection closed by this node'});
	});

	it('sends a cancel over a separate connection with the key of its own', async () => {
		const connection = await open(() => undefined);
		const running = connection.exchange(query, new Collector());
		connection.cancel();
		while (fixture.server.received.length < 2 || fixture.server.received[1]?.length !== 1) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		expect(fixture.server.received[1]).toEqual(['start\u0004\u00D2\u0016.\0\0\0\u0007\0\0\0\t']);
		connection.dispose();
		await running;
	});
});

describe('PgEndpointConnector', () => {
	const methods: Array<[string, Uint8Array, string]> = [
		['cleartext', int32(3), 'psecret\0'],
		['md5', join([int32(5), Uint8Array.of(1, 2, 3, 4)]), 'pmd5911f527656472583a006e7727877b33e\0'],
	];
	for (const [name, request, expected] of methods) {
		it(`answers ${name} authentication`, async () => {
			fixture.server = new CannedEndpoint(message => message.type === 'start' ? [frame('R', request)] : startUpMessages());
			const opened = await connector.connectWork(await fixture.server.listen(), 'node-a');
			expect(opened.isRight()).toEqual(true);
			expect(fixture.server.received[0]?.[1]).toEqual(expected);
		});
	}

	const refusals: Array<[string, Uint8Array[], unknown]> = [
		['a refusal', [errorResponse('53300', 'FATAL')], {mayHaveReached: false, detail: 'refused', sqlState: '53300'}],
		['an unknown method', [frame('R', int32(7))], {mayHaveReached: false, detail: 'authentication method 7 is not supported'}],
		['an unexpected message', [dataRow('1')], {mayHaveReached: false, detail: 'dataRow during start-up'}],
		['a malformed key', [frame('K', int32(0))], {mayHaveReached: false, detail: 'backend key is malformed'}],
		['a malformed position', startUpMessages(parameter('quetzalstream.position', 'x')), {mayHaveReached: false, detail: 'position report is malformed'}],
	];
	for (const [name, frames, fault] of refusals) {
		it(`reports ${name} during start-up`, async () => {
			fixture.server = new CannedEndpoint(() => frames);
			const opened = await connector.connectWork(await fixture.server.listen(), 'node-a');
			expect<unknown>(opened.extract()).toEqual(fault);
		});
	}

	it('reports a fault when nothing listens at the address of the endpoint', async () => {
		fixture.server = new CannedEndpoint(() => undefined);
		const address = await fixture.server.listen();
		fixture.server.close();
		const opened = await connector.connectWork(address, 'node-a');
		expect(opened.isLeft()).toEqual(true);
	});

	it('reports a fault when the endpoint does not answer in time', async () => {
		fixture.server = new CannedEndpoint(() => undefined);
		const impatient = new PgEndpointConnector(new SystemClock(), {user: 'app', password: '', connectTimeoutMs: 20});
		const opened = await impatient.connectWork(await fixture.server.listen(), 'node-a');
		expect(opened.extract()).toEqual({mayHaveReached: false, detail: 'no session within 20 ms'});
		const [socket] = fixture.server.sockets;
		if (socket && !socket.closed) {
			await once(socket, 'close');
		}
	});
});
