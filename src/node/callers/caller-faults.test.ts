import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {CallerServerHarness} from './testing/caller-server-harness.js';
import {untypedMessage, message, startUp} from './testing/raw-caller.js';
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

/** Expects that the server serves a new caller and has logged no unexpected event. */
async function expectServing(harness: CallerServerHarness): Promise<void> {
	const caller = await harness.startRaw();
	expect(await caller.send(message('Q', 'select 1')).read()).toEqual('T D C S ZI');
	expect(harness.events.filter(name => name !== 'callerRefused')).toEqual(['callersListening']);
}

describe('CallerServer under faulty callers', () => {
	it('refuses malformed start-up messages', async () => {
		const harness = await startHarness();
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
			expect([bytes, await harness.connectRaw().send(bytes).readToClose()]).toEqual([bytes, expected]);
		}

		await expectServing(harness);
	});

	it('offers its own minor version to callers with a later one, and declines encryption that it does not support', async () => {
		const harness = await startHarness();
		const frames = await harness.connectRaw().send(startUp({}, 0x3_00_02)).read();
		expect(frames).toEqual('v R S S S S S S S S S K ZI');
		const caller = harness.connectRaw();
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
		const harness = await startHarness({tls: testCertificate});
		expect(await harness.connectRaw().send(untypedMessage(80_877_103), startUp()).readToClose()).toEqual('E08P01');
		const caller = harness.connectRaw();
		caller.send(untypedMessage(80_877_103));
		caller.socket.once('data', () => {
			caller.send(new Uint8Array(100));
		});
		const closed = new Promise(resolve => {
			caller.socket.once('close', resolve);
		});
		await closed;
		await expectServing(harness);
	});

	it('refuses malformed messages and ends the connection', async () => {
		const harness = await startHarness({maximumMessageBytes: 1000});
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
			const caller = await harness.startRaw();

			expect([bytes, await caller.send(bytes).readToClose()]).toEqual([bytes, expected]);
		}

		expect(harness.router.ran).toEqual([]);
		await expectServing(harness);
	});

	it('refuses unsupported messages and continues the session', async () => {
		const harness = await startHarness();
		const caller = await harness.startRaw();
		expect(await caller.send(message('F', new Uint8Array(10))).read()).toEqual('E0A000 ZI');
		caller.send(message('d', 'x'), message('c'), message('f', 'x'), message('S'));
		expect(await caller.read()).toEqual('ZI');
	});

	it('accepts messages that arrive in small pieces', async () => {
		const harness = await startHarness();
		const caller = harness.connectRaw();
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
		const harness = await startHarness({maximumMessageBytes: 100_000});
		const code = fc.constantFrom(...'QPBDECHSXFdcfp!');
		const frame = fc.tuple(code, fc.uint8Array({maxLength: 40})).map(([name, body]) => message(name, body));
		const bytes = fc.oneof(fc.uint8Array({maxLength: 200}), fc.array(frame, {maxLength: 8}).map(frames => Uint8Array.from(frames.flatMap(part => [...part]))));
		await fc.assert(fc.asyncProperty(fc.boolean(), bytes, async (isStarted, sent) => {
			const caller = isStarted ? await harness.startRaw() : harness.connectRaw();
			caller.send(sent);
			caller.socket.end();
			await caller.readToClose();
		}), {seed: 4, numRuns: 300});
		await expectServing(harness);
	});

	it('limits the number of connections and the time of start-up', async () => {
		const harness = await startHarness({maximumConnections: 1});
		const first = await harness.startRaw();
		expect(await harness.connectRaw().send(startUp()).readToClose()).toEqual('E53300');
		const closed = new Promise(resolve => {
			first.socket.once('close', resolve);
		});
		first.send(message('X'));
		await closed;
		const shortTimeout = await startHarness({startUpTimeoutMs: 20});
		expect(await shortTimeout.connectRaw().readToClose()).toEqual('');
		expect(await shortTimeout.connectRaw().send(startUp().subarray(0, 6)).readToClose()).toEqual('');
	});

	it('limits the bytes that all callers together send', async () => {
		const harness = await startHarness({maximumBufferedBytes: 10_000});
		const [first, second] = await Promise.all([harness.startRaw(), harness.startRaw()]);
		const long = message('Q', `select '${'x'.repeat(6000)}'`);
		// Each request releases its reserved bytes.
		expect(await first.send(long, long, long).read(3)).toEqual('T D C S ZI T D C S ZI T D C S ZI');
		// A partly received message and an incomplete cycle both keep their bytes reserved.
		first.send(message('P', '', `select '${'x'.repeat(6000)}'`, new Uint8Array(2)), message('H'));
		await first.send(message('S')).read();
		first.send(message('P', '', `select '${'x'.repeat(6000)}'`, new Uint8Array(2)));
		const third = await harness.startRaw();
		expect(await second.send(long.subarray(0, 10)).readToClose()).toEqual('E53000');
		expect(await first.send(message('S')).read()).toEqual('1 S ZI');
		expect(await third.send(long).read()).toEqual('T D C S ZI');
	});

	it('closes the connections of callers that do not read their answers', async () => {
		const harness = await startHarness({answerStallMs: 20});
		const caller = await harness.startRaw();
		const closed = new Promise<unknown>(resolve => {
			harness.router.close = resolve;
		});
		caller.socket.pause();
		caller.send(message('Q', 'select large'));
		expect(await closed).toEqual(harness.router.ran[0]?.session);
	});
});
