import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {BreakPoint} from './testing/fake-endpoint.js';
import {HomeHarness, RecordedAnswer} from './testing/home-harness.js';

const breakPoints: BreakPoint[] = ['beforeSend', 'afterSend', 'midAnswer', 'afterAnswer'];
const longRowBytes = 2_000_000;

type Case = {
	readonly name: string;
	readonly sql: string;
	readonly before?: string[];
	readonly role?: 'replica';
	readonly rowBytes?: number;
	/** Expected kinds, one for each break point in order, and last the one without a confirmation. */
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

async function prepareHarness(testCase: Case): Promise<HomeHarness> {
	const harness = await new HomeHarness({}, testCase.role).ready();
	for (const [index, sql] of (testCase.before ?? []).entries()) {
		expect(await harness.runNow(sql, {isInTransaction: index > 0})).toEqual('ok');
	}

	harness.endpoint.rowBytes = testCase.rowBytes ?? harness.endpoint.rowBytes;
	return harness;
}

describe('kind of refusal when an exchange breaks', () => {
	for (const testCase of cases) {
		const isInTransaction = testCase.before !== undefined;
		for (const [index, breakAt] of breakPoints.entries()) {
			it(`${testCase.name}, ${breakAt}`, async () => {
				const harness = await prepareHarness(testCase);
				harness.endpoint.breakAt = breakAt;
				expect(await harness.runNow(testCase.sql, {isInTransaction})).toEqual(testCase.kinds[index]);
				harness.endpoint.breakAt = undefined;
				await harness.clock.advance(100);
				// The broken connection has been replaced: there is one for each slot and one for the transaction that was open.
				expect(await harness.runNow('SELECT 1')).toEqual('ok');
				expect(harness.endpoint.connections.size).toEqual(isInTransaction ? 4 : 3);
			});
		}

		it(`${testCase.name}, no confirmation`, async () => {
			const harness = await prepareHarness(testCase);
			harness.group.isConfirming = false;
			const sink = new RecordedAnswer();
			const result = await harness.clock.advanceUntil(harness.execute(testCase.sql, {isInTransaction}, sink));
			expect(result.isLeft() ? result.extract().kind : 'ok').toEqual(testCase.kinds[4]);
			expect(sink.chunks.length > 0).toEqual(testCase.kinds[4] === 'ok');
		});
	}

	it('abandons an exchange without an answer shortly after the deadline', async () => {
		for (const [sql, kind] of [['SELECT 1', 'deadlineExceeded'], ['INSERT 1', 'outcomeUnknown']]) {
			const harness = await new HomeHarness().ready();
			harness.endpoint.serviceMs = 60_000;
			const startMs = harness.clock.nowMs();
			expect(await harness.runNow(sql, {timeLeftMs: 100})).toEqual(kind);
			expect(harness.clock.nowMs() - startMs).toEqual(300);
		}
	});
});
