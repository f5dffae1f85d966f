/**
 * Types of the primacy slice.
 */
import type {EndpointRegistry} from '../catalog/endpoint-registry.js';
import type {PoolSet} from '../pools/pool-set.js';
import type {
	Audit, Clock, Log, Metrics, PromotionCalls, Random, RowStore,
} from '../services/services.js';
import type {PrimacyOptions} from './constants.js';

/** Who led a term. */
export type Primary = {
	readonly endpointId: string;
	readonly term: number;
};

/** Why a group needs another primary. */
export type LossReason = 'crashed' | 'silent' | 'vacant' | 'draining';

/** What other nodes say about a primary. */
export type Opinions = {
	/** Nodes that answered, this one included. */
	readonly answered: number;
	/** Nodes that should have. */
	readonly asked: number;
	/** Those that heard from the primary a moment ago. */
	readonly heard: number;
};

/** Asks the other nodes, and tells them. */
export type PrimacyPeers = {
	/** Place of this node in the order in which nodes act for a service; zero acts first. */
	rank(service: string, avoidedZone: string | undefined): number;
	opinions(service: string, primary: Primary): Promise<Opinions>;
	announce(service: string, primary: Primary): void;
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
	readonly promotions: PromotionCalls;
	readonly peers: PrimacyPeers;
	readonly options: PrimacyOptions;
	/** Name of this node, as a holder of duties. */
	readonly node: string;
	readonly availabilityZone: string;
};
