/**
 * Types of the primacy module.
 */
import type {Either} from 'purify-ts';
import type {EndpointRegistry} from '../catalog/endpoint-registry.js';
import type {PoolSet} from '../pools/pool-set.js';
import type {ReportedStatus, StatementFault} from '../pools/types.js';
import type {
	Audit, Clock, Log, Metrics, PeerNode, PromotionCalls, Random, RegisteredEndpoint, RowStore,
} from '../services/services.js';
import type {RestoreStatus} from '../store/restore-watch.js';
import type {PrimacyOptions} from './constants.js';
import type {PromotionDuties} from './promotion-duty.js';

/** The endpoint that is or was the primary of a term. */
export type Primary = {
	readonly endpointId: string;
	readonly term: number;
};

/** The highest term whose replacement had begun when the store was at a version. */
export type KnownReplacement = {
	readonly begunTerm: number;
	readonly version: number;
};

/** Why a group needs another primary. */
export type PromotionReason = 'crashed' | 'silent' | 'vacant' | 'draining' | 'emptied'
	/** Its replacement was ordered, and no effect has been observed. */
	| 'ordered'
	/** Its replacement was begun by a node that neither completed nor cancelled it. */
	| 'abandoned';

/** Opinions of other nodes about a primary. */
export type Opinions = {
	/** Number of nodes that responded, including this one. */
	readonly answered: number;
	/** Number of nodes that should have responded. */
	readonly asked: number;
	/** Nodes that heard from the primary recently. */
	readonly heard: readonly PeerNode[];
	/** Primaries of later terms that these nodes know. */
	readonly later: readonly Primary[];
};

/** Whether every node that may hold a lease was notified that it is invalid. */
export type FenceOutcome = 'everywhere' | 'partly';

/** Identifies a promoter in fence notices and logs: the node and the epoch of its duty. */
export type PromoterId = {
	/** Empty if the notice came from an older node, which does not report it. */
	readonly holder: string;
	/** Zero if the notice came from an older node, which does not report it. */
	readonly epoch: number;
};

/** Source from which a primary was adopted: an endpoint's own status, a peer's response, or a peer's notice. */
export type PrimaryOrigin = 'endpoint' | 'peer' | 'notice';

/** Exchanges requests and notices with the other nodes. */
export type PrimacyPeers = {
	/**
	 * When this node's registration became visible to promoters; it relies on no lease before that.
	 * Undefined until then.
	 */
	readonly registeredAtMs: number | undefined;
	/** Whether a fence can be expected to reach every node. */
	readonly mayNotifyAll: boolean;
	/**
	 * When the earliest of the last requests was sent to which every node that may promote has responded that it
	 * does not replace the primary of the term; undefined if one has not responded so.
	 */
	unreplacedAtMs(service: string, term: number): number | undefined;
	/** Asks these nodes again. */
	refreshUnreplaced(service: string, term: number): Promise<void>;
	/** Rank of this node in the order in which nodes act for a service; zero acts first. */
	rank(service: string, avoidedZone: string | undefined): number;
	opinions(service: string, primary: Primary): Promise<Opinions>;
	announce(service: string, primary: Primary): void;
	/** Notifies all nodes that proofs of a term are invalid. */
	fence(service: string, term: number, promoter: PromoterId): Promise<FenceOutcome>;
	/** Notifies all nodes that the replacement of the term was cancelled. */
	removeFence(service: string, term: number, promoter: PromoterId): Promise<void>;
};

/** Gives a node the group overviews of the coordinator, which polls endpoints on behalf of all nodes. */
export type ProofSource = {
	/** Whether this node is the coordinator, which the others request overviews from. */
	readonly isCoordinator: boolean;
	/**
	 * Whether only the coordinator may poll endpoints, because there are too many nodes for each to
	 * connect to every endpoint.
	 */
	readonly isCoordinatorOnly: boolean;
	/** Requests the coordinator's overviews now; does nothing on the coordinator itself. */
	refresh(): Promise<void>;
};

/** Requests the status of endpoints through the nodes that connect to them. */
export type StatusSource = {
	status(endpoint: RegisteredEndpoint, timeoutMs: number): Promise<Either<StatementFault, ReportedStatus>>;
};

/** Dependencies of the primacy module. */
export type PrimacyServices = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly audit: Audit;
	readonly registry: EndpointRegistry;
	readonly pools: PoolSet;
	readonly store: RowStore;
	readonly restores: RestoreStatus;
	readonly promotions: PromotionCalls;
	readonly peers: PrimacyPeers;
	readonly proofSource: ProofSource;
	/** Routes status requests to endpoints that this node must not connect to itself. */
	readonly endpointPools: StatusSource;
	readonly options: PrimacyOptions;
	/** Minimum time in milliseconds from the last write of an endpoint's registration to its lapse; undefined if it is not known. */
	readonly registrationLifetimeMs: number | undefined;
	/** Name of this node as a holder of promotion duties. */
	readonly node: string;
	readonly availabilityZone: string;
};

/** Dependencies of the components that handle one group. */
export type GroupServices = PrimacyServices & {
	readonly duties: PromotionDuties;
};
