/**
 * Decisions of a group, and what watches over them.
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
	/** Resolves once a majority of instances holds the position in its own term; refuses `outcomeUnknown` when the term has been replaced or the time is over. */
	confirm(position: LogPosition, timeoutMs: number): Promise<Either<Refusal, void>>;
	/**
	 * Proves, by a majority that answered after the call, which term and primary position
	 * the group has. Calls made while one proof is on its way share the next one.
	 */
	prove(timeoutMs: number): Promise<Either<Refusal, LogPosition>>;
	/** Upper bound on the age of what an endpoint's reads see; undefined when not known. */
	ageMs(endpoint: string): number | undefined;
	/** Moves the primary to an endpoint, or to the best one, without waiting for a failure. */
	orderPromotion(endpoint?: string): Promise<Either<Refusal, GroupView>>;
	/** Control connection to an instance while it lasts. */
	control(endpoint: string): InstanceControl | undefined;
	/** Takes in what another node says about the group's primary. */
	learnPrimary(announcement: PrimaryAnnouncement): void;
};

/** The monitors of this node; kept for the groups that it serves an endpoint of. */
export type Groups = Disposable & {
	monitor(group: string): GroupMonitor;
	/** The monitor if this node keeps one. */
	existing(group: string): GroupMonitor | undefined;
};

/** An act that the audit trail records. */
export type AuditEntry = {
	readonly actor: string;
	readonly act: string;
	readonly subject: string;
	readonly basis: string;
	readonly outcome: string;
};

/** Keeps the audit trail in the platform's service; buffers within bounds while it is down. */
export type Audit = {
	record(entry: AuditEntry): void;
};

/** Checks invariants inside the program. */
export type Invariants = {
	/** Counts and logs a broken invariant; throws where the program runs under test. Returns the condition. */
	check(name: InvariantName, condition: boolean, detail: () => string): boolean;
};
export type InvariantName = keyof typeof invariants;
