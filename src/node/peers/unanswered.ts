/**
 * What the asking side may say about a request that the peer did not answer.
 */
import {Refusal, type ErrorKind} from '../../common/errors/error-kinds.js';
import type {HomeRequest} from '../../common/services/services.js';

/** Why no answer is waited for any longer. */
export type UnansweredCause = 'deadline' | 'linkLost' | 'cancelled' | 'receiverFailed';

/** How far a request had come. */
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
		// A read does no harm when it runs twice.
		readSent: 'peerUnavailable',
		readBegun: 'answerCutShort',
		writeSent: 'outcomeUnknown',
		// The home rolls back what a lost peer's sessions hold, and no commit was sent.
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

/** How far a request has come, from what was sent and received. */
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

/** The refusal of a request that was given up on. */
export function unansweredRefusal(cause: UnansweredCause, progress: SendProgress, detail: string): Refusal {
	return new Refusal(unansweredKinds[cause][progress], detail);
}

/** The kind that stands for a refusal which does not fit what was received before it. */
export function ambiguousErrorKind(request: HomeRequest): ErrorKind {
	return request.access === 'write' ? 'outcomeUnknown' : 'answerCutShort';
}
