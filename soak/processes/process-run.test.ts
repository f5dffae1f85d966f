import {describe, it} from 'node:test';
import {expect} from 'earl';
import {runProcesses} from './process-run.js';

/** Seeds that are always run. Those that ever failed stay, with a line on what it was. */
const seeds = [1];

describe('node processes under faults from outside', () => {
	for (const seed of seeds) {
		it(`keeps every promise to callers with seed ${seed}`, async () => {
			const {findings, answers} = await runProcesses({
				seed, nodes: 3, callers: 4, faults: 3, chains: 1,
			});
			expect(findings).toEqual([]);
			expect((answers.get('written') ?? 0) > 0).toEqual(true);
		});
	}
});
