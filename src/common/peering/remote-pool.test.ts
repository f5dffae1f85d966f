import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import {AnswerTimes} from '../pools/answer-times.js';
import {poolDefaults} from '../pools/constants.js';
import type {StatementFault} from '../pools/types.js';
import type {PeerCalls} from '../services/services.js';
import {RemotePool} from './remote-pool.js';
import {fakePeering, peerNode, unreachableCalls} from './testing/peering-fakes.js';

const statement = {
	id: 'q', text: 'READ x', session: {values: new Map(), prepared: new Map()}, caller: 'c', organisation: undefined, priority: 1, access: 'read', deadlineMs: 1000,
} as const;

function poolOver(calls: PeerCalls): {pool: RemotePool; clock: ReturnType<typeof fakePeering>['clock']; lost: () => number} {
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

	it('estimates more time while statements of this node are in flight', async () => {
		const calls: PeerCalls = {...unreachableCalls, begin: async () => Right({heldId: 1}), run: async () => new Promise(() => undefined)}; // eslint-disable-line no-promise-executor-return -- never answered
		const {pool} = poolOver(calls);
		const before = pool.estimateMs();
		void pool.run(statement);
		expect([pool.load, pool.estimateMs() > before, pool.via]).toEqual([1, true, 'n1']);
	});
});
