import {describe, it} from 'node:test';
import {expect} from 'earl';
import {defaultHomeOptions} from './constants.js';
import {HomeHarness} from './testing/home-harness.js';

/** Collects what requests were answered, as they are. */
function collect(results: Array<Promise<string>>): string[] {
	const answers: string[] = [];
	for (const result of results) {
		void result.then(answer => answers.push(answer));
	}

	return answers;
}

describe('a primary that is replaced while it does not answer', () => {
	it('refuses what waits at once, and gives up what runs after a grace time', async () => {
		const bench = await new HomeHarness().ready();
		bench.endpoint.serviceMs = 60_000;
		const answers = collect([
			bench.run('INSERT 1'), bench.run('INSERT 2'), bench.run('SELECT 3'), bench.run('INSERT 4'),
		]);
		await bench.clock.advance(100);
		expect(answers).toEqual([]);
		bench.group.primary = 'stock-2';
		bench.group.term = 2;
		bench.group.announce();
		await bench.clock.advance(1);
		expect(answers).toEqual(['notPrimary']);
		await bench.clock.advance(defaultHomeOptions.replacedGraceMs);
		expect(answers.toSorted()).toEqual(['endpointUnavailable', 'notPrimary', 'outcomeUnknown', 'outcomeUnknown']);
	});

	it('leaves reads of a replica alone', async () => {
		const bench = await new HomeHarness({}, 'replica').ready();
		bench.endpoint.serviceMs = 50;
		const answers = collect([bench.run('SELECT 1')]);
		await bench.clock.advance(10);
		bench.group.primary = 'stock-3';
		bench.group.term = 2;
		bench.group.announce();
		await bench.clock.advance(100);
		expect(answers).toEqual(['ok']);
	});
});
