/**
 * Sizes, budgets and scenarios of the fleet benchmark.
 */
import type {Scenario} from './types.js';

/** Zones and regions; hosts and groups are spread over them evenly. */
export const fleetZones = {zones: 6, regions: 3} as const;

/** Instances of a group, each in a different zone. */
export const instancesPerGroup = 3;

/** Name of the node that is measured; its zone is the first. */
export const subjectName = 'subject';

/** Length of the measured window. */
export const windowMs = 12_000;

/** Pause between a scrape of the node's metrics and the measured window, in which the scrape's garbage is collected. */
export const scrapeRestMs = 6000;

/** Time after which links that were opened at the start and are not used have closed. */
const linksClosedMs = 36_000;

/** Interval between two uses of a link; shorter than the idle time after which a link closes. */
const linkUseMs = 25_000;

/** The scenarios that are measured; several run at the same time. */
export const scenarios: readonly Scenario[] = [
	{
		name: 'alone', hosts: 1, groups: 0, settleMs: 20_000,
	},
	{
		name: '218 hosts', hosts: 218, groups: 0, settleMs: linksClosedMs,
	},
	{
		name: '870 hosts', hosts: 870, groups: 0, settleMs: linksClosedMs,
	},
	{
		name: '870 hosts, list read often', hosts: 870, groups: 0, listReadPerHostMs: 2, settleMs: linksClosedMs,
	},
	{
		name: '870 hosts, all linked', hosts: 870, groups: 0, linkUseMs, settleMs: linksClosedMs,
	},
	{
		name: '4 groups served', hosts: 6, groups: 4, areGroupsNear: true, settleMs: 20_000,
	},
	{
		name: '16 groups served', hosts: 6, groups: 16, areGroupsNear: true, settleMs: 20_000,
	},
	{
		name: '970 groups of 870 hosts', hosts: 870, groups: 970, settleMs: linksClosedMs,
	},
	{
		name: '970 groups of 870 hosts, changing', hosts: 870, groups: 970, changesPerS: 0.5, settleMs: linksClosedMs,
	},
	{
		name: '3793 idle connections', hosts: 1, groups: 1, areGroupsNear: true, idleConnections: 3793, settleMs: 20_000,
	},
];

/** Number of scenarios that run at the same time. */
export const scenarioConcurrency = 3;

/** The fleet size for which the totals are computed. */
export const targetFleet = {
	hosts: 870,
	groups: 970,
	changesPerDay: 660,
	replacementsPerDay: 340,
	connectionsPerNode: 3793,
} as const;

/** Resources that control may use on one node. */
export const fleetBudgets = {
	coreShare: 0.034,
	memoryBytes: 32 * 1024 * 1024,
	bytesPerS: 4096,
} as const;

/** Upper bounds of the fleet's figures, which are counts and ratios within one run. */
export const fleetBounds = {
	/** Bytes that each host adds to a read of the host list by the node. */
	listBytesPerHost: 450,
	/** Bytes read and written per second for each group that the node serves. */
	bytesPerServedGroupS: 1500,
	/** Processor time of control at the target size ÷ its budget; 1.5 because processor time varies by half on a busy machine. */
	coreAgainstBudget: 1.5,
} as const;

/** Operations in one change, few enough that its text stays below the maximum size of a change. */
export const operationsPerChange = 500;

/** Interval at which the crowd polls the change log. */
export const crowdPollMs = 250;
