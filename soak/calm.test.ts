import {describe, it} from 'node:test';
import {expect} from 'earl';
import {errorAnswers} from '../src/common/errors/error-kinds.js';
import {planOf} from './plans.js';
import {run, type RunPlan, type RunResult} from './run.js';

const seeds = [1, 2];

/** Kinds of refusals that tell the caller that nothing ran and that it may retry. */
const retryableKinds = new Set(Object.entries(errorAnswers)
	.filter(([kind, {outcome, retryAfterMs}]) => outcome === 'notRun' && retryAfterMs > 0 && kind !== 'transactionLost')
	.map(([kind]) => kind));

function calmPlan(seed: number, faultNames: RunPlan['faultNames']): RunPlan {
	return {
		...planOf(seed, 10_000), callerCount: 6, pauseMs: 60, transactionShare: 0.3, recoveryMs: 3000, faultPauseMs: 1500, faultNames,
	};
}

/** Counts of the answers that are neither rows nor refusals that may be retried. */
function harmfulAnswers({history}: RunResult): ReadonlyArray<readonly [string, number]> {
	return [...history.counts].filter(([name]) => {
		const [, what] = name.split(': ');
		return what !== 'answered' && !retryableKinds.has(what);
	});
}

describe('calm runs', () => {
	it('lose no request and no transaction while every node is replaced', async () => {
		for (const seed of seeds) {
			const result = await run(calmPlan(seed, ['drainNode', 'rollNodes']));
			expect(result.findings).toEqual([]);
			expect(harmfulAnswers(result)).toEqual([]);
		}
	});

	it('replace no primary because of pauses shorter than 2 s, with the platform unavailable or slow', async () => {
		for (const seed of seeds) {
			const result = await run(calmPlan(seed, ['pauseEndpoint', 'pauseNode', 'platformOutage', 'platformSlow', 'lostAnswers', 'lagSpike']));
			expect(result.findings).toEqual([]);
			expect(result.events.get('promotionStarted') ?? 0).toEqual(0);
		}
	});
});
