/**
 * Explains the answer to a request from its id: merges what the nodes logged about the request
 * and about the group that it was sent to into one timeline.
 */
import type {LogEventName} from '../services/services.js';
import type {ErrorKind} from '../errors/error-kinds.js';
import {errorAnswers} from '../errors/error-kinds.js';
import type {LogLine} from './log-lines.js';

/** One line of a timeline, and whether it names the request itself. */
export type TimelineLine = {
	readonly line: LogLine;
	readonly isOwn: boolean;
};

/** The timeline of a request, and what to conclude from it. */
export type RequestTimeline = {
	readonly lines: readonly TimelineLine[];
	/** The line of the last refusal that the caller received; undefined if no node refused the request. */
	readonly refusal: LogLine | undefined;
	/** Conclusions, one sentence per item. */
	readonly conclusions: readonly string[];
};

/** Times before and after a request in which other events may explain its answer, in milliseconds. */
export type TimelineWindow = {
	readonly beforeMs: number;
	readonly afterMs: number;
};

/** Events of a group or an endpoint that affect where its statements are sent. */
const groupEvents: ReadonlySet<string> = new Set<LogEventName>([
	'primaryAdopted',
	'promotionStarted',
	'promotionFinished',
	'promotionFailed',
	'promotionDeferred',
	'promotionRefused',
	'promotionDutyMissed',
	'promotionOrdered',
	'promotionAccepted',
	'termFenced',
	'leaseStarted',
	'endpointStateChanged',
	'replicaFenced',
	'replicaResumed',
	'relayChosen',
	'orphanedFenceRemoved',
	'endpointRegistered',
	'endpointGone',
]);

/** Events of a node that may explain the answers of that node. */
const nodeEvents: ReadonlySet<string> = new Set<LogEventName>([
	'processStarted',
	'processDraining',
	'processStopped',
	'readinessChanged',
	'storeNotFollowed',
	'storeFollowed',
	'configurationInForce',
	'logLinesDropped',
	'clockJumped',
	'hostSuspected',
	'hostTrusted',
]);

/** What can be concluded about the cause of a refusal from its kind, in addition to its log line. */
const causes: Partial<Record<ErrorKind, (nearby: NearbyEvents) => string>> = {
	noPrimary: nearby => nearby.names.has('promotionStarted') || nearby.names.has('termFenced')
		? 'The group had no primary that could be proved while a promotion was under way.'
		: 'The node could neither reach nor prove the primary, and no promotion is logged: look for a network failure between this node and the endpoint.',
	overloaded: () => 'Every endpoint that was fresh enough was full or refused connections; the earlier lines name each of them.',
	deadlineUnreachable: () => 'The requests queued before it would have taken longer than the time that the request had left.',
	deadlineExceeded: () => 'The request waited in a queue until its deadline passed.',
	outcomeUnknown: nearby => nearby.names.has('primaryAdopted')
		? 'The statement had been sent, and its primary was replaced: the write stands if the new primary had received it.'
		: 'The statement had been sent, and its answer did not arrive: only a read of what it wrote shows whether it took effect.',
	transactionLost: () => 'The connection of the transaction broke before its commit was sent: the endpoint rolled it back.',
	tooStale: () => 'No endpoint that could be reached had applied the position of the session, or was as fresh as its route requires.',
	unknownGroup: () => 'No route of the configuration in force had the name of the database.',
	endpointUnavailable: () => 'The endpoint could not be reached, and no other could serve the request.',
	peerUnavailable: () => 'The node that holds the connections to the endpoint gave no answer.',
	shuttingDown: () => 'The node was stopping.',
};

type NearbyEvents = {readonly names: ReadonlySet<string>};

/** Builds the timeline of a request; undefined if no line names the request. */
export function buildRequestTimeline(lines: readonly LogLine[], request: string, times: TimelineWindow): RequestTimeline | undefined {
	const own = lines.filter(({fields}) => fields.request === request);
	if (own.length === 0) {
		return undefined;
	}

	const moments = own.map(({time}) => Date.parse(time));
	const startMs = Math.min(...moments) - times.beforeMs;
	const endMs = Math.max(...moments) + times.afterMs;
	const nodes = new Set(own.map(({node}) => node));
	const groups = groupsOf(own, lines);
	const near = lines.filter(line => {
		const atMs = Date.parse(line.time);
		const isNear = atMs >= startMs && atMs <= endMs;
		return isNear && line.fields.request === undefined && (isOfGroup(line, groups) || (nodeEvents.has(line.name) && nodes.has(line.node)));
	});
	const timeline = [...own, ...near]
		.toSorted((a, b) => Date.parse(a.time) - Date.parse(b.time) || a.number - b.number)
		.map(line => ({line, isOwn: line.fields.request === request}));
	const refusal = own.findLast(({name}) => name === 'statementRefused');
	return {lines: timeline, refusal, conclusions: drawConclusions(refusal, own, {names: new Set(near.map(({name}) => name))})};
}

/** Names of the groups and endpoints in the request's own lines, also in the detail of a refusal. */
function groupsOf(own: readonly LogLine[], lines: readonly LogLine[]): ReadonlySet<unknown> {
	const named = own.flatMap(({fields}) => [fields.group, fields.endpoint]);
	const details = own.map(({fields}) => fields.detail).filter(detail => typeof detail === 'string');
	const mentioned = lines
		.filter(({name, fields: {endpoint}}) => name === 'endpointRegistered' && typeof endpoint === 'string' && details.some(detail => mentions(detail, endpoint)))
		.flatMap(({fields}) => [fields.endpoint, fields.service]);
	return new Set([...named, ...mentioned].filter(value => typeof value === 'string'));
}

/** Whether a detail names an endpoint, and not one whose id only contains this one. */
function mentions(detail: string, endpoint: string): boolean {
	return ` ${detail} `.split(endpoint).some((before, index, parts) =>
		index + 1 < parts.length && /[^\w\-]$/v.test(before) && /^[^\w\-]/v.test(parts[index + 1]));
}

function isOfGroup({name, fields}: LogLine, groups: ReadonlySet<unknown>): boolean {
	return groupEvents.has(name) && [fields.group, fields.service, fields.endpoint, fields.primary].some(value => groups.has(value));
}

function drawConclusions(refusal: LogLine | undefined, own: readonly LogLine[], found: NearbyEvents): string[] {
	const isUnconfirmed = own.some(({name}) => name === 'writeUnconfirmed');
	const conclusions = [
		...refusal ? [describeAnswer(refusal), causeOf(refusal, found)] : ['No node refused the request: its lines show detours before it was answered.'],
		...isUnconfirmed ? ['Its write was acknowledged before a replica was known to have it: it is lost if the primary was lost right afterwards.'] : [],
		...found.names.has('logLinesDropped') ? ['A node dropped log lines in this time: the timeline may have gaps.'] : [],
	];
	return conclusions.filter(text => text !== '');
}

/** Describes the answer that the caller received. */
function describeAnswer({node, fields}: LogLine): string {
	const outcomes: Record<string, string> = {
		notRun: 'did not run', ran: 'ran', unknown: 'may or may not have run',
	};
	const outcome = outcomes[String(fields.outcome)] ?? String(fields.outcome);
	return `${node} answered ${String(fields.kind)} after ${String(fields.tookMs)} ms (${String(fields.detail)}); the request ${outcome}.`;
}

function causeOf({fields}: LogLine, found: NearbyEvents): string {
	const kind = String(fields.kind);
	return Object.hasOwn(errorAnswers, kind) ? causes[kind as ErrorKind]?.(found) ?? '' : ''; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a key of the table
}
