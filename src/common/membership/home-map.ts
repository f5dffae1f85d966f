/**
 * Homes of endpoints over one state of the membership.
 */
import type {Host} from '../services/services.js';
import {hashText, highestWeight, type Candidate} from './rendezvous.js';

/** An endpoint as far as its home depends on it. */
export type EndpointInZone = {readonly name: string; readonly availabilityZone: string};

/** Finds homes among the hosts that may be one; remembers them until it is replaced. */
export class HomeMap {
	private readonly _candidates: ReadonlyArray<Candidate<Host>>;
	private readonly _candidatesByZone = new Map<string, ReadonlyArray<Candidate<Host>>>();
	private readonly _homes = new Map<string, Host | undefined>();

	/**
	 * `regionOf` tells the region of a zone, also of one that no host is left in. The host of the
	 * name `confined` stands in for no other zone.
	 */
	constructor(
		eligible: readonly Host[],
		private readonly _regionOf: (availabilityZone: string) => string | undefined,
		private readonly _maximumMemoised: number,
		private readonly _zoneBoundHost?: string,
	) {
		this._candidates = eligible.map(host => ({name: host.name, hash: hashText(host.name), value: host}));
	}

	/** The home of an endpoint; undefined when no host may be one. */
	homeOf(endpoint: EndpointInZone): Host | undefined {
		const key = `${endpoint.availabilityZone}/${endpoint.name}`;
		const known = this._homes.get(key);
		if (known) {
			return known;
		}

		const home = highestWeight(this._candidatesOf(endpoint.availabilityZone), endpoint.name);
		if (this._homes.size >= this._maximumMemoised) {
			this._homes.clear();
		}

		this._homes.set(key, home);
		return home;
	}

	/** Hosts of the zone; when it has none, of its region; when that has none, any. */
	private _candidatesOf(availabilityZone: string): ReadonlyArray<Candidate<Host>> {
		let candidates = this._candidatesByZone.get(availabilityZone);
		if (!candidates) {
			candidates = this._findCandidates(availabilityZone);
			this._candidatesByZone.set(availabilityZone, candidates);
		}

		return candidates;
	}

	private _findCandidates(availabilityZone: string): ReadonlyArray<Candidate<Host>> {
		const inZone = this._candidates.filter(({value}) => value.availabilityZone === availabilityZone);
		if (inZone.length > 0) {
			return inZone;
		}

		const region = this._regionOf(availabilityZone);
		const others = this._candidates.filter(({name}) => name !== this._zoneBoundHost);
		const inRegion = others.filter(({value}) => value.region === region);
		return inRegion.length > 0 ? inRegion : others;
	}
}
