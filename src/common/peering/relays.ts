/**
 * Relays around a network partition: while this node cannot reach a primary that another node still
 * hears from, it forwards statements through that node.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {AnswerTimes} from '../pools/answer-times.js';
import type {PoolOptions} from '../pools/constants.js';
import type {StatementPool} from '../pools/types.js';
import type {PrimaryTrackers} from '../primacy/primary-trackers.js';
import type {PrimaryTracker} from '../primacy/primary-tracker.js';
import type {Opinions, PrimacyPeers} from '../primacy/types.js';
import type {PeerCalls, PeerNode, RegisteredEndpoint} from '../services/services.js';
import {RemotePool} from './remote-pool.js';
import type {PeeringServices} from './types.js';

type Relay = {
	readonly pool: RemotePool;
	readonly term: number;
	/** Time from which a newer relay is searched for; this one expires `relayForMs` later. */
	refreshAtMs: number;
};

type RelayServices = PeeringServices & {
	readonly peers: PrimacyPeers;
	readonly calls: PeerCalls;
	readonly poolOptions: PoolOptions;
};

/** Finds a relay for each group whose primary is out of reach, and caches it for a limited time. */
export class Relays implements Disposable {
	private readonly _services: RelayServices;
	private readonly _relays = new Map<string, Relay>();
	private readonly _searches = new Map<string, Promise<void>>();
	/** By group: until when no relay is searched for after a search has found none. */
	private readonly _noRelayUntilMs = new Map<string, number>();

	constructor(services: RelayServices, trackers: PrimaryTrackers) {
		this._services = services;
		trackers.onPrimaryFault(group => {
			this._searchIfDue(group);
		});
	}

	/** The pool that reaches a group's primary through another node; undefined if no relay is known. */
	primaryPool(group: PrimaryTracker): StatementPool | undefined {
		const relay = this._relays.get(group.service);
		const nowMs = this._services.clock.nowMs();
		if (!relay || relay.term !== group.primary?.term) {
			this._searchIfDue(group);
			return undefined;
		}

		if (nowMs >= relay.refreshAtMs) {
			// The relay stays in use while a newer one is searched for.
			this._searchIfDue(group);
		}

		return nowMs < relay.refreshAtMs + this._services.options.relayForMs ? relay.pool : undefined;
	}

	/** Drops a group's relay because it gave no answer. */
	dropRelay(service: string): void {
		this._relays.delete(service);
	}

	dispose(): void {
		this._relays.clear();
	}

	private _searchIfDue(group: PrimaryTracker): void {
		const {service, primary} = group;
		const nowMs = this._services.clock.nowMs();
		const isKnown = (this._relays.get(service)?.refreshAtMs ?? 0) > nowMs;
		if (!primary || isKnown || this._searches.has(service) || (this._noRelayUntilMs.get(service) ?? 0) > nowMs) {
			return;
		}

		this._searches.set(service, this._search(group).finally(() => {
			this._searches.delete(service);
		}));
	}

	private async _search(group: PrimaryTracker): Promise<void> {
		const {clock, peers, options, log} = this._services;
		const {service, primary} = group;
		if (!primary) {
			return;
		}

		const opinions = await peers.opinions(service, primary);
		for (const later of opinions.later) {
			group.learnPrimary(later, 'peer');
		}

		const endpoint = group.primaryEndpoint;
		const peer = this._chooseRelay(opinions, endpoint?.availabilityZone);
		if (!peer || !endpoint || group.primary?.term !== primary.term) {
			this._relays.delete(service);
			this._noRelayUntilMs.set(service, clock.nowMs() + options.relayRetryMs);
			return;
		}

		log.event('relayChosen', {
			group: service, primary: endpoint.id, term: primary.term, peer: peer.name, heard: opinions.heard.length, asked: opinions.asked,
		});
		this._relays.set(service, {
			pool: this._createRelayPool(peer, endpoint),
			term: primary.term,
			refreshAtMs: clock.nowMs() + options.relayForMs,
		});
	}

	private _createRelayPool(peer: PeerNode, endpoint: RegisteredEndpoint): RemotePool {
		const {clock, calls, poolOptions} = this._services;
		return new RemotePool({
			endpoint,
			peer,
			calls,
			clock,
			times: new AnswerTimes(clock, poolOptions),
			// There is no other pool to prefer: a relay that gives no answer is dropped and replaced.
			avoidMs: 0,
			onPeerLost: () => {
				this.dropRelay(endpoint.service);
			},
		});
	}

	/** A random one of the peers in the zone of the primary or of this node, so that load spreads; any peer if there is none. */
	private _chooseRelay({heard}: Opinions, primaryZone: string | undefined): PeerNode | undefined {
		const {random, self} = this._services;
		const nearby = heard.filter(({availabilityZone}) => availabilityZone === self.availabilityZone || availabilityZone === primaryZone);
		const candidates = nearby.length > 0 ? nearby : heard;
		return candidates[Math.floor(random.next() * candidates.length)];
	}
}
