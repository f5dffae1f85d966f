import {describe, it} from 'node:test';
import {expect} from 'earl';
import {planOf, variedPlanOf} from './plans.js';
import {run, type RunPlan} from './run.js';

const durationMs = 12_000;

async function expectNoFindings(plan: RunPlan): Promise<void> {
	const {findings} = await run({...plan, recoveryMs: 8000, recoveryBoundMs: 8000});
	expect(findings.slice(0, 3)).toEqual([]);
}

describe('randomised runs find every promise kept', () => {
	for (const seed of [1, 2]) {
		it(`seed ${seed}`, async () => {
			await expectNoFindings(planOf(seed, durationMs));
		});
	}

	for (const seed of [101, 102, 103, 105]) {
		it(`varied seed ${seed}`, async () => {
			await expectNoFindings(variedPlanOf(seed, durationMs));
		});
	}
});
