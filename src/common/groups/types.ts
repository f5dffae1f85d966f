/**
 * Types shared by the modules that monitor database groups.
 */
import type {LogPosition} from '../positions/log-position.js';
import type {
	Audit, Clock, Configuration, EndpointConnector, Invariants, Log, Membership, Metrics, Peers,
	PrimaryAnnouncement, Random,
} from '../services/services.js';
import type {groupDefaults} from './constants.js';
import type {PauseDetector} from './pause-detector.js';
import type {SafetyRules} from './safety-rules.js';

/** Options of a group monitor; constants.ts has the defaults. */
export type GroupOptions = {readonly [Name in keyof typeof groupDefaults]: number};

/** Records terms and their primaries in the platform's table. */
export type TermRecorder = {
	record(announcement: PrimaryAnnouncement, claimId: string): void;
};

/** Services of the node that the group monitors use. */
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

/** Dependencies with which a group monitor is constructed. */
export type MonitorContext = {
	readonly services: GroupServices;
	readonly options: GroupOptions;
	readonly pause: PauseDetector;
	readonly rules: SafetyRules;
};

/** Why a group needs a new primary. */
export type PromotionReason = 'crash' | 'cut' | 'frozen' | 'isolated' | 'vacant' | 'stranded' | 'ordered' | 'draining';

/** A detected loss of the primary, which calls for a promotion. */
export type PrimaryLoss = {
	readonly reason: PromotionReason;
	/** When the primary was last known to serve, in milliseconds on this node's clock. */
	readonly sinceMs: number;
	/** Term of the primary that was lost. */
	readonly term: number;
	/** Endpoint whose answer the promotion does not wait for; undefined when none is suspected. */
	readonly suspect: string | undefined;
};

/** A promotion to carry out. */
export type PromotionPlan = PrimaryLoss & {
	/** Endpoint that is to become primary if no candidate has a more advanced log. */
	readonly wanted: string | undefined;
};

/** A proof that the group's primary still led its term at `startedAtMs`, and the position that it reported after that. */
export type FreshnessSample = {
	readonly startedAtMs: number;
	readonly position: LogPosition;
};
