/**
 * Finds what is degraded in the system from what this node knows.
 */
import type {GroupDefinition, GroupView, InstanceView} from '../../common/services/services.js';
import {majorityOf} from '../../common/groups/quorum.js';
import {statusDefaults} from './constants.js';
import type {Degradation, GroupStatus, NodeStatus} from './types.js';

/** One group as configured, as it was last seen, and as the status shows it. */
export type ObservedGroup = {
	readonly definition: GroupDefinition;
	readonly view: GroupView | undefined;
	readonly status: GroupStatus;
};

/** What the findings are made from. */
export type DegradationInputs = {
	readonly groups: readonly ObservedGroup[];
	readonly nodes: readonly NodeStatus[];
	/** The newest configuration version, once all nodes have had the time to get it; zero before. */
	readonly expectedVersion: number;
	/** Services of the platform that did not answer the last request. */
	readonly platformServicesDown: readonly string[];
	/** Invariants that did not hold on this node since it started. */
	readonly brokenInvariants: readonly string[];
};

/** All findings, the most urgent first, in a limited number of lines. */
export function findDegradations(observed: DegradationInputs): readonly Degradation[] {
	const found = [
		...observed.brokenInvariants.map(name => ({subject: 'this node', reason: `its invariant ${name} did not hold; see event 1004 in its log`})),
		...observed.groups.flatMap(group => groupFindings(group)),
		...observed.platformServicesDown.map(service => ({
			subject: 'platform', reason: `the ${service} service does not answer this node; configuration changes and the audit trail wait`,
		})),
		...nodeFindings(observed.nodes),
		...versionFindings(observed),
		...observed.groups.flatMap(group => instanceFindings(group)),
	];
	const {degradedLines} = statusDefaults;
	return found.length <= degradedLines
		? found
		: [...found.slice(0, degradedLines), {subject: 'more', reason: `${found.length - degradedLines} further findings are not listed`}];
}

function groupFindings({view, status}: ObservedGroup): readonly Degradation[] {
	const {name: subject, primary, endpoints} = status;
	if (!view) {
		return [{subject, reason: 'no node that follows the group answers this node'}];
	}

	const reached = endpoints.filter(({isReachable}) => isReachable);
	const findings: string[] = [];
	if (primary === '') {
		findings.push('no primary is known, so writes wait');
	} else if (!reached.some(({name}) => name === primary)) {
		findings.push(`its primary ${primary} cannot be reached, so writes wait until it is reachable again or replaced`);
	}

	if (reached.length < majorityOf(endpoints.length)) {
		findings.push(`only ${reached.length} of ${endpoints.length} endpoints can be reached: no write can be confirmed and no replica promoted`);
	}

	return findings.map(reason => ({subject, reason}));
}

function instanceFindings({view, status}: ObservedGroup): readonly Degradation[] {
	return (view?.instances ?? []).flatMap(instance => {
		const reason = instanceReason(instance, status);
		return reason === undefined ? [] : [{subject: instance.endpoint, reason}];
	});
}

/** The first problem of an instance; an unreachable primary is left out, since it is a finding of its group. */
function instanceReason({endpoint, isReachable, state}: InstanceView, {primary, endpoints}: GroupStatus): string | undefined {
	const lagEntries = endpoints.find(({name}) => name === endpoint)?.lagEntries ?? 0;
	const reasons: ReadonlyArray<[isSo: boolean, reason: string]> = [
		[!isReachable, 'cannot be reached'],
		[state?.role === 'rebuilding', 'is being rebuilt'],
		[state?.role === 'primary' && endpoint !== primary && primary !== '', `still reports itself as primary, but the primary is ${primary}`],
		[state?.role === 'replica' && !state.isStreaming, 'receives nothing from the primary'],
		[lagEntries >= statusDefaults.laggingEntries, `is ${lagEntries} entries behind`],
	];
	const first = reasons.find(([isSo]) => isSo)?.[1];
	return endpoint === primary && !isReachable ? undefined : first;
}

/** Nodes that do not answer; summarised by zone if there are many, so that a lost zone is one line. */
function nodeFindings(nodes: readonly NodeStatus[]): readonly Degradation[] {
	const zones = [...new Set(nodes.map(({availabilityZone}) => availabilityZone))];
	return zones.flatMap(zone => {
		const inZone = nodes.filter(({availabilityZone}) => availabilityZone === zone);
		const missing = inZone.filter(({isReachable, isLeaving}) => !isReachable && !isLeaving).map(({name}) => name);
		if (missing.length > 1 && missing.length === inZone.length) {
			return [{subject: `zone ${zone}`, reason: `none of its ${inZone.length} nodes answers this node`}];
		}

		return missing.length > statusDefaults.namedOneByOne
			? [{subject: `zone ${zone}`, reason: `${missing.length} of its ${inZone.length} nodes do not answer this node, such as ${missing[0]}`}]
			: missing.map(name => ({subject: name, reason: 'does not answer this node'}));
	});
}

function versionFindings({nodes, expectedVersion}: DegradationInputs): readonly Degradation[] {
	const behind = nodes.filter(({configurationVersion}) => configurationVersion !== undefined && configurationVersion < expectedVersion);
	return behind.length > statusDefaults.namedOneByOne
		? [{subject: `${behind.length} nodes`, reason: `do not have configuration ${expectedVersion} in force, such as ${behind[0].name}`}]
		: behind.map(({name, configurationVersion}) => ({subject: name, reason: `has configuration ${configurationVersion} in force, the newest is ${expectedVersion}`}));
}
