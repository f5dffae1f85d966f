import {describe, it} from 'node:test';
import {expect} from 'earl';
import {defaultHomeOptions} from './constants.js';
import {HomeHarness} from './testing/home-harness.js';

/** Collects the results of requests in the order in which they resolve. */
function collect(results: Array<Promise<string>>): string[] {
	const answers: string[] = [];
	for (const result of results) {
		void result.then(answer => answers.push(answer));
	}

	return answers;
}

describe('a primary that is replaced while it does not answer', () => {
	it('refuses waiting writes at once, and abandons running statements after a grace time', async () => {
		const harness = await new HomeHarness().ready();
		harness.endpoint.serviceMs = 60_000;
		const answers = collect([
			harness.run('INSERT 1'), harness.run('INSERT 2'), harness.run('SELECT 3'), harness.run('INSERT 4'),
		]);
		await harness.clock.advance(100);
		expect(answers).toEqual([]);
		harness.group.primary = 'stock-2';
		harness.group.term = 2;
		harness.group.announce();
		await harness.clock.advance(1);
		expect(answers).toEqual(['notPrimary']);
		await harness.clock.advance(defaultHomeOptions.replacedGraceMs);
		expect(answers.toSorted()).toEqual(['endpointUnavailable', 'notPrimary', 'outcomeUnknown', 'outcomeUnknown']);
	});

	it('does not interrupt reads of a replica', async () => {
		const harness = await new HomeHarness({}, 'replica').ready();
		harness.endpoint.serviceMs = 50;
		const answers = collect([harness.run('SELECT 1')]);
		await harness.clock.advance(10);
		harness.group.primary = 'stock-3';
		harness.group.term = 2;
		harness.group.announce();
		await harness.clock.advance(100);
		expect(answers).toEqual(['ok']);
	});
});
