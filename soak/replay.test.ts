import {describe, it} from 'node:test';
import {expect} from 'earl';
import {variedPlanOf} from './plans.js';
import {run, type RunPlan, type RunResult} from './run.js';

const seed = 3;

const plan: RunPlan = {...variedPlanOf(seed, 4000), recoveryMs: 2000};

/** Everything that a run observed, as text. */
function recordOf({history, faults, events, findings}: RunResult): string {
	return JSON.stringify([history.writes, history.reads, [...history.counts], [...faults], [...events], findings]);
}

describe('a run', () => {
	it('replays exactly from its seed', async () => {
		const first = recordOf(await run(plan));
		const second = recordOf(await run(plan));
		expect(second === first).toEqual(true);
	});
});
