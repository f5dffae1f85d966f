import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Right} from 'purify-ts';
import {settle} from '../../common/testing/virtual-clock.js';
import {peerDefaults} from './constants.js';
import type {Envelope, Execute} from './generated/quetzalstream/peer.js';
import {LinkWriter} from './link-writer.js';
import {toExecute} from './message-conversion.js';
import {ServedRequests} from './served-requests.js';
import {endWith, ManualExecutor, requestWith} from './testing/link-pair.js';

function setUp(): {requests: ServedRequests; executor: ManualExecutor; sent: string[]; failures: string[]} {
	const options = {...peerDefaults, maximumInProgress: 2, maximumFramesBytes: 100};
	const sent: string[] = [];
	const failures: string[] = [];
	const writer = new LinkWriter(options);
	writer.start({
		write({envelopes}: {envelopes: Envelope[]}) {
			sent.push(...envelopes.map(({requestId, body}) => `${requestId} ${body?.$case === 'refused' ? body.value.kind : body?.$case}`));
			return true;
		},
	});
	const executor = new ManualExecutor();
	const requests = new ServedRequests({
		writer,
		executor,
		options,
		findHost: () => undefined,
		onBegin() {
			// Not checked by these tests.
		},
		onFailure(error) {
			failures.push(String(error));
		},
	});
	return {
		requests, executor, sent, failures,
	};
}

/** Runs what is ready, and then the flush of the writer that it scheduled. */
async function flushed(): Promise<void> {
	await settle();
	await settle();
}

function execute(length = 5, hasMore = false): Execute {
	return toExecute(requestWith(), {frames: new Uint8Array(length), hasMore, timeLeftMs: 100});
}

describe('ServedRequests', () => {
	it('refuses requests beyond the limit at once, and accepts new ones when others have ended', async () => {
		const {requests, executor, sent} = setUp();
		requests.execute(1, execute());
		requests.execute(2, execute());
		requests.execute(3, execute());
		await flushed();
		expect(sent).toEqual(['3 overloaded']);
		const running = await executor.next();
		running.finish(Right(endWith()));
		await flushed();
		requests.execute(4, execute());
		await flushed();
		expect(sent).toEqual(['3 overloaded', '1 answerEnd']);
	});

	it('runs a request in parts once it is complete, and never one that was cancelled before that', async () => {
		const {requests, executor, sent} = setUp();
		requests.execute(1, execute(10, true));
		requests.execute(2, execute(10, true));
		requests.cancel(1);
		requests.addPart(1, {frames: new Uint8Array(10), hasMore: false});
		requests.addPart(2, {frames: new Uint8Array(10), hasMore: true});
		requests.addPart(2, {frames: new Uint8Array(10), hasMore: false});
		const running = await executor.next();
		await flushed();
		expect([running.request.frames.length, sent]).toEqual([30, ['1 cancelled']]);
	});

	it('limits the total bytes of incomplete requests', async () => {
		const {requests, sent} = setUp();
		requests.execute(1, execute(60, true));
		requests.execute(2, execute(60, true));
		await flushed();
		expect(sent).toEqual(['2 overloaded']);
		requests.execute(3, execute(40, true));
		await flushed();
		expect(sent).toEqual(['2 overloaded']);
	});

	it('does not run a second request under an id that is in use', async () => {
		const {requests, executor, failures, sent} = setUp();
		requests.execute(1, execute());
		requests.execute(1, execute());
		const running = await executor.next();
		running.finish(Right(endWith()));
		await flushed();
		expect([failures.length, sent]).toEqual([1, ['1 answerEnd']]);
	});

	it('expects no messages from a requester that has cancelled its request', async () => {
		const {requests, executor} = setUp();
		requests.execute(1, execute());
		await executor.next();
		expect(requests.hasUncancelledRequests).toEqual(true);
		requests.cancel(1);
		expect(requests.hasUncancelledRequests).toEqual(false);
	});

	it('never aborts a later request by the cancel of an earlier one', async () => {
		const {requests, executor} = setUp();
		requests.windowBytes = 0;
		requests.execute(1, execute());
		const first = await executor.next();
		// Without credit the answer is not sent, so the request is still in the table when it is cancelled.
		void first.sink.push(new Uint8Array(10));
		first.finish(Right(endWith()));
		await flushed();
		requests.execute(2, execute());
		const second = await executor.next();
		requests.cancel(1);
		expect(second.signal.aborted).toEqual(false);
		requests.cancel(2);
		expect(second.signal.aborted).toEqual(true);
		second.finish(Right(endWith()));
		requests.close();
		requests.execute(3, execute());
		const third = await executor.next();
		expect(third.signal.aborted).toEqual(false);
	});
});
