/**
 * Chooses the peers that a node compares its configuration version with while nothing changes.
 *
 * A chosen peer is kept for a while: a random peer for each comparison would open a new link for
 * nearly every one, which costs more than all other control traffic together.
 */
import type {Clock, Host, Random} from '../services/services.js';

/** What the choice of peers needs from the rest of the node. */
export type AntiEntropyPeerServices = {
	readonly clock: Clock;
	readonly random: Random;
	/** The hosts that this node knows at present. */
	hosts(): readonly Host[];
	/** A random peer from any zone, or from the own zone if that has one; undefined when there is no peer. */
	randomPeer(isAnyZone: boolean): Host | undefined;
};

type KeptPeer = {readonly name: string; readonly untilMs: number};

/** Keeps one peer for each turn; turns are counted by the caller and repeat in a cycle. */
export class AntiEntropyPeers {
	private readonly _services: AntiEntropyPeerServices;
	private readonly _keptMs: number;
	private readonly _peers = new Map<number, KeptPeer>();

	constructor(services: AntiEntropyPeerServices, keptMs: number) {
		this._services = services;
		this._keptMs = keptMs;
	}

	/** The peer of a turn, chosen again when the kept one has expired or is gone; turn zero chooses from any zone. */
	peerFor(turn: number): Host | undefined {
		return this._kept(turn) ?? this._choose(turn);
	}

	/** Drops the peer of a turn that did not answer, so that the next call chooses another one. */
	drop(turn: number): void {
		this._peers.delete(turn);
	}

	private _kept(turn: number): Host | undefined {
		const {clock, hosts} = this._services;
		const peer = this._peers.get(turn);
		return peer && peer.untilMs > clock.nowMs()
			? hosts().find(host => host.name === peer.name)
			: undefined;
	}

	private _choose(turn: number): Host | undefined {
		const {clock, random, randomPeer} = this._services;
		const chosen = randomPeer(turn === 0);
		if (chosen) {
			// The jitter keeps nodes that started together from opening new links at the same time.
			const keptMs = this._keptMs * (0.75 + (random.next() / 2));
			this._peers.set(turn, {name: chosen.name, untilMs: clock.nowMs() + keptMs});
		}

		return chosen;
	}
}
