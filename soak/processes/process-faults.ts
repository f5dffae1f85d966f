/**
 * Faults that are injected into a running system from outside. Each one is undone before its promise resolves.
 */
import {setTimeout as pause} from 'node:timers/promises';
import type {Random} from '../../src/common/services/services.js';
import type {StoreSnapshot} from '../../standins/line/memory-row-store.js';
import type {ProxyMode} from '../../standins/line/faulty-proxy.js';
import type {ProxiedLink, LineSystem, PromotionBehaviour} from '../../standins/line/processes/line-system.js';
import {defaultPromotionBehaviour} from '../../standins/line/processes/line-system.js';
import type {NodeProcess} from '../../standins/line/processes/node-process.js';

/** Injects a fault, waits for its duration and undoes it. */
type Fault = (system: LineSystem, random: RandomChoices) => Promise<void>;

/** Maximum duration of one fault, in milliseconds: longer than it takes to replace a silent primary. */
const maximumFaultMs = 4000;

/** Number of routes that are added at once; their row has some 300 KB. */
const manyRoutes = 1300;

/** Number of writes whose answers the store loses in one fault; the writes take effect. */
const lostWriteAnswers = 2;

/** Maximum delay of the answer to a promotion command, or of its effect, in milliseconds: longer than a node waits for it. */
const maximumCommandDelayMs = 3000;

/** Maximum age of the snapshot from which the store is restored, and maximum time for which it is unavailable before, in milliseconds. */
const maximumSnapshotAgeMs = 8000;
const maximumStoreOutageMs = 1500;

/** Maximum time until operators and instances rewrite what the store lost, in milliseconds. */
const maximumRewriteDelayMs = 2000;

/** Seeded random choices of one chain of faults. */
export class RandomChoices {
	private readonly _random: Random;

	constructor(random: Random) {
		this._random = random;
	}

	pick<T>(choices: readonly T[]): T {
		return choices[Math.floor(this._random.next() * choices.length)];
	}

	/** A random share, between none and all, of a time in milliseconds. */
	partOf(timeMs: number): number {
		return timeMs * this._random.next();
	}

	/** A duration that outlasts most promotions: between half of the maximum and the maximum, in milliseconds. */
	longDurationMs(): number {
		return maximumFaultMs * (0.5 + (0.5 * this._random.next()));
	}

	/** A duration between a tenth of the maximum and the maximum, in milliseconds. */
	durationMs(): number {
		return maximumFaultMs * (0.1 + (0.9 * this._random.next()));
	}
}

const promotionAnswers: ReadonlyArray<PromotionBehaviour['answer']> = ['given', 'given', 'lost', 'denied'];

/** How connections across the border of a partitioned zone behave. */
const zoneCutModes: readonly ProxyMode[] = ['silent', 'refuse'];

/** Faults through which the primary may have to be replaced. */
const primaryLossFaults = ['cutZone', 'cutZone', 'crashInstance'] as const;

const linkFaultModes: readonly ProxyMode[] = ['slow', 'silent', 'cutToServer', 'cutToCaller', 'refuse'];

/**
 * Faults by name. `crashInstance` and `restartReplica` do nothing unless every instance is up, so
 * that overlapping chains don't stop the last one.
 */
export const processFaults: Readonly<Record<string, Fault>> = {
	async killNode(system, random) {
		const node = random.pick(system.nodes);
		await node.end('SIGKILL');
		await restart(node);
	},
	async stopNode(system, random) {
		const node = random.pick(system.nodes);
		await node.end('SIGTERM');
		await restart(node);
	},
	async pauseNode(system, random) {
		const node = random.pick(system.nodes);
		node.signal('SIGSTOP');
		await pause(random.durationMs());
		node.signal('SIGCONT');
	},
	async rollNodes(system) {
		for (const node of system.nodes) {
			await node.end('SIGTERM');
			await restart(node);
			await node.waitUntilReady();
		}
	},
	async crashInstance(system, random) {
		const running = system.group.instances.filter(({isUp}) => isUp);
		if (running.length < system.group.instances.length) {
			return;
		}

		// Each primary is listed twice, so that it crashes more often than a replica: more depends on it.
		const {id} = random.pick([...running, ...running.filter(({isPrimary}) => isPrimary)]);
		system.crash(id);
		await pause(random.durationMs());
		system.restartWithLog(id);
	},
	/** Restarts replicas only: a primary that loses its memory loses the writes that no replica had confirmed, as docs/PROOFS.md says. */
	async restartReplica(system, random) {
		const healthy = system.group.instances.filter(({isUp, isIsolated, isReplicationBlocked}) => isUp && !isIsolated && !isReplicationBlocked);
		if (healthy.length === system.group.instances.length) {
			system.restartEmpty(random.pick(healthy.filter(({isPrimary}) => !isPrimary)).id);
		}
	},
	async disturbInstance(system, random) {
		const {id} = random.pick(system.group.instances);
		await injectLinkFault(system.links.filter(({to}) => to === id), random.pick(linkFaultModes), random.durationMs());
	},
	async disturbLink(system, random) {
		await injectLinkFault([random.pick(system.links)], random.pick(linkFaultModes), random.durationMs());
	},
	async resetConnections(system, random) {
		const {to} = random.pick(system.links);
		for (const {proxy} of system.links.filter(link => link.to === to)) {
			proxy.reset();
		}
	},
	async cutPlatform(system, random) {
		const link = random.pick(system.links.filter(({kind}) => kind === 'platform'));
		await injectLinkFault([link], random.pick(['silent', 'cutToCaller', 'refuse'] as const), random.durationMs());
	},
	/** Cuts one zone off from the others and from the platform; callers still reach its nodes. */
	async cutZone(system, random) {
		const {instances} = system.group;
		const instance = random.pick([...instances, ...instances.filter(({isPrimary}) => isPrimary)]);
		if (instance.isIsolated) {
			return;
		}

		instance.isIsolated = true;
		await injectLinkFault(system.linksAcross(system.zoneOf(instance.id)), random.pick(zoneCutModes), random.longDurationMs());
		instance.isIsolated = false;
	},
	async deafenReplica(system, random) {
		const replica = random.pick(system.group.instances.filter(({isPrimary}) => !isPrimary));
		if (replica.isReplicationBlocked) {
			return;
		}

		replica.isReplicationBlocked = true;
		replica.missesPromotions = true;
		// At least as long as any cut of a zone, so that this replica may be the last to learn of a new term.
		await pause(2 * random.longDurationMs());
		replica.isReplicationBlocked = false;
		replica.missesPromotions = false;
	},
	async cutZoneBesideDeafReplica(system, random) {
		await Promise.all([processFaults.deafenReplica(system, random), processFaults.cutZone(system, random)]);
	},
	async disturbPromotions(system, random) {
		const behaviour = {answer: random.pick(promotionAnswers), answerMs: random.partOf(maximumCommandDelayMs), effectMs: random.partOf(maximumCommandDelayMs)};
		system.promotionBehaviour = behaviour;
		await processFaults[random.pick(primaryLossFaults)](system, random);
		system.promotionBehaviour = defaultPromotionBehaviour;
		// A promotion that was commanded takes effect before this fault counts as undone.
		await pause(behaviour.effectMs);
	},
	/** Kills or pauses the promoting node right after it acquired the promotion lease or sent the promotion command. */
	async loseActingNode(system, random) {
		const nextStep = system.nextPromotionStep(random.pick(['duty', 'order'] as const));
		const isKilled = random.pick([true, false]);
		const pausedMs = random.durationMs();
		const failover = processFaults[random.pick(primaryLossFaults)](system, random);
		const node = await Promise.race([nextStep, failover.then(() => undefined)]);
		if (node && isKilled) {
			await node.end('SIGKILL');
			await restart(node);
		} else if (node) {
			node.signal('SIGSTOP');
			await pause(pausedMs);
			node.signal('SIGCONT');
		}

		await failover;
	},
	async storeAway(system, random) {
		system.store.isUnavailable = true;
		await pause(random.durationMs());
		system.store.isUnavailable = false;
	},
	async storeForgets(system) {
		system.store.writeAnswersToLose = lostWriteAnswers;
		system.store.dropHistory();
		system.configure();
	},
};

/** Faults that restore the store from an older snapshot, in a table of their own so that a seed still selects the same faults from the other table. */
export const restoreFaults: Readonly<Record<string, Fault>> = {
	/** Restores the store from a snapshot that is up to `maximumSnapshotAgeMs` old, at times twice from the same one. */
	async restoreStore(system, random) {
		const snapshot = system.store.takeSnapshot();
		await pause(random.partOf(maximumSnapshotAgeMs));
		await restoreSnapshot(snapshot, system, random);
		if (random.pick([true, false, false])) {
			await restoreSnapshot(snapshot, system, random);
		}
	},
	/** Restores the store while a node promotes, and at times kills that node. */
	async restoreStoreInPromotion(system, random) {
		const snapshot = system.store.takeSnapshot();
		const nextStep = system.nextPromotionStep(random.pick(['duty', 'order'] as const));
		const failover = processFaults[random.pick(primaryLossFaults)](system, random);
		const node = await Promise.race([nextStep, failover.then(() => undefined)]);
		const restored = restoreSnapshot(snapshot, system, random);
		if (node && random.pick([true, false, false])) {
			await node.end('SIGKILL');
			await restart(node);
		}

		await Promise.all([failover, restored]);
	},
	/** Restores the store while a node is killed and started again. */
	async startNodeInRestore(system, random) {
		const snapshot = system.store.takeSnapshot();
		await pause(random.partOf(maximumSnapshotAgeMs));
		const node = random.pick(system.nodes);
		await Promise.all([
			restoreSnapshot(snapshot, system, random),
			node.end('SIGKILL').then(async () => restart(node)),
		]);
	},
};

/** Load that only large fleets have, in a table of its own so that a seed still selects the same faults from the other tables. */
export const loadFaults: Readonly<Record<string, Fault>> = {
	/** Adds so many routes at once that their row takes longer to transfer than a statement, and configures again in the middle of the transfer. */
	async addManyRoutes(system, random) {
		system.addManyDatabases(manyRoutes);
		await pause(random.partOf(maximumRewriteDelayMs));
		system.configure();
	},
	/** Adds many routes while the store is away, so that nodes learn of them only from each other or later. */
	async addManyRoutesInOutage(system, random) {
		const outage = processFaults.storeAway(system, random);
		system.addManyDatabases(manyRoutes);
		await outage;
	},
};

/** All faults by name. */
export const allFaults: Readonly<Record<string, Fault>> = {...processFaults, ...restoreFaults, ...loadFaults};

async function restoreSnapshot(snapshot: StoreSnapshot, system: LineSystem, random: RandomChoices): Promise<void> {
	await system.restoreStore(snapshot, {awayMs: random.partOf(maximumStoreOutageMs), againMs: random.partOf(maximumRewriteDelayMs)});
}

async function injectLinkFault(links: readonly ProxiedLink[], mode: ProxyMode, durationMs: number): Promise<void> {
	const undo = links.map(({proxy}) => proxy.injectFault(mode));
	if (mode === 'refuse') {
		for (const {proxy} of links) {
			proxy.reset();
		}
	}

	await pause(durationMs);
	for (const undoFault of undo) {
		undoFault();
	}
}

/** Starts a node again 100 ms after it ended, as a platform does. */
async function restart(node: NodeProcess): Promise<void> {
	await pause(100);
	await node.start();
}
