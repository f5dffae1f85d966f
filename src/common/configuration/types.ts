/**
 * Types of proposals to change the configuration, and of the answers to them.
 */
import type {Problem} from './problems.js';
import type {Change, Operation, EntryKind} from './schema.js';

/** A proposed change. */
export type Proposal = {
	/** Identity of the change; proposals with the same one take effect at most once. */
	readonly changeId: string;
	readonly author: string;
	/** Number of the last change that the author had seen. */
	readonly basedOn: number;
	readonly operations: readonly Operation[];
	readonly note?: string;
	/** Identities of the warnings that the author acknowledged. */
	readonly acknowledged?: readonly string[];
	/** Number of the change that this one undoes. */
	readonly undoOf?: number;
};

/** Why a proposal was not accepted. */
export type ProposalRefusal
	= | {readonly kind: 'invalid'; readonly problems: readonly Problem[]}
	/** Other changes were accepted since `basedOn`; they are listed oldest first. The proposal has not been applied. */
		| {readonly kind: 'conflict'; readonly version: number; readonly changes: readonly Change[]}
	/** The preview has warnings that the author has not acknowledged. The proposal has not been applied. */
		| {readonly kind: 'unacknowledged'; readonly preview: Preview}
	/** The table is unavailable. The proposal has not been applied. */
		| {readonly kind: 'unavailable'; readonly retryAfterMs: number; readonly detail: string}
	/** The table's answer was lost, so the proposal may have been applied; sending it again with the same `changeId` finds out. */
		| {readonly kind: 'unknown'; readonly retryAfterMs: number; readonly detail: string};

/** An entry that a change adds, changes or removes. */
export type Difference = {
	readonly kind: EntryKind;
	readonly name: string;
	readonly action: 'added' | 'changed' | 'removed';
	readonly before?: unknown;
	readonly after?: unknown;
};

/** A consequence of a change that its author has to acknowledge before it is accepted. */
export type Warning = {
	/** Identity that the author sends back to acknowledge the warning. */
	readonly id: string;
	readonly kind: WarningKind;
	readonly subject: string;
	readonly message: string;
};

/** Kinds of warnings. */
export type WarningKind = 'noEndpoint' | 'noReader' | 'noPrimaryCandidate' | 'primaryLeaves' | 'overwritesLater';

/** What a change affects; lists of names are truncated, the counts are not. */
export type Touched = {
	readonly endpointCount: number;
	readonly endpoints: readonly string[];
	readonly groupCount: number;
	readonly groups: readonly string[];
	readonly zoneCount: number;
	readonly zones: readonly string[];
	readonly callerCount: number;
	readonly callers: readonly string[];
	/** Whether callers that the configuration does not list may be affected too. */
	readonly touchesUnlistedCallers: boolean;
};

/** What a change would do to the configuration at `basedOn`. */
export type Preview = {
	readonly basedOn: number;
	readonly operations: readonly Operation[];
	readonly differences: readonly Difference[];
	readonly touched: Touched;
	readonly warnings: readonly Warning[];
};

/** Looks up the current primary of a group; undefined when it is not known. */
export type PrimaryLookup = (group: string) => string | undefined;
