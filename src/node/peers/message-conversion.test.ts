import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Arbitrary} from 'fast-check';
import {
	array, assert, boolean, constant, constantFrom, double, integer, maxSafeNat, option, property, record as anyRecord, uint8Array,
} from 'fast-check';
import type {ErrorKind} from '../../common/errors/error-kinds.js';
import {errorAnswers, Refusal} from '../../common/errors/error-kinds.js';
import type {
	GroupView, HomeEnd, HomeRequest, Host,
} from '../../common/services/services.js';
import {anyName} from '../../common/testing/arbitrary-texts.js';
import type {Envelope, MessageFns} from './generated/quetzalstream/peer.js';
import {
	AnswerEnd, Execute, GroupViewAnswer, Refused,
} from './generated/quetzalstream/peer.js';
import {deserializeBatch, serializeBatch} from './link-definition.js';
import {
	fromAnswerEnd, fromExecute, fromGroupView, fromHost, fromRefused, toAnswerEnd, toExecute, toGroupView, toRefused,
} from './message-conversion.js';

type Body = NonNullable<Envelope['body']>;

const runs = {seed: 58, numRuns: 300} as const;
const anyMs = double({min: 0, noNaN: true});
const anyPosition = record({term: maxSafeNat(), offset: maxSafeNat()});
const maybeName = option(anyName, {nil: undefined});

/** Records as messages are: with the prototype of an object literal. */
function record<T>(model: {[Key in keyof T]: Arbitrary<T[Key]>}): Arbitrary<T> {
	return anyRecord(model, {noNullPrototype: true});
}

const anyRequest: Arbitrary<HomeRequest> = record({
	group: anyName,
	endpoint: anyName,
	sessionId: anyName,
	caller: anyName,
	frames: uint8Array({maxLength: 20}),
	access: constantFrom('read', 'write'),
	step: constantFrom('none', 'begin', 'commit', 'rollback'),
	isInTransaction: boolean(),
	isIdempotent: boolean(),
	minimumPosition: anyPosition,
	maximumAgeMs: option(anyMs, {nil: undefined}),
	isFreshnessProved: boolean(),
	timeLeftMs: anyMs,
	priority: integer(),
	transactionIdleMs: anyMs,
});

const anyCorrection = record({term: option(maxSafeNat(), {nil: undefined}), primary: maybeName, homeNode: maybeName});

const anyEnd: Arbitrary<HomeEnd> = record({
	transactionStatus: constantFrom('idle', 'open', 'failed'),
	position: anyPosition,
	isHeld: boolean(),
	errorSqlState: maybeName,
	queuedMs: anyMs,
	ageMs: option(anyMs, {nil: undefined}),
	correction: option(anyCorrection, {nil: undefined}),
});

const errorKinds = Object.keys(errorAnswers) as ErrorKind[]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the type is that of the keys

const anyRefusal = record({
	kind: constantFrom(...errorKinds), detail: anyName, retryAfterMs: anyMs, correction: option(anyCorrection, {nil: undefined}),
}).map(({kind, detail, retryAfterMs, correction}) => new Refusal(kind, detail, {retryAfterMs, correction}));

const anyHost: Arbitrary<Host> = record({
	name: anyName.filter(name => name !== ''), availabilityZone: anyName, region: anyName, peerHost: anyName, peerPort: integer({min: 0}), operatorPort: integer({min: 0}),
	isLeaving: boolean(), incarnation: anyName,
});

const anyView: Arbitrary<GroupView> = record({
	group: anyName,
	term: maxSafeNat(),
	primary: anyName,
	instances: array(record({
		endpoint: anyName,
		isReachable: boolean(),
		reportedAgoMs: anyMs,
		state: option(record({
			role: constantFrom('rebuilding', 'replica', 'primary'),
			promisedTerm: maxSafeNat(),
			claimId: anyName,
			received: anyPosition,
			applied: anyPosition,
			isStreaming: boolean(),
		}), {nil: undefined}),
	}), {maxLength: 4}),
});

/** A message as another node decodes it. */
function received<T>(codec: MessageFns<T>, message: T): T {
	return codec.decode(codec.encode(message).finish());
}

describe('messages of the peer link that carry texts', () => {
	it('bring a request unchanged, whatever its group, session and caller are named', () => {
		assert(property(anyRequest, ({frames, ...request}) => {
			const execute = received(Execute, toExecute({...request, frames}, {frames, hasMore: false, timeLeftMs: request.timeLeftMs}));
			expect(fromExecute(execute, execute.frames)).toEqual({...request, frames});
		}), runs);
	});

	it('bring the end of an answer unchanged', () => {
		assert(property(anyEnd, uint8Array({maxLength: 20}), (end, frames) => {
			const answer = received(AnswerEnd, toAnswerEnd(end, frames, 3));
			expect({end: fromAnswerEnd(answer), frames: answer.frames}).toEqual({end, frames});
		}), runs);
	});

	it('bring a refusal unchanged, with the host that it names', () => {
		assert(property(anyRefusal, option(anyHost, {nil: undefined}), (refusal, host) => {
			const refused = received(Refused, toRefused(refusal, host));
			expect(fromRefused(refused, 'peerUnavailable')).toEqual(refusal);
			expect(fromHost(refused.homeHost)).toEqual(host);
		}), runs);
	});

	it('bring the view of a group unchanged', () => {
		assert(property(anyView, view => {
			expect(fromGroupView(received(GroupViewAnswer, toGroupView(view)))).toEqual(view);
		}), runs);
	});

	it('bring every other message that carries a text unchanged', () => {
		const anyBody: Array<Arbitrary<Body>> = [
			record({$case: constant('hello'), value: record({host: anyHost, windowBytes: integer({min: 0}), maximumInProgress: integer({min: 0})})}),
			record({$case: constant('release'), value: record({group: anyName, endpoint: anyName, sessionId: anyName})}),
			record({$case: constant('groupViewAsk'), value: record({group: anyName})}),
			record({$case: constant('probeAnswer'), value: record({host: anyHost, configurationVersion: maxSafeNat()})}),
			record({$case: constant('primaryAnnounced'), value: record({group: anyName, term: maxSafeNat(), primary: anyName})}),
			record({$case: constant('changesAnswer'), value: record({version: maxSafeNat(), changes: array(anyName, {maxLength: 4}), snapshot: maybeName})}),
			record({$case: constant('handOver'), value: record({endpoint: anyName})}),
		];
		for (const bodies of anyBody) {
			assert(property(bodies, body => {
				const batch = {envelopes: [{requestId: 1, body}]};
				expect(deserializeBatch(serializeBatch(batch))).toEqual(batch);
			}), runs);
		}
	});
});
