/** The session of one caller: the state that routing needs, and the parameters that the caller has set. */
import type {CallerDescription, RoutedSession, TransactionStatus} from '../services/services.js';
import type {TokenSessionMarks} from './token-session-marks.js';

/** A session, from the end of its start-up phase until its connection closes. */
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
	/** Whether an answer of the proxy itself failed the transaction; the endpoint does not know of it. */
	isFailedByProxy = false;

	constructor(id: string, caller: CallerDescription, group: string, marks: TokenSessionMarks) {
		this.id = id;
		this.caller = caller;
		this.group = group;
		this.marks = marks;
	}

	/** Transaction status that is reported to the caller. */
	get reportedStatus(): TransactionStatus {
		return this.isFailedByProxy ? 'failed' : this.transactionStatus;
	}

	/** Whether the caller is in a transaction, according to the status that was reported to it. */
	get isInTransaction(): boolean {
		return this.reportedStatus !== 'idle';
	}
}
