import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {lineDefaults} from '../../src/node/line/constants.js';
import {LineServer} from '../../src/node/line/line-server.js';
import {createMemoryStreams} from '../../src/node/line/testing/memory-streams.js';
import type {CallerStream} from '../../src/node/line/types.js';
import {databases, LineTestCluster} from './line-test-cluster.js';
import type {LineTestNode} from './line-test-cluster.js';

/** A part of a line that is longer than the protocol allows. */
const tooLong = `QUERY q WRITE x ${'x'.repeat(1_048_576)}`;

describe('a caller that sends a line that is too long', () => {
	let cluster: LineTestCluster;
	let node: LineTestNode;
	let server: LineServer;
	let caller: CallerStream;
	let received = '';

	beforeEach(async () => {
		cluster = new LineTestCluster();
		await cluster.start(1);
		[node] = cluster.nodes;
		server = new LineServer(node.sessionServices, lineDefaults);
		const streams = createMemoryStreams();
		server.serve(streams.node);
		caller = streams.caller;
		received = '';
		caller.setEncoding('latin1');
		caller.on('data', (text: string) => {
			received += text;
		});
	});

	afterEach(() => {
		server.dispose();
		caller.destroy();
		cluster.dispose();
	});

	/** Sends texts in one write each, and waits for what comes of them. */
	async function send(...texts: readonly string[]): Promise<string[]> {
		for (const text of texts) {
			caller.write(text, 'latin1');
			await cluster.clock.advance(0);
		}

		await cluster.clock.advance(50);
		return received.split('\r\n').slice(0, -1);
	}

	it('gets the answers to what it sent before, in order', async () => {
		// Guards against the refusal of a later line in place of the answer to the statement in progress.
		const lines = await send(`STARTUP ${databases.primary} u\r\n`, `QUERY a WRITE x 1\r\nQUERY b READ x\r\n${tooLong}\r\nQUERY c WRITE x 2\r\n`);
		expect(lines.slice(0, -1)).toEqual(['READY I -', 'COMPLETE i-1|', 'READY I 1.1', 'DATAROW 1', 'COMPLETE i-1|', 'READY I 1.1']);
		expect(lines.at(-1)?.startsWith('ERROR MALFORMED message exceeds')).toEqual(true);
		expect(cluster.group.instance('i-1').ran.filter(id => ['q', 'c'].includes(id))).toEqual([]);
	});

	it('is refused once, whatever it goes on to send', async () => {
		const lines = await send(`STARTUP ${databases.primary} u\r\n`, tooLong, tooLong, '\r\nQUERY c WRITE x 2\r\n', tooLong);
		expect(lines.length).toEqual(2);
		expect(lines.at(-1)?.startsWith('ERROR MALFORMED message exceeds')).toEqual(true);
		expect(node.logged('callerRefused').length).toEqual(1);
		expect(cluster.group.instance('i-1').ran.includes('c')).toEqual(false);
	});
});
