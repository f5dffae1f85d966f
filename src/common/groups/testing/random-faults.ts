/**
 * Faults at random, from a seed: crashes, freezes, cuts, lost answers, paused and killed
 * monitors, and changes that operators order.
 */
import type {FakeInstance} from './fake-instance.js';
import type {FakeNode, FakeWorld} from './fake-world.js';

/** Times between two faults, and of their lasting. */
const calmMs = {shortest: 50, longest: 1500};
const lastingMs = {shortest: 20, longest: 3500};

/** Brings a fault about; gives the act that ends it. */
type Fault = (world: FakeWorld) => () => void;

const faults: Readonly<Record<string, Fault>> = {
	crash(world) {
		const instance = pick(world, world.instances);
		instance.crash();
		return () => {
			if (instance.process.isDead) {
				instance.restart(canLoseLog(world, instance));
			}
		};
	},
	freeze(world) {
		const {process} = pick(world, world.instances);
		process.pause();
		return () => {
			process.resume();
		};
	},
	cut(world) {
		const [zone, ...others] = shuffled(world, world.instances.map(({address}) => address.availabilityZone));
		world.network.cut([zone], world.random.next() < 0.5 ? others : others.slice(1));
		return () => {
			world.network.heal();
		};
	},
	loseAnswers(world) {
		pick(world, world.instances).answersToLose = 1 + Math.floor(world.random.next() * 2);
		return () => undefined;
	},
	pauseNode(world) {
		const {process} = pick(world, world.nodes);
		process.pause();
		return () => {
			process.resume();
		};
	},
	killNode(world) {
		const node: FakeNode = pick(world, world.nodes);
		node.kill();
		return () => {
			if (node.process.isDead) {
				node.restart();
			}
		};
	},
	order(world) {
		const {name} = pick(world, world.instances);
		world.setPolicy(name, {isOrderedPrimary: true});
		return () => {
			world.setPolicy(name, {});
		};
	},
	drain(world) {
		const {name} = pick(world, world.instances);
		world.setPolicy(name, {isDraining: true});
		return () => {
			world.setPolicy(name, {});
		};
	},
	lag(world) {
		const instance = pick(world, world.instances);
		instance.replication.lagMs = world.random.next() * 300;
		return () => {
			instance.replication.lagMs = 0;
		};
	},
};

/** Brings faults about for a time, several at once, and then ends all of them. */
export async function runFaults(world: FakeWorld, durationMs: number): Promise<readonly string[]> {
	const history: string[] = [];
	const endMs = world.clock.nowMs() + durationMs;
	const ends = new Set<() => void>();
	while (world.clock.nowMs() < endMs) {
		const name = pick(world, Object.keys(faults));
		history.push(`${world.clock.nowMs().toFixed(0)} ${name}`);
		const end = faults[name](world);
		ends.add(end);
		world.clock.setTimer(between(world, lastingMs), () => {
			if (ends.delete(end)) {
				end();
			}
		});
		await world.clock.advance(between(world, calmMs));
	}

	for (const end of ends) {
		end();
	}

	world.network.heal();
	return history;
}

/** A log may be lost only while the other instances are whole: nothing survives otherwise. */
function canLoseLog(world: FakeWorld, instance: FakeInstance): boolean {
	const others = world.instances.filter(other => other !== instance);
	return world.random.next() < 0.5 && others.every(({role, process}) => role !== 'rebuilding' && !process.isDead);
}

function pick<T>(world: FakeWorld, items: readonly T[]): T {
	return items[Math.floor(world.random.next() * items.length)];
}

function shuffled<T>(world: FakeWorld, items: readonly T[]): T[] {
	return items.map(item => ({item, order: world.random.next()})).toSorted((a, b) => a.order - b.order).map(({item}) => item);
}

function between(world: FakeWorld, {shortest, longest}: {readonly shortest: number; readonly longest: number}): number {
	return shortest + ((longest - shortest) * world.random.next());
}
