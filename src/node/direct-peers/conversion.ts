/**
 * Conversion between the messages on links and the types of the node.
 */
import {deflateSync, inflateSync} from 'node:zlib';
import {Refusal, errorAnswers} from '../../common/errors/error-kinds.js';
import type {ErrorKind} from '../../common/errors/error-kinds.js';
import type {LoadReport} from '../../common/load/load-report.js';
import type {EndpointStatement, ReportedStatus, StatementFault} from '../../common/pools/types.js';
import type {
	Clock, EndManner, EndpointAnswer, EndpointErrorKind, GroupOverview, PeerNotice, StoredRows, TransactionStatus,
} from '../../common/services/services.js';
import type {
	ForwardedAnswer, ForwardedFault, ForwardedReply, ForwardedStatement, LoadReport as SentLoadReport, Notice, OverviewAnswer, StatusAnswer,
} from '../peers/generated/quetzalstream/direct.js';
import {EndTransaction_Manner as Manner, RowsAnswer} from '../peers/generated/quetzalstream/direct.js';

/** The manners of ending a transaction as they are sent. */
export const manners: Readonly<Record<EndManner, Manner>> = {
	release: Manner.MANNER_RELEASE,
	rollBack: Manner.MANNER_ROLL_BACK,
	close: Manner.MANNER_CLOSE,
};

/** The manner that was sent; an unknown one becomes `close`, which is safe regardless of what it means. */
export function mannerOf(manner: Manner): EndManner {
	const known = Object.entries(manners).find(([, value]) => value === manner);
	return known ? known[0] as EndManner : 'close'; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- keys of the table above
}

/** A notice as it is sent. */
export function toNotice(notice: PeerNotice): Notice {
	switch (notice.kind) {
		case 'joined': {
			return {kind: {$case: 'joined', value: notice.node}};
		}

		case 'left': {
			return {kind: {$case: 'left', value: notice.name}, leftIncarnation: notice.incarnation};
		}

		case 'primary': {
			const {service, endpointId, term} = notice;
			return {kind: {$case: 'primary', value: {service, endpointId, term}}};
		}

		case 'fence': {
			const {
				service, term, isFenced, holder, epoch,
			} = notice;
			return {
				kind: {
					$case: 'fence', value: {
						service, term, isFenced, holder, epoch,
					},
				},
			};
		}
	}
}

/** The notice that was sent; undefined for a kind that this node does not know. */
export function fromNotice({kind, leftIncarnation}: Notice): PeerNotice | undefined {
	switch (kind?.$case) {
		case 'joined': {
			return {kind: 'joined', node: kind.value};
		}

		case 'left': {
			return {kind: 'left', name: kind.value, incarnation: leftIncarnation};
		}

		case 'primary': {
			return {kind: 'primary', ...kind.value};
		}

		case 'fence': {
			return {kind: 'fence', ...kind.value};
		}

		case undefined: {
			return undefined;
		}
	}
}

/** Group overviews as they are sent. */
export function toOverviewAnswer(groups: readonly GroupOverview[], configurationVersion: number): OverviewAnswer {
	return {
		// Operators may write any number; no node reads this field of its peers.
		configurationVersion: Number.isSafeInteger(configurationVersion) ? configurationVersion : 0,
		groups: groups.map(({
			service, primaryId, term, heardAgoMs, provedAgoMs, replacement, sample,
		}) => ({
			primary: {service, endpointId: primaryId, term},
			heardAgoMs,
			provedAgoMs,
			sample: sample?.position,
			sampleAgoMs: sample?.agoMs ?? 0,
			begunTerm: replacement?.begunTerm,
			begunAgoMs: replacement?.agoMs ?? 0,
			begunVersion: replacement?.version,
		})),
	};
}

/** The group overviews that were sent. */
export function fromOverviewAnswer({groups}: OverviewAnswer): GroupOverview[] {
	return groups.flatMap(({
		primary, heardAgoMs, provedAgoMs, sample, sampleAgoMs, begunTerm, begunAgoMs, begunVersion,
	}) => primary
		? [{
			service: primary.service,
			primaryId: primary.endpointId,
			term: primary.term,
			heardAgoMs,
			provedAgoMs,
			replacement: begunTerm === undefined ? undefined : {begunTerm, agoMs: begunAgoMs, version: begunVersion},
			sample: sample && {position: sample, agoMs: sampleAgoMs},
		}]
		: []);
}

/** A statement as it is sent, with the remaining time in milliseconds in place of its deadline. */
export function toForwarded(statement: EndpointStatement, clock: Clock): ForwardedStatement {
	const {id, text, call, session, caller, organisation, priority, access, floor, deadlineMs, goalAtMs, silenceMs} = statement;
	return {
		id,
		organisation,
		silenceMs,
		text,
		caller,
		priority: toInt32(priority),
		floor,
		isWrite: access === 'write',
		call: call && {isWrite: call.prepared.access === 'write', shape: call.prepared.shape, parameters: call.parameters},
		values: new Map(session.values),
		timeLeftMs: Math.max(0, deadlineMs - clock.nowMs()),
		goalLeftMs: goalAtMs === undefined ? undefined : goalAtMs - clock.nowMs(),
	};
}

const int32Range = {minimum: -(2 ** 31), maximum: (2 ** 31) - 1} as const;

/** The nearest whole number towards zero that an int32 field holds: operators may write any number. */
function toInt32(value: number): number {
	const {minimum, maximum} = int32Range;
	return Math.trunc(Math.min(maximum, Math.max(minimum, value)));
}

/** The statement that was sent, with its deadline on this node's clock. */
export function fromForwarded(statement: ForwardedStatement, clock: Clock): EndpointStatement {
	const {id, text, call, values, caller, organisation, priority, isWrite, floor, timeLeftMs, goalLeftMs, silenceMs} = statement;
	return {
		id,
		organisation,
		silenceMs,
		text,
		caller,
		priority,
		floor,
		access: isWrite ? 'write' : 'read',
		call: call && {prepared: {access: call.isWrite ? 'write' : 'read', shape: call.shape}, parameters: call.parameters},
		session: {values, prepared: new Map()},
		deadlineMs: clock.nowMs() + timeLeftMs,
		goalAtMs: goalLeftMs === undefined ? undefined : clock.nowMs() + goalLeftMs,
	};
}

/** An endpoint's answer as it is sent. */
export function toReply({text, error, status, position}: EndpointAnswer): ForwardedReply {
	return {
		text, status, position, errorKind: error?.kind ?? '', errorText: error?.text ?? '',
	};
}

const transactionStatuses = {idle: true, open: true, failed: true} as const satisfies Record<TransactionStatus, true>;

const endpointErrorKinds = {
	busy: true, unknownStatement: true, behind: true, readOnly: true, failed: true, timeout: true, aborted: true, wrongEndpoint: true, tooManyConnections: true, other: true,
} as const satisfies Record<EndpointErrorKind, true>;

function isTransactionStatus(text: string): text is TransactionStatus {
	return Object.hasOwn(transactionStatuses, text);
}

function isEndpointErrorKind(text: string): text is EndpointErrorKind {
	return Object.hasOwn(endpointErrorKinds, text);
}

/** The endpoint's answer that was sent. Of a status that this node does not know, no transaction is open; an unknown kind of error becomes `other`. */
export function fromReply(reply: ForwardedReply): EndpointAnswer {
	const {text, status, position, errorKind, errorText} = reply;
	return {
		text,
		rows: [],
		position,
		status: isTransactionStatus(status) ? status : 'failed',
		error: errorKind === '' ? undefined : {kind: isEndpointErrorKind(errorKind) ? errorKind : 'other', text: errorText},
	};
}

/** A fault as it is sent. */
export function toFault({isSent, refusal, cause}: StatementFault): {$case: 'fault'; value: ForwardedFault} {
	const {kind, detail, retryAfterMs} = refusal;
	return {
		$case: 'fault', value: {
			isSent, kind, detail, retryAfterMs, cause: cause ?? '',
		},
	};
}

const faultCauses = {
	refused: true, silent: true, closed: true, full: true,
} as const satisfies Record<NonNullable<StatementFault['cause']>, true>;

/** The fault that was sent. */
export function fromFault({isSent, kind, detail, retryAfterMs, cause}: ForwardedFault): StatementFault {
	const known = Object.hasOwn(errorAnswers, kind) ? kind as ErrorKind : 'peerUnavailable'; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a key of the table
	return {
		isSent,
		refusal: new Refusal(known, detail, {retryAfterMs}),
		cause: Object.hasOwn(faultCauses, cause) ? cause as keyof typeof faultCauses : undefined, // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a key of the table
	};
}

/** Largest time in milliseconds that a load report states: longer than any statement timeout. */
const longestReportedMs = 1_000_000;

/** A load report as it is sent; times are rounded to save bytes, except the service time. */
export function toLoadReport({waitsMs, serviceMs, failedShare, measured, applied, lagMs}: LoadReport): SentLoadReport {
	return {
		serviceMs,
		measured,
		applied,
		waitsMs: waitsMs.map(waitMs => wholeMs(waitMs)),
		failedPerMille: Math.round(failedShare * 1000),
		lagMs: lagMs === undefined ? undefined : wholeMs(lagMs),
	};
}

/** The load report that was sent. */
export function fromLoadReport({failedPerMille, ...report}: SentLoadReport): LoadReport {
	return {
		...report, failedShare: failedPerMille / 1000, applied: report.applied, lagMs: report.lagMs,
	};
}

function wholeMs(timeMs: number): number {
	return Math.round(Math.min(longestReportedMs, Math.max(0, timeMs)));
}

/** An endpoint's status as it is sent; the requesting node computes its age from the time of its own request. */
export function toStatusAnswer({status, applied}: ReportedStatus): StatusAnswer {
	return {outcome: {$case: 'status', value: {...status, applied}}};
}

/** The status that was sent in answer to a request of time `sentAtMs`; undefined if the answer holds none. */
export function fromStatusAnswer({outcome}: StatusAnswer, sentAtMs: number): ReportedStatus | undefined {
	if (outcome?.$case !== 'status' || !outcome.value.received) {
		return undefined;
	}

	const {applied, received, ...status} = outcome.value;
	return {status: {...status, received}, applied, sentAtMs};
}

/** Rows of a followed table as they are sent; `answer` is undefined if the table is not followed. */
export function toRowsAnswer(answer: StoredRows | undefined): RowsAnswer {
	if (!answer) {
		return {
			isFollowed: false, rows: [], version: 0, isHistoryGone: false,
		};
	}

	const {rows, version, isHistoryGone, provedAfterMs} = answer;
	return {
		isFollowed: true, version, isHistoryGone, provedAfterMs, rows: rows.map(({key, value, version: changed}) => ({key, value, version: changed})),
	};
}

/** The rows that were sent. */
export function fromRowsAnswer({rows, version, isHistoryGone, provedAfterMs}: RowsAnswer, table: string): StoredRows {
	return {
		version,
		isHistoryGone,
		// A peer that does not state the age of its rows proves nothing.
		provedAfterMs: provedAfterMs ?? Number.NEGATIVE_INFINITY,
		areRedacted: true,
		// The message carries no time of the store's clock, and the peer's own clock cannot replace it.
		storeNowMs: 0,
		rows: rows.map(({key, value, version: changed}) => ({
			table, key, value, version: changed,
		})),
	};
}

/** Approximate size of rows in bytes: their keys and values. */
export function rowsSize({rows}: StoredRows): number {
	let size = 0;
	for (const {key, value} of rows) {
		size += key.length + (value?.length ?? 0);
	}

	return size;
}

/** Rows in compressed form, without the facts of one answer. */
export function packRows(answer: StoredRows): Uint8Array {
	const rowsOnly: RowsAnswer = {
		...toRowsAnswer(answer), isFollowed: false, version: 0, isHistoryGone: false, provedAfterMs: undefined,
	};
	return deflateSync(RowsAnswer.encode(rowsOnly).finish());
}

/** The answer with its compressed rows; undefined if they cannot be read or exceed the maximum size. */
export function unpackRows(head: RowsAnswer, packed: Uint8Array, maximumBytes: number): RowsAnswer | undefined {
	try {
		return {...head, rows: RowsAnswer.decode(inflateSync(packed, {maxOutputLength: maximumBytes})).rows};
	} catch {
		return undefined;
	}
}
