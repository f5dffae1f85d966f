import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {LoadReport} from '../load/load-report.js';
import {AnswerTimes} from '../pools/answer-times.js';
import {poolDefaults} from '../pools/constants.js';
import type {StatementFault} from '../pools/types.js';
import type {EndpointErrorKind, PeerCalls} from '../services/services.js';
import {RemotePool} from './remote-pool.js';
import {fakePeering, peerNode, unreachableCalls} from './testing/peering-fakes.js';

const statement = {
	id: 'q', text: 'READ x', session: {values: new Map(), prepared: new Map()}, caller: 'c', organisation: undefined, priority: 1, access: 'read', deadlineMs: 1000,
} as const;

function poolOver(calls: PeerCalls, usesReports = false): {pool: RemotePool; clock: ReturnType<typeof fakePeering>['clock']; lost: () => number} {
	const {clock} = fakePeering();
	let lost = 0;
	const pool = new RemotePool({
		clock,
		calls,
		peer: peerNode('n1', 'a'),
		endpoint: {
			id: 'i-1', availabilityZone: 'a', service: 'svc', host: 'i-1', port: 1, slots: 3, isDraining: false, claimsPrimary: false, incarnation: 0,
		},
		times: new AnswerTimes(clock, poolDefaults),
		usesLoadReports: usesReports,
		avoidMs: 400,
		onPeerLost() {
			lost += 1;
		},
	});
	return {pool, clock, lost: () => lost};
}

function failingCalls(fault: Partial<StatementFault>): PeerCalls {
	return {...unreachableCalls, run: async () => Left({isSent: false, refusal: new Refusal('endpointUnavailable'), ...fault})};
}

describe('RemotePool', () => {
	it('is avoided for some time after its peer could not reach the endpoint, without reporting the peer lost', async () => {
		const {pool, clock, lost} = poolOver(failingCalls({cause: 'refused'}));
		await pool.run(statement);
		expect([pool.isAvoided, lost()]).toEqual([true, 0]);
		await clock.advance(400);
		expect(pool.isAvoided).toEqual(false);
	});

	it('reports that its peer is lost', async () => {
		const {pool, lost} = poolOver(unreachableCalls);
		await pool.run(statement);
		expect([pool.isAvoided, lost()]).toEqual([true, 1]);
	});

	it('stays in use after the endpoint refused a statement for lack of capacity', async () => {
		const {pool, lost} = poolOver(failingCalls({cause: 'full', refusal: new Refusal('overloaded')}));
		await pool.run(statement);
		expect([pool.isAvoided, lost()]).toEqual([false, 0]);
	});

	const load = {
		waitsMs: [0, 100], serviceMs: 20, failedShare: 0, measured: 16, applied: {term: 1, offset: 5}, lagMs: 30,
	};

	/** Calls whose answers carry a load report. */
	function reportingCalls(reported: LoadReport | undefined, error?: EndpointErrorKind): PeerCalls {
		const answer = {
			text: '', rows: [], status: 'idle', position: undefined, error: error && {kind: error, text: ''},
		} as const;
		return {...unreachableCalls, run: async () => Right({answer, sentAtMs: 0, load: reported})};
	}

	it('estimates by the report of its peer while it is recent', async () => {
		const {pool, clock} = poolOver(reportingCalls(load), true);
		const before = pool.estimateMs('read', 1);
		expect([before, pool.reportedWaitMs(1), pool.reportedProgress]).toEqual([pool.answerTimes.averageMs, 0, undefined]);
		await pool.run(statement);
		expect([pool.estimateMs('read', 0), pool.estimateMs('read', 1)]).toEqual([20, 120]);
		expect([pool.reportedWaitMs(1), pool.reportedProgress?.lagMs]).toEqual([100, 30]);
		await clock.advance(51);
		expect(pool.reportedWaitMs(1)).toEqual(0);
		await clock.advance(1949);
		expect(pool.reportedProgress?.lagMs).toEqual(30);
		await clock.advance(1);
		expect(pool.reportedProgress).toEqual(undefined);
		await clock.advance(20_000);
		expect(Math.round(pool.estimateMs('read', 1))).toEqual(Math.round(pool.answerTimes.averageMs));
	});

	it('takes the report of a fault, and ignores reports if they are not used', async () => {
		const calls = failingCalls({refusal: new Refusal('overloaded'), cause: 'full', load});
		const {pool} = poolOver(calls, true);
		await pool.run(statement);
		expect(pool.reportedWaitMs(1)).toEqual(100);
		const {pool: other} = poolOver(calls);
		await other.run(statement);
		expect([other.reportedWaitMs(1), other.reportedProgress]).toEqual([0, undefined]);
	});

	it('estimates more time while statements of this node are in flight', async () => {
		const calls: PeerCalls = {...unreachableCalls, begin: async () => Right({heldId: 1}), run: async () => new Promise(() => undefined)}; // eslint-disable-line no-promise-executor-return -- never answered
		const {pool} = poolOver(calls);
		const before = pool.estimateMs();
		void pool.run(statement);
		expect([pool.load, pool.estimateMs() > before, pool.via]).toEqual([1, true, 'n1']);
	});
});
