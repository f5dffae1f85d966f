/**
 * One request to a peer of the world, and the ways in which it can remain unanswered.
 */
import {Left, type Either} from 'purify-ts';
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import type {Refusal} from '../../src/common/errors/error-kinds.js';
import type {AnswerSink, HomeEnd, HomeRequest} from '../../src/common/services/services.js';
import {peerDefaults} from '../../src/node/peers/constants.js';
import {progressOf, unansweredRefusal} from '../../src/node/peers/unanswered.js';
import type {SimulatedNetwork} from './simulated-network.js';
import type {PeerEnd} from './simulated-peers.js';
import type {SimulatedProcess} from './simulated-process.js';

/** Time without contact after which a link counts as lost, as for the real links, in milliseconds. */
const silenceMs = peerDefaults.livenessTickMs * peerDefaults.askerSilentTicks;

/** Time that the home is given to answer beyond the deadline of the request, in milliseconds. */
const answerMarginMs = 5;

type RequestPath = {readonly self: SimulatedProcess; readonly network: SimulatedNetwork; readonly peer: PeerEnd};

type Settle = (result: Either<Refusal, HomeEnd>, isReachable: boolean) => void;

type RequestParts = {readonly request: HomeRequest; readonly sink: AnswerSink; readonly signal: AbortSignal};

/** One request in flight to a peer. */
export class RemoteRequest {
	private readonly _self: SimulatedProcess;
	private readonly _network: SimulatedNetwork;
	private readonly _peer: PeerEnd;
	private readonly _parts: RequestParts;
	private readonly _settle: Settle;
	private readonly _abort = new AbortController();
	private readonly _onAbort: () => void;
	private _peerEnd: Disposable | undefined;
	private _deadline: Disposable | undefined;
	private _hasPushed = false;
	private _isSettled = false;
	private _lastHeardMs: number;

	constructor({self, network, peer}: RequestPath, parts: RequestParts, settle: Settle) {
		this._self = self;
		this._network = network;
		this._peer = peer;
		this._parts = parts;
		this._settle = settle;
		this._onAbort = () => {
			this._cancel();
		};

		this._lastHeardMs = self.nowMs();
	}

	start(): void {
		const {request, signal} = this._parts;
		this._peerEnd = this._peer.process.onEnd(() => {
			this._network.send(this._peer.host, this._self, () => {
				this._fail('linkLost', 'connection reset');
			});
		});
		signal.addEventListener('abort', this._onAbort);
		this._deadline = this._self.setTimer(request.timeLeftMs + answerMarginMs, () => {
			this._cancel();
			this._fail('deadline', 'no answer in time');
		});
		this._ping();
		this._network.send(this._self, this._peer.host, () => {
			this._peer.process.run(() => {
				void this._run();
			});
		});
	}

	/** Executes the request at the peer. */
	private async _run(): Promise<void> {
		const {request} = this._parts;
		const sink: AnswerSink = {
			push: frames => {
				this._reply(() => {
					this._hasPushed = true;
					void this._parts.sink.push(frames);
				});
			},
		};
		this._peer.servedCount += 1;
		const result = await this._peer.handlers.executor.execute(request, sink, this._abort.signal);
		this._peer.servedCount -= 1;
		this._reply(() => {
			this._end(result, true);
		});
	}

	private _reply(action: () => void): void {
		if (this._peer.process.isAlive) {
			this._network.send(this._peer.process, this._self, () => {
				if (!this._isSettled) {
					this._lastHeardMs = this._self.nowMs();
					action();
				}
			});
		}
	}

	/** Pings the peer while the request is in progress, as the real link does, to detect a frozen or unreachable peer. */
	private _ping(): void {
		if (this._isSettled) {
			return;
		}

		if (this._self.nowMs() - this._lastHeardMs > silenceMs) {
			this._cancel();
			this._fail('linkLost', 'the peer is silent');
			return;
		}

		this._network.send(this._self, this._peer.host, () => {
			this._peer.process.run(() => {
				this._reply(() => undefined);
			});
		});
		this._self.setTimer(peerDefaults.livenessTickMs, () => {
			this._ping();
		});
	}

	private _cancel(): void {
		this._network.send(this._self, this._peer.host, () => {
			this._peer.process.run(() => {
				this._abort.abort();
			});
		});
	}

	private _fail(cause: 'linkLost' | 'deadline', detail: string): void {
		const progress = progressOf(this._parts.request, true, this._hasPushed);
		this._end(Left(unansweredRefusal(cause, progress, detail)), cause === 'deadline');
	}

	private _end(result: Either<Refusal, HomeEnd>, isReachable: boolean): void {
		if (this._isSettled) {
			return;
		}

		this._isSettled = true;
		this._peerEnd?.dispose();
		this._deadline?.dispose();
		this._parts.signal.removeEventListener('abort', this._onAbort);
		this._settle(result, isReachable);
	}
}
