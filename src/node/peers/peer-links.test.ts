import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../../common/errors/error-kinds.js';
import type {HomeRequest} from '../../common/services/services.js';
import {
	endWith, waitUntil, hostNamed, LinkPair, TcpRelay, requestWith, type ManualExecution,
} from './testing/link-pair.js';
import {PeerLinks} from './peer-links.js';
import {testTls} from './testing/tls-fixture.js';

function bytesOf(length: number, value: number): Uint8Array {
	return new Uint8Array(length).fill(value);
}

function totalLength(pieces: readonly Uint8Array[]): number {
	return pieces.reduce((sum, piece) => sum + piece.length, 0);
}

describe('PeerLinks and PeerServer', () => {
	let pair = new LinkPair();

	async function start(...options: ConstructorParameters<typeof LinkPair>): Promise<LinkPair> {
		pair = new LinkPair(...options);
		return pair.start();
	}

	afterEach(() => {
		pair.dispose();
	});

	it('transfers a request and its answer completely', async () => {
		await start();
		const request = requestWith({
			access: 'write', step: 'begin', maximumAgeMs: 12.5, priority: -3, isIdempotent: true,
		});
		const pushed: Uint8Array[] = [];
		const result = pair.execute(request, pushed);
		const running = await pair.executor.next();
		expect({...running.request, timeLeftMs: 0, frames: [...running.request.frames]}).toEqual({...request, timeLeftMs: 0, frames: [...request.frames]});
		expect(running.request.timeLeftMs).toEqual(4995);
		const end = endWith({
			isHeld: true, transactionStatus: 'open', errorSqlState: '23505', ageMs: 3, correction: {term: 4, primary: 'p', homeNode: undefined},
		});
		await running.sink.push(bytesOf(10, 1));
		await running.sink.push(bytesOf(20, 2));
		running.finish(Right(end));
		expect(await result).toEqual(Right(end));
		expect(pushed.map(piece => piece.length)).toEqual([30]);
	});

	it('transfers a refusal with the correction of the home', async () => {
		await start();
		const result = pair.execute(requestWith());
		const running = await pair.executor.next();
		const refusal = new Refusal('notHome', 'moved', {retryAfterMs: 17, correction: {term: 2, primary: undefined, homeNode: 'other'}});
		running.finish(Left(refusal));
		expect(await result).toEqual(Left(refusal));
	});

	it('sends the address of a home that the requester does not know yet', async () => {
		await start();
		const result = pair.execute(requestWith());
		const running = await pair.executor.next();
		running.finish(Left(new Refusal('notHome', 'moved', {correction: {homeNode: 'newcomer'}})));
		expect(await pair.kindOf(result)).toEqual('notHome');
		expect(pair.learned).toEqual([pair.newcomer]);
	});

	it('matches answers that arrive out of order to their requests', async () => {
		await start();
		const count = 50;
		const answers = Array.from({length: count}, async (_, index) => {
			const pushed: Uint8Array[] = [];
			const result = await pair.execute(requestWith({sessionId: `requester/1/${index}`}), pushed);
			return [result.isRight(), pushed[0][0]];
		});
		const running: ManualExecution[] = [];
		while (running.length < count) {
			running.push(await pair.executor.next());
		}

		for (const {request, sink, finish} of running.toReversed()) {
			await sink.push(bytesOf(1, Number(request.sessionId.split('/')[2])));
			finish(Right(endWith()));
		}

		expect(await Promise.all(answers)).toEqual(Array.from({length: count}, (_, index) => [true, index]));
	});

	it('sends large requests and answers in parts, at the pace of the receiver', async () => {
		await start({partBytes: 1000, windowBytes: 4000, batchBytes: 2000});
		const request = requestWith({frames: bytesOf(12_345, 7)});
		const pushed: Uint8Array[] = [];
		let releasePush = (): void => undefined;
		const sink = {
			async push(frames: Uint8Array) {
				pushed.push(frames);
				await new Promise<void>(resolve => {
					releasePush = resolve;
				});
			},
		};
		const result = pair.links.executorOf(pair.home).execute(request, sink, new AbortController().signal);
		const running = await pair.executor.next();
		expect(running.request.frames).toLooseEqual(request.frames);

		let hasRoom = false;
		const wait = async (): Promise<void> => {
			await running.sink.push(bytesOf(9000, 1));
			hasRoom = true;
		};

		const room = wait();
		const more = [bytesOf(50, 2), bytesOf(8000, 3)].map(async piece => running.sink.push(piece));
		running.finish(Right(endWith()));
		await waitUntil(() => pushed.length === 1);
		expect(pushed.map(piece => piece.length)).toEqual([9000]);
		expect(hasRoom).toEqual(false);
		const releasing = setInterval(() => {
			releasePush();
		}, 1);
		expect(await pair.kindOf(result)).toEqual('answered');
		clearInterval(releasing);
		await Promise.all([room, ...more]);
		expect(totalLength(pushed)).toEqual(17_050);
	});

	it('sends unary requests and announcements', async () => {
		await start();
		const probe = await pair.links.probe(pair.home, 500);
		expect(probe.extract()).toLooseEqual({host: pair.home, configurationVersion: 7});
		const view = await pair.links.groupView(pair.home, 'stock', 500);
		expect(view.map(({term, primary, instances}) => [term, primary, instances[0].endpoint])).toEqual(Right([3, 'stock-2', 'stock-2']));
		const changes = await pair.links.fetchChanges(pair.home, 8, 500);
		expect(changes.map(batch => batch.changes)).toEqual(Right(['after 8']));
		expect(await pair.kindOf(pair.links.fetchChanges(pair.home, 101, 500))).toEqual('peerUnavailable');
		expect(await pair.kindOf(pair.links.handOver(pair.home, 'stock-1', 500))).toEqual('answered');
		pair.links.announcePrimary(pair.home, {group: 'stock', term: 4, primary: 'stock-3'});
		pair.links.announceVersion(pair.home, 12);
		pair.links.announceLeaving(pair.home);
		await waitUntil(() => pair.announced.length === 4);
		expect(pair.announced).toLooseEqual(['handOver stock-1', {group: 'stock', term: 4, primary: 'stock-3'}, 'requester 12', 'requester leaves']);
	});

	it('forwards a cancel and returns the answer of the home', async () => {
		await start();
		const controller = new AbortController();
		const result = pair.execute(requestWith({access: 'write'}), [], controller);
		const running = await pair.executor.next();
		controller.abort();
		await waitUntil(() => running.signal.aborted);
		running.finish(Left(new Refusal('cancelled')));
		expect(await pair.kindOf(result)).toEqual('cancelled');
	});

	it('returns a refusal at the deadline, cancels the request, and drops the late answer', async () => {
		await start();
		const pushed: Uint8Array[] = [];
		const result = pair.execute(requestWith({access: 'write', timeLeftMs: 300}), pushed);
		const running = await pair.executor.next();
		await pair.clock.advance(300);
		expect(await pair.kindOf(result)).toEqual('outcomeUnknown');
		await waitUntil(() => running.signal.aborted);
		await running.sink.push(bytesOf(3, 3));
		running.finish(Right(endWith()));
		await waitUntil(() => pair.counted.includes('peerAnswersDroppedTotal:late'));
		expect(pushed).toEqual([]);
	});

	it('refuses requests beyond the limit at once', async () => {
		await start({maximumInProgress: 2});
		const first = pair.execute(requestWith());
		const second = pair.execute(requestWith());
		expect(await pair.kindOf(pair.execute(requestWith()))).toEqual('overloaded');
		const running = [await pair.executor.next(), await pair.executor.next()];
		for (const {finish} of running) {
			finish(Right(endWith()));
		}

		expect([await pair.kindOf(first), await pair.kindOf(second)]).toEqual(['answered', 'answered']);
	});

	const linkLosses: ReadonlyArray<[name: string, request: Partial<HomeRequest>, hasPushed: boolean, kind: string]> = [
		['a read', {}, false, 'peerUnavailable'],
		['a read with an answer begun', {}, true, 'answerCutShort'],
		['a write', {access: 'write'}, false, 'outcomeUnknown'],
		['a write with an answer begun', {access: 'write'}, true, 'outcomeUnknown'],
		['a statement of a transaction', {access: 'write', isInTransaction: true}, false, 'transactionLost'],
		['a commit', {access: 'write', isInTransaction: true, step: 'commit'}, false, 'outcomeUnknown'],
	];
	async function loseLinkDuring(changes: Partial<HomeRequest>, hasPushed: boolean): Promise<string> {
		await start();
		const pushed: Uint8Array[] = [];
		const result = pair.execute(requestWith(changes), pushed);
		const running = await pair.executor.next();
		if (hasPushed) {
			await running.sink.push(bytesOf(5, 1));
			await waitUntil(() => pushed.length > 0);
		}

		pair.server.dispose();
		expect(running.signal.aborted).toEqual(true);
		return pair.kindOf(result);
	}

	for (const [name, changes, hasPushed, kind] of linkLosses) {
		it(`reports what is known when the link to the home is lost during ${name}`, async () => {
			expect(await loseLinkDuring(changes, hasPushed)).toEqual(kind);
		});
	}

	it('reports a request as not run when the peer cannot be reached, and backs off', async () => {
		await start();
		const nowhere = hostNamed('home', 1);
		const attempt = async (): Promise<string> => pair.kindOf(pair.execute(requestWith({access: 'write'}), [], {host: nowhere}));
		expect(await attempt()).toEqual('peerUnavailable');
		expect(pair.reports).toEqual([false]);
		expect(await attempt()).toEqual('peerUnavailable');
		expect(pair.reports).toEqual([false]);
		await pair.clock.advance(51);
		expect(await attempt()).toEqual('peerUnavailable');
		expect(pair.reports).toEqual([false, false]);
	});

	it('does not accept another host at the address of the peer', async () => {
		await start();
		const other = hostNamed('previous', pair.home.peerPort);
		expect(await pair.kindOf(pair.links.probe(other, 500))).toEqual('peerUnavailable');
	});

	it('detects a silent peer on both sides, on the requesting side within a second', async () => {
		await start();
		const relay = new TcpRelay(pair.home.peerPort);
		await relay.listen();
		const host = {...pair.home, peerPort: relay.port};
		const result = pair.execute(requestWith({access: 'write', timeLeftMs: 60_000}), [], {host});
		const running = await pair.executor.next();
		relay.silence();
		const startMs = pair.clock.nowMs();
		expect(await pair.kindOf(pair.clock.advanceUntil(result))).toEqual('outcomeUnknown');
		expect(pair.clock.nowMs() - startMs <= 1000).toEqual(true);
		await pair.clock.advance(2500);
		expect(running.signal.aborted).toEqual(true);
		expect(pair.lost).toEqual(['requester']);
		relay.dispose();
	});

	it('reports a peer as lost before its next link is served', async () => {
		await start();
		const first = pair.execute(requestWith());
		const running = await pair.executor.next();
		running.finish(Right(endWith({isHeld: true})));
		await first;
		const again = new PeerLinks(pair.servicesOf(hostNamed('requester', 0, {incarnation: '2'})));
		const second = again.probe(pair.home, 500);
		expect(await pair.kindOf(second)).toEqual('answered');
		expect(pair.lost).toEqual(['requester']);
		again.dispose();
	});

	it('closes an idle link, but not while a session holds a transaction', async () => {
		await start();
		const held = pair.execute(requestWith());
		const running = await pair.executor.next();
		running.finish(Right(endWith({isHeld: true})));
		await held;
		await pair.clock.advance(200_000);
		expect(pair.lost).toEqual([]);
		pair.links.executorOf(pair.home).release('stock', 'stock-1', 'requester/1/1');
		await pair.clock.advance(60_000);
		await waitUntil(() => pair.lost.length === 1);
		expect(pair.executor.released).toEqual(['requester/1/1']);
		expect(pair.reports.includes(false)).toEqual(false);
		expect(pair.clock.pendingTimers).toEqual(0);
	});

	it('drains without interrupting requests in progress', async () => {
		await start();
		const result = pair.execute(requestWith({access: 'write'}));
		const running = await pair.executor.next();
		const drained = pair.server.drain(10_000);
		// Unary requests are still answered until the closing message of the peer has arrived.
		for (let kind = ''; kind !== 'peerUnavailable';) {
			kind = await pair.kindOf(pair.links.probe(pair.home, 500));
		}

		running.finish(Right(endWith()));
		expect(await pair.kindOf(result)).toEqual('answered');
		await drained;
		expect(await pair.kindOf(pair.execute(requestWith({access: 'write'})))).toEqual('peerUnavailable');
	});

	it('uses mutual TLS and refuses a peer without a certificate', async () => {
		await start({}, testTls);
		expect(await pair.kindOf(pair.links.probe(pair.home, 500))).toEqual('answered');
		const withoutCertificate = new PeerLinks(pair.servicesOf(hostNamed('requester')));
		expect(await pair.kindOf(withoutCertificate.probe(pair.home, 500))).toEqual('peerUnavailable');
		withoutCertificate.dispose();
	});
});
