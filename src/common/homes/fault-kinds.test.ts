import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {BreakPoint} from './testing/fake-endpoint.js';
import {HomeHarness, RecordedAnswer} from './testing/home-harness.js';

const cutPoints: BreakPoint[] = ['beforeSend', 'afterSend', 'midAnswer', 'afterAnswer'];
const longRowBytes = 2_000_000;

type Case = {
	readonly name: string;
	readonly sql: string;
	readonly before?: string[];
	readonly role?: 'replica';
	readonly rowBytes?: number;
	/** Expected kinds, in the order of the cut points; then when no confirmation comes. */
	readonly kinds: readonly string[];
};

const lostKinds = ['transactionLost', 'transactionLost', 'transactionLost', 'transactionLost'];
const unknownWrite = ['endpointUnavailable', 'outcomeUnknown', 'outcomeUnknown', 'outcomeUnknown', 'outcomeUnknown'];
const harmless = ['endpointUnavailable', 'endpointUnavailable', 'endpointUnavailable', 'endpointUnavailable'];
const cases: Case[] = [
	{
		name: 'read of a replica', sql: 'SELECT 1', role: 'replica', kinds: [...harmless, 'ok'],
	},
	{
		name: 'long read of a replica', sql: 'SELECT 1', role: 'replica', rowBytes: longRowBytes,
		kinds: ['endpointUnavailable', 'endpointUnavailable', 'answerCutShort', 'answerCutShort', 'ok'],
	},
	{name: 'read of the primary', sql: 'SELECT 1', kinds: [...harmless, 'endpointUnavailable']},
	{
		name: 'long read of the primary', sql: 'SELECT 1', rowBytes: longRowBytes,
		kinds: ['endpointUnavailable', 'endpointUnavailable', 'answerCutShort', 'answerCutShort', 'endpointUnavailable'],
	},
	{name: 'write', sql: 'INSERT 1', kinds: unknownWrite},
	{
		name: 'write with a long answer', sql: 'INSERT 1', rowBytes: longRowBytes, kinds: unknownWrite,
	},
	{name: 'begin', sql: 'BEGIN', kinds: [...harmless, 'ok']},
	{name: 'several statements that begin', sql: 'BEGIN ; INSERT 1', kinds: [...unknownWrite.slice(0, 4), 'ok']},
	{
		name: 'write in a transaction', before: ['BEGIN'], sql: 'INSERT 1', kinds: [...lostKinds, 'ok'],
	},
	{
		name: 'long answer in a transaction', before: ['BEGIN'], sql: 'SELECT 1', rowBytes: longRowBytes,
		kinds: ['transactionLost', 'transactionLost', 'answerCutShort', 'answerCutShort', 'ok'],
	},
	{
		name: 'commit', before: ['BEGIN', 'INSERT 1'], sql: 'COMMIT',
		kinds: ['transactionLost', 'outcomeUnknown', 'outcomeUnknown', 'outcomeUnknown', 'outcomeUnknown'],
	},
	{
		name: 'rollback', before: ['BEGIN'], sql: 'ROLLBACK', kinds: [...lostKinds, 'outcomeUnknown'],
	},
	{
		name: 'rollback and a write', before: ['BEGIN'], sql: 'ROLLBACK ; INSERT 1',
		kinds: ['transactionLost', 'outcomeUnknown', 'outcomeUnknown', 'outcomeUnknown', 'outcomeUnknown'],
	},
];

async function benchFor(testCase: Case): Promise<HomeHarness> {
	const bench = await new HomeHarness({}, testCase.role).ready();
	for (const [index, sql] of (testCase.before ?? []).entries()) {
		expect(await bench.runNow(sql, {isInTransaction: index > 0})).toEqual('ok');
	}

	bench.endpoint.rowBytes = testCase.rowBytes ?? bench.endpoint.rowBytes;
	return bench;
}

describe('kind of refusal when a request is cut', () => {
	for (const testCase of cases) {
		const isInTransaction = testCase.before !== undefined;
		for (const [index, cutAt] of cutPoints.entries()) {
			it(`${testCase.name}, ${cutAt}`, async () => {
				const bench = await benchFor(testCase);
				bench.endpoint.breakAt = cutAt;
				expect(await bench.runNow(testCase.sql, {isInTransaction})).toEqual(testCase.kinds[index]);
				bench.endpoint.breakAt = undefined;
				await bench.clock.advance(100);
				// The connection has been replaced, one for each slot and one for the transaction that was open.
				expect(await bench.runNow('SELECT 1')).toEqual('ok');
				expect(bench.endpoint.connections.size).toEqual(isInTransaction ? 4 : 3);
			});
		}

		it(`${testCase.name}, no confirmation`, async () => {
			const bench = await benchFor(testCase);
			bench.group.isConfirming = false;
			const sink = new RecordedAnswer();
			const result = await bench.clock.advanceUntil(bench.execute(testCase.sql, {isInTransaction}, sink));
			expect(result.isLeft() ? result.extract().kind : 'ok').toEqual(testCase.kinds[4]);
			expect(sink.pieces.length > 0).toEqual(testCase.kinds[4] === 'ok');
		});
	}

	it('gives up on an endpoint that does not answer, shortly after the deadline', async () => {
		for (const [sql, kind] of [['SELECT 1', 'deadlineExceeded'], ['INSERT 1', 'outcomeUnknown']]) {
			const bench = await new HomeHarness().ready();
			bench.endpoint.serviceMs = 60_000;
			const startMs = bench.clock.nowMs();
			expect(await bench.runNow(sql, {timeLeftMs: 100})).toEqual(kind);
			expect(bench.clock.nowMs() - startMs).toEqual(300);
		}
	});
});
