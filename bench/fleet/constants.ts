/**
 * Sizes, budgets and scenarios of the fleet benchmark.
 */
import type {Scenario} from './types.js';

/** Zones and regions; hosts and groups are spread over them evenly. */
export const fleetZones = {zones: 6, regions: 3} as const;

/** Instances of a group, each in a zone of its own. */
export const instancesPerGroup = 3;

/** Name of the node that is measured; its zone is the first. */
export const subjectName = 'subject';

/** Length of the measured window. */
export const windowMs = 12_000;

/** Time between a scrape of the node's metrics and the window. */
export const scrapeRestMs = 6000;

/** Time until links that were opened at the start, and are not used, have closed. */
const linksClosedMs = 36_000;

/** Below the time after which an unused link closes. */
const linkUseMs = 25_000;

/** What is measured; several run side by side. */
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

/** Scenarios that run at one time. */
export const scenariosAtOneTime = 3;

/** The size that is worked out. */
export const targetFleet = {
	hosts: 870,
	groups: 970,
	changesPerDay: 660,
	replacementsPerDay: 340,
	connectionsPerNode: 3793,
} as const;

/** What control may use. */
export const fleetBudgets = {
	coreShare: 0.034,
	memoryBytes: 32 * 1024 * 1024,
	bytesPerS: 4096,
} as const;

/** Bounds of the fleet's figures; counts and ratios within one run. */
export const fleetBounds = {
	/** Bytes of one host in an answer of the list, as the node reads it. */
	listBytesPerHost: 450,
	/** Read and written bytes a second for each group that is served. */
	bytesPerServedGroupS: 1500,
	/** Control's processor time at the target ÷ its budget; processor time varies by half on a busy machine. */
	coreAgainstBudget: 1.5,
} as const;

/** Operations of one change; its text stays below the bound of a change. */
export const operationsPerChange = 500;

/** Time between two looks of the crowd at the log of changes. */
export const crowdPollMs = 250;
