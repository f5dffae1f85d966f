/**
 * What is done to a running system from outside, each undone before it resolves.
 */
import {setTimeout as pause} from 'node:timers/promises';
import type {Random} from '../../src/common/services/services.js';
import type {StoreSnapshot} from '../../standins/line/memory-row-store.js';
import type {ProxyMode} from '../../standins/line/faulty-proxy.js';
import type {ProxiedLink, LineSystem, PromotionBehaviour} from '../../standins/line/processes/line-system.js';
import {defaultPromotionBehaviour} from '../../standins/line/processes/line-system.js';
import type {NodeProcess} from '../../standins/line/processes/node-process.js';

/** A fault: begins, lasts, and is undone. */
type Fault = (system: LineSystem, dice: Dice) => Promise<void>;

/** Longest time of one fault, in milliseconds: beyond the time in which a silent primary is replaced. */
const longestMs = 4000;

/** Answers of writes that the store loses at one time. */
const lostAnswers = 2;

/** Longest delay of an answer to an order, or of its effect: beyond the time for which a node waits. */
const longestOrderMs = 3000;

/** Oldest copy from which the store comes back, and how long it is away before, in milliseconds. */
const oldestCopyMs = 8000;
const storeAwayMs = 1500;

/** Longest time until operators and instances have written again what the store lost. */
const writtenAgainMs = 2000;

/** Random choices of one run. */
export class Dice {
	private readonly _random: Random;

	constructor(random: Random) {
		this._random = random;
	}

	pick<T>(choices: readonly T[]): T {
		return choices[Math.floor(this._random.next() * choices.length)];
	}

	/** A part between none and all of a time. */
	partOf(timeMs: number): number {
		return timeMs * this._random.next();
	}

	/** A time that covers most promotions: between half of the longest and the longest. */
	longMs(): number {
		return longestMs * (0.5 + (0.5 * this._random.next()));
	}

	/** A time between a tenth of the longest and the longest. */
	durationMs(): number {
		return longestMs * (0.1 + (0.9 * this._random.next()));
	}
}

const answers: ReadonlyArray<PromotionBehaviour['answer']> = ['given', 'given', 'lost', 'denied'];

/** What a zone's cut looks like to those who connect across it. */
const cutModes: readonly ProxyMode[] = ['silent', 'refuse'];

/** Faults that have the primary replaced. */
const replacing = ['cutZone', 'cutZone', 'crashInstance'] as const;

const instanceModes: readonly ProxyMode[] = ['slow', 'silent', 'cutToServer', 'cutToCaller', 'refuse'];

/** Faults by name. Those that take an instance or a node away hold it, so that two never take the last one. */
export const processFaults: Readonly<Record<string, Fault>> = {
	async killNode(system, dice) {
		const node = dice.pick(system.nodes);
		await node.end('SIGKILL');
		await restart(node);
	},
	async stopNode(system, dice) {
		const node = dice.pick(system.nodes);
		await node.end('SIGTERM');
		await restart(node);
	},
	async pauseNode(system, dice) {
		const node = dice.pick(system.nodes);
		node.signal('SIGSTOP');
		await pause(dice.durationMs());
		node.signal('SIGCONT');
	},
	async rollNodes(system) {
		for (const node of system.nodes) {
			await node.end('SIGTERM');
			await restart(node);
			await node.waitUntilReady();
		}
	},
	async crashInstance(system, dice) {
		const standing = system.group.instances.filter(({isUp}) => isUp);
		if (standing.length < system.group.instances.length) {
			return;
		}

		// Primaries are lost more often than chance would have it: more depends on them.
		const {id} = dice.pick([...standing, ...standing.filter(({isPrimary}) => isPrimary)]);
		system.crash(id);
		await pause(dice.durationMs());
		system.restartWithLog(id);
	},
	/** Replicas only: writes that none had confirmed are lost with a primary's memory, as docs/PROOFS.md says. */
	async restartReplica(system, dice) {
		const whole = system.group.instances.filter(({isUp, isIsolated, isReplicationBlocked}) => isUp && !isIsolated && !isReplicationBlocked);
		if (whole.length === system.group.instances.length) {
			system.restartEmpty(dice.pick(whole.filter(({isPrimary}) => !isPrimary)).id);
		}
	},
	async disturbInstance(system, dice) {
		const {id} = dice.pick(system.group.instances);
		await disturb(system.links.filter(({to}) => to === id), dice.pick(instanceModes), dice.durationMs());
	},
	async disturbLink(system, dice) {
		await disturb([dice.pick(system.links)], dice.pick(instanceModes), dice.durationMs());
	},
	async resetConnections(system, dice) {
		const {to} = dice.pick(system.links);
		for (const {proxy} of system.links.filter(link => link.to === to)) {
			proxy.reset();
		}
	},
	async cutPlatform(system, dice) {
		const link = dice.pick(system.links.filter(({kind}) => kind === 'platform'));
		await disturb([link], dice.pick(['silent', 'cutToCaller', 'refuse'] as const), dice.durationMs());
	},
	/** Everything of one zone is alone with itself; its callers still reach it. */
	async cutZone(system, dice) {
		const {instances} = system.group;
		const instance = dice.pick([...instances, ...instances.filter(({isPrimary}) => isPrimary)]);
		if (instance.isIsolated) {
			return;
		}

		instance.isIsolated = true;
		await disturb(system.linksAcross(system.zoneOf(instance.id)), dice.pick(cutModes), dice.longMs());
		instance.isIsolated = false;
	},
	async deafenReplica(system, dice) {
		const replica = dice.pick(system.group.instances.filter(({isPrimary}) => !isPrimary));
		if (replica.isReplicationBlocked) {
			return;
		}

		replica.isReplicationBlocked = true;
		replica.missesPromotions = true;
		// Longer than a zone's cut: it may be the last to hear of a new term.
		await pause(2 * dice.longMs());
		replica.isReplicationBlocked = false;
		replica.missesPromotions = false;
	},
	async cutZoneBesideDeafReplica(system, dice) {
		await Promise.all([processFaults.deafenReplica(system, dice), processFaults.cutZone(system, dice)]);
	},
	async disturbPromotions(system, dice) {
		const conduct = {answer: dice.pick(answers), answerMs: dice.partOf(longestOrderMs), effectMs: dice.partOf(longestOrderMs)};
		system.promotionBehaviour = conduct;
		await processFaults[dice.pick(replacing)](system, dice);
		system.promotionBehaviour = defaultPromotionBehaviour;
		// What was ordered has taken effect before this fault counts as undone.
		await pause(conduct.effectMs);
	},
	/** The node that promotes is gone or stands still right after it took the duty or ordered. */
	async loseActingNode(system, dice) {
		const acting = system.nextPromotionStep(dice.pick(['duty', 'order'] as const));
		const isKilled = dice.pick([true, false]);
		const stoppedMs = dice.durationMs();
		const replaced = processFaults[dice.pick(replacing)](system, dice);
		const node = await Promise.race([acting, replaced.then(() => undefined)]);
		if (node && isKilled) {
			await node.end('SIGKILL');
			await restart(node);
		} else if (node) {
			node.signal('SIGSTOP');
			await pause(stoppedMs);
			node.signal('SIGCONT');
		}

		await replaced;
	},
	async storeAway(system, dice) {
		system.store.isUnavailable = true;
		await pause(dice.durationMs());
		system.store.isUnavailable = false;
	},
	async storeForgets(system) {
		system.store.writeAnswersToLose = lostAnswers;
		system.store.dropHistory();
		system.configure();
	},
};

/** The store comes back from an older copy. Kept apart, so that seeds of the others stay what they are. */
export const restoreFaults: Readonly<Record<string, Fault>> = {
	/** A copy is up to some seconds old; at times the store comes back from it twice, or while a node acts. */
	async restoreStore(system, dice) {
		const copy = system.store.takeSnapshot();
		await pause(dice.partOf(oldestCopyMs));
		await restoreFrom(copy, system, dice);
		if (dice.pick([true, false, false])) {
			await restoreFrom(copy, system, dice);
		}
	},
	async restoreStoreInPromotion(system, dice) {
		const copy = system.store.takeSnapshot();
		const acting = system.nextPromotionStep(dice.pick(['duty', 'order'] as const));
		const replaced = processFaults[dice.pick(replacing)](system, dice);
		const node = await Promise.race([acting, replaced.then(() => undefined)]);
		const restored = restoreFrom(copy, system, dice);
		if (node && dice.pick([true, false, false])) {
			await node.end('SIGKILL');
			await restart(node);
		}

		await Promise.all([replaced, restored]);
	},
	async startNodeInRestore(system, dice) {
		const copy = system.store.takeSnapshot();
		await pause(dice.partOf(oldestCopyMs));
		const node = dice.pick(system.nodes);
		await Promise.all([
			restoreFrom(copy, system, dice),
			node.end('SIGKILL').then(async () => restart(node)),
		]);
	},
};

/** Every fault. */
export const allFaults: Readonly<Record<string, Fault>> = {...processFaults, ...restoreFaults};

async function restoreFrom(copy: StoreSnapshot, system: LineSystem, dice: Dice): Promise<void> {
	await system.restoreStore(copy, {awayMs: dice.partOf(storeAwayMs), againMs: dice.partOf(writtenAgainMs)});
}

async function disturb(links: readonly ProxiedLink[], mode: ProxyMode, forMs: number): Promise<void> {
	const undo = links.map(({proxy}) => proxy.injectFault(mode));
	if (mode === 'refuse') {
		for (const {proxy} of links) {
			proxy.reset();
		}
	}

	await pause(forMs);
	for (const end of undo) {
		end();
	}
}

/** Starts a node again a moment after it ended, as a platform does. */
async function restart(node: NodeProcess): Promise<void> {
	await pause(100);
	await node.start();
}
