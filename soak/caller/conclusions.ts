/**
 * What a caller concludes from an answer.
 */
import type {CallerAnswer} from './exchange.js';
import type {WriteOutcome} from './history.js';

/** Whether the statement ran without an error. */
export function isDone(answer: CallerAnswer): boolean {
	return answer.kind === 'rows' && answer.sqlState === undefined;
}

/** The outcome of a write that the caller may conclude from the answer, by the promises of its refusals. */
export function outcomeOf(answer: CallerAnswer): WriteOutcome {
	if (answer.kind === 'lost') {
		return 'unknown';
	}

	if (answer.kind === 'rows') {
		return answer.sqlState === undefined ? 'acknowledged' : 'notRun';
	}

	return answer.refusal.answer.outcome === 'notRun' ? 'notRun' : 'unknown';
}

/** Name under which an answer is counted. */
export function nameOf(answer: CallerAnswer): string {
	if (answer.kind === 'rows') {
		return answer.sqlState === undefined ? 'answered' : `error ${answer.sqlState}`;
	}

	return answer.kind === 'refused' ? answer.refusal.kind : `lost (${answer.detail})`;
}
