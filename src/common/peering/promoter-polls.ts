/**
 * Asks the nodes that may promote an endpoint of a group whether one of them replaces the primary.
 */
import {joinKey} from '../join-key.js';
import type {PeerNode} from '../services/services.js';
import type {Fleet} from './fleet.js';
import type {PeerDirectory} from './peer-directory.js';
import type {PeeringServices} from './types.js';

type PollServices = PeeringServices & {
	readonly directory: PeerDirectory;
	readonly fleet: Fleet;
};

/** The last denials that a term of a group is being replaced. */
type Denials = {
	readonly term: number;
	/** When the request was sent that a process denied, by its name and incarnation. */
	readonly sentAtMs: ReadonlyMap<string, number>;
};

/** Dates the last denials of all of these nodes. */
export class PromoterPolls {
	private readonly _services: PollServices;
	private readonly _denials = new Map<string, Denials>();
	private readonly _pending = new Map<string, Promise<void>>();

	constructor(services: PollServices) {
		this._services = services;
	}

	/** When the earliest of the last requests was sent that all of them have denied; undefined if one has not. */
	unreplacedAtMs(service: string, term: number): number | undefined {
		const denied = this._denied(service, term);
		const times = this._peers()?.map(peer => denied?.get(keyOfProcess(peer)));
		return times === undefined || times.includes(undefined) ? undefined : Math.min(this._services.clock.nowMs(), ...times.map(Number));
	}

	/** Asks all of them; resolves when each has responded or its time is over. Callers share one round of a term at a time. */
	async refresh(service: string, term: number): Promise<void> {
		const key = joinKey(service, String(term));
		const pending = this._pending.get(key) ?? this._refresh(service, term).finally(() => {
			this._pending.delete(key);
		});
		this._pending.set(key, pending);
		await pending;
	}

	private async _refresh(service: string, term: number): Promise<void> {
		const {calls, clock, options} = this._services;
		const before = this._denied(service, term);
		const sentAtMs = new Map<string, number>();
		await Promise.all((this._peers() ?? []).map(async peer => {
			const key = keyOfProcess(peer);
			const askedAtMs = clock.nowMs();
			const answer = await calls.overview(peer, service, options.opinionTimeoutMs);
			const overview = answer.map(overviews => overviews.at(0)).toMaybe().extract();
			// A promoter discards its own proof of the term before it fences the replicas.
			const isDenied = overview?.term === term && overview.provedAgoMs !== undefined;
			const deniedAtMs = isDenied ? askedAtMs : before?.get(key);
			if (deniedAtMs !== undefined) {
				sentAtMs.set(key, deniedAtMs);
			}
		}));
		this._denials.set(service, {term, sentAtMs});
	}

	private _denied(service: string, term: number): Denials['sentAtMs'] | undefined {
		const denials = this._denials.get(service);
		return denials?.term === term ? denials.sentAtMs : undefined;
	}

	/**
	 * All registered nodes, as far as this one knows; in a large fleet the coordinators of the other zones.
	 * Undefined if a zone has none that is reachable.
	 */
	private _peers(): readonly PeerNode[] | undefined {
		const {directory, fleet, self} = this._services;
		const others = [...directory.others(), ...directory.leavingPeers()];
		if (!fleet.isLarge) {
			return others;
		}

		const coordinators = fleet.observers();
		const covered = new Set([self, ...coordinators].map(({availabilityZone}) => availabilityZone));
		return others.every(({availabilityZone}) => covered.has(availabilityZone)) ? coordinators : undefined;
	}
}

function keyOfProcess({name, incarnation}: PeerNode): string {
	return joinKey(name, incarnation);
}
