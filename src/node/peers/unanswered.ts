/**
 * Selects the refusal for a request that the peer did not answer. A write or commit that was sent
 * and may have taken effect is never reported as not run.
 */
import {Refusal, type ErrorKind} from '../../common/errors/error-kinds.js';
import type {HomeRequest} from '../../common/services/services.js';

/** Why the requesting side stopped waiting for the answer. */
export type UnansweredCause = 'deadline' | 'linkLost' | 'cancelled' | 'receiverFailed';

/** How far a request had come when the requesting side stopped waiting. */
export type SendProgress
	= | 'unsent' | 'readSent' | 'readBegun' | 'writeSent'
		| 'transactionUnsent' | 'transactionReadSent' | 'transactionWriteSent' | 'transactionBegun';

const unansweredKinds = {
	deadline: {
		unsent: 'deadlineExceeded',
		readSent: 'deadlineExceeded',
		readBegun: 'answerCutShort',
		writeSent: 'outcomeUnknown',
		transactionUnsent: 'deadlineExceeded',
		transactionReadSent: 'deadlineExceeded',
		transactionWriteSent: 'outcomeUnknown',
		transactionBegun: 'answerCutShort',
	},
	linkLost: {
		unsent: 'peerUnavailable',
		// Running a read twice does no harm, so it may be reported as not run.
		readSent: 'peerUnavailable',
		readBegun: 'answerCutShort',
		writeSent: 'outcomeUnknown',
		// The home rolls back the transactions of a lost peer's sessions. No commit was sent, so nothing of the
		// transaction takes effect.
		transactionUnsent: 'transactionLost',
		transactionReadSent: 'transactionLost',
		transactionWriteSent: 'transactionLost',
		transactionBegun: 'answerCutShort',
	},
	cancelled: {
		unsent: 'cancelled',
		readSent: 'cancelled',
		readBegun: 'answerCutShort',
		writeSent: 'outcomeUnknown',
		transactionUnsent: 'cancelled',
		transactionReadSent: 'cancelled',
		transactionWriteSent: 'outcomeUnknown',
		transactionBegun: 'answerCutShort',
	},
	receiverFailed: {
		unsent: 'cancelled',
		readSent: 'answerCutShort',
		readBegun: 'answerCutShort',
		writeSent: 'outcomeUnknown',
		transactionUnsent: 'cancelled',
		transactionReadSent: 'answerCutShort',
		transactionWriteSent: 'outcomeUnknown',
		transactionBegun: 'answerCutShort',
	},
} as const satisfies Record<UnansweredCause, Record<SendProgress, ErrorKind>>;

/** Determines how far a request has come from what was sent and received. */
export function progressOf(request: HomeRequest, isSent: boolean, hasPushed: boolean): SendProgress {
	if (!isSent) {
		return request.isInTransaction ? 'transactionUnsent' : 'unsent';
	}

	const isWrite = request.access === 'write';
	if (request.isInTransaction && request.step !== 'commit') {
		return hasPushed ? 'transactionBegun' : (isWrite ? 'transactionWriteSent' : 'transactionReadSent');
	}

	if (isWrite || request.step === 'commit') {
		return 'writeSent';
	}

	return hasPushed ? 'readBegun' : 'readSent';
}

/** Returns the refusal for a request that got no answer. */
export function unansweredRefusal(cause: UnansweredCause, progress: SendProgress, detail: string): Refusal {
	return new Refusal(unansweredKinds[cause][progress], detail);
}

/** Returns the kind for a refusal that is unknown to this node or contradicts the part of the answer received before. */
export function ambiguousErrorKind(request: HomeRequest): ErrorKind {
	return request.access === 'write' ? 'outcomeUnknown' : 'answerCutShort';
}
