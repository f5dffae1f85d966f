import {describe, it} from 'node:test';
import {expect} from 'earl';
import {FirstAttempt} from './first-attempt.js';

const refused = {
	text: 'READ x', arrivedAtMs: 1000, endedAtMs: 1010, retryAfterMs: 90, goalMs: 200,
};

describe('FirstAttempt', () => {
	it('counts retries of a refused statement from the first attempt', () => {
		const attempts = new FirstAttempt();
		attempts.noteEnd(refused);
		expect(attempts.firstAtMs('READ x', 1100)).toEqual(1000);
		attempts.noteEnd({
			...refused, arrivedAtMs: 1100, endedAtMs: 1100, retryAfterMs: 300,
		});
		expect(attempts.firstAtMs('READ x', 1400)).toEqual(1000);
	});

	// Guards against treating new requests as late.
	const newRequests: ReadonlyArray<{name: string; text: string; arrivedAtMs: number; ended: typeof refused | Omit<typeof refused, 'retryAfterMs'> & {retryAfterMs: undefined}}> = [
		{
			name: 'another statement', text: 'READ y', arrivedAtMs: 1100, ended: refused,
		},
		{
			name: 'the same statement after an answer', text: 'READ x', arrivedAtMs: 1100, ended: {...refused, retryAfterMs: undefined},
		},
		{
			name: 'the same statement after a refusal that a retry does not help', text: 'READ x', arrivedAtMs: 1100, ended: {...refused, retryAfterMs: 0},
		},
		{
			name: 'the same statement long after its return time', text: 'READ x', arrivedAtMs: 1301, ended: refused,
		},
	];
	for (const {name, text, arrivedAtMs, ended} of newRequests) {
		it(`counts as new ${name}`, () => {
			const attempts = new FirstAttempt();
			attempts.noteEnd(ended);
			expect(attempts.firstAtMs(text, arrivedAtMs)).toEqual(arrivedAtMs);
		});
	}
});
