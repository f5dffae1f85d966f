/**
 * Guards against orders that answer most statements of a burst after their goals. The bounds come from
 * the goals of docs/design/load-control.md.
 */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {burstSizes} from './constants.js';
import type {BurstFigures, BurstPlan} from './goal-burst.js';
import {playBurst, requestKinds} from './goal-burst.js';

const byGoal = {isByGoal: true, isScheduled: true, isRetryKnown: true};
const existing = {isByGoal: false, isScheduled: false, isRetryKnown: false};

async function meanOf(plan: Omit<BurstPlan, 'seed'>): Promise<{readonly inTime: number; readonly runs: readonly BurstFigures[]}> {
	const runs: BurstFigures[] = [];
	for (const seed of burstSizes.seeds) {
		runs.push(await playBurst({...plan, seed}));
	}

	return {runs, inTime: runs.reduce((sum, {inTime}) => sum + inTime, 0) / runs.length};
}

for (const deployment of ['hives', 'forms'] as const) {
	describe(`a burst of three times the capacity on the mix of ${deployment}`, () => {
		const kinds = requestKinds[deployment];

		it('is answered in time more often by goal than in the existing order, and the most urgent class always', async () => {
			const [before, after] = [await meanOf({deployment, ...existing}), await meanOf({deployment, ...byGoal})];
			expect(after.inTime > before.inTime).toEqual(true);
			const [urgent] = kinds;
			for (const {byKind} of after.runs) {
				// The most urgent class alone needs less than the capacity, so that only its own longest work can exceed the goal.
				expect(byKind[urgent.name] >= 0.99).toEqual(true);
			}
		});

		it('is over for new requests within the longest statement timeout after its end', async () => {
			const {runs} = await meanOf({deployment, ...byGoal});
			const longestMs = Math.max(...kinds.map(({timeoutMs}) => timeoutMs));
			for (const {recoveredAfterMs} of runs) {
				// Nothing that arrived in the burst waits longer than its timeout, and return times end with it.
				expect(recoveredAfterMs <= longestMs).toEqual(true);
			}
		});
	});
}
