/**
 * Checks a history. It knows what callers were promised, and nothing of how the nodes keep the promises.
 */
import {groupBy} from '../../src/common/configuration/group-by.js';
import type {Finding} from '../findings.js';
import type {History, ReadRecord, WriteRecord} from './history.js';

/** Marks found in the tables at the end, by group and session. */
export type FinalTables = ReadonlyMap<string, readonly number[]>;

/** Key of a session's table in `FinalTables`. */
export function tableKey(group: string, session: number): string {
	return `${group}/${session}`;
}

/** Findings for every promise that a history and the final tables show to be broken. */
export function judge(history: History, tables: FinalTables): readonly Finding[] {
	return [
		...judgeWrites(history, tables),
		...judgeReads(history),
		...judgeOrder(history),
		...history.unanswered.map(({session, atMs}): Finding => ({promise: 'unanswered', detail: `session ${session} gave up at ${atMs}`})),
	];
}

function judgeWrites(history: History, tables: FinalTables): Finding[] {
	const violations: Finding[] = [];
	const known = new Set(history.writes.flatMap(({marks}) => marks));
	for (const write of history.writes) {
		const table = tables.get(tableKey(write.group, write.session)) ?? [];
		const counts = write.marks.map(mark => table.filter(found => found === mark).length);
		violations.push(...judgeCounts(write, counts));
	}

	for (const [key, marks] of tables) {
		const invented = marks.filter(mark => !known.has(mark));
		if (invented.length > 0) {
			violations.push({promise: 'invented', detail: `${key} holds ${invented.join(', ')}`});
		}
	}

	return violations;
}

function judgeCounts(write: WriteRecord, counts: readonly number[]): Finding[] {
	const name = `write ${write.marks.join('+')} of session ${write.session} in ${write.group} (${write.outcome} ${write.detail} at ${write.endMs})`;
	const violations: Finding[] = [];
	if (write.outcome === 'acknowledged' && counts.includes(0)) {
		violations.push({promise: 'lost', detail: name});
	}

	if (counts.some(count => count > 1)) {
		violations.push({promise: 'doubled', detail: `${name}: ${counts.join(', ')} times`});
	}

	if (write.outcome === 'notRun' && counts.some(count => count > 0)) {
		violations.push({promise: 'ranAfterNotRun', detail: name});
	}

	if (new Set(counts.map(Boolean)).size > 1) {
		violations.push({promise: 'mixed', detail: `${name}: only part of the transaction is visible`});
	}

	return violations;
}

function judgeReads({reads, writes}: History): Finding[] {
	const written = groupBy(writes, ({group, session}) => tableKey(group, session));
	return reads.flatMap(read => judgeRead(read, written.get(tableKey(read.group, read.target)) ?? []));
}

function judgeRead(read: ReadRecord, writes: readonly WriteRecord[]): Finding[] {
	const name = `read at ${read.startMs}-${read.endMs} of session ${read.target} in ${read.group} by session ${read.session}`;
	if (!read.isOwnAnswer) {
		return [{promise: 'foreignAnswer', detail: name}];
	}

	const seen = new Set(read.marks);
	const violations: Finding[] = [];
	if (seen.size < read.marks.length) {
		violations.push({promise: 'doubled', detail: name});
	}

	for (const write of writes) {
		violations.push(...judgeSeen(read, write, seen).map(violation => ({...violation, detail: `${name}: ${violation.detail}`})));
	}

	return violations;
}

/** Findings from one read about one write to the table that it read. */
function judgeSeen(read: ReadRecord, write: WriteRecord, seen: ReadonlySet<number>): Finding[] {
	const presence = write.marks.map(mark => seen.has(mark));
	const detail = `write ${write.marks.join('+')} acknowledged at ${write.endMs}`;
	const violations: Finding[] = [];
	if (new Set(presence).size > 1) {
		violations.push({promise: 'mixed', detail});
	}

	if (write.outcome === 'notRun' && presence.includes(true)) {
		violations.push({promise: 'ranAfterNotRun', detail});
	}

	const isMissed = write.outcome === 'acknowledged' && presence.includes(false);
	if (isMissed && read.maximumAgeMs === undefined && write.session === read.session && write.endMs <= read.startMs) {
		violations.push({promise: 'stale', detail});
	}

	if (isMissed && read.maximumAgeMs !== undefined && write.endMs <= read.startMs - read.maximumAgeMs) {
		violations.push({promise: 'tooOld', detail});
	}

	return violations;
}

/** Checks that a session that carries its token never sees less than it saw before. */
function judgeOrder(history: History): Finding[] {
	const violations: Finding[] = [];
	const lastSeen = new Map<string, ReadRecord>();
	for (const read of history.reads.filter(({hasToken, maximumAgeMs}) => hasToken && maximumAgeMs === undefined)) {
		const key = `${read.group}/${read.session}/${read.target}`;
		const before = lastSeen.get(key);
		const missing = before?.marks.filter(mark => !read.marks.includes(mark)) ?? [];
		if (before && before.endMs <= read.startMs && missing.length > 0) {
			violations.push({promise: 'wentBack', detail: `session ${read.session} saw ${missing.join(', ')} at ${before.endMs} but not at ${read.endMs}`});
		}

		lastSeen.set(key, read);
	}

	return violations;
}
