/**
 * Seeded runs of real node processes: `npm run soak:processes -- --seed N --runs M`. The exit code
 * is 1 if a promise was broken; the logs of such a run are kept.
 */
import process from 'node:process';
import {Command} from 'commander';
import {failedSeeds} from './failed-seeds.js';
import {loadFaults, processFaults, restoreFaults} from './process-faults.js';
import {runProcesses} from './process-run.js';

type Options = {
	readonly seed: number;
	readonly runs: number;
	readonly failed: boolean;
	readonly nodes: number;
	readonly callers: number;
	readonly faults: number;
	readonly chains: number;
	readonly accessChanges: number;
	readonly only: readonly string[];
	readonly restores: boolean;
	readonly load: boolean;
};

/** Maximum number of findings printed per promise and run: one fault often breaks the same promise to many callers. */
const maximumPrintedFindings = 5;

const {
	seed, runs, failed: runsFailedSeeds, restores, load, only, ...plan
} = new Command('soak:processes')
	.description('Randomised runs of node processes under faults from outside, checked from the callers\' point of view')
	.option('--seed <number>', 'first seed', Number, 1)
	.option('--runs <number>', 'number of seeds', Number, 1)
	.option('--failed', 'run the seeds that have failed instead of others', false)
	.option('--nodes <number>', 'node processes', Number, 5)
	.option('--callers <number>', 'concurrent callers', Number, 8)
	.option('--faults <number>', 'faults in each chain', Number, 6)
	.option('--only <names...>', 'faults to choose from', Object.keys(processFaults))
	.option('--restores', 'also choose from the faults that restore the store from older snapshots', false)
	.option('--load', 'also choose from the faults that load a large fleet, such as many routes at once; with 16 nodes and more', false)
	.option('--chains <number>', 'concurrent chains of faults', Number, 2)
	.option('--access-changes <number>', 'changes of organisations\' keys and limits; without any, callers need no key', Number, 0)
	.parse()
	.opts<Options>();

const seeds = runsFailedSeeds ? failedSeeds.map(entry => entry.seed) : Array.from({length: runs}, (_, run) => seed + run);
let failed = 0;
for (const runSeed of seeds) {
	const chosen = [...only, ...(restores ? Object.keys(restoreFaults) : []), ...(load ? Object.keys(loadFaults) : [])];
	const {findings, answers, faults, promotions, runs: statements, folder} = await runProcesses({...plan, seed: runSeed, only: chosen});
	const counts = [...faults, ...answers].map(([what, count]) => `${what} ${count}`).join(', ');
	console.log(`seed ${runSeed}: ${findings.length} findings, ${statements} statements at instances, ${promotions} promotions; ${counts}`);
	for (const promise of new Set(findings.map(finding => finding.promise))) {
		const ofPromise = findings.filter(finding => finding.promise === promise);
		console.log(`  ${promise}: ${ofPromise.length} (logs: ${folder})`);
		for (const {detail} of ofPromise.slice(0, maximumPrintedFindings)) {
			console.log(`    ${detail}`);
		}
	}

	failed += findings.length > 0 ? 1 : 0;
}

console.log(`${seeds.length} seeds, ${failed} failed`);
process.exitCode = failed > 0 ? 1 : 0;
