/**
 * Runs the steps of the demo: starts a system, shows it at work, and stops it.
 */
import {
	mkdir, mkdtemp, rename, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {deploymentSchema, type Deployment} from '../src/common/settings/deployment-schema.js';
import {loadFile} from '../src/node/settings/settings-file.js';
import {DevelopmentSystem} from './development-system.js';
import {restartAndRejoin, runFailover} from './failover-run.js';
import {compareLatency} from './latency-comparison.js';
import {placeDeployment} from './placement.js';
import {ProgressReporter} from './progress-reporter.js';
import {scenarios} from './scenarios.js';
import {ShopWorkload} from './shop-workload.js';
import type {DemoOptions, Reporter} from './types.js';

/** Exit codes of the demo. */
const exitCodes = {ok: 0, failed: 1, usage: 2} as const;

/** Runs the demo and resolves with its exit code. */
export async function runDemo(options: DemoOptions): Promise<number> {
	const reporter = new ProgressReporter();
	const loaded = await loadDeployment(options.deployment);
	const deployment = loaded.toMaybe().extract();
	if (!deployment) {
		loaded.ifLeft(error => {
			process.stderr.write(`${error.message}\n`);
		});
		return exitCodes.usage;
	}

	const folder = options.folder ?? await mkdtemp(path.join(tmpdir(), 'quetzalstream-demo-'));
	await mkdir(folder, {recursive: true});
	const system = new DevelopmentSystem(deployment, await placeDeployment(deployment), {folder, reporter});
	const interrupted = waitForStopSignal();
	try {
		const isSuccessful = await Promise.race([interrupted, runSteps(system, options, reporter, interrupted)]);
		const failures = await system.stop();
		for (const failure of failures) {
			reporter.line(failure);
		}

		reporter.line('stopped');
		return isSuccessful && failures.length === 0 ? exitCodes.ok : exitCodes.failed;
	} catch (error) {
		reporter.line(error instanceof Error ? error.message : String(error));
		return exitCodes.failed;
	} finally {
		system.dispose();
		if (options.folder === undefined) {
			await rm(folder, {recursive: true, force: true});
		}
	}
}

/** Reads the settings file of a deployment of this package. */
export async function loadDeployment(name: string): ReturnType<typeof loadFile<typeof deploymentSchema>> {
	const file = fileURLToPath(new URL(`../../deployments/${path.basename(name)}/deployment.jsonc`, import.meta.url));
	return loadFile(file, deploymentSchema);
}

async function runSteps(system: DevelopmentSystem, options: DemoOptions, reporter: Reporter, interrupted: Promise<boolean>): Promise<boolean> {
	await system.start();
	if (options.readyFile !== undefined) {
		await writeAtomically(options.readyFile, JSON.stringify(await system.describe(), undefined, '\t'));
	}

	if (options.keep) {
		reporter.line('ready; SIGTERM or SIGINT stops it');
		return interrupted;
	}

	return runScenario(system, system.deployment, reporter);
}

/** Runs the workload, the latency comparison and the failover; resolves with whether no consistency guarantee was violated. */
async function runScenario(system: DevelopmentSystem, deployment: Deployment, reporter: Reporter): Promise<boolean> {
	const scenario = scenarios[deployment.name];
	const shop = new ShopWorkload(system, scenario, reporter);
	await shop.prepare();
	const isConsistent = await shop.run();
	await compareLatency(system, scenario, reporter);
	const primary = await system.primaryOf(scenario.written.group);
	const isComplete = await runFailover(system, scenario, reporter);
	if (primary !== undefined) {
		await restartAndRejoin(system, primary, reporter);
	}

	return isConsistent && isComplete;
}

/** Resolves with true when a signal asks the supervisor to stop. */
async function waitForStopSignal(): Promise<boolean> {
	return new Promise(resolve => {
		for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
			process.on(signal, () => {
				resolve(true);
			});
		}
	});
}

/** Writes to a temporary file and renames it, so that a program that waits for the file never reads a part of it. */
async function writeAtomically(file: string, text: string): Promise<void> {
	await writeFile(`${file}.part`, text);
	await rename(`${file}.part`, file);
}
