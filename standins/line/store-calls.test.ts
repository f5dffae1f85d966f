import type {TestContext} from 'node:test';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {StoreCallRun, StoreFault} from './store-call-run.js';
import {runStoreCalls} from './store-call-run.js';

/** Time within which a change of the configuration must be in force on every node. */
const applyWithinMs = 3000;

/** Runs with a fault; prints the figures of the table in docs/design/load-control.md. */
async function run(context: TestContext, fault: StoreFault, areRegistrationsWritten = true): Promise<StoreCallRun> {
	const result = await runStoreCalls({fault, areRegistrationsWritten});
	context.diagnostic(JSON.stringify({...result, rows: Object.fromEntries(result.rows), refused: Object.fromEntries(result.refused)}));
	return result;
}

// The store limits the calls of all nodes together, and every call costs. The bounds are those that were
// measured; the runs are the same each time.
describe('88 nodes and the store in 14 s', () => {
	it('make few calls without faults and without registrations', async context => {
		const {calls, refused} = await run(context, 'none', false);
		expect([...refused]).toEqual([]);
		expect({calls, isFew: calls <= 78}).toEqual({calls, isFew: true});
	});

	it('make few calls without faults while every endpoint writes its registration each 1.2 s', async context => {
		const {calls, refused} = await run(context, 'none');
		expect([...refused]).toEqual([]);
		expect({calls, isFew: calls <= 225}).toEqual({calls, isFew: true});
	});

	for (const {fault, maximum, state} of [
		{fault: 'silent', maximum: 659, state: 'does not answer for 9 s'},
		{fault: 'unavailable', maximum: 654, state: 'fails every call for 9 s'},
		{fault: 'refusesThird', maximum: 305, state: 'refuses a third of the nodes, among them a coordinator, for 9 s'},
		{fault: 'refusesZone', maximum: 297, state: 'refuses every node of a zone for 9 s'},
		{fault: 'noHistory', maximum: 315, state: 'has no history for 14 s'},
	] as const) {
		it(`make few calls while the store ${state}`, async context => {
			const {calls, applyMs, refused} = await run(context, fault);
			if (fault.startsWith('refuses')) {
				// Other nodes have proofs for API keys: 20 and 756 of 4,928 statements were refused for lack of one.
				expect([...refused]).toEqual([]);
			}

			expect({calls, isFew: calls <= maximum}).toEqual({calls, isFew: true});
			expect({applyMs, isInTime: applyMs <= applyWithinMs}).toEqual({applyMs, isInTime: true});
		});
	}
});
