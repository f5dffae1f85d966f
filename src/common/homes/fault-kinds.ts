/**
 * Classifies a broken exchange by the moment at which it broke and by the kind of work, to choose the refusal.
 */
import type {ErrorKind} from '../errors/error-kinds.js';
import type {EndpointFault} from '../services/services.js';
import {isSingleQuery} from './single-query.js';
import type {RunningRequest} from './types.js';

/** The situations that are distinguished. */
type FaultSituation
	= | 'notReached'
		| 'notReachedInTransaction'
		| 'readWithoutAnswer'
		| 'readOutOfTime'
		| 'readCutShort'
		| 'transactionStatement'
		| 'transactionStatementCutShort'
		| 'bareBegin'
		| 'commit'
		| 'write';

type FaultClassification = {
	readonly kind: ErrorKind;
	/** Whether it is certain that the request had no effect. */
	readonly isWithoutEffect: boolean;
};

const classifications: Record<FaultSituation, FaultClassification> = {
	notReached: {kind: 'endpointUnavailable', isWithoutEffect: true},
	// The transaction ends with its connection, and the statement that could have committed it was not sent.
	notReachedInTransaction: {kind: 'transactionLost', isWithoutEffect: true},
	readWithoutAnswer: {kind: 'endpointUnavailable', isWithoutEffect: true},
	readOutOfTime: {kind: 'deadlineExceeded', isWithoutEffect: true},
	readCutShort: {kind: 'answerCutShort', isWithoutEffect: true},
	transactionStatement: {kind: 'transactionLost', isWithoutEffect: true},
	transactionStatementCutShort: {kind: 'answerCutShort', isWithoutEffect: true},
	bareBegin: {kind: 'endpointUnavailable', isWithoutEffect: true},
	commit: {kind: 'outcomeUnknown', isWithoutEffect: false},
	write: {kind: 'outcomeUnknown', isWithoutEffect: false},
};

/** What is known about an exchange that broke. */
export type BrokenExchange = {
	readonly run: Pick<RunningRequest, 'request'>;
	readonly fault: EndpointFault;
	/** Whether the exchange was abandoned because its deadline passed. */
	readonly isOutOfTime: boolean;
	/** Whether a part of the answer was forwarded to the requester. */
	readonly hasForwarded: boolean;
	/** Whether the endpoint reported a COMMIT before the connection broke. */
	readonly hasCommitted: boolean;
};

/** Returns the kind of refusal for a broken exchange, and whether the request certainly had no effect. */
export function classifyBrokenExchange(broken: BrokenExchange): FaultClassification {
	return classifications[situationOf(broken)];
}

function situationOf(broken: BrokenExchange): FaultSituation {
	const {request} = broken.run;
	if (!broken.fault.mayHaveReached) {
		return request.isInTransaction ? 'notReachedInTransaction' : 'notReached';
	}

	if (request.step === 'commit' || broken.hasCommitted) {
		return 'commit';
	}

	const isSingle = isSingleQuery(request.frames);
	if (request.step === 'begin' && isSingle && !broken.hasForwarded) {
		return 'bareBegin';
	}

	// Statements after a ROLLBACK in the same cycle run outside the transaction and may take effect.
	const mayOutlast = request.step === 'rollback' && !isSingle;
	if (request.isInTransaction && !mayOutlast) {
		return broken.hasForwarded ? 'transactionStatementCutShort' : 'transactionStatement';
	}

	if (request.access === 'write') {
		return 'write';
	}

	if (broken.hasForwarded) {
		return 'readCutShort';
	}

	return broken.isOutOfTime ? 'readOutOfTime' : 'readWithoutAnswer';
}
