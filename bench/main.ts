/**
 * Command line of the benchmarks: runs one and compares its ratios and counts with their bounds.
 */
import {mkdir, mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {Argument, Command} from 'commander';
import {benchControlCost} from './control/control-cost.js';
import {benchFleet} from './fleet/fleet-bench.js';
import {exceeded, formatResult} from './format.js';
import {benchNodeCost} from './nodes/node-cost.js';
import {benchPath} from './path/path-bench.js';
import {benchFleetCost} from './simulated/fleet-cost.js';
import {benchFailover} from './simulated/failover.js';
import {benchGoalBurst} from './simulated/goal-burst.js';
import {benchLineFailover} from './simulated/line-failover.js';
import {benchOverload} from './simulated/overload.js';
import {benchReplicaReads} from './simulated/replica-reads.js';
import type {Bench, BenchOptions} from './types.js';

const benches: Readonly<Record<string, Bench>> = {
	path: benchPath,
	'control-cost': benchControlCost,
	fleet: benchFleet,
	'replica-reads': benchReplicaReads,
	failover: benchFailover,
	'line-failover': benchLineFailover,
	overload: benchOverload,
	'goal-burst': benchGoalBurst,
	'fleet-cost': benchFleetCost,
	'node-cost': benchNodeCost,
};

const exitCodes = {ok: 0, exceeded: 1, failed: 2} as const;

const command = new Command('bench')
	.description('measure on this machine, with stand-ins for endpoints and platform')
	.addArgument(new Argument('[name]', 'what is measured').choices(Object.keys(benches)).default('path'))
	.option('--json', 'print the result as JSON', false)
	.option('--folder <folder>', 'keep settings and logs of the processes in a folder')
	.option('--against <folder>', 'folder of another checkout, built for deployment, to compare with (node-cost only)');

async function run(name: string, options: BenchOptions): Promise<number> {
	const folder = options.folder ?? await mkdtemp(path.join(tmpdir(), 'quetzalstream-bench-'));
	await mkdir(folder, {recursive: true});
	try {
		const result = await benches[name]({
			folder,
			against: options.against,
			note(text) {
				process.stderr.write(`${text}\n`);
			},
		});
		process.stdout.write(options.json ? `${JSON.stringify(result, undefined, '\t')}\n` : `${formatResult(result)}\n`);
		return exceeded(result.bounded).length === 0 ? exitCodes.ok : exitCodes.exceeded;
	} catch (error) {
		process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
		return exitCodes.failed;
	} finally {
		if (options.folder === undefined) {
			await rm(folder, {recursive: true, force: true});
		}
	}
}

// A warning printed by the AWS SDK would disturb the logs of the processes.
process.env.AWS_SDK_JS_NODE_VERSION_SUPPORT_WARNING_DISABLED = 'true';
command.parse();
process.exitCode = await run(String(command.processedArgs[0]), command.opts<BenchOptions>());
