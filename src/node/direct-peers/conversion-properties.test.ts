import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Arbitrary} from 'fast-check';
import {
	array, assert, boolean, constant, constantFrom, double, integer, maxSafeNat, oneof, option, property, record as anyRecord, tuple,
} from 'fast-check';
import {errorAnswers, Refusal} from '../../common/errors/error-kinds.js';
import type {ErrorKind} from '../../common/errors/error-kinds.js';
import {emptySessionState} from '../../common/pools/session-state.js';
import type {EndpointStatement, StatementFault} from '../../common/pools/types.js';
import type {
	EndpointAnswer, GroupOverview, PeerNotice, StoredRows,
} from '../../common/services/services.js';
import {anyLineText, anyName} from '../../common/testing/arbitrary-texts.js';
import {VirtualClock} from '../../common/testing/virtual-clock.js';
import type {MessageFns} from '../peers/generated/quetzalstream/direct.js';
import {
	ForwardedAnswer, LinkCall, Notice, NoticeAnswer, OverviewAnswer, RowsAnswer, StatusAnswer,
} from '../peers/generated/quetzalstream/direct.js';
import {
	fromFault, fromForwarded, fromNotice, fromOverviewAnswer, fromReply, fromRowsAnswer, fromStatusAnswer, packRows, toFault, toForwarded, toNotice,
	toOverviewAnswer, toReply, toRowsAnswer, toStatusAnswer, unpackRows,
} from './conversion.js';

/** Records as messages are: with the prototype of an object literal. */
function record<T>(model: {[Key in keyof T]: Arbitrary<T[Key]>}): Arbitrary<T> {
	return anyRecord(model, {noNullPrototype: true});
}

const runs = {seed: 58, numRuns: 300} as const;
const clock = new VirtualClock();
const anyTimeMs = integer({min: -1_000_000, max: 1_000_000});
const anyAgeMs = option(double({min: 0, noNaN: true}), {nil: undefined});
const anyPosition = record({term: maxSafeNat(), offset: maxSafeNat()});
const maybePosition = option(anyPosition, {nil: undefined});
const maybeName = option(anyName, {nil: undefined});
const anyAccess = constantFrom('read', 'write');

const anyStatement: Arbitrary<EndpointStatement> = record({
	id: anyLineText,
	text: anyLineText,
	call: option(record({prepared: record({access: anyAccess, shape: anyLineText}), parameters: anyLineText}), {nil: undefined}),
	session: array(tuple(anyLineText, anyLineText), {maxLength: 8}).map(values => ({...emptySessionState(), values: new Map(values)})),
	caller: anyName,
	organisation: maybeName,
	priority: integer(),
	access: anyAccess,
	floor: maybePosition,
	deadlineMs: integer({min: 0, max: 1_000_000}).map(leftMs => clock.nowMs() + leftMs),
	goalAtMs: option(anyTimeMs.map(leftMs => clock.nowMs() + leftMs), {nil: undefined}),
	silenceMs: option(integer({min: 0, max: 10_000}), {nil: undefined}),
});

const anyNode = record({
	name: anyName, availabilityZone: anyName, host: anyName, port: integer({min: 0, max: 65_535}), incarnation: anyName, cores: double({min: 0, noNaN: true}),
});

const anyNotice: Arbitrary<PeerNotice> = oneof<Array<Arbitrary<PeerNotice>>>(
	record({kind: constant('joined'), node: anyNode}),
	record({kind: constant('left'), name: anyName, incarnation: maybeName}),
	record({
		kind: constant('primary'), service: anyName, endpointId: anyName, term: maxSafeNat(),
	}),
	record({
		kind: constant('fence'), service: anyName, term: maxSafeNat(), isFenced: boolean(), holder: anyName, epoch: maxSafeNat(),
	}),
);

const anyOverview: Arbitrary<GroupOverview> = record({
	service: anyName,
	primaryId: anyName,
	term: maxSafeNat(),
	heardAgoMs: anyAgeMs,
	provedAgoMs: anyAgeMs,
	replacement: option(record({begunTerm: maxSafeNat(), agoMs: anyTimeMs, version: option(maxSafeNat(), {nil: undefined})}), {nil: undefined}),
	sample: option(record({position: anyPosition, agoMs: anyTimeMs}), {nil: undefined}),
});

const anyReply: Arbitrary<EndpointAnswer> = record({
	text: anyLineText,
	rows: constant([]),
	error: option(record({
		kind: constantFrom('busy', 'unknownStatement', 'behind', 'readOnly', 'failed', 'timeout', 'aborted', 'wrongEndpoint', 'tooManyConnections', 'other'),
		text: anyLineText,
	}), {nil: undefined}),
	status: constantFrom('idle', 'open', 'failed'),
	position: maybePosition,
});

const errorKinds = Object.keys(errorAnswers) as ErrorKind[]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the type is that of the keys

const anyFault: Arbitrary<StatementFault> = record({
	isSent: boolean(),
	refusal: record({kind: constantFrom(...errorKinds), detail: anyName, retryAfterMs: anyTimeMs})
		.map(({kind, detail, retryAfterMs}) => new Refusal(kind, detail, {retryAfterMs})),
	cause: constantFrom(undefined, 'refused', 'silent', 'closed', 'full'),
});

const anyRows: Arbitrary<StoredRows> = record({
	rows: array(record({
		table: constant('op'), key: anyName, value: maybeName, version: maxSafeNat(),
	}), {maxLength: 6}),
	version: maxSafeNat(),
	storeNowMs: constant(0),
	isHistoryGone: boolean(),
	provedAfterMs: double({noNaN: true}),
	areRedacted: constant(true),
});

/** A call as another node decodes it. */
function receivedCall(call: LinkCall['call']): LinkCall['call'] {
	return LinkCall.decode(LinkCall.encode({id: 1, call}).finish()).call;
}

/** A message as another node decodes it. */
function received<T>(codec: MessageFns<T>, message: T): T {
	return codec.decode(codec.encode(message).finish());
}

describe('messages between nodes that carry texts', () => {
	it('bring a statement unchanged, whatever its values, shape, parameters and callers are named', () => {
		assert(property(anyStatement, anyName, (statement, endpointId) => {
			const call = receivedCall({$case: 'run', value: {endpointId, work: {$case: 'run', value: toForwarded(statement, clock)}}});
			expect(call?.$case === 'run' && call.value.endpointId).toEqual(endpointId);
			const work = call?.$case === 'run' ? call.value.work : undefined;
			expect(work?.$case === 'run' && fromForwarded(work.value, clock)).toEqual(statement);
		}), runs);
	});

	it('bring a statement of a transaction unchanged, with the transaction that it belongs to', () => {
		assert(property(anyStatement, maxSafeNat(), maybeName, boolean(), (statement, heldId, incarnation, isReadOnly) => {
			const sent = toForwarded(statement, clock);
			const begun = receivedCall({$case: 'run', value: {endpointId: 'i', work: {$case: 'begin', value: {statement: sent, isReadOnly}}}});
			const begin = begun?.$case === 'run' && begun.value.work?.$case === 'begin' ? begun.value.work.value : undefined;
			expect({isReadOnly: begin?.isReadOnly, statement: fromForwarded(begin!.statement!, clock)}).toEqual({isReadOnly, statement});
			const continued = receivedCall({$case: 'run', value: {endpointId: '', work: {$case: 'runHeld', value: {heldId, incarnation, statement: sent}}}});
			const held = continued?.$case === 'run' && continued.value.work?.$case === 'runHeld' ? continued.value.work.value : undefined;
			expect({heldId: held?.heldId, incarnation: held?.incarnation, statement: fromForwarded(held!.statement!, clock)}).toEqual({heldId, incarnation, statement});
			const ended = {$case: 'run', value: {endpointId: '', work: {$case: 'end', value: {heldId, incarnation, manner: 1}}}} as const;
			expect(receivedCall(ended)).toEqual(ended);
		}), runs);
	});

	it('bring requests for status, rows, overviews and budgets unchanged', () => {
		assert(property(anyName, anyName, boolean(), (name, requester, isYes) => {
			const calls: ReadonlyArray<NonNullable<LinkCall['call']>> = [
				{$case: 'status', value: {endpointId: name, timeoutMs: 5}},
				{$case: 'overview', value: {service: name}},
				{$case: 'usage', value: {organisation: name, isLoan: isYes}},
				{
					$case: 'rows', value: {
						table: name, afterVersion: 3, waitMs: 7, acceptsParts: isYes, requester,
					},
				},
			];
			for (const call of calls) {
				expect(receivedCall(call)).toEqual(call);
			}
		}), runs);
	});

	it('bring notices unchanged', () => {
		assert(property(anyNotice, notice => {
			const call = receivedCall({$case: 'tell', value: toNotice(notice)});
			expect(call?.$case === 'tell' && fromNotice(call.value)).toEqual(notice);
			expect(fromNotice(received(Notice, toNotice(notice)))).toEqual(notice);
		}), runs);
	});

	it('bring the answer to a notice and overviews unchanged', () => {
		assert(property(anyNode, array(anyOverview, {maxLength: 4}), (self, overviews) => {
			expect(received(NoticeAnswer, {self})).toEqual({self});
			expect(fromOverviewAnswer(received(OverviewAnswer, toOverviewAnswer(overviews, 7)))).toEqual(overviews);
		}), runs);
	});

	it('bring the answers of endpoints and faults unchanged', () => {
		assert(property(anyReply, anyFault, maxSafeNat(), maybeName, (reply, fault, heldId, heldIncarnation) => {
			const replied = received(ForwardedAnswer, {outcome: {$case: 'reply', value: toReply(reply)}}).outcome;
			expect(replied?.$case === 'reply' && fromReply(replied.value)).toEqual(reply);
			const refused = received(ForwardedAnswer, {outcome: toFault(fault)}).outcome;
			expect(refused?.$case === 'fault' && fromFault(refused.value)).toEqual(fault);
			const held = received(ForwardedAnswer, {outcome: {$case: 'heldId', value: heldId}, heldIncarnation});
			expect({outcome: held.outcome, heldIncarnation: held.heldIncarnation}).toEqual({outcome: {$case: 'heldId', value: heldId}, heldIncarnation});
		}), runs);
	});

	it('bring the status of endpoints unchanged', () => {
		const anyStatus = record({
			isPrimary: boolean(), term: maxSafeNat(), received: anyPosition, fencedForTerm: maxSafeNat(), lagMs: double({min: 0, noNaN: true}),
			busySlots: integer({min: 0}), connections: integer({min: 0}),
		});
		assert(property(anyStatus, maybePosition, (status, applied) => {
			const report = {status, applied, sentAtMs: 3};
			expect(fromStatusAnswer(received(StatusAnswer, toStatusAnswer(report)), 3)).toEqual(report);
		}), runs);
	});

	it('bring rows unchanged, whole and compressed', () => {
		assert(property(anyRows, rows => {
			const sent = toRowsAnswer(rows);
			expect(fromRowsAnswer(received(RowsAnswer, sent), 'op')).toEqual(rows);
			expect(fromRowsAnswer(unpackRows({...sent, rows: []}, packRows(rows), 1_000_000)!, 'op')).toEqual(rows);
		}), runs);
	});
});
