/**
 * Keys of the audit trail in the table.
 *
 * A partition holds the batches of one day (UTC). The table reads a partition in ascending
 * order only, so the sort keys begin with the time subtracted from a time in the far future:
 * the newest come first. Node and sequence follow, so that no two nodes write the same item.
 */
import type {AuditRecord} from './types.js';

const largestTimeMs = 999_999_999_999_999;
const timeDigits = 15;
const sequenceDigits = 12;

/** Length of a day, in milliseconds. */
export const dayMs = 86_400_000;

/** Start of the day (UTC) that a time belongs to, in Unix milliseconds. */
export function dayStartMs(timeMs: number): number {
	return timeMs - (timeMs % dayMs);
}

/** Partition of the day that a time belongs to. */
export function partitionOf(timeMs: number): string {
	return `audit#${new Date(timeMs).toISOString().slice(0, 10)}`;
}

/** Prefix of the sort keys of a time; it sorts before every complete key of that time. */
export function timePrefix(timeMs: number): string {
	return String(largestTimeMs - timeMs).padStart(timeDigits, '0');
}

/** Time that a sort key or a cursor begins with; undefined when it is neither. */
export function timeOfKey(key: string): number | undefined {
	const digits = /^(?<digits>\d{15})(?:#|$)/v.exec(key)?.groups?.digits;
	return digits === undefined ? undefined : largestTimeMs - Number(digits);
}

/** Sort key of a batch by its latest time and its first entry. */
export function batchSortKey(latestMs: number, first: AuditRecord): string {
	return `${timePrefix(latestMs)}#${first.node}#${String(first.sequence).padStart(sequenceDigits, '0')}`;
}

/** Key that orders the entries of the trail newest first; also the cursor of the page after the entry. */
export function recordKey(record: AuditRecord): string {
	const countdown = String((10 ** sequenceDigits) - record.sequence).padStart(sequenceDigits, '0');
	return `${timePrefix(record.atMs)}#${record.node}#${countdown}`;
}
