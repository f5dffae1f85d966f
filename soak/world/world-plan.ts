/**
 * The plan of a world, and the observers of what happens in it.
 */
import type {Change, Operation} from '../../src/common/configuration/schema.js';
import type {NodeOptions} from '../../src/common/node-core.js';
import type {
	EndpointAddress, Invariants, Log, Metrics,
} from '../../src/common/services/services.js';
import type {LagDistribution} from '../../standins/endpoint/types.js';
import type {NetworkDelays} from './simulated-network.js';
import type {NodeAdjustments, SimulatedNode} from './simulated-node.js';
import type {EndpointObserver} from './work-wire.js';

/** Shape and behaviour of a world. */
export type WorldPlan = {
	readonly seed: number;
	readonly zones: readonly string[];
	readonly nodeCount: number;
	readonly groups: readonly string[];
	readonly instancesPerGroup: number;
	readonly slots: number;
	readonly connections: number;
	readonly serviceTimeMs: number;
	readonly lag: LagDistribution;
	readonly delays: NetworkDelays;
	readonly nodeOptions: NodeOptions;
	/** Rules in force from the start. */
	readonly rules: readonly Operation[];
	readonly adjustments?: NodeAdjustments;
};

/** Times of the graceful end of a node, in milliseconds. */
export type DrainTimes = {
	/** Time for the platform's load balancer to notice that the node is leaving. */
	readonly noticeMs: number;
	/** Maximum time for requests and transactions to finish. */
	readonly boundMs: number;
	/** Time for peers to close their links. */
	readonly linksMs: number;
};

/** Default times of a graceful end. */
export const usualDrainTimes: DrainTimes = {noticeMs: 500, boundMs: 20_000, linksMs: 50};

/** Notified of nodes that start and of changes to the configuration. */
export type ConfigurationObserver = {
	onNodeStarted(node: SimulatedNode): void;
	/** A change is being proposed; from now on it may be in force on any node. */
	onProposed(operations: readonly Operation[]): void;
	onAccepted(change: Change, node: SimulatedNode): void;
};

/** The observers of a world. */
export type WorldObservers = {
	readonly log: Log;
	readonly metrics: Metrics;
	readonly invariants: Invariants;
	readonly endpoints?: EndpointObserver;
	readonly configuration?: ConfigurationObserver;
};

/** Addresses of a plan's endpoints, spread over its zones. */
export function addressesOf({groups, zones, instancesPerGroup}: WorldPlan): readonly EndpointAddress[] {
	return groups.flatMap((group, groupIndex) => Array.from({length: instancesPerGroup}, (_, index) => ({
		name: `${group}-${index}`,
		group,
		availabilityZone: zones[(groupIndex + index) % zones.length],
		host: `10.1.${groupIndex}.${index + 1}`,
		port: 5432,
	})));
}

/** The first change of a world's configuration: all services, groups, endpoints and rules of the plan. */
export function firstOperationsOf({slots, connections, groups, rules}: WorldPlan, addresses: readonly EndpointAddress[]): readonly Operation[] {
	return [
		{op: 'put', kind: 'service', value: {name: 'service', labels: {}}},
		...groups.map((name): Operation => ({op: 'put', kind: 'group', value: {name, service: 'service', labels: {}}})),
		...addresses.map((address): Operation => ({
			op: 'put',
			kind: 'endpoint',
			value: {
				...address, slots, connections, labels: {},
			},
		})),
		...rules,
	];
}
