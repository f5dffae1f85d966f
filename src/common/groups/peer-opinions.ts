/**
 * What peers say about a primary that this node does not hear.
 *
 * An answer from a node in the primary's zone tells a frozen endpoint from a zone that is
 * cut off or lost. A peer that hears the primary itself tells a broken path from a loss.
 */
import {Right} from 'purify-ts';
import type {EndpointAddress, Host} from '../services/services.js';
import type {GroupState} from './group-state.js';
import type {GroupOptions, GroupServices} from './types.js';

/** Asks in rounds, one at a time. */
export class PeerOpinions {
	private readonly _group: GroupState;
	private readonly _services: GroupServices;
	private readonly _options: GroupOptions;
	private _primary = '';
	private _zoneLastHeardMs = 0;
	private _primaryLastHeardMs = 0;
	private _isAsking = false;

	constructor(group: GroupState, services: GroupServices, options: GroupOptions) {
		this._group = group;
		this._services = services;
		this._options = options;
	}

	/** When a node in the primary's zone was last known to live; zero when not known. */
	get zoneLastHeardMs(): number {
		return this._zoneLastHeardMs;
	}

	/** When a peer last heard the primary; zero when not known. */
	get primaryLastHeardMs(): number {
		return this._primaryLastHeardMs;
	}

	/** Starts a round unless one is on its way. */
	ask(primary: EndpointAddress | undefined): void {
		if (this._primary !== (primary?.name ?? '')) {
			this._primary = primary?.name ?? '';
			this._zoneLastHeardMs = 0;
			this._primaryLastHeardMs = 0;
		}

		if (!this._isAsking) {
			this._isAsking = true;
			void this._round(primary);
		}
	}

	private async _round(primary: EndpointAddress | undefined): Promise<void> {
		const asking = [...this._homes()].map(async home => this._askView(home));
		if (primary) {
			asking.push(...this._zoneHosts(primary).map(async host => this._askZone(host, primary)));
		}

		await Promise.all(asking);
		this._isAsking = false;
	}

	/** Asks a home of one of the group's endpoints what it sees. */
	private async _askView(host: Host): Promise<void> {
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

	/** Asks a node in the primary's zone whether it lives. */
	private async _askZone(host: Host, primary: EndpointAddress): Promise<void> {
		const {clock, membership, peers} = this._services;
		const startedMs = clock.nowMs();
		const isSelf = host.name === membership.self.name;
		const answer = isSelf ? Right(undefined) : await peers.probe(host, this._options.opinionTimeoutMs);
		if (answer.isRight() && primary.name === this._primary) {
			this._zoneLastHeardMs = Math.max(this._zoneLastHeardMs, startedMs);
		}
	}

	/** Homes of the group's endpoints on other nodes. */
	private _homes(): Iterable<Host> {
		const {membership} = this._services;
		const homes = this._group.watches.flatMap(({endpoint}) => membership.homeOf(endpoint) ?? []);
		const others = homes.filter(({name}) => name !== membership.self.name);
		return new Map(others.map(home => [home.name, home])).values();
	}

	/** Nodes in the primary's zone, its home first. */
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
