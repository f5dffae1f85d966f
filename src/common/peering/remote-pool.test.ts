import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {LoadReport} from '../load/load-report.js';
import {AnswerTimes} from '../pools/answer-times.js';
import {poolDefaults} from '../pools/constants.js';
import type {StatementFault} from '../pools/types.js';
import type {EndpointErrorKind, PeerCalls} from '../services/services.js';
import {EndpointStandings} from './endpoint-standings.js';
import {RemotePool} from './remote-pool.js';
import {fakePeering, peerNode, unreachableCalls} from './testing/peering-fakes.js';

const statement = {
	id: 'q', text: 'READ x', session: {values: new Map(), prepared: new Map()}, caller: 'c', organisation: undefined, priority: 1, access: 'read', deadlineMs: 1000,
} as const;

function poolOver(calls: PeerCalls, usesReports = false): {pool: RemotePool; clock: ReturnType<typeof fakePeering>['clock']; lost: () => number} {
	const peering = fakePeering();
	const {clock} = peering;
	let lost = 0;
	const pool = new RemotePool({
		clock,
		calls,
		peer: peerNode('n1', 'a'),
		endpoint: {
			id: 'i-1', availabilityZone: 'a', service: 'svc', host: 'i-1', port: 1, slots: 3, isDraining: false, claimsPrimary: false, incarnation: 0,
		},
		times: new AnswerTimes(clock, poolDefaults),
		standings: usesReports ? new EndpointStandings(peering) : undefined,
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
		expect([other.reportedWaitMs(1), other.reportedProgress, other.standing]).toEqual([0, undefined, 'admitted']);
	});

	it('is ejected by a report of failures, and admitted after a trial that succeeds', async () => {
		const {pool, clock} = poolOver(reportingCalls({...load, failedShare: 0.5}), true);
		await pool.run(statement);
		expect(pool.standing).toEqual('ejected');
		await clock.advance(5500);
		expect(pool.standing).toEqual('trial');
		pool.beginTrial();
		const running = pool.run(statement);
		expect(pool.standing).toEqual('ejected');
		await running;
		expect(pool.standing).toEqual('admitted');
	});

	// A trial that the home refuses says nothing about the endpoint.
	it('stays due for a trial if its trial statement was not run, and ejected if it failed', async () => {
		for (const [error, expected] of [['behind', 'trial'], ['failed', 'ejected']] as const) {
			const {pool, clock} = poolOver(reportingCalls({...load, failedShare: 0.5}, error), true);
			await pool.run(statement);
			await clock.advance(5500);
			pool.beginTrial();
			await pool.run(statement);
			expect(pool.standing).toEqual(expected);
		}
	});

	it('estimates more time while statements of this node are in flight', async () => {
		const calls: PeerCalls = {...unreachableCalls, begin: async () => Right({heldId: {number: 1, incarnation: '1'}}), run: async () => new Promise(() => undefined)}; // eslint-disable-line no-promise-executor-return -- never answered
		const {pool} = poolOver(calls);
		const before = pool.estimateMs();
		void pool.run(statement);
		expect([pool.load, pool.estimateMs() > before, pool.via]).toEqual([1, true, 'n1']);
	});
});
