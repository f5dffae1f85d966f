import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {CallerServerHarness} from './testing/caller-server-harness.js';
import {untypedMessage, message, startUp} from './testing/raw-caller.js';
import {testCertificate} from './testing/test-certificate.js';
import type {CallerOptions} from './types.js';

const harnesses: CallerServerHarness[] = [];

async function startHarness(options: Partial<CallerOptions> = {}): Promise<CallerServerHarness> {
	const bench = new CallerServerHarness(options);
	harnesses.push(bench);
	return bench.start();
}

afterEach(async () => {
	await Promise.all(harnesses.splice(0).map(async bench => bench.stop()));
});

/** A server is well if it serves a new caller and logged no unexpected error. */
async function expectServing(bench: CallerServerHarness): Promise<void> {
	const caller = await bench.startRaw();
	expect(await caller.send(message('Q', 'select 1')).read()).toEqual('T D C S ZI');
	expect(bench.events.filter(name => name !== 'callerRefused')).toEqual(['callersListening']);
}

describe('CallerServer under faulty callers', () => {
	it('refuses malformed beginnings', async () => {
		const bench = await startHarness();
		const cases: ReadonlyArray<readonly [bytes: Uint8Array, expected: string]> = [
			[Uint8Array.of(0, 0, 0, 3), 'E08P01'],
			[Uint8Array.of(0, 0, 0, 4), 'E08P01'],
			[Uint8Array.of(0, 0, 0x40, 0, 0, 3, 0, 0), 'E54000'],
			[Uint8Array.of(0xFF, 0xFF, 0xFF, 0xFF), 'E54000'],
			[untypedMessage(0x3_00_00), 'E08P01'],
			[untypedMessage(0x3_00_00, new TextEncoder().encode('user')), 'E08P01'],
			[untypedMessage(0x3_00_00, new TextEncoder().encode('user\0app\0')), 'E08P01'],
			[untypedMessage(0x3_00_00, Uint8Array.of(0)), 'E08000'],
			[startUp({}, 0x2_00_00), 'E08P01'],
			[untypedMessage(80_877_102), ''],
		];
		for (const [bytes, expected] of cases) {
			expect([bytes, await bench.connectRaw().send(bytes).readToClose()]).toEqual([bytes, expected]);
		}

		await expectServing(bench);
	});

	it('offers its own minor version to later protocols, and declines encryption that it has not', async () => {
		const bench = await startHarness();
		const frames = await bench.connectRaw().send(startUp({}, 0x3_00_02)).read();
		expect(frames).toEqual('v R S S S S S S S S S K ZI');
		const caller = bench.connectRaw();
		caller.send(untypedMessage(80_877_104));
		caller.socket.once('data', () => {
			caller.send(untypedMessage(80_877_103));
		});
		const declined = new Promise<number>(resolve => {
			let bytes = 0;
			caller.socket.on('data', chunk => {
				bytes += chunk.length;
				if (bytes === 2) {
					resolve(bytes);
				}
			});
		});
		expect(await declined).toEqual(2);
	});

	it('refuses data that was sent before the TLS handshake, and survives failed handshakes', async () => {
		const bench = await startHarness({tls: testCertificate});
		expect(await bench.connectRaw().send(untypedMessage(80_877_103), startUp()).readToClose()).toEqual('E08P01');
		const caller = bench.connectRaw();
		caller.send(untypedMessage(80_877_103));
		caller.socket.once('data', () => {
			caller.send(new Uint8Array(100));
		});
		const closed = new Promise(resolve => {
			caller.socket.once('close', resolve);
		});
		await closed;
		await expectServing(bench);
	});

	it('refuses malformed messages and ends the connection', async () => {
		const bench = await startHarness({maximumMessageBytes: 1000});
		const cases: ReadonlyArray<readonly [bytes: Uint8Array, expected: string]> = [
			[Uint8Array.of(0x51, 0, 0, 0, 3), 'E08P01'],
			[Uint8Array.of(0x51, 0xFF, 0xFF, 0xFF, 0xFF), 'E54000'],
			[Uint8Array.of(0x51, 0, 0, 4, 0), 'E54000'],
			[message('Q', new TextEncoder().encode('select 1')), 'E08P01'],
			[message('Q', new TextEncoder().encode('select 1\0; listen a\0')), 'E08P01'],
			[message('Q'), 'E08P01'],
			[message('P', 's'), 'E08P01'],
			[message('B', Uint8Array.of(1)), 'E08P01'],
			[message('!'), 'E08P01'],
			[message('X'), ''],
		];
		for (const [bytes, expected] of cases) {
			const caller = await bench.startRaw();

			expect([bytes, await caller.send(bytes).readToClose()]).toEqual([bytes, expected]);
		}

		expect(bench.router.ran).toEqual([]);
		await expectServing(bench);
	});

	it('refuses messages that it does not carry and goes on', async () => {
		const bench = await startHarness();
		const caller = await bench.startRaw();
		expect(await caller.send(message('F', new Uint8Array(10))).read()).toEqual('E0A000 ZI');
		caller.send(message('d', 'x'), message('c'), message('f', 'x'), message('S'));
		expect(await caller.read()).toEqual('ZI');
	});

	it('takes messages in pieces of any size', async () => {
		const bench = await startHarness();
		const caller = bench.connectRaw();
		const bytes = [...startUp(), ...message('Q', 'select 1'), ...message('Q', `select '${'x'.repeat(200)}'`)];
		const answers = caller.read(3);
		for (let offset = 0; offset < bytes.length; offset += 7) {
			await new Promise<void>(resolve => {
				caller.socket.write(Uint8Array.from(bytes.slice(offset, offset + 7)), () => {
					setImmediate(resolve);
				});
			});
		}

		expect(await answers).toEqual('R S S S S S S S S S K ZI T D C S ZI T D C S ZI');
	});

	it('survives random bytes before and after the start-up', async () => {
		const bench = await startHarness({maximumMessageBytes: 100_000});
		const code = fc.constantFrom(...'QPBDECHSXFdcfp!');
		const frame = fc.tuple(code, fc.uint8Array({maxLength: 40})).map(([name, body]) => message(name, body));
		const bytes = fc.oneof(fc.uint8Array({maxLength: 200}), fc.array(frame, {maxLength: 8}).map(frames => Uint8Array.from(frames.flatMap(part => [...part]))));
		await fc.assert(fc.asyncProperty(fc.boolean(), bytes, async (isStarted, sent) => {
			const caller = isStarted ? await bench.startRaw() : bench.connectRaw();
			caller.send(sent);
			caller.socket.end();
			await caller.readToClose();
		}), {seed: 4, numRuns: 300});
		await expectServing(bench);
	});

	it('bounds its connections and the time of start-up', async () => {
		const bench = await startHarness({maximumConnections: 1});
		const first = await bench.startRaw();
		expect(await bench.connectRaw().send(startUp()).readToClose()).toEqual('E53300');
		const closed = new Promise(resolve => {
			first.socket.once('close', resolve);
		});
		first.send(message('X'));
		await closed;
		const hasty = await startHarness({startUpTimeoutMs: 20});
		expect(await hasty.connectRaw().readToClose()).toEqual('');
		expect(await hasty.connectRaw().send(startUp().subarray(0, 6)).readToClose()).toEqual('');
	});

	it('bounds what all callers together send', async () => {
		const bench = await startHarness({maximumBufferedBytes: 10_000});
		const [first, second] = await Promise.all([bench.startRaw(), bench.startRaw()]);
		const long = message('Q', `select '${'x'.repeat(6000)}'`);
		// Each request gives its room back.
		expect(await first.send(long, long, long).read(3)).toEqual('T D C S ZI T D C S ZI T D C S ZI');
		// A message that is begun and a cycle that is not whole both take room.
		first.send(message('P', '', `select '${'x'.repeat(6000)}'`, new Uint8Array(2)), message('H'));
		await first.send(message('S')).read();
		first.send(message('P', '', `select '${'x'.repeat(6000)}'`, new Uint8Array(2)));
		const third = await bench.startRaw();
		expect(await second.send(long.subarray(0, 10)).readToClose()).toEqual('E53000');
		expect(await first.send(message('S')).read()).toEqual('1 S ZI');
		expect(await third.send(long).read()).toEqual('T D C S ZI');
	});

	it('ends callers that do not take their answers', async () => {
		const bench = await startHarness({answerStallMs: 20});
		const caller = await bench.startRaw();
		const closed = new Promise<unknown>(resolve => {
			bench.router.close = resolve;
		});
		caller.socket.pause();
		caller.send(message('Q', 'select large'));
		expect(await closed).toEqual(bench.router.ran[0]?.session);
	});
});
