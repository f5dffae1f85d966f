/**
 * What a caller concludes from an answer.
 */
import type {CallerAnswer} from './exchange.js';
import type {WriteOutcome} from './history.js';

/** Whether everything that was asked for ran. */
export function isDone(answer: CallerAnswer): boolean {
	return answer.kind === 'rows' && answer.sqlState === undefined;
}

/** What the caller may conclude about a write, by the product's own words. */
export function outcomeOf(answer: CallerAnswer): WriteOutcome {
	if (answer.kind === 'lost') {
		return 'unknown';
	}

	if (answer.kind === 'rows') {
		return answer.sqlState === undefined ? 'acknowledged' : 'notRun';
	}

	return answer.refusal.answer.outcome === 'notRun' ? 'notRun' : 'unknown';
}

/** Name of the answer's kind, for counting. */
export function nameOf(answer: CallerAnswer): string {
	if (answer.kind === 'rows') {
		return answer.sqlState === undefined ? 'answered' : `error ${answer.sqlState}`;
	}

	return answer.kind === 'refused' ? answer.refusal.kind : `lost (${answer.detail})`;
}
