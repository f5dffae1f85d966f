/**
 * The requesting side of one link: opens the stream, sends requests and matches answers to them.
 */
import {Left, type Either} from 'purify-ts';
import {Refusal} from '../../common/errors/error-kinds.js';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import {Emitter, type Event} from '../../common/lifecycle/emitter.js';
import type {
	AnswerSink, HomeEnd, HomeRequest, Host,
} from '../../common/services/services.js';
import type {Envelope, Hello} from './generated/quetzalstream/peer.js';
import {handleBody, type BodyHandlers} from './body-handlers.js';
import {LinkWriter} from './link-writer.js';
import {LivenessMonitor, type MonitoredLink} from './liveness-monitor.js';
import {fromHost} from './message-conversion.js';
import {PendingUnaryRequest} from './pending-unary-request.js';
import {PendingExecute, type ExecuteCall} from './pending-execute.js';
import {PeerStream} from './peer-stream.js';
import {PendingRequests} from './pending-requests.js';
import type {
	Body, BodyKind, BodyOf, LinkContext, PeerOptions, PeerServices, PeerTls,
} from './types.js';

type LinkState = 'opening' | 'open' | 'closed';

function ignore(): void {
	// Deliberately empty.
}

/** How a link ended: it never opened, it was lost, or it was closed deliberately. */
export type LinkEnd = 'notOpened' | 'lost' | 'closed';

/** One link to one peer; it exists until it is lost, idle for too long or disposed. */
export class PeerLink implements LinkContext, MonitoredLink, Disposable {
	private _state: LinkState = 'opening';
	private readonly _pending: PendingRequests;
	/** Sessions that hold a transaction at the peer; the link is not closed while there are any. */
	private readonly _held = new Set<string>();
	private readonly _writer: LinkWriter;
	private readonly _liveness: LivenessMonitor;
	private readonly _stream: PeerStream;
	private _timer: Disposable;
	private _maximumInProgress: number;
	private _batchesAtTick = 0;
	/** Whether the peer is stopping: requests in progress still finish, new ones are refused. */
	private _isClosing = false;
	private readonly _onEnd = new Emitter<LinkEnd>();
	private readonly _handlers: BodyHandlers = {
		hello: hello => {
			this._onHello(hello);
		},
		pong: ignore,
		closing: () => {
			this._isClosing = true;
			this._closeIfDone();
		},
	};

	constructor(
		readonly peer: Host,
		readonly services: PeerServices,
		readonly options: PeerOptions,
		tls: PeerTls | undefined,
	) {
		this._maximumInProgress = options.maximumInProgress;
		this._pending = new PendingRequests(services.metrics);
		this._writer = new LinkWriter(options);
		this._liveness = new LivenessMonitor(services.clock, this, {tickMs: options.livenessTickMs, maximumSilentTicks: options.askerSilentTicks});
		this._stream = new PeerStream(peer, options, tls);
		this._timer = services.clock.setTimer(options.openTimeoutMs, () => {
			this.fail('the link did not open in time');
		});
		void this._run();
	}

	/** Fires once, when the link has ended and all its requests are settled. */
	get onEnd(): Event<LinkEnd> {
		return this._onEnd.event;
	}

	get isBusy(): boolean {
		return this._pending.size > 0;
	}

	/** Runs one request cycle on the peer; returns the end of the answer, or why there is none. */
	async execute(call: ExecuteCall): Promise<Either<Refusal, HomeEnd>> {
		const refusal = this._refusalOf(call);
		if (refusal) {
			return Left(refusal);
		}

		const pending = this._pending.begin(id => new PendingExecute(this, id, call));
		this._startLivenessMonitor();
		this._writer.add(pending);
		const result = await pending.result;
		this._updateHeld(call.request.sessionId, result);
		this._closeIfDone();
		return result;
	}

	/** Sends a request that has a single envelope as its answer. */
	async requestUnary<K extends BodyKind>(body: Body, answerKind: K, timeoutMs: number): Promise<Either<Refusal, BodyOf<K>['value']>> {
		const refusal = this._refusalOfAny();
		if (refusal) {
			return Left(refusal);
		}

		const pending = this._pending.begin(id => new PendingUnaryRequest(this, id, answerKind, timeoutMs));
		this._startLivenessMonitor();
		this._writer.send(this._pending.lastId, body);
		const result = await pending.result;
		this._closeIfDone();
		return result;
	}

	/** Sends a message that has no answer and may be lost; it is dropped if the send queue is too long. */
	announce(body: Body): void {
		if (this._writer.queuedSourceCount >= this.options.maximumAnnouncementsWaiting) {
			this.services.metrics.count('peerAnnouncementsDroppedTotal');
			return;
		}

		this._writer.send(0, body);
	}

	/** Makes the peer release what a session holds there. */
	release(group: string, endpoint: string, sessionId: string): void {
		this._held.delete(sessionId);
		this._writer.send(0, {$case: 'release', value: {group, endpoint, sessionId}});
		// The next call may close the link, which drops unsent messages; the peer would then keep what the session
		// holds until it notices the end of the link.
		this._writer.flush();
		this._closeIfDone();
	}

	send(requestId: number, body: Body): void {
		this._writer.send(requestId, body);
	}

	removeRequest(requestId: number): void {
		this._pending.remove(requestId);
	}

	fail(detail: string): void {
		this._close(this._state === 'opening' ? 'notOpened' : 'lost', detail);
	}

	onTick(hasReceived: boolean): void {
		if (hasReceived) {
			this.services.membership.reportReachability(this.peer.name, true);
		}

		// The peer monitors liveness as well, so a ping is also due if the peer sends but this side does not.
		if (!hasReceived || this._writer.sentBatches === this._batchesAtTick) {
			this._writer.send(0, {$case: 'ping', value: {}});
		}

		this._batchesAtTick = this._writer.sentBatches;
	}

	onSilent(): void {
		this.services.metrics.count('peerSilencesTotal');
		this.fail('the peer sent nothing within the liveness timeout');
	}

	dispose(): void {
		this._close('closed', 'the link was closed');
	}

	/** Runs the link from the handshake to its end. */
	private async _run(): Promise<void> {
		this._stream.onDrain(() => {
			this._writer.onDrain();
		});
		try {
			this._sendHello();
			for await (const batch of this._stream.batches()) {
				this._liveness.received();
				for (const envelope of batch.envelopes) {
					this._receive(envelope);
				}
			}

			this.fail('the peer closed the link');
		} catch (error) {
			this.fail(error instanceof Error ? error.message : String(error));
		}
	}

	private _sendHello(): void {
		const hello: Hello = {
			host: this.services.membership.self,
			windowBytes: this.options.windowBytes,
			maximumInProgress: this.options.maximumInProgress,
		};
		this._stream.write({envelopes: [{requestId: 0, body: {$case: 'hello', value: hello}}]});
	}

	private _receive({requestId, body}: Envelope): void {
		if (body && !handleBody(this._handlers, body, requestId)) {
			this._pending.receive(requestId, body);
		}
	}

	private _onHello(hello: Hello): void {
		const host = fromHost(hello.host);
		if (this._state !== 'opening' || !host) {
			return;
		}

		this.services.membership.learn(host);
		if (host.name !== this.peer.name) {
			this.fail(`${host.name} answers at the address of ${this.peer.name}`);
			return;
		}

		this._state = 'open';
		this._maximumInProgress = Math.min(this._maximumInProgress, hello.maximumInProgress);
		this.services.membership.reportReachability(this.peer.name, true);
		this.services.log.event('peerLinkOpened', {peer: this.peer.name});
		this._scheduleIdleCheck();
		if (this.isBusy) {
			this._liveness.start();
		}

		this._writer.start(this._stream);
	}

	private _refusalOf({request, signal}: ExecuteCall): Refusal | undefined {
		if (signal.aborted) {
			return new Refusal('cancelled');
		}

		if (request.timeLeftMs <= 0) {
			return new Refusal('deadlineExceeded');
		}

		if (request.frames.length > this.options.maximumFramesBytes) {
			return new Refusal('messageTooLarge');
		}

		// A session that holds a transaction at the peer may still finish it while the peer is stopping.
		return this._held.has(request.sessionId) ? undefined : this._refusalOfAny();
	}

	private _refusalOfAny(): Refusal | undefined {
		if (this._state === 'closed' || this._isClosing) {
			return new Refusal('peerUnavailable', `${this.peer.name} is stopping`);
		}

		if (this._pending.size >= this._maximumInProgress) {
			return new Refusal('overloaded', 'too many requests in progress to this peer');
		}

		return undefined;
	}

	private _closeIfDone(): void {
		if (this._isClosing && this._pending.size === 0 && this._held.size === 0) {
			this.dispose();
		}
	}

	private _startLivenessMonitor(): void {
		if (this._state === 'open') {
			this._liveness.start();
		}
	}

	private _updateHeld(sessionId: string, result: Either<Refusal, HomeEnd>): void {
		const isHeld = result.map(end => end.isHeld).orDefault(this._held.has(sessionId));
		if (isHeld && this._state !== 'closed') {
			this._held.add(sessionId);
		} else {
			this._held.delete(sessionId);
		}
	}

	/** Checks periodically whether the link is in use; this adds no work to single requests. */
	private _scheduleIdleCheck(): void {
		const {lastId} = this._pending;
		this._timer.dispose();
		this._timer = this.services.clock.setTimer(this.options.idleCloseMs, () => {
			const isIdle = this._pending.lastId === lastId && this._pending.size === 0 && this._held.size === 0;
			if (isIdle) {
				this.dispose();
			} else {
				this._scheduleIdleCheck();
			}
		});
	}

	private _close(end: LinkEnd, detail: string): void {
		if (this._state === 'closed') {
			return;
		}

		this._state = 'closed';
		this._timer.dispose();
		this._liveness.dispose();
		this._writer.stop();
		this._stream.close(end === 'closed' && this._pending.size === 0);
		this._pending.linkLost(`${this.peer.name}: ${detail}`);
		this._held.clear();
		this._announceEnd(end, detail);
	}

	private _announceEnd(end: LinkEnd, detail: string): void {
		if (end !== 'closed') {
			this.services.membership.reportReachability(this.peer.name, false);
			this.services.log.event('peerLinkLost', {peer: this.peer.name, end, detail});
		}

		this._onEnd.fire(end);
		this._onEnd.dispose();
	}
}
