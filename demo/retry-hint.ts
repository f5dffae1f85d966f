/**
 * What a refusal tells its caller in the error's hint, and callers that follow it.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {DatabaseError} from 'pg';
import {workload} from './constants.js';

const hintPattern = /\boutcome=notRun\b.*\bretry_after_ms=(?<retryAfterMs>[1-9]\d*)\b/v;

/** When a request that did not run may be sent again; undefined when that is not said. */
export function retryAfterMsOf(error: unknown): number | undefined {
	const hint = error instanceof DatabaseError ? error.hint ?? '' : '';
	const retryAfterMs = hintPattern.exec(hint)?.groups?.retryAfterMs;
	return retryAfterMs === undefined ? undefined : Number(retryAfterMs);
}

/** Asks again where the answer says that nothing ran and when to come back. */
export async function withRetries<T>(act: () => Promise<T>, onRetry: () => void = () => undefined): Promise<T> {
	for (let retries = 0; ; retries++) {
		try {
			return await act();
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
