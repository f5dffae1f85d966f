import {describe, it} from 'node:test';
import {expect} from 'earl';
import {processFaults, restoreFaults} from './process-faults.js';
import type {ProcessPlan} from './process-run.js';
import {runProcesses} from './process-run.js';

/** Seeds that are always run. A seed that has failed stays in the list, with a comment on the cause. */
const seeds = [1];

/** Faults in which an old primary misses the change of term, and a seed with which a replaced primary could acknowledge a write. */
const replacement = {seed: 122, only: ['cutZoneBesideDeafReplica', 'disturbPromotions', 'loseActingNode']} as const;

/** Keys that are revoked and restored, and a limit that changes, while faults are injected. */
const organisations: ProcessPlan = {
	seed: 3, nodes: 5, callers: 6, faults: 4, chains: 1, only: Object.keys(processFaults), accessChanges: 3,
};

/** Restores of the store from older snapshots, also while a promotion is in progress and while a node starts. */
const restores: ProcessPlan = {
	seed: 5, nodes: 5, callers: 6, faults: 4, chains: 2, only: [...Object.keys(restoreFaults), 'cutZoneBesideDeafReplica', 'killNode'], accessChanges: 0,
};

describe('node processes under faults from outside', () => {
	for (const seed of seeds) {
		it(`keeps every promise to callers with seed ${seed}`, async () => {
			const {findings, answers, runs} = await runProcesses({
				seed, nodes: 3, callers: 4, faults: 3, chains: 1, only: Object.keys(processFaults), accessChanges: 0,
			});
			expect(findings).toEqual([]);
			// Without these, statements with odd texts would not have been compared with what ran.
			const counted = ['written', 'odd prepare', 'odd execute', 'odd set', 'odd deallocate', 'odd commit', 'left in a transaction'];
			expect(counted.filter(what => (answers.get(what) ?? 0) === 0)).toEqual([]);
			expect(runs > (answers.get('odd execute') ?? 0)).toEqual(true);
		});
	}

	it(`acknowledges nothing at a replaced primary with seed ${replacement.seed}`, async () => {
		const {findings} = await runProcesses({
			...replacement, nodes: 5, callers: 8, faults: 4, chains: 2, accessChanges: 0,
		});
		expect(findings).toEqual([]);
	});

	it(`keeps organisations to their keys and limits with seed ${organisations.seed}`, async () => {
		const {findings, answers} = await runProcesses(organisations);
		expect(findings).toEqual([]);
		expect((answers.get('written') ?? 0) > 0).toEqual(true);
	});

	it(`keeps every promise while the store is restored from older snapshots with seed ${restores.seed}`, async () => {
		const {findings, answers} = await runProcesses(restores);
		expect(findings).toEqual([]);
		expect((answers.get('written') ?? 0) > 0).toEqual(true);
	});
});
