/**
 * Which nodes hold the usage budgets of organisations, according to the division of work and to
 * which peers are reachable.
 */
import type {Event} from '../lifecycle/emitter.js';
import type {UsageHolders} from '../organisations/usage-limits.js';
import type {PeerNode} from '../services/services.js';
import type {Fleet} from './fleet.js';
import type {PeerDirectory} from './peer-directory.js';
import type {OverviewPoller} from './overview-poller.js';

type UsageHolderSources = {
	readonly directory: PeerDirectory;
	readonly fleet: Fleet;
	/** Poller of the coordinator's group overviews; undefined until the trackers of groups are connected. */
	readonly overviewPoller: () => OverviewPoller | undefined;
	/** Longest time in milliseconds since the last contact with another node for which that contact counts as recent. */
	readonly touchMs: number;
};

/** Finds the nodes that hold the budget of an organisation. */
export class FleetUsageHolders implements UsageHolders {
	readonly onDiscoveryDone: Event<void>;
	private readonly _sources: UsageHolderSources;

	constructor(sources: UsageHolderSources) {
		this.onDiscoveryDone = sources.directory.onDiscoveryDone;
		this._sources = sources;
	}

	get isDiscoveryDone(): boolean {
		return this._sources.directory.isDiscoveryDone;
	}

	get hasRecentContact(): boolean {
		const {fleet, overviewPoller: sharing, touchMs} = this._sources;
		return fleet.isAloneInZone || (sharing()?.heardAgoMs ?? Number.POSITIVE_INFINITY) <= touchMs;
	}

	/**
	 * When the present period of contact with other nodes began, on this node's clock. A node without
	 * others in its zone has had no gap: no other node can have stood in for it.
	 */
	get inContactSinceMs(): number {
		const {fleet, overviewPoller: sharing} = this._sources;
		return fleet.isAloneInZone ? Number.NEGATIVE_INFINITY : sharing()?.inContactSinceMs ?? Number.POSITIVE_INFINITY;
	}

	rankedHolders(organisation: string): readonly PeerNode[] {
		return this._sources.fleet.usageHolders(organisation);
	}

	inOtherZones(organisation: string): readonly PeerNode[] {
		return this._sources.fleet.usageHoldersInOtherZones(organisation);
	}

	isReachable(name: string): boolean {
		return this._sources.directory.isReachable(name);
	}

	reportReachability(name: string, isAnswered: boolean): void {
		this._sources.directory.reportReachability(name, isAnswered);
	}
}
