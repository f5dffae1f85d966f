/**
 * Defaults and bounds of the configuration.
 */
import type {CallerPolicy, EndpointPolicy} from '../services/services.js';

/** What holds for a caller where no rule says otherwise. */
export const defaultCallerPolicy: CallerPolicy = {
	reads: 'replicas',
	maximumAgeMs: undefined,
	priority: 100,
	maximumInProgress: 1000,
	deadlineMs: 5000,
	maximumRetries: 3,
	transactionIdleMs: 30_000,
};

/** What holds for an endpoint where no rule says otherwise. */
export const defaultEndpointPolicy: EndpointPolicy = {
	isDraining: false,
	acceptsReads: true,
	primaryPreference: 0,
	isOrderedPrimary: false,
};

/** What an endpoint offers where its definition does not say. */
export const defaultEndpoint = {
	slots: 3,
	connections: 20,
} as const;

/** Order of a rule that states none. */
export const defaultRuleOrder = 0;

/** Bounds of what a change may hold. */
export const configurationLimits = {
	nameLength: 63,
	ruleNameLength: 100,
	labelsPerThing: 32,
	requirementsPerSelector: 16,
	valuesPerRequirement: 64,
	operationsPerChange: 2000,
	/** A change is one item of the table; twice this, with its inverse, stays below the table's bound. */
	changeSizeBytes: 160_000,
	noteLength: 300,
	durationMs: 86_400_000,
	count: 1_000_000,
	slots: 10_000,
} as const;

/** Labels that every endpoint, group and caller has without being given them. */
export const impliedLabels = {
	endpoint: ['name', 'zone', 'group', 'service'],
	group: ['name', 'service'],
	caller: ['user', 'zone', 'application'],
} as const;

/** Options of the change log. */
export const changeLogDefaults = {
	partition: 'config',
	/** Digits of the sort key; keys of one width sort as numbers. */
	sortDigits: 12,
	snapshotKey: 'config/snapshot.json',
	/** A snapshot is written with every change whose number is a multiple of this. */
	snapshotInterval: 100,
	/** Changes read from the table at one time. */
	pageSize: 100,
	/** Writes of one proposal while its outcome is not known. */
	putAttempts: 4,
	putPauseMs: 250,
	/** When an operator should come back while the table is down. */
	retryAfterMs: 5000,
};

/** Options of what a node keeps of the log. */
export const historyDefaults = {
	/** Changes kept for peers that lag behind. */
	recentChanges: 300,
	/** Changes answered to a peer at one time. */
	batchChanges: 100,
	batchSizeBytes: 1_000_000,
};

/** Options of the resolution cache. */
export const resolutionDefaults = {
	/** Resolved pairs of caller and group; the oldest are dropped beyond it. */
	cachedPolicies: 20_000,
};

/** Options of the synchronisation between nodes. */
export const syncDefaults = {
	/** Nodes of each zone that poll the table. */
	pollersPerZone: 2,
	pollIntervalMs: 500,
	/** Pause between comparisons with one peer. */
	antiEntropyIntervalMs: 1000,
	/** Time for which the peers of comparisons are kept; well above that after which an unused link closes. */
	partnerKeptMs: 120_000,
	/** After a new number a node compares itself this often in quicker succession, with random peers: others may have missed it. */
	quickComparisons: 6,
	quickIntervalMs: 300,
	/** One comparison in this many goes to any zone instead of the own. */
	antiEntropyAnyZoneEvery: 4,
	/** Peers asked, one after the other, for a number that was announced. */
	pullAttempts: 10,
	fetchTimeoutMs: 400,
	/** A call of the platform that takes longer is treated as lost by the poll. */
	tableTimeoutMs: 2000,
	/** Peers that a starting node asks at one time. */
	startPeers: 3,
};
