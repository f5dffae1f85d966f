import {describe, it} from 'node:test';
import {expect} from 'earl';
import {errorAnswers} from '../../common/errors/error-kinds.js';
import type {HomeRequest} from '../../common/services/services.js';
import {progressOf, unansweredRefusal, type UnansweredCause} from './unanswered.js';
import {requestWith} from './testing/link-pair.js';

const read: Partial<HomeRequest> = {};
const write: Partial<HomeRequest> = {access: 'write'};
const readInTransaction: Partial<HomeRequest> = {isInTransaction: true};
const writeInTransaction: Partial<HomeRequest> = {access: 'write', isInTransaction: true};
const commit: Partial<HomeRequest> = {access: 'write', isInTransaction: true, step: 'commit'};

type Row = [name: string, request: Partial<HomeRequest>, isSent: boolean, hasPushed: boolean, kinds: Record<UnansweredCause, string>];

function kinds(deadline: string, linkLost: string, cancelled: string, receiverFailed: string): Record<UnansweredCause, string> {
	return {
		deadline, linkLost, cancelled, receiverFailed,
	};
}

const rows: readonly Row[] = [
	['an unsent read', read, false, false, kinds('deadlineExceeded', 'peerUnavailable', 'cancelled', 'cancelled')],
	['an unsent write', write, false, false, kinds('deadlineExceeded', 'peerUnavailable', 'cancelled', 'cancelled')],
	['an unsent commit', commit, false, false, kinds('deadlineExceeded', 'transactionLost', 'cancelled', 'cancelled')],
	['a sent read', read, true, false, kinds('deadlineExceeded', 'peerUnavailable', 'cancelled', 'answerCutShort')],
	['a read with an answer begun', read, true, true, kinds('answerCutShort', 'answerCutShort', 'answerCutShort', 'answerCutShort')],
	['a sent write', write, true, false, kinds('outcomeUnknown', 'outcomeUnknown', 'outcomeUnknown', 'outcomeUnknown')],
	['a write with an answer begun', write, true, true, kinds('outcomeUnknown', 'outcomeUnknown', 'outcomeUnknown', 'outcomeUnknown')],
	['a sent commit', commit, true, false, kinds('outcomeUnknown', 'outcomeUnknown', 'outcomeUnknown', 'outcomeUnknown')],
	['a sent read of a transaction', readInTransaction, true, false, kinds('deadlineExceeded', 'transactionLost', 'cancelled', 'answerCutShort')],
	['a sent write of a transaction', writeInTransaction, true, false, kinds('outcomeUnknown', 'transactionLost', 'outcomeUnknown', 'outcomeUnknown')],
	['a transaction with an answer begun', writeInTransaction, true, true, kinds('answerCutShort', 'answerCutShort', 'answerCutShort', 'answerCutShort')],
];

const causes: readonly UnansweredCause[] = ['deadline', 'linkLost', 'cancelled', 'receiverFailed'];

describe('unanswered', () => {
	for (const [name, changes, isSent, hasPushed, expected] of rows) {
		it(`selects the refusal for ${name}`, () => {
			const progress = progressOf(requestWith(changes), isSent, hasPushed);
			const answers = causes.map(cause => [cause, unansweredRefusal(cause, progress, '').kind]);
			expect(Object.fromEntries(answers)).toLooseEqual(expected);
		});
	}

	it('never reports a sent write that may have taken effect as not run', () => {
		for (const request of [write, commit]) {
			for (const hasPushed of [false, true]) {
				const progress = progressOf(requestWith(request), true, hasPushed);
				const outcomes = causes.map(cause => errorAnswers[unansweredRefusal(cause, progress, '').kind].outcome);
				expect(outcomes).toEqual(['unknown', 'unknown', 'unknown', 'unknown']);
			}
		}
	});
});
