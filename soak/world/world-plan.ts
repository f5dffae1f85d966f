/**
 * What a world is made of, and who is told what happens in it.
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

/** Times of a graceful end. */
export type DrainTimes = {
	/** For the platform's balancer to notice that the node is leaving. */
	readonly noticeMs: number;
	/** For requests and transactions, at most. */
	readonly boundMs: number;
	/** For peers to close their links. */
	readonly linksMs: number;
};

/** Times of a graceful end where none are given. */
export const usualDrainTimes: DrainTimes = {noticeMs: 500, boundMs: 20_000, linksMs: 50};

/** Told about nodes and about changes of the configuration. */
export type ConfigurationObserver = {
	onNodeStarted(node: SimulatedNode): void;
	/** A change is being proposed; it may be in force anywhere from now on. */
	onProposed(operations: readonly Operation[]): void;
	onAccepted(change: Change, node: SimulatedNode): void;
};

/** What the world counts while it runs. */
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

/** The first change of a world's configuration: everything that the plan has. */
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
