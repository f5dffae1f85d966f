/**
 * Interfaces for monitoring a group and promoting its instances, for the audit trail and for invariants.
 */
import type {Either} from 'purify-ts';
import type {Refusal} from '../errors/error-kinds.js';
import type {invariants} from '../invariants/invariant-names.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import type {LogPosition} from '../positions/log-position.js';
import type {InstanceControl} from './endpoint-services.js';
import type {GroupView, PrimaryAnnouncement} from './node-services.js';

/**
 * Follows one group from a node that serves one of its endpoints: holds a control
 * connection to every instance, detects the loss of the primary and takes part in promotion.
 */
export type GroupMonitor = {
	readonly group: string;
	readonly onChange: Event<GroupView>;
	view(): GroupView;
	/** Resolves once a majority of instances holds the position in its own term; refuses with `outcomeUnknown` if the term has been replaced or the timeout has expired. */
	confirm(position: LogPosition, timeoutMs: number): Promise<Either<Refusal, void>>;
	/**
	 * Proves, by a majority that answered after the call, which term and primary position
	 * the group has. Calls made while a proof is in flight share the next one.
	 */
	prove(timeoutMs: number): Promise<Either<Refusal, LogPosition>>;
	/** Upper bound on the staleness of an endpoint's reads in milliseconds; undefined if it is not known. */
	ageMs(endpoint: string): number | undefined;
	/** Promotes an endpoint, or the best candidate, without a failure of the primary. */
	orderPromotion(endpoint?: string): Promise<Either<Refusal, GroupView>>;
	/** Control connection to an instance; undefined while there is none. */
	control(endpoint: string): InstanceControl | undefined;
	/** Applies another node's announcement of the group's primary. */
	learnPrimary(announcement: PrimaryAnnouncement): void;
};

/** The group monitors of this node, one for each group of which it serves an endpoint. */
export type Groups = Disposable & {
	monitor(group: string): GroupMonitor;
	/** The monitor of a group; undefined if this node has none. */
	existing(group: string): GroupMonitor | undefined;
};

/** An action that the audit trail records. */
export type AuditEntry = {
	readonly actor: string;
	readonly act: string;
	readonly subject: string;
	readonly basis: string;
	readonly outcome: string;
};

/** Records the audit trail in the platform's service; buffers a bounded number of entries while the service is unavailable. */
export type Audit = {
	record(entry: AuditEntry): void;
};

/** Checks invariants at run time. */
export type Invariants = {
	/** Counts and logs a violated invariant; throws if the program runs under test. Returns the condition. */
	check(name: InvariantName, condition: boolean, detail: () => string): boolean;
};
export type InvariantName = keyof typeof invariants;
