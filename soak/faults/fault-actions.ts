/**
 * The faults of a simulated run. Each action injects a fault, waits for a random time, and undoes it.
 */
import type {FaultInjector} from './fault-injector.js';
import {operatorActions} from './operator-actions.js';

type Fault = (faults: FaultInjector) => Promise<void>;

/** A primary that is paused for at most this time must not be replaced, in milliseconds. */
const harmlessPauseMs = 1990;

const endpointActions = {
	async crashEndpoint(faults) {
		const endpoint = faults.pickEndpoint();
		endpoint?.crash();
		await faults.pauseBetween(200, 8000);
		endpoint?.restart();
	},
	async crashPrimary(faults) {
		const primary = faults.pickPrimary();
		primary?.crash();
		await faults.pauseBetween(1000, 5000);
		primary?.restart();
	},
	async freezeEndpoint(faults) {
		const endpoint = faults.pickEndpoint();
		endpoint?.process.freeze();
		await faults.pauseBetween(100, 6000);
		endpoint?.process.thaw();
	},
	async pauseEndpoint(faults) {
		const endpoint = faults.pickEndpoint();
		endpoint?.process.freeze();
		await faults.pauseBetween(100, harmlessPauseMs);
		endpoint?.process.thaw();
	},
	async resetConnections(faults) {
		faults.pickEndpoint()?.resetSome();
	},
	async slowStatements(faults) {
		const endpoint = faults.pickEndpoint();
		if (endpoint) {
			endpoint.slowShare = 0.05;
			await faults.pauseBetween(500, 4000);
			endpoint.slowShare = 0;
		}
	},
	async lagSpike(faults) {
		const endpoint = faults.pickEndpoint();
		if (endpoint) {
			endpoint.instance.lag = {p50Ms: 2000, p99Ms: 8000};
			await faults.pauseBetween(1000, 8000);
			endpoint.instance.lag = faults.world.plan.lag;
		}
	},
} satisfies Record<string, Fault>;

const networkActions = {
	isolateZone: async faults => faults.isolateZone(faults.pick(faults.world.plan.zones), false),
	isolateZoneAndPlatform: async faults => faults.isolateZone(faults.pick(faults.world.plan.zones), true),
	isolatePrimary: async faults => faults.isolateZone(faults.pickPrimary()?.process.availabilityZone, false),
	async cutPair(faults) {
		const {zones} = faults.world.plan;
		const first = Math.floor(faults.random.next() * zones.length);
		faults.world.network.cut(zones[first], zones[(first + 1) % zones.length]);
		await faults.pauseBetween(200, 6000);
		faults.world.healNetwork();
	},
	async cutOneWay(faults) {
		const from = faults.pick(faults.world.plan.zones);
		const to = faults.pick(faults.world.plan.zones);
		if (from !== undefined && to !== undefined && from !== to) {
			faults.world.network.cutOneWay(from, to);
			await faults.pauseBetween(200, 6000);
			faults.world.healNetwork();
		}
	},
	async slowNetwork(faults) {
		faults.world.network.extraDelayMs = 20 + (faults.random.next() * 130);
		await faults.pauseBetween(500, 6000);
		faults.world.network.extraDelayMs = 0;
	},
	/** Crashes every endpoint and kills every node of a zone at once; later the endpoints restart, and new nodes start. */
	async loseZone(faults) {
		const {world} = faults;
		const zone = faults.pick(world.plan.zones);
		const endpoints = world.endpoints.filter(({process, isDown}) => process.availabilityZone === zone && !isDown);
		const nodes = [...world.nodes.values()].filter(({process}) => process.availabilityZone === zone);
		for (const endpoint of endpoints) {
			endpoint.crash();
		}

		for (const {process} of nodes) {
			world.killNode(process.name);
		}

		await faults.pauseBetween(500, 6000);
		for (const endpoint of endpoints) {
			endpoint.restart();
		}

		for (const {process} of nodes) {
			await faults.pauseBetween(0, 300);
			world.ensureNode(process.name, process.availabilityZone);
		}
	},
} satisfies Record<string, Fault>;

const nodeActions = {
	async freezeNode(faults) {
		const node = faults.pickNode();
		node?.process.freeze();
		await faults.pauseBetween(100, 5000);
		node?.process.thaw();
	},
	async pauseNode(faults) {
		const node = faults.pickNode();
		node?.process.freeze();
		await faults.pauseBetween(100, harmlessPauseMs);
		node?.process.thaw();
	},
	async killNode(faults) {
		const node = faults.pickNode();
		if (node) {
			faults.world.killNode(node.process.name);
			await faults.pauseBetween(200, 4000);
			faults.world.ensureNode(node.process.name, node.process.availabilityZone);
		}
	},
	async drainNode(faults) {
		const node = faults.pickNode();
		if (node) {
			await faults.replaceNode(node);
		}
	},
	/** Replaces every running node, one after the other. */
	async rollNodes(faults) {
		const nodes = [...faults.world.nodes.values()];
		for (const node of nodes) {
			if (!node.isDraining && node.process.isAlive && !node.process.isFrozen) {
				await faults.replaceNode(node);
			}
		}
	},
} satisfies Record<string, Fault>;

const platformActions = {
	async platformOutage(faults) {
		faults.world.platform.faults.outage = faults.random.next() < 0.5 ? 'refused' : 'silent';
		await faults.pauseBetween(1000, 15_000);
		faults.world.platform.faults.outage = 'none';
	},
	async platformSlow(faults) {
		const {faults: platform} = faults.world.platform;
		const {latencyMs} = platform;
		platform.latencyMs = 200 + (faults.random.next() * 1300);
		await faults.pauseBetween(1000, 10_000);
		platform.latencyMs = Math.min(latencyMs, platform.latencyMs);
	},
	async lostAnswers(faults) {
		faults.world.platform.faults.lostAnswerShare = 0.5;
		await faults.pauseBetween(1000, 10_000);
		faults.world.platform.faults.lostAnswerShare = 0;
	},
	/** The platform is unavailable from before a primary crashes until after it has restarted. */
	async failoverWithoutPlatform(faults) {
		const {world} = faults;
		world.platform.faults.outage = 'silent';
		await faults.pauseBetween(100, 1000);
		const primary = faults.pickPrimary();
		primary?.crash();
		await faults.pauseBetween(3000, 8000);
		primary?.restart();
		await faults.pauseBetween(100, 2000);
		world.platform.faults.outage = 'none';
	},
} satisfies Record<string, Fault>;

/** The action of each fault, by name. */
export const faultActions = {
	...endpointActions,
	...networkActions,
	...nodeActions,
	...platformActions,
	...operatorActions,
} satisfies Record<string, Fault>;

/** Name of a fault. */
export type FaultName = keyof typeof faultActions;

/** Names of all faults. */
export const faultNames: readonly FaultName[] = Object.keys(faultActions).filter((name): name is FaultName => name in faultActions);
