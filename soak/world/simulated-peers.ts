/**
 * Links between nodes of the world: requests and answers cross the simulated network, and are lost
 * when the process at either end is killed.
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

/** A node as its peers see it. */
export type PeerEnd = {
	readonly process: SimulatedProcess;
	/** The host on which it runs, which refuses connections to a process that has ended. */
	readonly host: SimulatedProcess;
	readonly handlers: PeerHandlers;
	readonly incarnation: string;
	/** Number of requests of peers that are in progress on this node. */
	servedCount: number;
	/** Whether it accepts no more links. */
	readonly isClosing: boolean;
	/** Records what a peer says about itself when it connects. */
	learn(host: Host): void;
};

/** Finds the node that currently runs under a name; undefined if none does. */
export type FindPeer = (name: string) => PeerEnd | undefined;

/** Parameters of the links of one node. */
export type PeersOptions = {
	readonly self: SimulatedProcess;
	readonly network: SimulatedNetwork;
	readonly find: FindPeer;
	readonly membership: Membership;
	/** Replaces the executor for peers, for tests. */
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
				this._notify(host, peer => {
					peer.handlers.executor.release(group, endpoint, sessionId);
				});
			},
		});
	}

	async groupView(host: Host, group: string, timeoutMs: number): Promise<Either<Refusal, GroupView>> {
		return this._request(host, timeoutMs, async peer => peer.handlers.groupView(group));
	}

	async probe(host: Host, timeoutMs: number): Promise<Either<Refusal, PeerProbe>> {
		return this._request(host, timeoutMs, async peer => peer.handlers.probe());
	}

	announcePrimary(host: Host, announcement: PrimaryAnnouncement): void {
		this._notify(host, peer => {
			peer.handlers.onPrimaryAnnounced(announcement);
		});
	}

	async fetchChanges(host: Host, afterNumber: number, timeoutMs: number): Promise<Either<Refusal, ChangeBatch>> {
		return this._request(host, timeoutMs, async peer => peer.handlers.changesAfter(afterNumber));
	}

	announceVersion(host: Host, version: number): void {
		this._notify(host, peer => {
			peer.handlers.onVersionAnnounced(this._self.name, version);
		});
	}

	async handOver(host: Host, endpoint: string, timeoutMs: number): Promise<Either<Refusal, void>> {
		return this._request(host, timeoutMs, async peer => peer.handlers.handOver(endpoint));
	}

	announceLeaving(host: Host): void {
		this._notify(host, peer => {
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

	private _notify(host: Host, action: (peer: PeerEnd) => void): void {
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

	/** Introduces this node to the peer, and notifies the peer when this process ends, so that it releases the sessions. */
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

	private async _request<T>(host: Host, timeoutMs: number, answer: (peer: PeerEnd) => Promise<T>): Promise<Either<Refusal, T>> {
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
					void this._reply(peer, answer, value => {
						settle(Right(value), true);
					});
				});
			});
		});
	}

	private async _reply<T>(peer: PeerEnd, answer: (peer: PeerEnd) => Promise<T>, deliver: (value: T) => void): Promise<void> {
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
