/**
 * Keys of the audit trail in the table.
 *
 * A partition holds the batches of one day (UTC). The table reads a partition upwards only,
 * so the sort keys begin with the time counted down from a far future: newest first. Node
 * and sequence follow, so that no two nodes write one item.
 */
import type {AuditRecord} from './types.js';

const largestTimeMs = 999_999_999_999_999;
const timeDigits = 15;
const sequenceDigits = 12;

/** Milliseconds of a day. */
export const dayMs = 86_400_000;

/** First millisecond of a time's day. */
export function dayStartMs(timeMs: number): number {
	return timeMs - (timeMs % dayMs);
}

/** Partition of a time's day. */
export function partitionOf(timeMs: number): string {
	return `audit#${new Date(timeMs).toISOString().slice(0, 10)}`;
}

/** Start of the sort keys of a time; it is before every whole key of that time. */
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

/** Place of an entry in the trail, newest first; also the cursor of the page after it. */
export function recordKey(record: AuditRecord): string {
	const countdown = String((10 ** sequenceDigits) - record.sequence).padStart(sequenceDigits, '0');
	return `${timePrefix(record.atMs)}#${record.node}#${countdown}`;
}
