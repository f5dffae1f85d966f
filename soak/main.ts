/**
 * Long randomised runs: `npm run soak -- --seed N --minutes M`. The exit code is 1 on a violation.
 */
import process from 'node:process';
import {Command, InvalidArgumentError} from 'commander';
import {faultNames, type FaultName} from './faults/fault-actions.js';
import {variedPlanOf} from './plans.js';
import {run, type RunPlan, type RunResult} from './run.js';

const program = new Command('soak')
	.description('Randomised runs of whole systems on a virtual clock, checked from the callers\' point of view')
	.option('--seed <number>', 'first seed', Number, 1)
	.option('--runs <number>', 'number of seeds', Number)
	.option('--minutes <number>', 'real time for which further seeds are run', Number, 1)
	.option('--seconds <number>', 'virtual time of one run', Number, 60)
	.option('--faults <names>', 'only these faults, separated by commas', readFaultNames)
	.option('--verbose', 'print the counts of faults, answers and events of every run', false);

type Options = {seed: number; runs?: number; minutes: number; seconds: number; faults?: readonly FaultName[]; verbose: boolean};

/** Maximum number of findings printed per run. */
const maximumPrintedFindings = 10;

async function main(): Promise<void> {
	const options = program.parse().opts<Options>();
	const endMs = Date.now() + (options.minutes * 60_000);
	let failedRuns = 0;
	const faults = new Map<string, number>();
	const answers = new Map<string, number>();
	const recoveriesMs: number[] = [];
	const changeDelaysMs: number[] = [];
	let runCount = 0;
	while (options.runs === undefined ? Date.now() < endMs : runCount < options.runs) {
		const seed = options.seed + runCount;
		const plan = variedPlanOf(seed, options.seconds * 1000);
		const result = await runToEnd(seed, {...plan, faultNames: options.faults ?? plan.faultNames});
		runCount += 1;
		addTo(faults, result?.faults ?? new Map());
		addTo(answers, result?.history.counts ?? new Map());
		recoveriesMs.push(...result?.recoveriesMs ?? []);
		changeDelaysMs.push(...result?.changeDelaysMs ?? []);
		failedRuns += result && report(seed, result, options.verbose) ? 0 : 1;
	}

	printCounts('all faults', faults);
	printCounts('all answers', answers);
	printTimes('first write after the last fault', recoveriesMs);
	printTimes('change in force on a node', changeDelaysMs);
	console.log(`${runCount} seeds, ${sum(faults.values())} faults, ${sum(answers.values())} answers, ${failedRuns} failed`);
	process.exitCode = failedRuns > 0 ? 1 : 0;
}

/** Runs a plan; undefined, which counts as failed, if the run throws. */
async function runToEnd(seed: number, plan: RunPlan): Promise<RunResult | undefined> {
	try {
		return await run(plan);
	} catch (error) {
		console.log(`seed ${seed}: ${String(error)}`);
		return undefined;
	}
}

function readFaultNames(text: string): readonly FaultName[] {
	return text.split(',').map(name => {
		const found = faultNames.find(known => known === name);
		if (!found) {
			throw new InvalidArgumentError(`expected names among ${faultNames.join(', ')}`);
		}

		return found;
	});
}

/** Prints the result of one run, and returns whether it is without findings. */
function report(seed: number, result: RunResult, isVerbose: boolean): boolean {
	const {history, findings} = result;
	const isGood = findings.length === 0;
	console.log(`seed ${seed}: ${history.writes.length} writes, ${history.reads.length} reads, ${sum(result.faults.values())} faults, ${findings.length} violations`);
	for (const {promise, detail} of findings.slice(0, maximumPrintedFindings)) {
		console.log(`  ${promise}: ${detail}`);
	}

	if (isVerbose || !isGood) {
		printCounts('faults', result.faults);
		printCounts('answers', history.counts);
		printCounts('events', result.events);
	}

	return isGood;
}

function printCounts(title: string, counts: ReadonlyMap<string, number>): void {
	console.log(`  ${title}: ${[...counts].toSorted(([a], [b]) => a < b ? -1 : 1).map(([name, count]) => `${name} ${count}`).join(', ')}`);
}

function printTimes(title: string, timesMs: readonly number[]): void {
	const sorted = timesMs.toSorted((a, b) => a - b);
	const at = (share: number) => sorted.at(Math.ceil(share * sorted.length) - 1)?.toFixed(0);
	console.log(`  ${title}, ms: p50 ${at(0.5)}, p99 ${at(0.99)}, longest ${at(1)}`);
}

function addTo(totals: Map<string, number>, counts: ReadonlyMap<string, number>): void {
	for (const [name, count] of counts) {
		totals.set(name, (totals.get(name) ?? 0) + count);
	}
}

function sum(values: Iterable<number>): number {
	return [...values].reduce((total, value) => total + value, 0);
}

await main();
