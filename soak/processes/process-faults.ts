/**
 * What is done to a running system from outside, each undone before it resolves.
 */
import {setTimeout as pause} from 'node:timers/promises';
import type {Random} from '../../src/common/services/services.js';
import type {ProxyMode} from '../../standins/line/faulty-proxy.js';
import type {LineSystem} from '../../standins/line/processes/line-system.js';
import type {NodeProcess} from '../../standins/line/processes/node-process.js';

/** A fault: begins, lasts, and is undone. */
type Fault = (system: LineSystem, dice: Dice) => Promise<void>;

/** Longest time of one fault, in milliseconds: beyond the time in which a silent primary is replaced. */
const longestMs = 4000;

/** Answers of writes that the store loses at one time. */
const lostAnswers = 2;

/** Random choices of one run. */
export class Dice {
	private readonly _random: Random;

	constructor(random: Random) {
		this._random = random;
	}

	pick<T>(choices: readonly T[]): T {
		return choices[Math.floor(this._random.next() * choices.length)];
	}

	/** A time between a tenth of the longest and the longest. */
	durationMs(): number {
		return longestMs * (0.1 + (0.9 * this._random.next()));
	}
}

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
			await node.becomeReady();
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
		system.revive(id);
	},
	/** Replicas only: writes that none had confirmed are lost with a primary's memory, as docs/PROOFS.md says. */
	async restartReplica(system, dice) {
		const standing = system.group.instances.filter(({isUp}) => isUp);
		if (standing.length === system.group.instances.length) {
			system.restart(dice.pick(standing.filter(({isPrimary}) => !isPrimary)).id);
		}
	},
	async disturbInstance(system, dice) {
		const proxy = dice.pick([...system.instanceProxies.values()]);
		proxy.mode = dice.pick(instanceModes);
		await pause(dice.durationMs());
		proxy.mode = 'pass';
		proxy.reset();
	},
	async resetConnections(system, dice) {
		dice.pick([...system.instanceProxies.values(), ...system.platformProxies.values()]).reset();
	},
	async cutPlatform(system, dice) {
		const proxy = dice.pick([...system.platformProxies.values()]);
		proxy.mode = dice.pick(['silent', 'cutToCaller', 'refuse'] as const);
		await pause(dice.durationMs());
		proxy.mode = 'pass';
		proxy.reset();
	},
	async storeAway(system, dice) {
		system.store.isAway = true;
		await pause(dice.durationMs());
		system.store.isAway = false;
	},
	async storeForgets(system) {
		system.store.answersToLose = lostAnswers;
		system.store.dropHistory();
		system.configure();
	},
};

/** Starts a node again a moment after it ended, as a platform does. */
async function restart(node: NodeProcess): Promise<void> {
	await pause(100);
	await node.start();
}
