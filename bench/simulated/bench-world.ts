/**
 * Starts a deployment from its settings file as a simulated world on a virtual clock.
 */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import type {NodeOptions} from '../../src/common/node-core.js';
import {deploymentSchema, endpointsOf, type Deployment} from '../../src/common/settings/deployment-schema.js';
import {loadFile} from '../../src/node/settings/settings-file.js';
import {HistogramMetrics} from '../../soak/counting-metrics.js';
import type {WorldPlan} from '../../soak/world/world-plan.js';
import {World} from '../../soak/world/world.js';
import {benchLag} from './constants.js';

/** Names of the deployments that are measured. */
export const deploymentNames = ['furniture', 'cooperative'] as const;
export type DeploymentName = typeof deploymentNames[number];

/** A started world and its metrics. */
export type BenchWorld = {
	readonly world: World;
	readonly metrics: HistogramMetrics;
	readonly callersMs: number;
};

const repositoryFolder = path.join(path.dirname(fileURLToPath(import.meta.url)), '../../..');

/** Reads a deployment's settings file; rejects if it is invalid. */
export async function readDeployment(name: DeploymentName): Promise<Deployment> {
	const loaded = await loadFile(path.join(repositoryFolder, 'deployments', name, 'deployment.jsonc'), deploymentSchema);
	return loaded.unsafeCoerce();
}

/** Starts a deployment with a seed; a violated invariant ends the run with an error. */
export async function startWorld(deployment: Deployment, seed: number, nodeOptions: NodeOptions = {}): Promise<BenchWorld> {
	const metrics = new HistogramMetrics();
	const world = new World(planOf(deployment, seed, nodeOptions), {
		metrics,
		log: {
			event() {
				// The log is not used: the figures come from the callers.
			},
		},
		invariants: {
			check(name, condition, detail) {
				if (!condition) {
					throw new Error(`invariant ${name} violated: ${detail()}`);
				}

				return condition;
			},
		},
	});
	await world.start();
	return {world, metrics, callersMs: deployment.delays.callersMs};
}

function planOf(deployment: Deployment, seed: number, nodeOptions: NodeOptions): WorldPlan {
	const endpoints = endpointsOf(deployment);
	const groups = [...new Set(endpoints.map(({group}) => group))];
	const {slots, connections, serviceMs} = deployment.endpoint;
	return {
		seed,
		zones: deployment.zones,
		nodeCount: deployment.nodes.length,
		groups,
		instancesPerGroup: endpoints.length / groups.length,
		slots,
		connections,
		serviceTimeMs: serviceMs,
		lag: benchLag,
		delays: {withinZoneMs: 0.1, betweenZonesMs: deployment.delays.betweenZonesMs, spreadMs: 0.2},
		nodeOptions,
		rules: [],
	};
}
