import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {PeerNotice} from '../../common/services/services.js';
import {
	ForwardedAnswer, ForwardedStatement, Notice, OverviewAnswer, RowsAnswer,
} from '../peers/generated/quetzalstream/direct.js';
import {SystemClock} from '../system-clock.js';
import {
	fromForwarded, fromLoadReport, fromNotice, fromReply, fromRowsAnswer, toForwarded, toLoadReport, toNotice, toOverviewAnswer, toRowsAnswer,
} from './conversion.js';

const fence: PeerNotice = {
	kind: 'fence', service: 'svc', term: 3, isFenced: true, holder: 'n1', epoch: 7,
};

describe('a notice of a fence', () => {
	it('names the promoter and its epoch', () => {
		const bytes = Notice.encode(toNotice(fence)).finish();
		expect(fromNotice(Notice.decode(bytes))).toEqual(fence);
	});

	it('of a node that does not name them has an empty holder and epoch zero', () => {
		// Field 4 of Notice, 9 bytes long: service (1) "svc", term (2) 3, is_fenced (3) true.
		const bytes = Uint8Array.from([0x22, 9, 0x0A, 3, 0x73, 0x76, 0x63, 0x10, 3, 0x18, 1]);
		expect(fromNotice(Notice.decode(bytes))).toEqual({...fence, holder: '', epoch: 0});
	});
});

describe('rows of a followed table', () => {
	const rows = {
		rows: [], version: 4, storeNowMs: 0, isHistoryGone: false,
	};

	it('carry the time at which nothing newer existed', () => {
		const bytes = RowsAnswer.encode(toRowsAnswer({...rows, provedAfterMs: -700})).finish();
		expect(fromRowsAnswer(RowsAnswer.decode(bytes), 'op').provedAfterMs).toEqual(-700);
	});

	it('prove nothing if the node does not send that time', () => {
		const bytes = RowsAnswer.encode(toRowsAnswer(rows)).finish();
		expect(fromRowsAnswer(RowsAnswer.decode(bytes), 'op').provedAfterMs).toEqual(Number.NEGATIVE_INFINITY);
	});
});

describe('a load report', () => {
	const report = {
		waitsMs: [0, 14, 230], serviceMs: 7.5, failedShare: 0.125, measured: 16, applied: {term: 3, offset: 70_000}, lagMs: 150,
	};

	/** The answer as another node decodes it. */
	function received(load: ForwardedAnswer['load']): ForwardedAnswer {
		return ForwardedAnswer.decode(ForwardedAnswer.encode({outcome: {$case: 'heldId', value: 1}, load}).finish());
	}

	it('arrives as it was sent, with whole milliseconds', () => {
		expect(fromLoadReport(received(toLoadReport(report)).load!)).toEqual(report);
		const unknown = {...report, applied: undefined, lagMs: undefined};
		expect(fromLoadReport(received(toLoadReport(unknown)).load!)).toEqual(unknown);
		expect(fromLoadReport(received(toLoadReport({...report, waitsMs: [0.4, 1.6, Number.POSITIVE_INFINITY]})).load!).waitsMs).toEqual([0, 2, 1_000_000]);
	});

	// Every answer between nodes carries one.
	it('takes at most 40 bytes', () => {
		const withReport = ForwardedAnswer.encode({outcome: undefined, load: toLoadReport(report)}).finish().length;
		expect(withReport <= 40).toEqual(true);
	});

	it('is missing in the answer of a node that sends none', () => {
		// Field 3 of ForwardedAnswer, held_id 1.
		expect(ForwardedAnswer.decode(Uint8Array.from([0x18, 1]))).toEqual({outcome: {$case: 'heldId', value: 1}, load: undefined, heldIncarnation: undefined});
	});
});

describe('a forwarded statement', () => {
	it('carries its organisation', () => {
		const clock = new SystemClock();
		const statement = {
			id: 'q', text: 'READ x', session: {values: new Map(), prepared: new Map()}, caller: 'shop', priority: 1, access: 'read', deadlineMs: clock.nowMs() + 1000,
		} as const;
		for (const organisation of ['shop', undefined]) {
			const bytes = ForwardedStatement.encode(toForwarded({...statement, organisation}, clock)).finish();
			expect(fromForwarded(ForwardedStatement.decode(bytes), clock).organisation).toEqual(organisation);
		}
	});

	it('has its values in the form that nodes of the version before read', () => {
		const values = new Map([['a', '1'], ['b', '']]);
		// Field 4, once for each value: its name is field 1 and its text field 2.
		const bytes = Uint8Array.from([0x22, 6, 0x0A, 1, 0x61, 0x12, 1, 0x31, 0x22, 3, 0x0A, 1, 0x62]);
		expect(ForwardedStatement.encode({...ForwardedStatement.decode(new Uint8Array()), values}).finish()).toEqual(bytes);
		expect(ForwardedStatement.decode(bytes).values).toEqual(values);
	});

	it('is sent whatever number an operator chose as the priority of its route', () => {
		const clock = new SystemClock();
		const statement = {
			id: 'q', text: 'READ x', session: {values: new Map(), prepared: new Map()}, caller: 'shop', organisation: undefined, access: 'read', deadlineMs: clock.nowMs() + 1000,
		} as const;
		const received = [-1e300, -2, 0.25, 1.5, 2 ** 40].map(priority => {
			const bytes = ForwardedStatement.encode(toForwarded({...statement, priority}, clock)).finish();
			return fromForwarded(ForwardedStatement.decode(bytes), clock).priority;
		});
		expect(received).toEqual([-(2 ** 31), -2, 0, 1, (2 ** 31) - 1]);
	});
});

describe('overviews', () => {
	it('are sent whatever number an operator chose as the version of the configuration', () => {
		const sent = [7, 1.5, 1e300, 2 ** 60].map(version => {
			const bytes = OverviewAnswer.encode(toOverviewAnswer([], version)).finish();
			return OverviewAnswer.decode(bytes).configurationVersion;
		});
		expect(sent).toEqual([7, 0, 0, 0]);
	});
});

describe('the answer of an endpoint', () => {
	// A node of a later version may know more statuses and kinds of errors.
	it('of a status and a kind that are not known counts as a failed transaction and another error', () => {
		for (const word of ['later', 'constructor', '__proto__']) {
			const answer = fromReply({
				text: 'x', status: word, errorKind: word, errorText: 'y',
			});
			expect(answer).toEqual({
				text: 'x', rows: [], status: 'failed', error: {kind: 'other', text: 'y'}, position: undefined,
			});
		}
	});
});
