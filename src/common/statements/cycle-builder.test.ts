import {before, describe, it} from 'node:test';
import {expect} from 'earl';
import {AnswerFilter} from './answer-filter.js';
import {CycleBuilder} from './cycle-builder.js';
import type {BuiltCycle} from './cycle-draft.js';
import {
	encodeText, makeFrame, readText, readUint32,
} from './frames.js';
import {PreparedStatements} from './prepared-statements.js';
import {loadParser, StatementClassifier} from './statement-classifier.js';
import type {TransactionState} from './types.js';

const outside: TransactionState = {isOpen: false, isReadOnly: false};

/** Encodes a message from its short form: the code, the kind of target for Describe and Close, then the texts separated by `|`. */
function message(short: string): Uint8Array {
	const code = short.codePointAt(0) ?? 0;
	const target = /^[DC]/v.test(short) ? Uint8Array.of(short.codePointAt(1) ?? 0) : new Uint8Array(0);
	const texts = short.slice(target.length + 1).split('|').map(text => encodeText(text));
	return makeFrame(code, target, ...texts, new Uint8Array(6));
}

function split(frames: Uint8Array): Uint8Array[] {
	const found: Uint8Array[] = [];
	for (let offset = 0; offset < frames.length;) {
		const end = offset + 1 + readUint32(frames, offset + 1);
		found.push(frames.subarray(offset, end));
		offset = end;
	}

	return found;
}

/** The short form of a message. */
function shorten(frame: Uint8Array): string {
	const code = String.fromCodePoint(frame[0] ?? 0);
	if (!/^[PBDCE]/v.test(code)) {
		return code;
	}

	const offset = /^[DC]/v.test(code) ? 6 : 5;
	const first = readText(frame, offset);
	const target = offset === 6 ? String.fromCodePoint(frame[5] ?? 0) : '';
	const second = /^[PB]/v.test(code) ? `|${readText(frame, first?.end ?? 0)?.text ?? ''}` : '';
	return code + target + (first?.text ?? '') + second;
}

class Session {
	readonly prepared = new PreparedStatements({maximumPrepared: 3, maximumPreparedBytes: 1000});
	readonly builder = new CycleBuilder(this.prepared, new StatementClassifier(), {maximumCycleBytes: 5000, maximumCycleMessages: 50});

	/** Adds messages and builds the cycle; returns the kind of the refusal if there is one. */
	cycle(shorts: readonly string[], transaction = outside): BuiltCycle | string {
		for (const short of shorts) {
			const refusal = this.builder.add(message(short));
			if (refusal) {
				this.builder.reset();
				return refusal.kind;
			}
		}

		const built = this.builder.build(transaction);
		return built.isLeft() ? built.extract().kind : built.unsafeCoerce();
	}

	/** Filters the replies to a cycle; returns the messages for the endpoint and the reply codes that the caller receives. */
	run(shorts: readonly string[], replies: string): {readonly sent: string; readonly got: string} {
		const cycle = this.cycle(shorts);
		if (typeof cycle === 'string' || cycle.kind === 'local') {
			return {sent: typeof cycle === 'string' ? cycle : cycle.kind, got: ''};
		}

		const filter = new AnswerFilter(cycle.expected, this.prepared);
		const answer = Array.from(replies, reply => makeFrame(reply.codePointAt(0) ?? 0, new Uint8Array(3)));
		const got = answer.map(frame => split(filter.apply(frame)).map(kept => shorten(kept).charAt(0)).join(''));
		return {sent: split(cycle.frames).map(frame => shorten(frame)).join(' '), got: got.join('')};
	}
}

describe('CycleBuilder', () => {
	before(loadParser);

	it('builds cycles that run on any connection, and removes the replies to injected messages', () => {
		const session = new Session();
		const steps: ReadonlyArray<readonly [shorts: readonly string[], replies: string, sent: string, got: string]> = [
			// An unnamed statement passes unchanged.
			[['P|select 1', 'B|', 'DP', 'E'], '12TDC', 'P|select 1 B| DP E S', '12TDC'],
			// The unnamed statement can still be bound in the next cycle.
			[['B|', 'E'], '12DC', 'P|select 1 B| E S', '2DC'],
			[['Ps1|select 2', 'DSs1'], '1tT', 'P|select 2 DS S', '1tT'],
			[['B|s1', 'E'], '12DC', 'P|select 2 B| E S', '2DC'],
			// One Parse serves consecutive uses of a statement; each change of statement needs another.
			[['B|s1', 'E', 'B|s1', 'E', 'B|', 'E'], '12DC2DC12DC', 'P|select 2 B| E B| E P|select 1 B| E S', '2DC2DC2DC'],
			[['Ps2|select 3', 'B|s1', 'E', 'B|s2', 'E'], '112DC12DC', 'P|select 3 P|select 2 B| E P|select 3 B| E S', '12DC2DC'],
			// A statement whose Parse the endpoint refused is not stored.
			[['Ps3|select wrong'], 'E', 'P|select wrong S', 'E'],
			[['B|s3', 'E'], 'E', 'B|s3 E S', 'E'],
			// The reply to a Close of a statement keeps its place among the other replies.
			[['B|s1', 'E', 'CSs1', 'CP'], '12DC33', 'P|select 2 B| E CS CP S', '2DC33'],
			[['B|s1', 'E'], 'E', 'B|s1 E S', 'E'],
			// A session never uses the unnamed statement of another session.
			[['CS', 'P|select 4'], '31', 'CS P|select 4 S', '31'],
			[['CS', 'B|'], '3E', 'CS B|unnamed S', '3E'],
		];
		for (const [shorts, replies, sent, got] of steps) {
			expect([shorts, session.run(shorts, replies)]).toEqual([shorts, {sent, got}]);
		}
	});

	it('plans access and transaction step of a cycle', () => {
		const cases: ReadonlyArray<readonly [shorts: readonly string[], transaction: TransactionState, plan: string]> = [
			[['P|select 1', 'B|', 'E'], outside, 'read none'],
			[['P|delete from t', 'B|', 'E'], outside, 'write none'],
			[['P|delete from t', 'DS'], outside, 'write none'],
			[['P|select 1', 'B|', 'E', 'P|delete from t', 'DS'], outside, 'write none'],
			[['P|begin', 'B|', 'E', 'P|select 1', 'B|', 'E'], outside, 'write begin'],
			[['P|begin read only', 'B|', 'E', 'P|select f()', 'B|', 'E'], outside, 'read begin'],
			[['P|select f()', 'B|', 'E'], {isOpen: true, isReadOnly: true}, 'read none'],
			[['P|select 1', 'B|', 'E'], {isOpen: true, isReadOnly: false}, 'write none'],
			[['P|commit', 'DS'], {isOpen: true, isReadOnly: false}, 'write none'],
			[['P|commit', 'B|', 'E'], {isOpen: true, isReadOnly: false}, 'write commit'],
			[['Ep1'], outside, 'write none'],
		];
		for (const [shorts, transaction, expected] of cases) {
			const cycle = new Session().cycle(shorts, transaction);
			const plan = typeof cycle === 'object' && cycle.kind === 'relayed' ? `${cycle.plan.access} ${cycle.plan.step}` : 'other';
			expect([shorts, plan]).toEqual([shorts, expected]);
		}
	});

	it('answers cycles locally that need no endpoint, and refuses those that a shared connection cannot carry', () => {
		const cases: ReadonlyArray<readonly [shorts: readonly string[], expected: string]> = [
			[['P|set application_name = x', 'B|', 'DP', 'E', 'CP'], 'local'],
			[['P|', 'B|', 'E'], 'local'],
			[['CSs1'], 'local'],
			[['P|show quetzalstream.token', 'B|', 'E', 'P|select 1', 'B|', 'E'], 'unsupportedStatement'],
			[['P|select 1; set application_name = x'], 'unsupportedStatement'],
			[['P|listen a'], 'unsupportedStatement'],
			[['Pa|select 1', 'Pb|select 1', `Pc|select '${'x'.repeat(1000)}'`], 'callerLimited'],
			[Array.from({length: 60}, () => 'E'), 'messageTooLarge'],
			[[`P|select '${'x'.repeat(5000)}'`], 'messageTooLarge'],
		];
		for (const [shorts, expected] of cases) {
			const cycle = new Session().cycle(shorts);
			expect([shorts, typeof cycle === 'string' ? cycle : cycle.kind]).toEqual([shorts, expected]);
		}
	});

	it('refuses messages whose texts have no terminating zero', () => {
		for (const code of ['P', 'B', 'D', 'E', 'C', 'x']) {
			const frame = makeFrame(code.codePointAt(0) ?? 0, Uint8Array.of(0x53, 0x41));
			expect(new Session().builder.add(frame)?.kind).toEqual('malformedMessage');
		}
	});

	// Guards against running the statement of another name of the session.
	it('keeps prepared statements apart whose names differ by a leading U+FEFF', () => {
		const session = new Session();
		session.run(['Ps1|select 1'], '1');
		session.run(['P\uFEFFs1|delete from t'], '1');
		expect(session.run(['B|s1', 'E'], '12DC').sent).toEqual('P|select 1 B| E S');
	});

	// Guards against two names that become one: bytes that are no UTF-8 are all decoded as U+FFFD.
	it('refuses to prepare a statement whose name is not UTF-8', () => {
		const session = new Session();
		const refusals = [[0x80], [0x81], [0xF0, 0x9F, 0x98], [0xEF, 0xBF, 0xBD]].map(name =>
			session.builder.add(makeFrame(0x50, Uint8Array.from([...name, 0]), encodeText('select 1'), new Uint8Array(2)))?.kind);
		expect(refusals).toEqual(['unsupportedStatement', 'unsupportedStatement', 'unsupportedStatement', undefined]);
	});

	it('limits the number of prepared statements', () => {
		const session = new Session();
		for (const name of ['a', 'b', 'c']) {
			session.run([`P${name}|select 1`], '1');
		}

		expect(session.run(['Pd|select 1'], '1').sent).toEqual('callerLimited');
		expect(session.run(['Pa|select 2'], '1').sent).toEqual('P|select 2 S');
		expect(session.prepared.count).toEqual(3);
	});
});
