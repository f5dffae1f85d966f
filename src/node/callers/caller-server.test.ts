import net from 'node:net';
import {describe, it, afterEach} from 'node:test';
import {expect, mockFn} from 'earl';
import fc from 'fast-check';
import pg from 'pg';
import {Left, Right, type Either} from 'purify-ts';
import {Refusal} from '../../common/errors/error-kinds.js';
import {toDisposable} from '../../common/lifecycle/disposable.js';
import type {
	AnswerSink, Clock, Configuration, RequestCycle, RoutedSession, RouteEnd, Router, TransactionStatus,
} from '../../common/services/services.js';
import {
	commandComplete, joinFrames, makeFrame, readUint32, readText, textRow, textRowDescription, writeUint32,
} from '../../common/statements/frames.js';
import {CallerServer} from './caller-server.js';
import {HmacTokenSigner} from './token-signer.js';
import type {CallerOptions} from './types.js';

type Ran = {readonly codes: string; readonly texts: readonly string[]; readonly cycle: RequestCycle; readonly session: RoutedSession};

/** Cycles with this text wait until they are aborted. */
const stuckText = 'select stuck';

/** Stands for everything behind the caller front: answers each cycle like one endpoint. */
class FakeRouter implements Router {
	readonly ran: Ran[] = [];
	readonly closed: RoutedSession[] = [];
	/** Refusals for the next cycles, first to last. */
	readonly refusals: Refusal[] = [];
	private _offset = 0;

	async execute(session: RoutedSession, cycle: RequestCycle, sink: AnswerSink, signal: AbortSignal): Promise<Either<Refusal, RouteEnd>> {
		const messages = splitFrames(cycle.frames);
		const texts = messages.flatMap(message => textOf(message));
		this.ran.push({
			codes: messages.map(message => String.fromCodePoint(message[0] ?? 0)).join(''), texts, cycle, session,
		});
		const refusal = this.refusals.shift();
		if (refusal) {
			if (refusal.kind === 'transactionLost') {
				session.heldEndpoint = undefined;
			}

			return Left(refusal);
		}

		if (texts.includes(stuckText)) {
			return new Promise(resolve => {
				signal.addEventListener('abort', () => {
					resolve(Left(new Refusal('cancelled')));
				});
			});
		}

		const answer = messages.flatMap(message => answerTo(message, texts));
		await sink.push(joinFrames(answer));
		const status = statusAfter(session.transactionStatus, texts);
		session.heldEndpoint = status === 'idle' ? undefined : 'a1';
		const position = {term: 1, offset: ++this._offset};
		session.marks.advance(session.group, position);
		return Right({transactionStatus: status, endpoint: 'a1', position});
	}

	close(session: RoutedSession): void {
		this.closed.push(session);
	}
}

function splitFrames(frames: Uint8Array): Uint8Array[] {
	const found: Uint8Array[] = [];
	for (let offset = 0; offset < frames.length;) {
		const end = offset + 1 + readUint32(frames, offset + 1);
		found.push(frames.subarray(offset, end));
		offset = end;
	}

	return found;
}

function textOf(message: Uint8Array): string[] {
	const code = String.fromCodePoint(message[0] ?? 0);
	const offset = code === 'P' ? readText(message, 5)?.end ?? 0 : 5;
	return code === 'Q' || code === 'P' ? [readText(message, offset)?.text ?? ''] : [];
}

function statusAfter(status: TransactionStatus, texts: readonly string[]): TransactionStatus {
	const last = texts.at(-1)?.toLowerCase() ?? '';
	if (last.startsWith('begin')) {
		return 'open';
	}

	return /^(?:commit|rollback)$/v.test(last) ? 'idle' : status;
}

const syntaxError = makeFrame(0x45, new TextEncoder().encode('SERROR\0C42601\0Msyntax error\0\0'));

function answerTo(message: Uint8Array, texts: readonly string[]): Uint8Array[] {
	const code = String.fromCodePoint(message[0] ?? 0);
	const text = texts.at(-1) ?? '';
	const row = textRow(text);
	const answers: ReadonlyMap<string, Uint8Array[]> = new Map([
		['Q', text.includes('bad') ? [syntaxError] : [textRowDescription('text'), row, commandComplete('SELECT 1')]],
		['P', [makeFrame(0x31)]],
		['B', [makeFrame(0x32)]],
		['C', [makeFrame(0x33)]],
		['D', message[5] === 0x53 ? [makeFrame(0x74, new Uint8Array(2)), textRowDescription('text')] : [textRowDescription('text')]],
		['E', text.includes('bad') ? [syntaxError] : [row, commandComplete('SELECT 1')]],
	]);
	return answers.get(code) ?? [];
}

const clock: Clock = {
	nowMs: () => performance.now(),
	wallClockMs: () => Date.now(),
	setTimer(delayMs, callback) {
		const timer = setTimeout(callback, delayMs);
		return toDisposable(() => {
			clearTimeout(timer);
		});
	},
};

const group = {
	name: 'stock', service: 'stock', labels: {}, endpoints: [],
};
const notAsked = (): never => {
	throw new Error('not asked for here');
};

const configuration: Configuration = {
	version: 1,
	onChange: () => toDisposable(() => undefined),
	groups: () => [group],
	group: name => name === 'stock' ? group : undefined,
	callerPolicy: notAsked,
	endpointPolicy: notAsked,
};

type Fixture = {readonly server: CallerServer; readonly router: FakeRouter; readonly port: number; readonly events: ReturnType<typeof mockFn>};

const fixtures: Fixture[] = [];
const clients: pg.Client[] = [];

async function start(options: Partial<CallerOptions> = {}): Promise<Fixture> {
	const router = new FakeRouter();
	const events = mockFn(() => undefined);
	const server = new CallerServer({
		router,
		configuration,
		clock,
		log: {event: events},
		metrics: {count: () => undefined, gauge: () => undefined, observe: () => undefined},
		signer: new HmacTokenSigner('shared key'),
		node: {name: 'n1', incarnation: 'i1', availabilityZone: 'a'},
		options,
	});
	const fixture = {
		server, router, port: await server.listen('127.0.0.1', 0), events,
	};
	fixtures.push(fixture);
	return fixture;
}

async function connect({port}: Fixture, config: pg.ClientConfig = {}): Promise<pg.Client> {
	const client = new pg.Client({
		host: '127.0.0.1', port, user: 'app', database: 'stock', ...config,
	});
	client.on('error', () => undefined);
	clients.push(client);
	await client.connect();
	return client;
}

afterEach(async () => {
	await Promise.all(clients.splice(0).map(async client => client.end()));
	for (const {server} of fixtures.splice(0)) {
		server.dispose();
	}
});

describe('CallerServer', () => {
	it('relays simple, parameterised and named statements', async () => {
		const fixture = await start();
		const client = await connect(fixture);
		const simple = await client.query('select 1');
		expect(simple.rows).toEqual([{text: 'select 1'}]);
		const parameterised = await client.query('select $1::int', [1]);
		expect(parameterised.rows).toEqual([{text: 'select $1::int'}]);
		const named = {name: 's1', text: 'select a from t where b = $1', values: [2]};
		await client.query(named);
		await client.query(named);
		expect(fixture.router.ran.map(({codes}) => codes)).toEqual(['Q', 'PBDES', 'PBDES', 'PBDES']);
		expect(fixture.router.ran.map(({cycle}) => cycle.access)).toEqual(['read', 'read', 'read', 'read']);
	});
});
