import {describe, it} from 'node:test';
import {expect} from 'earl';
import {planOf} from './plans.js';
import {run, type RunPlan} from './run.js';
import {breakages, type Breakage} from './testing/breakages.js';

/** Tried in order until the breakage is found, since not every seed leads to it; an even seed has one group. */
const seeds = [2, 4, 6, 8, 10, 12];

/** A short plan with faults close together, since each run looks for one breakage. */
function planFor({circumstances: {delays, ...circumstances}}: Breakage, seed: number): RunPlan {
	const plan = planOf(seed, 6000);
	return {
		...plan,
		world: {...plan.world, delays: delays ?? plan.world.delays},
		callerCount: 6,
		recoveryMs: 2500,
		recoveryBoundMs: 20_000,
		faultPauseMs: 1000,
		...circumstances,
	};
}

async function promisesBroken(plan: RunPlan): Promise<readonly string[]> {
	const {findings} = await run(plan);
	return [...new Set(findings.map(({promise}) => promise))];
}

/** Promises that runs with a breakage found broken, up to the first run that found an expected one; each run without it must find none. */
async function findBreakage(breakage: Breakage): Promise<ReadonlySet<string>> {
	const found = new Set<string>();
	for (const seed of seeds) {
		const plan = planFor(breakage, seed);
		expect(await promisesBroken(plan)).toEqual([]);
		for (const promise of await promisesBroken(breakage.breakIt(plan))) {
			found.add(promise);
		}

		if (breakage.expected.some(promise => found.has(promise))) {
			break;
		}
	}

	return found;
}

describe('a run finds a deliberate breakage, and nothing without one', () => {
	for (const breakage of breakages) {
		it(breakage.name, async () => {
			const found = await findBreakage(breakage);
			expect(breakage.expected.filter(promise => found.has(promise))).not.toEqual([]);
		});
	}
});
