/**
 * What a refusal tells its caller in the error's hint.
 */
import {DatabaseError} from 'pg';

const hintPattern = /\boutcome=notRun\b.*\bretry_after_ms=(?<retryAfterMs>[1-9]\d*)\b/v;

/** When a request that did not run may be sent again; undefined when that is not said. */
export function retryAfterMsOf(error: unknown): number | undefined {
	const hint = error instanceof DatabaseError ? error.hint ?? '' : '';
	const retryAfterMs = hintPattern.exec(hint)?.groups?.retryAfterMs;
	return retryAfterMs === undefined ? undefined : Number(retryAfterMs);
}
