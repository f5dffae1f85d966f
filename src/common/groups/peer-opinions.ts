/**
 * What peers report about a primary that this node does not hear from.
 *
 * An answer from a node in the primary's zone distinguishes a frozen endpoint from a zone that
 * is cut off or lost. A peer that hears from the primary itself distinguishes a broken network path
 * from the loss of the primary.
 */
import {Right} from 'purify-ts';
import type {EndpointAddress, Host} from '../services/services.js';
import type {GroupState} from './group-state.js';
import type {GroupOptions, GroupServices} from './types.js';

/** Collects peer opinions in rounds, one round at a time. */
export class PeerOpinions {
	private readonly _group: GroupState;
	private readonly _services: GroupServices;
	private readonly _options: GroupOptions;
	private _primary = '';
	private _zoneLastHeardMs = 0;
	private _primaryLastHeardMs = 0;
	private _isRoundInFlight = false;

	constructor(group: GroupState, services: GroupServices, options: GroupOptions) {
		this._group = group;
		this._services = services;
		this._options = options;
	}

	/** When a node in the primary's zone was last known to be alive, in milliseconds on this node's clock; zero when unknown. */
	get zoneLastHeardMs(): number {
		return this._zoneLastHeardMs;
	}

	/** When a peer last heard from the primary, in milliseconds on this node's clock; zero when unknown. */
	get primaryLastHeardMs(): number {
		return this._primaryLastHeardMs;
	}

	/** Starts a round about the given primary, unless a round is already in flight. */
	startRound(primary: EndpointAddress | undefined): void {
		if (this._primary !== (primary?.name ?? '')) {
			this._primary = primary?.name ?? '';
			this._zoneLastHeardMs = 0;
			this._primaryLastHeardMs = 0;
		}

		if (!this._isRoundInFlight) {
			this._isRoundInFlight = true;
			void this._runRound(primary);
		}
	}

	private async _runRound(primary: EndpointAddress | undefined): Promise<void> {
		const requests = [...this._otherHomes()].map(async home => this._requestView(home));
		if (primary) {
			requests.push(...this._zoneHosts(primary).map(async host => this._probeZoneHost(host, primary)));
		}

		await Promise.all(requests);
		this._isRoundInFlight = false;
	}

	/** Requests the view of the group from the home of one of its endpoints. */
	private async _requestView(host: Host): Promise<void> {
		const {clock, peers} = this._services;
		const answer = await peers.groupView(host, this._group.name, this._options.opinionTimeoutMs);
		answer.ifRight(view => {
			if (view.primary) {
				this._group.learnPrimary({group: this._group.name, term: view.term, primary: view.primary});
			}

			const seen = view.instances.find(({endpoint}) => endpoint === this._primary);
			const isHeard = seen?.isReachable && seen.reportedAgoMs <= this._options.opinionFreshMs;
			if (isHeard && view.primary === this._primary) {
				this._primaryLastHeardMs = Math.max(this._primaryLastHeardMs, clock.nowMs() - seen.reportedAgoMs);
			}
		});
	}

	/** Checks whether a node in the primary's zone is alive. */
	private async _probeZoneHost(host: Host, primary: EndpointAddress): Promise<void> {
		const {clock, membership, peers} = this._services;
		const startedMs = clock.nowMs();
		const isSelf = host.name === membership.self.name;
		const answer = isSelf ? Right(undefined) : await peers.probe(host, this._options.opinionTimeoutMs);
		if (answer.isRight() && primary.name === this._primary) {
			this._zoneLastHeardMs = Math.max(this._zoneLastHeardMs, startedMs);
		}
	}

	/** The nodes other than this one that are homes of the group's endpoints. */
	private _otherHomes(): Iterable<Host> {
		const {membership} = this._services;
		const homes = this._group.watches.flatMap(({endpoint}) => membership.homeOf(endpoint) ?? []);
		const others = homes.filter(({name}) => name !== membership.self.name);
		return new Map(others.map(home => [home.name, home])).values();
	}

	/** Nodes to probe in the primary's zone, its home first; only this node if it is in that zone itself. */
	private _zoneHosts(primary: EndpointAddress): readonly Host[] {
		const {membership} = this._services;
		const home = membership.homeOf(primary);
		const isInZone = (host: Host): boolean => host.availabilityZone === primary.availabilityZone;
		if (isInZone(membership.self)) {
			return [membership.self];
		}

		const hosts = membership.hosts().filter(host => isInZone(host));
		return hosts
			.toSorted((a, b) => Number(b.name === home?.name) - Number(a.name === home?.name))
			.slice(0, this._options.opinionHosts);
	}
}
