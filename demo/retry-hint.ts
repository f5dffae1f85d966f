/**
 * Reads the retry hint of refusals, and retries requests accordingly.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {DatabaseError} from 'pg';
import {workload} from './constants.js';

const hintPattern = /\boutcome=notRun\b.*\bretry_after_ms=(?<retryAfterMs>[1-9]\d*)\b/v;

/** Milliseconds after which a request that did not run may be sent again; undefined if the error does not say so. */
export function retryAfterMsOf(error: unknown): number | undefined {
	const hint = error instanceof DatabaseError ? error.hint ?? '' : '';
	const retryAfterMs = hintPattern.exec(hint)?.groups?.retryAfterMs;
	return retryAfterMs === undefined ? undefined : Number(retryAfterMs);
}

/** Repeats a request that did not run after the time that the refusal names; rejects with the last error after the maximum number of retries. */
export async function withRetries<T>(operation: () => Promise<T>, onRetry: () => void = () => undefined): Promise<T> {
	for (let retries = 0; ; retries++) {
		try {
			return await operation();
		} catch (error) {
			const retryAfterMs = retryAfterMsOf(error);
			if (retryAfterMs === undefined || retries === workload.maximumRetries) {
				throw error;
			}

			onRetry();
			await pause(retryAfterMs);
		}
	}
}
