/**
 * One request to a peer of the world, with the ways it can stay unanswered.
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

/** Silence after which a link is given up, as the real links count it. */
const silenceMs = peerDefaults.livenessTickMs * peerDefaults.askerSilentTicks;

/** Time beyond its own that a home is given to answer. */
const answerMarginMs = 5;

type Way = {readonly self: SimulatedProcess; readonly network: SimulatedNetwork; readonly peer: PeerEnd};

type Settle = (result: Either<Refusal, HomeEnd>, isReachable: boolean) => void;

type Asked = {readonly request: HomeRequest; readonly sink: AnswerSink; readonly signal: AbortSignal};

/** One request on its way to a peer and back. */
export class RemoteRequest {
	private readonly _self: SimulatedProcess;
	private readonly _network: SimulatedNetwork;
	private readonly _peer: PeerEnd;
	private readonly _asked: Asked;
	private readonly _settle: Settle;
	private readonly _abort = new AbortController();
	private readonly _onAbort: () => void;
	private _peerEnd: Disposable | undefined;
	private _deadline: Disposable | undefined;
	private _hasPushed = false;
	private _isSettled = false;
	private _heardMs: number;

	constructor({self, network, peer}: Way, asked: Asked, settle: Settle) {
		this._self = self;
		this._network = network;
		this._peer = peer;
		this._asked = asked;
		this._settle = settle;
		this._onAbort = () => {
			this._cancel();
		};

		this._heardMs = self.nowMs();
	}

	start(): void {
		const {request, signal} = this._asked;
		this._peerEnd = this._peer.process.onEnd(() => {
			this._network.send(this._peer.host, this._self, () => {
				this._giveUp('linkLost', 'connection reset');
			});
		});
		signal.addEventListener('abort', this._onAbort);
		this._deadline = this._self.setTimer(request.timeLeftMs + answerMarginMs, () => {
			this._cancel();
			this._giveUp('deadline', 'no answer in time');
		});
		this._watch();
		this._network.send(this._self, this._peer.host, () => {
			this._peer.process.run(() => {
				void this._run();
			});
		});
	}

	/** Runs at the peer. */
	private async _run(): Promise<void> {
		const {request} = this._asked;
		const sink: AnswerSink = {
			push: frames => {
				this._reply(() => {
					this._hasPushed = true;
					void this._asked.sink.push(frames);
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
					this._heardMs = this._self.nowMs();
					action();
				}
			});
		}
	}

	/** Pings while in progress, as the real link does: a frozen or cut peer is noticed. */
	private _watch(): void {
		if (this._isSettled) {
			return;
		}

		if (this._self.nowMs() - this._heardMs > silenceMs) {
			this._cancel();
			this._giveUp('linkLost', 'the peer is silent');
			return;
		}

		this._network.send(this._self, this._peer.host, () => {
			this._peer.process.run(() => {
				this._reply(() => undefined);
			});
		});
		this._self.setTimer(peerDefaults.livenessTickMs, () => {
			this._watch();
		});
	}

	private _cancel(): void {
		this._network.send(this._self, this._peer.host, () => {
			this._peer.process.run(() => {
				this._abort.abort();
			});
		});
	}

	private _giveUp(cause: 'linkLost' | 'deadline', detail: string): void {
		const progress = progressOf(this._asked.request, true, this._hasPushed);
		this._end(Left(unansweredRefusal(cause, progress, detail)), cause === 'deadline');
	}

	private _end(result: Either<Refusal, HomeEnd>, isReachable: boolean): void {
		if (this._isSettled) {
			return;
		}

		this._isSettled = true;
		this._peerEnd?.dispose();
		this._deadline?.dispose();
		this._asked.signal.removeEventListener('abort', this._onAbort);
		this._settle(result, isReachable);
	}
}
