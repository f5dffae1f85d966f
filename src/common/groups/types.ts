/**
 * Types shared by the parts of the group monitors.
 */
import type {LogPosition} from '../positions/log-position.js';
import type {
	Audit, Clock, Configuration, EndpointConnector, Invariants, Log, Membership, Metrics, Peers,
	PrimaryAnnouncement, Random,
} from '../services/services.js';
import type {groupDefaults} from './constants.js';
import type {PauseDetector} from './pause-detector.js';
import type {SafetyRules} from './safety-rules.js';

/** Options of a group monitor; defaults in constants.ts. */
export type GroupOptions = {readonly [Name in keyof typeof groupDefaults]: number};

/** Keeps a record of terms and their primaries in the platform's table. */
export type TermRecorder = {
	record(announcement: PrimaryAnnouncement, claimId: string): void;
};

/** What the group monitors need from the node. */
export type GroupServices = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly connector: EndpointConnector;
	readonly membership: Membership;
	readonly peers: Peers;
	readonly configuration: Configuration;
	readonly audit: Audit;
	readonly invariants: Invariants;
	readonly terms: TermRecorder;
};

/** What a monitor is made with. */
export type MonitorContext = {
	readonly services: GroupServices;
	readonly options: GroupOptions;
	readonly pause: PauseDetector;
	readonly rules: SafetyRules;
};

/** Why a group needs a new primary. */
export type PromotionReason = 'crash' | 'cut' | 'frozen' | 'isolated' | 'vacant' | 'stranded' | 'ordered' | 'draining';

/** A finding that calls for a promotion. */
export type PrimaryLoss = {
	readonly reason: PromotionReason;
	/** When the primary was last known to serve, on the clock of this node. */
	readonly sinceMs: number;
	/** Term that was lost. */
	readonly term: number;
	/** Endpoint that is not to be waited for; undefined when none is suspected. */
	readonly suspect: string | undefined;
};

/** A promotion to carry out. */
export type PromotionPlan = PrimaryLoss & {
	/** Endpoint that is to become primary if it is as advanced as any. */
	readonly wanted: string | undefined;
};

/** A proof that the group's primary was still primary after `startedAtMs`. */
export type FreshnessSample = {
	readonly startedAtMs: number;
	readonly position: LogPosition;
};
