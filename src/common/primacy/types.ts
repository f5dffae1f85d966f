/**
 * Types of the primacy slice.
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

/** Who led a term. */
export type Primary = {
	readonly endpointId: string;
	readonly term: number;
};

/** The highest term that somebody had begun to replace when the store was at a version. */
export type KnownReplacement = {
	readonly begunTerm: number;
	readonly version: number;
};

/** Why a group needs another primary. */
export type PromotionReason = 'crashed' | 'silent' | 'vacant' | 'draining' | 'emptied'
	/** Its replacement was ordered, and nobody has seen the effect. */
	| 'ordered'
	/** Its replacement was begun by a node that neither went on nor gave up. */
	| 'abandoned';

/** What other nodes say about a primary. */
export type Opinions = {
	/** Nodes that answered, this one included. */
	readonly answered: number;
	/** Nodes that should have. */
	readonly asked: number;
	/** Those that heard from the primary a moment ago. */
	readonly heard: readonly PeerNode[];
	/** Primaries of later terms that they know. */
	readonly later: readonly Primary[];
};

/** Whether every node that may hold a lease knows that it counts no more. */
export type FenceOutcome = 'everywhere' | 'partly';

/** Who promotes, as fences and logs name it: the node and its epoch of the duty. */
export type PromoterId = {
	/** Empty where an older node did not say it. */
	readonly holder: string;
	/** Zero where an older node did not say it. */
	readonly epoch: number;
};

/** Whose word a primary was adopted on: an endpoint's own, a peer's answer, or a peer's notice. */
export type PrimaryOrigin = 'endpoint' | 'peer' | 'notice';

/** Asks the other nodes, and tells them. */
export type PrimacyPeers = {
	/** When promoters began to know of this node; it relies on no lease before. Undefined until then. */
	readonly registeredAtMs: number | undefined;
	/** Place of this node in the order in which nodes act for a service; zero acts first. */
	rank(service: string, avoidedZone: string | undefined): number;
	opinions(service: string, primary: Primary): Promise<Opinions>;
	announce(service: string, primary: Primary): void;
	/** Tells all nodes that proofs of a term count no more. */
	fence(service: string, term: number, promoter: PromoterId): Promise<FenceOutcome>;
	/** Takes that back, where the term goes on. */
	removeFence(service: string, term: number, promoter: PromoterId): Promise<void>;
};

/** How a node learns about groups from the node that asks endpoints for all. */
export type ProofSource = {
	/** Whether this node asks for all; the others ask it. */
	readonly isCoordinator: boolean;
	/** Whether nobody else may ask: there are too many nodes for each to connect to every endpoint. */
	readonly isCoordinatorOnly: boolean;
	/** Asks the asking node now, if that is another one. */
	refresh(): Promise<void>;
};

/** Asks endpoints over the nodes that connect to them. */
export type StatusSource = {
	status(endpoint: RegisteredEndpoint, timeoutMs: number): Promise<Either<StatementFault, ReportedStatus>>;
};

/** What the slice works with. */
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
	readonly sharing: ProofSource;
	/** The way of questions to endpoints where this node must not connect to them itself. */
	readonly endpointPools: StatusSource;
	readonly options: PrimacyOptions;
	/** Name of this node, as a holder of duties. */
	readonly node: string;
	readonly availabilityZone: string;
};

/** What the parts of one group work with. */
export type GroupServices = PrimacyServices & {
	readonly duties: PromotionDuties;
};
