/**
 * Summarises the collected logs of all nodes: why requests were refused in each span of time,
 * and which events happened in it.
 */
import {groupBy} from '../configuration/group-by.js';
import type {ErrorKind} from '../errors/error-kinds.js';
import type {LogEventName} from '../services/services.js';
import type {LogLine} from './log-lines.js';

/** All causes of refusals. */
export const refusalCauses = [
	'primaryUnknown',
	'termNotProved',
	'primaryOutOfReach',
	'noConnection',
	'noSlotInTime',
	'noFreshEndpoint',
	'endpointOutOfReach',
	'answerLost',
	'leaving',
	'requestItself',
] as const;

/** What a refused request had waited for, or failed on. */
export type RefusalCause = typeof refusalCauses[number];

/** A span of time of the day. */
export type DaySpan = {
	/** Start of the span, in milliseconds after the day's first line. */
	readonly fromMs: number;
	/** Refused requests by cause; causes without any are left out. */
	readonly refused: Readonly<Partial<Record<RefusalCause, number>>>;
	/** Events of the span: one text per kind of event, with the nodes, groups or endpoints concerned. */
	readonly marks: readonly string[];
};

/** Summary of the logs of a day. */
export type DaySummary = {
	/** Time of the first line, in Unix milliseconds. */
	readonly startMs: number;
	/** Spans with refused requests or events, in order of time. */
	readonly spans: readonly DaySpan[];
	/** Refused requests of the whole day by cause, the most frequent first. */
	readonly totals: ReadonlyArray<readonly [RefusalCause, number]>;
};

/** Causes by kind of refusal; if a kind has several, the refusal's detail decides. */
const causes: Readonly<Partial<Record<ErrorKind, (detail: string) => RefusalCause>>> = {
	noPrimary: detail => noPrimaryCause(detail),
	notPrimary: () => 'primaryOutOfReach',
	overloaded: detail => detail.includes('connections') ? 'noConnection' : 'noSlotInTime',
	deadlineUnreachable: () => 'noSlotInTime',
	deadlineExceeded: () => 'noSlotInTime',
	tooStale: () => 'noFreshEndpoint',
	behindToken: () => 'noFreshEndpoint',
	endpointUnavailable: () => 'endpointOutOfReach',
	peerUnavailable: () => 'endpointOutOfReach',
	outcomeUnknown: () => 'answerLost',
	answerCutShort: () => 'answerLost',
	transactionLost: () => 'answerLost',
	endpointLeaving: () => 'leaving',
	shuttingDown: () => 'leaving',
};

/** Events that explain refusals, and the field that names what they concern; undefined if that is the node that logged them. */
const markedEvents: ReadonlyMap<string, string | undefined> = new Map<LogEventName, string | undefined>([
	['processLoaded', undefined],
	['processReady', undefined],
	['processDraining', undefined],
	['readinessChanged', undefined],
	['storeNotFollowed', undefined],
	['storeFollowed', undefined],
	['clockJumped', undefined],
	['logLinesDropped', undefined],
	['promotionStarted', 'group'],
	['promotionFinished', 'group'],
	['promotionFailed', 'group'],
	['endpointRestarted', 'endpoint'],
	['endpointGone', 'endpoint'],
]);

/** Summarises a day in spans of `spanMs`; undefined if there are no lines. */
export function summariseDay(lines: readonly LogLine[], spanMs: number): DaySummary | undefined {
	const [startMs] = lines.map(({time}) => Date.parse(time)).toSorted((a, b) => a - b);
	if (startMs === undefined) {
		return undefined;
	}

	const bySpan = groupBy(lines, ({time}) => Math.floor((Date.parse(time) - startMs) / spanMs));
	const spans = [...bySpan.entries()]
		.toSorted(([a], [b]) => a - b)
		.map(([index, inSpan]) => ({fromMs: index * spanMs, refused: countCauses(inSpan), marks: marksOf(inSpan)}))
		.filter(({refused, marks}) => marks.length > 0 || Object.keys(refused).length > 0);
	return {startMs, spans, totals: countsByCause(countCauses(lines))};
}

/** Causes with their counts, the most frequent first. */
export function countsByCause(refused: DaySpan['refused']): Array<readonly [RefusalCause, number]> {
	const entries = refusalCauses.map(cause => [cause, refused[cause] ?? 0] as const);
	return entries.filter(([, count]) => count > 0).toSorted(([, a], [, b]) => b - a);
}

function countCauses(lines: readonly LogLine[]): DaySpan['refused'] {
	const counts: Partial<Record<RefusalCause, number>> = {};
	for (const {fields} of lines.filter(({name}) => name === 'statementRefused')) {
		const cause = causeOf(String(fields.kind), String(fields.detail));
		counts[cause] = (counts[cause] ?? 0) + 1;
	}

	return counts;
}

function causeOf(kind: string, detail: string): RefusalCause {
	return Object.hasOwn(causes, kind) ? causes[kind as ErrorKind]!(detail) : 'requestItself'; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a key of the table
}

function noPrimaryCause(detail: string): RefusalCause {
	if (detail.startsWith('none known')) {
		return 'primaryUnknown';
	}

	return detail.endsWith('not proved') ? 'termNotProved' : 'primaryOutOfReach';
}

function marksOf(lines: readonly LogLine[]): string[] {
	const marked = lines.filter(({name}) => markedEvents.has(name));
	const byName = groupBy(marked, ({name}) => name);
	return [...byName].map(([name, events]) => {
		const field = markedEvents.get(name);
		const concerned = new Set(events.map(({node, fields}) => field === undefined ? node : String(fields[field])));
		return `${name} (${[...concerned].join(', ')})`;
	});
}
