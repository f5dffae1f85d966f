import {describe, it} from 'node:test';
import {expect} from 'earl';
import {DatabaseError} from 'pg';
import {retryAfterMsOf, withRetries} from './retry-hint.js';

function refusal(hint: string): DatabaseError {
	const error = new DatabaseError('refused', 0, 'error');
	error.hint = hint;
	return error;
}

describe('retryAfterMsOf', () => {
	it('reads the hint only of requests that did not run', () => {
		expect(retryAfterMsOf(refusal('outcome=notRun retry_after_ms=120 kind=overloaded'))).toEqual(120);
		expect(retryAfterMsOf(refusal('outcome=notRun retry_after_ms=0 kind=invalidToken'))).toEqual(undefined);
		expect(retryAfterMsOf(refusal('outcome=unknown retry_after_ms=1000 kind=outcomeUnknown'))).toEqual(undefined);
		expect(retryAfterMsOf(new Error('outcome=notRun retry_after_ms=120'))).toEqual(undefined);
	});
});

describe('withRetries', () => {
	it('never repeats a request that may have run', async () => {
		let calls = 0;
		const act = async (): Promise<never> => {
			calls++;
			throw refusal('outcome=unknown retry_after_ms=1 kind=outcomeUnknown');
		};

		await expect(withRetries(act)).toBeRejectedWith('refused');
		expect(calls).toEqual(1);
	});

	it('gives up after the maximum number of retries', async () => {
		let calls = 0;
		const act = async (): Promise<never> => {
			calls++;
			throw refusal('outcome=notRun retry_after_ms=1 kind=overloaded');
		};

		await expect(withRetries(act)).toBeRejectedWith('refused');
		expect(calls).toEqual(6);
	});
});
