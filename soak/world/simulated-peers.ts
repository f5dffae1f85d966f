/**
 * Links between nodes of the world: requests and answers cross the simulated network and
 * die with the processes at their ends.
 */
import {Left, Right, type Either} from 'purify-ts';
import {Refusal} from '../../src/common/errors/error-kinds.js';
import type {
	AnswerSink, ChangeBatch, GroupView, HomeEnd, HomeExecutor, HomeRequest, Host, Membership, PeerHandlers, PeerProbe,
	Peers, PrimaryAnnouncement,
} from '../../src/common/services/services.js';
import {RemoteRequest} from './remote-request.js';
import type {SimulatedNetwork} from './simulated-network.js';
import type {SimulatedProcess} from './simulated-process.js';

/** A node as its peers reach it. */
export type PeerEnd = {
	readonly process: SimulatedProcess;
	/** The host under it, which refuses connections to a process that is gone. */
	readonly host: SimulatedProcess;
	readonly handlers: PeerHandlers;
	readonly incarnation: string;
	/** Requests of peers that are in progress here. */
	servedCount: number;
	/** Whether it takes no new links any more. */
	readonly isClosing: boolean;
	/** Takes in what a peer says about itself when it greets. */
	learn(host: Host): void;
};

/** Finds the node that runs under a name now. */
export type FindPeer = (name: string) => PeerEnd | undefined;

/** What the links of one node are made with. */
export type PeersOptions = {
	readonly self: SimulatedProcess;
	readonly network: SimulatedNetwork;
	readonly find: FindPeer;
	readonly membership: Membership;
	/** Changes what executes on peers, for tests. */
	readonly adjust?: (executor: HomeExecutor) => HomeExecutor;
};

/** The links of one node. */
export class SimulatedPeers implements Peers {
	private readonly _self: SimulatedProcess;
	private readonly _network: SimulatedNetwork;
	private readonly _find: FindPeer;
	private readonly _membership: Membership;
	/** Peers that this node has a link to, by name; the value is the peer's process. */
	private readonly _linked = new Map<string, SimulatedProcess>();
	private readonly _adjust: (executor: HomeExecutor) => HomeExecutor;

	constructor({self, network, find, membership, adjust}: PeersOptions) {
		this._self = self;
		this._network = network;
		this._find = find;
		this._membership = membership;
		this._adjust = adjust ?? (executor => executor);
	}

	executorOf(host: Host): HomeExecutor {
		return this._adjust({
			execute: async (request, sink, signal) => this._execute(host, request, sink, signal),
			release: (group, endpoint, sessionId) => {
				this._tell(host, peer => {
					peer.handlers.executor.release(group, endpoint, sessionId);
				});
			},
		});
	}

	async groupView(host: Host, group: string, timeoutMs: number): Promise<Either<Refusal, GroupView>> {
		return this._ask(host, timeoutMs, async peer => peer.handlers.groupView(group));
	}

	async probe(host: Host, timeoutMs: number): Promise<Either<Refusal, PeerProbe>> {
		return this._ask(host, timeoutMs, async peer => peer.handlers.probe());
	}

	announcePrimary(host: Host, announcement: PrimaryAnnouncement): void {
		this._tell(host, peer => {
			peer.handlers.onPrimaryAnnounced(announcement);
		});
	}

	async fetchChanges(host: Host, afterNumber: number, timeoutMs: number): Promise<Either<Refusal, ChangeBatch>> {
		return this._ask(host, timeoutMs, async peer => peer.handlers.changesAfter(afterNumber));
	}

	announceVersion(host: Host, version: number): void {
		this._tell(host, peer => {
			peer.handlers.onVersionAnnounced(this._self.name, version);
		});
	}

	async handOver(host: Host, endpoint: string, timeoutMs: number): Promise<Either<Refusal, void>> {
		return this._ask(host, timeoutMs, async peer => peer.handlers.handOver(endpoint));
	}

	announceLeaving(host: Host): void {
		this._tell(host, peer => {
			peer.handlers.onLeavingAnnounced(this._self.name);
		});
	}

	dispose(): void {
		for (const name of this._linked.keys()) {
			const peer = this._find(name);
			if (peer) {
				this._network.send(this._self, peer.host, () => {
					peer.process.run(() => {
						peer.handlers.onPeerLost(this._self.name);
					});
				});
			}
		}

		this._linked.clear();
	}

	private _tell(host: Host, action: (peer: PeerEnd) => void): void {
		const peer = this._find(host.name);
		if (!peer) {
			return;
		}

		this._link(peer);
		this._network.send(this._self, peer.host, () => {
			peer.process.run(() => {
				action(peer);
			});
		});
	}

	/** The peer learns when this process ends; that is when it lets go of its sessions. */
	private _link(peer: PeerEnd): void {
		if (this._linked.get(peer.process.name) === peer.process) {
			return;
		}

		this._linked.set(peer.process.name, peer.process);
		const {self} = this._membership;
		this._network.send(this._self, peer.host, () => {
			peer.process.run(() => {
				peer.learn(self);
			});
		});
		this._self.onEnd(() => {
			this._network.send(this._self, peer.host, () => {
				peer.process.run(() => {
					peer.handlers.onPeerLost(this._self.name);
				});
			});
		});
	}

	private async _ask<T>(host: Host, timeoutMs: number, answer: (peer: PeerEnd) => Promise<T>): Promise<Either<Refusal, T>> {
		const peer = this._find(host.name);
		return new Promise(resolve => {
			const settle = (result: Either<Refusal, T>, isReachable: boolean) => {
				timer.dispose();
				this._membership.reportReachability(host.name, isReachable);
				resolve(result);
			};

			const timer = this._self.setTimer(timeoutMs, () => {
				settle(Left(new Refusal('peerUnavailable', 'no answer in time')), false);
			});
			if (!peer) {
				this._self.setTimer(1, () => {
					settle(Left(new Refusal('peerUnavailable', 'connection refused')), false);
				});
				return;
			}

			this._link(peer);
			this._network.send(this._self, peer.host, () => {
				peer.process.run(() => {
					void this._answerBack(peer, answer, value => {
						settle(Right(value), true);
					});
				});
			});
		});
	}

	private async _answerBack<T>(peer: PeerEnd, answer: (peer: PeerEnd) => Promise<T>, deliver: (value: T) => void): Promise<void> {
		const value = await answer(peer);
		if (peer.process.isAlive) {
			this._network.send(peer.process, this._self, () => {
				deliver(value);
			});
		}
	}

	private async _execute(host: Host, request: HomeRequest, sink: AnswerSink, signal: AbortSignal): Promise<Either<Refusal, HomeEnd>> {
		const peer = this._find(host.name);
		if (!peer || peer.isClosing) {
			this._membership.reportReachability(host.name, false);
			return Left(new Refusal('peerUnavailable', 'connection refused'));
		}

		this._link(peer);
		return new Promise(resolve => {
			const settle = (result: Either<Refusal, HomeEnd>, isReachable: boolean) => {
				this._membership.reportReachability(host.name, isReachable);
				resolve(result);
			};

			new RemoteRequest({self: this._self, network: this._network, peer}, {request, sink, signal}, settle).start();
		});
	}
}
