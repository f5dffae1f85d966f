/**
 * What a broken exchange means for the request, by the moment and the kind of work.
 */
import type {ErrorKind} from '../errors/error-kinds.js';
import type {EndpointFault} from '../services/services.js';
import {isSingleQuery} from './single-query.js';
import type {RunningRequest} from './types.js';

/** The situations that are told apart. */
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
	/** Whether it is certain that nothing took effect. */
	readonly isWithoutEffect: boolean;
};

const classifications: Record<FaultSituation, FaultClassification> = {
	notReached: {kind: 'endpointUnavailable', isWithoutEffect: true},
	// The transaction ends with its connection, and what would have committed it was not sent.
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

/** What is known when an exchange broke. */
export type BrokenExchange = {
	readonly run: Pick<RunningRequest, 'request'>;
	readonly fault: EndpointFault;
	/** Whether the exchange was given up because its deadline passed. */
	readonly isOutOfTime: boolean;
	/** Whether a part of the answer went to the asker. */
	readonly hasForwarded: boolean;
	/** Whether the endpoint reported a COMMIT before the connection broke. */
	readonly hasCommitted: boolean;
};

/** The kind of refusal for a broken exchange. */
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

	const isBare = isSingleQuery(request.frames);
	if (request.step === 'begin' && isBare && !broken.hasForwarded) {
		return 'bareBegin';
	}

	// What follows a ROLLBACK in the same cycle runs outside of the transaction.
	const mayOutlast = request.step === 'rollback' && !isBare;
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
