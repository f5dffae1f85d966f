/** One caller's session: what routing needs to know, and what the caller has set. */
import type {CallerDescription, RoutedSession, TransactionStatus} from '../services/services.js';
import type {MarkedSession} from './marked-session.js';

/** A session from the end of its start-up to the close of its connection. */
export class CallerSession implements RoutedSession {
	readonly id: string;
	readonly group: string;
	readonly marks: MarkedSession;
	caller: CallerDescription;
	maximumAgeMs: number | undefined;
	deadlineMs: number | undefined;
	isIdempotent = false;
	heldEndpoint: string | undefined;
	transactionStatus: TransactionStatus = 'idle';
	/** Whether the open transaction was begun as read-only. */
	isReadOnlyTransaction = false;
	/** Whether an answer of the proxy's own failed the transaction, which the endpoint does not know. */
	isFailedHere = false;

	constructor(id: string, caller: CallerDescription, group: string, marks: MarkedSession) {
		this.id = id;
		this.caller = caller;
		this.group = group;
		this.marks = marks;
	}

	/** Transaction status as the caller is told. */
	get visibleStatus(): TransactionStatus {
		return this.isFailedHere ? 'failed' : this.transactionStatus;
	}

	/** Whether the caller believes to be in a transaction. */
	get isInTransaction(): boolean {
		return this.visibleStatus !== 'idle';
	}
}
