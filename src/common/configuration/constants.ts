/**
 * Defaults and limits of the configuration, and options of its log and synchronisation.
 */
import type {CallerPolicy, EndpointPolicy} from '../services/services.js';

/** Policy of a caller for settings that no rule states. */
export const defaultCallerPolicy: CallerPolicy = {
	reads: 'replicas',
	maximumAgeMs: undefined,
	priority: 100,
	maximumInProgress: 1000,
	deadlineMs: 5000,
	maximumRetries: 3,
	transactionIdleMs: 30_000,
};

/** Policy of an endpoint for settings that no rule states. */
export const defaultEndpointPolicy: EndpointPolicy = {
	isDraining: false,
	acceptsReads: true,
	primaryPreference: 0,
	isOrderedPrimary: false,
};

/** Capacity of an endpoint whose definition does not state it. */
export const defaultEndpoint = {
	slots: 3,
	connections: 20,
} as const;

/** Value of `order` for a rule that states none. */
export const defaultRuleOrder = 0;

/** Limits on the contents of a change and its entries. */
export const configurationLimits = {
	nameLength: 63,
	ruleNameLength: 100,
	labelsPerThing: 32,
	requirementsPerSelector: 16,
	valuesPerRequirement: 64,
	operationsPerChange: 2000,
	/** A change is stored as one item of the table; even twice this size, for a change with its inverse, stays below the table's item limit. */
	changeSizeBytes: 160_000,
	noteLength: 300,
	durationMs: 86_400_000,
	count: 1_000_000,
	slots: 10_000,
} as const;

/** Labels that every endpoint, group and caller has implicitly. */
export const impliedLabels = {
	endpoint: ['name', 'zone', 'group', 'service'],
	group: ['name', 'service'],
	caller: ['user', 'zone', 'application'],
} as const;

/** Options of the change log. */
export const changeLogDefaults = {
	partition: 'config',
	/** Digits of the sort key; keys that are padded to one width sort in numeric order. */
	sortDigits: 12,
	snapshotKey: 'config/snapshot.json',
	/** A snapshot is written with every change whose number is a multiple of this. */
	snapshotInterval: 100,
	/** Changes read from the table by one query. */
	pageSize: 100,
	/** Maximum number of write attempts for one proposal; they end once the write is accepted or the number is taken. */
	putAttempts: 4,
	putPauseMs: 250,
	/** Time after which an operator should retry while the table is unavailable. */
	retryAfterMs: 5000,
};

/** Options of the changes that a node keeps in memory. */
export const historyDefaults = {
	/** Newest changes that are kept for peers that lag behind. */
	recentChanges: 300,
	/** Maximum number of changes in one answer to a peer. */
	batchChanges: 100,
	batchSizeBytes: 1_000_000,
};

/** Options of the cache of resolved policies. */
export const resolutionDefaults = {
	/** Maximum number of cached policies, one for each pair of caller and group; the oldest is evicted beyond it. */
	cachedPolicies: 20_000,
};

/** Options of the synchronisation between nodes. */
export const syncDefaults = {
	/** Nodes of each zone that poll the table. */
	pollersPerZone: 2,
	pollIntervalMs: 500,
	/** Time between two comparisons with a peer. */
	antiEntropyIntervalMs: 1000,
	/** Time for which a peer is kept for comparisons; well above the time after which an unused link closes. */
	partnerKeptMs: 120_000,
	/** Number of comparisons at the quick interval, with random peers, that follow a new version: other nodes may have missed its announcement. */
	quickComparisons: 6,
	quickIntervalMs: 300,
	/** One comparison in this many is with a peer of any zone instead of the own one. */
	antiEntropyAnyZoneEvery: 4,
	/** Maximum number of peers that are asked, one after the other, for an announced version. */
	pullAttempts: 10,
	fetchTimeoutMs: 400,
	/** Timeout after which a poll of the table counts as failed. */
	tableTimeoutMs: 2000,
	/** Number of peers that a starting node asks in parallel. */
	startPeers: 3,
};
