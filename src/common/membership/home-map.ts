/**
 * Homes of endpoints for one state of the membership.
 */
import {joinKey} from '../join-key.js';
import type {Host} from '../services/services.js';
import {hashText, highestWeight, type Candidate} from './rendezvous.js';

/** The properties of an endpoint on which its home depends. */
export type EndpointInZone = {readonly name: string; readonly availabilityZone: string};

/** Finds the homes of endpoints among the eligible hosts, and caches them; a change of the membership needs a new map. */
export class HomeMap {
	private readonly _candidates: ReadonlyArray<Candidate<Host>>;
	private readonly _candidatesByZone = new Map<string, ReadonlyArray<Candidate<Host>>>();
	private readonly _homes = new Map<string, Host | undefined>();

	/**
	 * `_regionOf` returns the region of a zone, also of a zone without hosts. The host named
	 * `_zoneBoundHost` becomes home only of endpoints in its own zone.
	 */
	constructor(
		eligible: readonly Host[],
		private readonly _regionOf: (availabilityZone: string) => string | undefined,
		private readonly _maximumMemoised: number,
		private readonly _zoneBoundHost?: string,
	) {
		this._candidates = eligible.map(host => ({name: host.name, hash: hashText(host.name), value: host}));
	}

	/** The home of an endpoint; undefined if no host is eligible. */
	homeOf(endpoint: EndpointInZone): Host | undefined {
		const key = joinKey(endpoint.availabilityZone, endpoint.name);
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

	/** The hosts of the zone; if it has none, those of its region; if that has none, all. */
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
