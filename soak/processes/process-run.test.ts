import {describe, it} from 'node:test';
import {expect} from 'earl';
import {processFaults, restoreFaults} from './process-faults.js';
import type {ProcessPlan} from './process-run.js';
import {runProcesses} from './process-run.js';

/** Seeds that are always run. Those that ever failed stay, with a line on what it was. */
const seeds = [1];

/** Faults that leave a primary behind while its term is replaced, and a seed in which they showed an acknowledgement at it. */
const replacement = {seed: 122, only: ['cutZoneBesideDeafReplica', 'disturbPromotions', 'loseActingNode']} as const;

/** Keys that are taken away and given back, and a limit that changes, beside faults. */
const organisations: ProcessPlan = {
	seed: 3, nodes: 5, callers: 6, faults: 4, chains: 1, only: Object.keys(processFaults), accessChanges: 3,
};

/** The store comes back from older copies, also while a promotion is on its way and while a node starts. */
const restores: ProcessPlan = {
	seed: 5, nodes: 5, callers: 6, faults: 4, chains: 2, only: [...Object.keys(restoreFaults), 'cutZoneBesideDeafReplica', 'killNode'], accessChanges: 0,
};

describe('node processes under faults from outside', () => {
	for (const seed of seeds) {
		it(`keeps every promise to callers with seed ${seed}`, async () => {
			const {findings, answers} = await runProcesses({
				seed, nodes: 3, callers: 4, faults: 3, chains: 1, only: Object.keys(processFaults), accessChanges: 0,
			});
			expect(findings).toEqual([]);
			expect((answers.get('written') ?? 0) > 0).toEqual(true);
		});
	}

	it(`acknowledges nothing at a primary that was replaced with seed ${replacement.seed}`, async () => {
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

	it(`keeps every promise before a store that comes back from older copies with seed ${restores.seed}`, async () => {
		const {findings, answers} = await runProcesses(restores);
		expect(findings).toEqual([]);
		expect((answers.get('written') ?? 0) > 0).toEqual(true);
	});
});
