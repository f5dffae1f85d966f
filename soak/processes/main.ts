/**
 * Seeded runs of real node processes: `npm run soak:processes -- --seed N --runs M`. Exit code 1
 * on a broken promise; the logs of such a run are kept.
 */
import process from 'node:process';
import {Command} from 'commander';
import {runProcesses} from './process-run.js';

type Options = {
	readonly seed: number;
	readonly runs: number;
	readonly nodes: number;
	readonly callers: number;
	readonly faults: number;
	readonly chains: number;
};

const {seed, runs, ...plan} = new Command('soak:processes')
	.description('Randomised runs of node processes under faults from outside, judged from the callers\' view')
	.option('--seed <number>', 'first seed', Number, 1)
	.option('--runs <number>', 'number of seeds', Number, 1)
	.option('--nodes <number>', 'node processes', Number, 5)
	.option('--callers <number>', 'callers at one time', Number, 8)
	.option('--faults <number>', 'faults of one chain', Number, 6)
	.option('--chains <number>', 'chains of faults at one time', Number, 2)
	.parse()
	.opts<Options>();

let failed = 0;
for (let run = 0; run < runs; run++) {
	const {findings, answers, faults, promotions, folder} = await runProcesses({...plan, seed: seed + run});
	const counts = [...faults, ...answers].map(([what, count]) => `${what} ${count}`).join(', ');
	console.log(`seed ${seed + run}: ${findings.length} findings, ${promotions} promotions; ${counts}`);
	for (const {promise, detail} of findings) {
		console.log(`  ${promise}: ${detail} (logs: ${folder})`);
	}

	failed += findings.length > 0 ? 1 : 0;
}

console.log(`${runs} seeds, ${failed} failed`);
process.exitCode = failed > 0 ? 1 : 0;
