/**
 * From the id of a request to its cause: what nodes logged of it, and of the group that it
 * went to, as one timeline.
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

/** What became of a request. */
export type RequestTimeline = {
	readonly lines: readonly TimelineLine[];
	/** What the caller was told last; undefined where no node refused the request. */
	readonly refusal: LogLine | undefined;
	/** What to conclude, one sentence an item. */
	readonly conclusions: readonly string[];
};

/** Times around a request in which other events may explain it, in milliseconds. */
export type TimelineWindow = {
	readonly beforeMs: number;
	readonly afterMs: number;
};

/** Events of a group or an endpoint that decide where its statements go. */
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

/** Events of the node that answered. */
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

/** What a refusal of a kind says about its cause, beyond its own line. */
const causes: Partial<Record<ErrorKind, (story: NearbyEvents) => string>> = {
	noPrimary: story => story.names.has('promotionStarted') || story.names.has('termFenced')
		? 'The group had no primary that could be proved while a promotion was under way.'
		: 'The node could neither reach nor prove the primary, and no promotion is logged: look for a cut between this node and the endpoint.',
	overloaded: () => 'Every endpoint that was fresh enough was full or refused connections; the lines before name each.',
	deadlineUnreachable: () => 'What was queued before it would have taken longer than the time that the request had left.',
	deadlineExceeded: () => 'The request waited in a queue until its time was over.',
	outcomeUnknown: story => story.names.has('primaryAdopted')
		? 'The statement had been sent, and its primary was replaced: the write stands if the new primary had received it.'
		: 'The statement had been sent, and its answer did not come: only a read of what it wrote tells whether it took effect.',
	transactionLost: () => 'The connection of the transaction broke before its commit was sent: the endpoint rolled it back.',
	tooStale: () => 'No endpoint that could be reached had what the session had seen, or was as fresh as its route asks.',
	unknownGroup: () => 'No route of the configuration in force had the name of the database.',
	endpointUnavailable: () => 'The endpoint could not be reached, and no other could take the request.',
	peerUnavailable: () => 'The node that holds the connections to the endpoint gave no answer.',
	shuttingDown: () => 'The node was stopping.',
};

type NearbyEvents = {readonly names: ReadonlySet<string>};

/** Puts together what is known of a request; undefined where no line names it. */
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

/** Names of the groups and endpoints that lines name, also in the text of a refusal. */
function groupsOf(own: readonly LogLine[], lines: readonly LogLine[]): ReadonlySet<unknown> {
	const named = own.flatMap(({fields}) => [fields.group, fields.endpoint]);
	const details = own.map(({fields}) => typeof fields.detail === 'string' ? fields.detail : '').join(' ');
	const mentioned = lines
		.filter(({name, fields}) => name === 'endpointRegistered' && details.includes(String(fields.endpoint)))
		.flatMap(({fields}) => [fields.endpoint, fields.service]);
	return new Set([...named, ...mentioned].filter(value => typeof value === 'string'));
}

function isOfGroup({name, fields}: LogLine, groups: ReadonlySet<unknown>): boolean {
	return groupEvents.has(name) && [fields.group, fields.service, fields.endpoint, fields.primary].some(value => groups.has(value));
}

function drawConclusions(refusal: LogLine | undefined, own: readonly LogLine[], found: NearbyEvents): string[] {
	const isUnconfirmed = own.some(({name}) => name === 'writeUnconfirmed');
	const conclusions = [
		...refusal ? [describeAnswer(refusal), causeOf(refusal, found)] : ['No node refused the request: what is logged are detours on its way to an answer.'],
		...isUnconfirmed ? ['Its write was acknowledged before a replica was known to have it: it is lost if its primary was lost right after.'] : [],
		...found.names.has('logLinesDropped') ? ['A node left out lines in this time: the timeline may have gaps.'] : [],
	];
	return conclusions.filter(text => text !== '');
}

/** What the caller was told of it. */
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
