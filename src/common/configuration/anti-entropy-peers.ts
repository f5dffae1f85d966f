/**
 * The peers that a node compares itself with in turn while nothing happens.
 *
 * They are kept for a while: a random one each time would open a link for nearly every
 * comparison, which costs more than all other control together.
 */
import type {Clock, Host, Random} from '../services/services.js';

/** What the choice rests on. */
export type AntiEntropyPeerServices = {
	readonly clock: Clock;
	readonly random: Random;
	/** Hosts as the node knows them. */
	hosts(): readonly Host[];
	/** Any peer; of any zone, or of the own one where there is one. */
	randomPeer(isAnyZone: boolean): Host | undefined;
};

type KeptPeer = {readonly name: string; readonly untilMs: number};

/** One partner for each turn. */
export class AntiEntropyPeers {
	private readonly _services: AntiEntropyPeerServices;
	private readonly _keptMs: number;
	private readonly _peers = new Map<number, KeptPeer>();

	constructor(services: AntiEntropyPeerServices, keptMs: number) {
		this._services = services;
		this._keptMs = keptMs;
	}

	/** The peer of a turn; the turn zero is that of any zone. */
	peerFor(turn: number): Host | undefined {
		return this._kept(turn) ?? this._choose(turn);
	}

	/** Forgets the peer of a turn, because it did not answer. */
	drop(turn: number): void {
		this._peers.delete(turn);
	}

	private _kept(turn: number): Host | undefined {
		const {clock, hosts} = this._services;
		const partner = this._peers.get(turn);
		return partner && partner.untilMs > clock.nowMs()
			? hosts().find(host => host.name === partner.name)
			: undefined;
	}

	private _choose(turn: number): Host | undefined {
		const {clock, random, randomPeer} = this._services;
		const chosen = randomPeer(turn === 0);
		if (chosen) {
			// Nodes that started together do not all open links at the same time.
			const keptMs = this._keptMs * (0.75 + (random.next() / 2));
			this._peers.set(turn, {name: chosen.name, untilMs: clock.nowMs() + keptMs});
		}

		return chosen;
	}
}
