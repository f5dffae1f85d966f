/**
 * Opinions of other nodes on primaries, and notices to them about primaries and fences.
 */
import {hashText, weight} from '../membership/rendezvous.js';
import type {
	FenceOutcome, Opinions, Primary, PrimacyPeers, PromoterId,
} from '../primacy/types.js';
import type {GroupOverview, PeerNode} from '../services/services.js';
import type {Fleet} from './fleet.js';
import type {PeerDirectory} from './peer-directory.js';
import {PromoterPolls} from './promoter-polls.js';
import type {PeeringServices} from './types.js';

type Opinion = {
	readonly peer: PeerNode;
	readonly overview: GroupOverview | undefined;
};

type FenceNotice = PromoterId & {
	readonly service: string;
	readonly term: number;
	readonly isFenced: boolean;
};

/** Asks and notifies every known node; in a large fleet only the coordinators of the zones, and it notifies no node of fences. */
export class FleetPrimacyPeers implements PrimacyPeers {
	private readonly _services: PeeringServices;
	private readonly _directory: PeerDirectory;
	private readonly _fleet: Fleet;
	private readonly _promoterPolls: PromoterPolls;

	constructor(services: PeeringServices, directory: PeerDirectory, fleet: Fleet) {
		this._services = services;
		this._directory = directory;
		this._fleet = fleet;
		this._promoterPolls = new PromoterPolls({...services, directory, fleet});
	}

	get registeredAtMs(): number | undefined {
		return this._directory.registeredAtMs;
	}

	get mayNotifyAll(): boolean {
		return !this._fleet.isLarge && this._directory.others().every(({name}) => this._directory.isReachable(name));
	}

	unreplacedAtMs(service: string, term: number): number | undefined {
		return this._promoterPolls.unreplacedAtMs(service, term);
	}

	async refreshUnreplaced(service: string, term: number): Promise<void> {
		await this._promoterPolls.refresh(service, term);
	}

	rank(service: string, avoidedZone: string | undefined): number {
		const {self} = this._services;
		const nodes = this._fleet.promotionCandidates().toSorted((a, b) =>
			Number(a.availabilityZone === avoidedZone) - Number(b.availabilityZone === avoidedZone)
			|| promotionWeight(b, service) - promotionWeight(a, service));
		const index = nodes.findIndex(({name}) => name === self.name);
		return index === -1 ? nodes.length : index;
	}

	async opinions(service: string, primary: Primary): Promise<Opinions> {
		const {options} = this._services;
		const others = this._fleet.observers();
		const reachable = new Set(this._directory.reachablePeers().map(({name}) => name));
		const answered = await this._collectOpinions(service, others.filter(({name}) => reachable.has(name)));
		// Nodes that count as unreachable would delay a promotion until their requests time out. They are
		// asked only if the nodes that answered are no majority: when a partition ends, a node that was cut
		// off still counts all others as unreachable, while each of them hears from the primary.
		if ((answered.length + 1) * 2 <= others.length + 1) {
			answered.push(...await this._collectOpinions(service, others.filter(({name}) => !reachable.has(name))));
		}

		const isSamePrimary = (overview: {primaryId: string; term: number} | undefined): boolean =>
			overview?.primaryId === primary.endpointId && overview.term === primary.term;
		return {
			answered: answered.length + 1,
			asked: others.length + 1,
			heard: answered
				.filter(({overview}) => isSamePrimary(overview) && (overview?.heardAgoMs ?? Number.POSITIVE_INFINITY) <= options.relayHeardMs)
				.map(({peer}) => peer),
			later: answered.flatMap(({overview}) => overview && overview.term > primary.term ? [{endpointId: overview.primaryId, term: overview.term}] : []),
		};
	}

	announce(service: string, {endpointId, term}: Primary): void {
		const {calls, options} = this._services;
		for (const peer of this._fleet.observers()) {
			void calls.tell(peer, {
				kind: 'primary', service, endpointId, term,
			}, options.opinionTimeoutMs);
		}
	}

	/**
	 * Notifies every registered node of the fence. A node that is not notified may hold a lease of the
	 * term until the lease expires; so may, for some time after a restore of the store, a node whose
	 * registration was lost. In both cases the result is `partly`, and the promoter waits until every
	 * lease has expired.
	 *
	 * In a large fleet no node is notified and the promoter always waits: one node that does not answer
	 * leads to the wait in any case, and opening a link to each of 194 others takes a promoter longer
	 * than the wait of 0.8 s.
	 */
	async fence(service: string, term: number, promoter: PromoterId): Promise<FenceOutcome> {
		if (this._fleet.isLarge) {
			return 'partly';
		}

		const read = await this._directory.refresh();
		const isToldAll = await this._tellFence({
			service, term, isFenced: true, ...promoter,
		});
		const areAllKnown = read.isRight() && !this._services.restores.mayMissRegistrations;
		return areAllKnown && isToldAll ? 'everywhere' : 'partly';
	}

	async removeFence(service: string, term: number, promoter: PromoterId): Promise<void> {
		if (this._fleet.isLarge) {
			// A node that was notified while the fleet was small checks the store before it accepts a proof of the term again.
			return;
		}

		await this._tellFence({
			service, term, isFenced: false, ...promoter,
		});
	}

	private async _collectOpinions(service: string, peers: readonly PeerNode[]): Promise<Opinion[]> {
		const {calls, options} = this._services;
		const answers = await Promise.all(peers.map(async peer => {
			const answer = await calls.overview(peer, service, options.opinionTimeoutMs);
			this._directory.reportReachability(peer.name, answer.isRight());
			return answer.map(overviews => ({peer, overview: overviews.at(0)})).toMaybe().extract();
		}));
		return answers.filter(answer => answer !== undefined);
	}

	private async _tellFence(fence: FenceNotice): Promise<boolean> {
		const {calls, options} = this._services;
		// A node that is leaving acknowledges writes under its lease until its sessions have ended.
		const peers = [...this._directory.others(), ...this._directory.leavingPeers()];
		const answers = await Promise.all(peers.map(async peer => calls.tell(peer, {kind: 'fence', ...fence}, options.fenceTimeoutMs)));
		return answers.every(answer => answer.isRight());
	}
}

function promotionWeight({name}: PeerNode, service: string): number {
	return weight(hashText(service), hashText(name));
}
