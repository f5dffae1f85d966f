/**
 * Injects random faults from a seed: crashes, freezes, network cuts, lost answers, paused and
 * killed nodes, replication lag, and changes of the primary that operators order.
 */
import type {FakeInstance} from './fake-instance.js';
import type {FakeNode, FakeWorld} from './fake-world.js';

/** Ranges of the time between two faults and of their duration. */
const faultIntervalMs = {minimum: 50, maximum: 1500};
const faultDurationMs = {minimum: 20, maximum: 3500};

/** Injects a fault; returns the function that ends it. */
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
			world.network.clearCuts();
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

/** Injects faults for a time, several of them concurrently, then ends all of them and returns the names and times of those injected. */
export async function runFaults(world: FakeWorld, durationMs: number): Promise<readonly string[]> {
	const history: string[] = [];
	const endMs = world.clock.nowMs() + durationMs;
	const ends = new Set<() => void>();
	while (world.clock.nowMs() < endMs) {
		const name = pick(world, Object.keys(faults));
		history.push(`${world.clock.nowMs().toFixed(0)} ${name}`);
		const end = faults[name](world);
		ends.add(end);
		world.clock.setTimer(randomBetween(world, faultDurationMs), () => {
			if (ends.delete(end)) {
				end();
			}
		});
		await world.clock.advance(randomBetween(world, faultIntervalMs));
	}

	for (const end of ends) {
		end();
	}

	world.network.clearCuts();
	return history;
}

/** Whether an instance may lose its log: only while the others have theirs, since acknowledged writes could not survive otherwise. */
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

function randomBetween(world: FakeWorld, {minimum, maximum}: {readonly minimum: number; readonly maximum: number}): number {
	return minimum + ((maximum - minimum) * world.random.next());
}
