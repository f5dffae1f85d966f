import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {tableRows} from '../testing/markdown-tables.js';
import {errorAnswers, Refusal, type ErrorAnswer} from './error-kinds.js';

const answers = Object.entries<ErrorAnswer>(errorAnswers);

const outcomeCells: Readonly<Record<ErrorAnswer['outcome'], string>> = {notRun: 'no', ran: 'yes', unknown: 'unknown'};

/** Content of the column that says whether a caller may repeat its request. */
function repetitionCell({outcome, retryAfterMs}: ErrorAnswer): string {
	if (outcome !== 'notRun') {
		return 'only if idempotent';
	}

	return retryAfterMs > 0 ? 'yes' : 'not unchanged';
}

describe('errorAnswers', () => {
	it('agrees with docs/ERRORS.md', () => {
		const rows = tableRows(readFileSync('docs/ERRORS.md', 'utf8'));
		const documented = rows.map(row => row.slice(0, -1).join(' | '));
		const kept = answers.map(([kind, answer]) => [
			`\`${kind}\``,
			answer.sqlState,
			answer.severity,
			outcomeCells[answer.outcome],
			answer.isProxyRetryable ? 'yes' : 'no',
			repetitionCell(answer),
			answer.retryAfterMs > 0 ? String(answer.retryAfterMs) : '–',
			answer.message,
		].join(' | '));
		expect(documented.toSorted()).toEqual(kept.toSorted());
		expect(rows.filter(row => row.at(-1) === '')).toEqual([]);
	});

	it('never lets the proxy retry a request that may have run', () => {
		const isRepeated = answers.filter(([, {isProxyRetryable, outcome}]) => isProxyRetryable && outcome !== 'notRun');
		expect(isRepeated).toEqual([]);
	});

	it('has SQLSTATEs of five characters', () => {
		expect(answers.filter(([, {sqlState}]) => !/^[0-9A-Z]{5}$/v.test(sqlState))).toEqual([]);
	});
});

describe('Refusal', () => {
	it('takes the retry delay of its kind unless one is given', () => {
		expect(new Refusal('noPrimary').retryAfterMs).toEqual(errorAnswers.noPrimary.retryAfterMs);
		expect(new Refusal('noPrimary', '', {retryAfterMs: 7}).retryAfterMs).toEqual(7);
	});
});
