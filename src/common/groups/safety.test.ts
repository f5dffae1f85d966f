import {describe, it} from 'node:test';
import {expect} from 'earl';
import {rankCandidates} from './candidates.js';
import {FakeWorld, type FakeSetup} from './testing/fake-world.js';
import {runFaults} from './testing/random-faults.js';
import {Workload} from './testing/workload.js';

const faultsMs = 12_000;
const recoveryMs = 8000;

type Run = {readonly violations: readonly string[]; readonly acknowledged: number; readonly gapAtEndMs: number};

/** Injects random faults from a seed, then leaves time to recover. */
async function runSeed(seed: number): Promise<Run> {
	const world = new FakeWorld(seed);
	await world.start();
	const load = new Workload(world, 8);
	await runFaults(world, faultsMs);
	await world.clock.advance(recoveryMs);
	const gapAtEndMs = load.longestGapMs(world.clock.nowMs() - 1000);
	load.end();
	await world.clock.advance(1500);
	world.dispose();
	return {violations: load.check(), acknowledged: load.acknowledged.length, gapAtEndMs};
}

type BrokenRule = {
	readonly name: string;
	readonly setup: FakeSetup;
	readonly act: (world: FakeWorld) => void;
};

function crash(world: FakeWorld): void {
	world.instance('stock-a').crash();
}

function cut(world: FakeWorld): void {
	world.network.cut(['a'], ['b', 'c']);
	world.clock.setTimer(5000, () => {
		world.network.clearCuts();
	});
}

const brokenRules: readonly BrokenRule[] = [
	{
		name: 'promotion by a minority',
		setup: {rules: {promotionQuorum: () => 1}},
		act(world) {
			world.network.cut(['b'], ['c']);
			cut(world);
		},
	},
	{
		name: 'promotion of the least advanced instance',
		setup: {rules: {rank: (...candidates) => rankCandidates(...candidates).toReversed()}},
		act(world) {
			world.network.cut(['a'], ['c']);
			world.clock.setTimer(300, () => {
				crash(world);
				world.network.clearCuts();
			});
		},
	},
	{name: 'confirmation regardless of the term', setup: {rules: {heldOffset: ({received}) => received.offset}}, act: cut},
	{name: 'proof by the primary alone', setup: {rules: {proofQuorum: () => 1}}, act: cut},
];

describe('safety', () => {
	it('preserves acknowledged writes, one primary per term, proofs and ages under random faults, and recovers', async () => {
		for (let seed = 1; seed <= 10; seed++) {
			const {violations, acknowledged, gapAtEndMs} = await runSeed(seed);
			expect({seed, violations}).toEqual({seed, violations: []});
			expect(acknowledged).toBeGreaterThan(500);
			expect(gapAtEndMs).toBeLessThan(200);
		}
	});

	for (const {name, setup, act} of brokenRules) {
		it(`detects ${name}`, async () => {
			const violationsOf = async (seed: number): Promise<readonly string[]> => {
				const world = new FakeWorld(seed, setup);
				await world.start();
				const load = new Workload(world);
				await world.clock.advance(500);
				act(world);
				await world.clock.advance(7000);
				world.dispose();
				return load.check();
			};

			for (const seed of [1, 2, 3]) {
				const violations = await violationsOf(seed);
				expect(violations.length).toBeGreaterThan(0);
			}
		});
	}
});
