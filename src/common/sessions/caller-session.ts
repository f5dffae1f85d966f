/** One caller's session: what routing needs to know, and what the caller has set. */
import type {CallerDescription, RoutedSession, TransactionStatus} from '../services/services.js';
import type {TokenSessionMarks} from './token-session-marks.js';

/** A session from the end of its start-up to the close of its connection. */
export class CallerSession implements RoutedSession {
	readonly id: string;
	readonly group: string;
	readonly marks: TokenSessionMarks;
	caller: CallerDescription;
	maximumAgeMs: number | undefined;
	deadlineMs: number | undefined;
	isIdempotent = false;
	heldEndpoint: string | undefined;
	transactionStatus: TransactionStatus = 'idle';
	/** Whether the open transaction was begun as read-only. */
	isReadOnlyTransaction = false;
	/** Whether an answer of the proxy's own failed the transaction, which the endpoint does not know. */
	isFailedByProxy = false;

	constructor(id: string, caller: CallerDescription, group: string, marks: TokenSessionMarks) {
		this.id = id;
		this.caller = caller;
		this.group = group;
		this.marks = marks;
	}

	/** Transaction status as the caller is told. */
	get reportedStatus(): TransactionStatus {
		return this.isFailedByProxy ? 'failed' : this.transactionStatus;
	}

	/** Whether the caller believes to be in a transaction. */
	get isInTransaction(): boolean {
		return this.reportedStatus !== 'idle';
	}
}
