import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {HomeRequest} from '../../common/services/services.js';
import {settle} from '../../common/testing/virtual-clock.js';
import {peerDefaults} from './constants.js';
import {toAnswerEnd} from './message-conversion.js';
import {PendingExecute} from './pending-execute.js';
import {
	endWith, hostNamed, LinkPair, requestWith,
} from './testing/link-pair.js';
import type {Body} from './types.js';

function chunk(length: number, sequence: number): Body {
	return {$case: 'answerChunk', value: {frames: new Uint8Array(length), sequence, hasMore: false}};
}

function refused(kind: string): Body {
	return {
		$case: 'refused', value: {
			kind, detail: '', retryAfterMs: 0, correction: undefined, homeHost: undefined,
		},
	};
}

function setUp(changes: Partial<HomeRequest> = {}) {
	const pair = new LinkPair();
	const sent: string[] = [];
	const failures: string[] = [];
	const pushed: number[] = [];
	const controller = new AbortController();
	const services = pair.servicesOf(hostNamed('requester'));
	const link = {
		services,
		options: {...peerDefaults, partBytes: 100},
		send(_id: number, body: Body) {
			sent.push(body.$case);
		},
		removeRequest() {
			// Not checked by these tests.
		},
		fail(detail: string) {
			failures.push(detail);
		},
	};
	const sink = {
		push(frames: Uint8Array) {
			pushed.push(frames.length);
		},
	};
	const pending = new PendingExecute(link, 1, {request: requestWith(changes), sink, signal: controller.signal});
	const kind = async (): Promise<string> => pair.kindOf(pending.result);
	return {
		pending, sent, failures, pushed, controller, kind, clock: pair.clock,
	};
}

describe('PendingExecute', () => {
	it('fails the link when a piece of the answer is missing, and pushes nothing after it', async () => {
		const {pending, failures, pushed} = setUp();
		pending.take();
		pending.receive(chunk(5, 0));
		pending.receive(chunk(6, 2));
		await settle();
		expect([pushed, failures]).toEqual([[5], ['answer out of order']]);
	});

	it('ignores a second end of the answer and fails the link', async () => {
		const {pending, failures, pushed, kind} = setUp();
		pending.take();
		pending.receive({$case: 'answerEnd', value: toAnswerEnd(endWith(), new Uint8Array(3), 0)});
		pending.receive(refused('overloaded'));
		pending.receive(chunk(4, 1));
		expect([await kind(), pushed, failures.length]).toEqual(['answered', [3], 2]);
	});

	it('does not report a refused request as not run once its answer has begun', async () => {
		const {pending, kind} = setUp();
		pending.take();
		pending.receive(chunk(5, 0));
		pending.receive(refused('overloaded'));
		expect(await kind()).toEqual('answerCutShort');
	});

	it('treats an unknown kind of refusal of a write as an unknown outcome', async () => {
		const {pending, kind} = setUp({access: 'write'});
		pending.take();
		pending.receive(refused('somethingNew'));
		expect(await kind()).toEqual('outcomeUnknown');
	});

	it('counts a request as sent only with its last part, and cancels the parts sent before', async () => {
		const {pending, sent, controller, kind} = setUp({access: 'write', frames: new Uint8Array(250)});
		expect([pending.take()?.body?.$case, pending.take()?.body?.$case, pending.hasMore]).toEqual(['execute', 'executePart', true]);
		controller.abort();
		expect([await kind(), sent, pending.hasMore, pending.take()]).toEqual(['cancelled', ['cancel'], false, undefined]);
	});

	it('waits for the answer to a cancel up to the time limit', async () => {
		const {pending, controller, kind, clock} = setUp({access: 'write'});
		pending.take();
		controller.abort();
		const kinds: string[] = [];
		const wait = async (): Promise<void> => {
			kinds.push(await kind());
		};

		const waiting = wait();
		await clock.advance(1999);
		expect(kinds).toEqual([]);
		await clock.advance(1);
		await waiting;
		expect(kinds).toEqual(['outcomeUnknown']);
	});
});
