/**
 * What operators send and get when they change the configuration.
 */
import type {Problem} from './problems.js';
import type {Change, Operation, EntryKind} from './schema.js';

/** A change that somebody wants. */
export type Proposal = {
	/** The same identity takes effect at most once. */
	readonly changeId: string;
	readonly author: string;
	/** Number of the last change that the author had seen. */
	readonly basedOn: number;
	readonly operations: readonly Operation[];
	readonly note?: string;
	/** Identities of the warnings that the author acknowledged. */
	readonly acknowledged?: readonly string[];
	readonly undoOf?: number;
};

/** Why a proposal was not accepted. */
export type ProposalRefusal
	= | {readonly kind: 'invalid'; readonly problems: readonly Problem[]}
	/** Others were faster; their changes, oldest first. Certainly not applied. */
		| {readonly kind: 'conflict'; readonly version: number; readonly changes: readonly Change[]}
	/** Warnings are left to acknowledge. Certainly not applied. */
		| {readonly kind: 'unacknowledged'; readonly preview: Preview}
	/** The table does not answer. Certainly not applied. */
		| {readonly kind: 'unavailable'; readonly retryAfterMs: number; readonly detail: string}
	/** The table's answer was lost: send the same change identity again to find out. */
		| {readonly kind: 'unknown'; readonly retryAfterMs: number; readonly detail: string};

/** One thing that a change adds, changes or removes. */
export type Difference = {
	readonly kind: EntryKind;
	readonly name: string;
	readonly action: 'added' | 'changed' | 'removed';
	readonly before?: unknown;
	readonly after?: unknown;
};

/** Something an operator has to acknowledge before a change. */
export type Warning = {
	/** Sent back to acknowledge it. */
	readonly id: string;
	readonly kind: WarningKind;
	readonly subject: string;
	readonly message: string;
};

/** Kinds of warnings. */
export type WarningKind = 'noEndpoint' | 'noReader' | 'noPrimaryCandidate' | 'primaryLeaves' | 'overwritesLater';

/** What a change touches. Names are cut at a bound; counts are whole. */
export type Touched = {
	readonly endpointCount: number;
	readonly endpoints: readonly string[];
	readonly groupCount: number;
	readonly groups: readonly string[];
	readonly zoneCount: number;
	readonly zones: readonly string[];
	readonly callerCount: number;
	readonly callers: readonly string[];
	/** Whether callers that the configuration does not list may be touched too. */
	readonly touchesUnlistedCallers: boolean;
};

/** What a change would do. */
export type Preview = {
	readonly basedOn: number;
	readonly operations: readonly Operation[];
	readonly differences: readonly Difference[];
	readonly touched: Touched;
	readonly warnings: readonly Warning[];
};

/** What the preview asks of the running system. */
export type PrimaryLookup = (group: string) => string | undefined;
