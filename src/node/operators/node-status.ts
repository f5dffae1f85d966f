/**
 * Puts together the status of the system as this node sees it.
 */
import {lagEntries} from '../../common/groups/quorum.js';
import {withTimeout} from '../../common/lifecycle/timing.js';
import type {
	Clock, Configuration, GroupDefinition, GroupView, Membership, MetricName,
} from '../../common/services/services.js';
import {statusDefaults} from './constants.js';
import {findDegradations, type ObservedGroup} from './degradations.js';
import type {FailoverRecord} from './failover-record.js';
import type {GroupViewCollector} from './group-view-collector.js';
import type {ReachProbe} from './reach.js';
import type {
	EndpointStatus, GroupStatus, NodeStatus, StatusSource, SystemStatus,
} from './types.js';

/** One value of a metric. */
type MetricValue = {readonly labels: Partial<Record<string, string | number>>; readonly value: number};

/** What the status is made from. */
export type NodeStatusServices = {
	readonly configuration: Configuration;
	readonly membership: Pick<Membership, 'self' | 'hosts' | 'homeOf'> & {isSuspected(name: string): boolean};
	readonly groups: Pick<GroupViewCollector, 'refresh' | 'view'>;
	readonly reach: Pick<ReachProbe, 'nodes' | 'latest'>;
	readonly failovers: Pick<FailoverRecord, 'refresh' | 'last'>;
	readonly metrics: {values(name: MetricName): Promise<readonly MetricValue[]>};
	readonly clock: Clock;
};

/** Puts the status together for each request; what other nodes do not report in time is shown as last known. */
export class NodeStatusSource implements StatusSource {
	private readonly _services: NodeStatusServices;
	private readonly _options: typeof statusDefaults;
	/** The newest configuration version seen on any node, and since when. */
	private _newest = {version: 0, sinceMs: 0};

	constructor(services: NodeStatusServices, options: Partial<typeof statusDefaults> = {}) {
		this._services = services;
		this._options = {...statusDefaults, ...options};
	}

	async read(): Promise<SystemStatus> {
		const {clock, groups, reach, failovers, configuration, membership} = this._services;
		const asked = Promise.all([reach.nodes(), groups.refresh(), failovers.refresh()]);
		await withTimeout(clock, asked, this._options.waitMs);
		const {name, availabilityZone} = membership.self;
		const observedGroups = configuration.groups().map(definition => this._observe(definition));
		const nodes = this._nodes();
		return {
			node: {name, availabilityZone},
			configurationVersion: configuration.version,
			groups: observedGroups.map(({status}) => status),
			nodes,
			replicaReadShare: await this._replicaReadShare(),
			lastFailover: failovers.last,
			degraded: findDegradations({
				groups: observedGroups,
				nodes,
				expectedVersion: this._expectedVersion(nodes),
				platformServicesDown: await this._labelsWhere('platformIsAvailable', 'service', value => value === 0),
				brokenInvariants: await this._labelsWhere('invariantViolationsTotal', 'invariant', value => value > 0),
			}),
		};
	}

	private _observe(definition: GroupDefinition): ObservedGroup {
		const view = this._services.groups.view(definition.name);
		const status: GroupStatus = {
			name: definition.name,
			service: definition.service,
			term: view?.term ?? 0,
			primary: view?.primary ?? '',
			endpoints: definition.endpoints.map(endpoint => this._endpoint(endpoint, view)),
		};
		return {definition, view, status};
	}

	private _endpoint(endpoint: GroupDefinition['endpoints'][number], view: GroupView | undefined): EndpointStatus {
		const {configuration, membership} = this._services;
		const {name, availabilityZone} = endpoint;
		const instance = view?.instances.find(other => other.endpoint === name);
		const isInstanceReachable = instance?.isReachable ?? false;
		return {
			name,
			availabilityZone,
			// The role of an unreachable instance may have changed since its last report. It is shown
			// only for the endpoint that the group's view names as primary.
			role: isInstanceReachable || name === view?.primary ? instance?.state?.role : undefined,
			isReachable: isInstanceReachable,
			isDraining: configuration.endpointPolicy(name).isDraining,
			lagEntries: lagOf(name, view),
			home: membership.homeOf(endpoint)?.name,
		};
	}

	private _nodes(): readonly NodeStatus[] {
		const {configuration, membership, reach} = this._services;
		const nodes = membership.hosts().map(({name, availabilityZone, isLeaving}) => {
			const isSelf = name === membership.self.name;
			const answered = reach.latest.get(name);
			const isReachable = isSelf || (answered === undefined ? !membership.isSuspected(name) : answered.version !== undefined);
			const configurationVersion = isSelf ? configuration.version : answered?.version;
			return {
				name, availabilityZone, isLeaving, isReachable, configurationVersion,
			};
		});
		return nodes.toSorted((a, b) => a.name < b.name ? -1 : 1);
	}

	/** The newest configuration version, once all nodes have had the time to get it; zero before. */
	private _expectedVersion(nodes: readonly NodeStatus[]): number {
		const nowMs = this._services.clock.nowMs();
		const version = Math.max(0, ...nodes.map(({configurationVersion}) => configurationVersion ?? 0));
		if (version > this._newest.version) {
			this._newest = {version, sinceMs: nowMs};
		}

		return nowMs - this._newest.sinceMs >= this._options.splitAfterMs ? this._newest.version : 0;
	}

	private async _replicaReadShare(): Promise<number | undefined> {
		const counts = await this._services.metrics.values('answeredRequestsTotal');
		const countOf = (role: string): number => counts
			.filter(({labels}) => labels.access === 'read' && labels.role === role)
			.reduce((sum, {value}) => sum + value, 0);
		const byReplicas = countOf('replica');
		const all = byReplicas + countOf('primary');
		return all === 0 ? undefined : byReplicas / all;
	}

	private async _labelsWhere(metric: MetricName, label: string, isWanted: (value: number) => boolean): Promise<readonly string[]> {
		const values = await this._services.metrics.values(metric);
		return values.filter(({value}) => isWanted(value)).map(({labels}) => String(labels[label]));
	}
}

/** Entries that a replica has not applied of those that the primary last reported; undefined if the reports are not comparable. */
function lagOf(endpoint: string, view: GroupView | undefined): number | undefined {
	const stateOf = (name: string) => view?.instances.find(instance => instance.endpoint === name)?.state;
	const state = stateOf(endpoint);
	const target = view && stateOf(view.primary);
	if (!state || !target || endpoint === view.primary) {
		return undefined;
	}

	// The two instances do not report at the same moment: a replica's report may be later, and its position ahead.
	const entries = Math.max(0, lagEntries(state.applied, target.received));
	return Number.isFinite(entries) ? entries : undefined;
}
