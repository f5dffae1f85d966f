/**
 * Requests writes, proofs and ages from a fake group, and checks the guarantees that each of them gives.
 */
import {hasReached, type LogPosition} from '../../positions/log-position.js';
import type {FakeInstance} from './fake-instance.js';
import type {FakeNode, FakeWorld} from './fake-world.js';

type Acknowledged = {readonly id: number; readonly position: LogPosition; readonly atMs: number};

/** Writes at every instance that accepts writes, as its home would; the home is the node in its zone if one runs there, otherwise any running node. */
export class Workload {
	readonly acknowledged: Acknowledged[] = [];
	/** Descriptions of the guarantees that did not hold. */
	readonly violations: string[] = [];
	/** Number of writes whose outcome is unknown. */
	unknown = 0;
	proofCount = 0;
	ageCount = 0;
	private readonly _world: FakeWorld;
	private readonly _everyMs: number;
	private _lastId = 0;
	private _isEnded = false;

	constructor(world: FakeWorld, everyMs = 5) {
		this._world = world;
		this._everyMs = everyMs;
		this._tick();
	}

	/** Longest time without an acknowledged write since `sinceMs`, in milliseconds. */
	longestGapMs(sinceMs: number): number {
		const times = this.acknowledged.map(({atMs}) => atMs).filter(atMs => atMs >= sinceMs);
		const gaps = times.map((atMs, index) => atMs - (times[index - 1] ?? sinceMs));
		return Math.max(...gaps, this._world.clock.nowMs() - (times.at(-1) ?? sinceMs));
	}

	end(): void {
		this._isEnded = true;
	}

	/** Checks the guarantees over the whole run and returns all violations. */
	check(): readonly string[] {
		this._checkOnePrimaryPerTerm();
		this._checkAcknowledgedWritesKept();
		return this.violations;
	}

	private _tick(): void {
		if (this._isEnded) {
			return;
		}

		for (const instance of this._world.instances) {
			void this._write(instance);
		}

		if (this._lastId % 7 === 0) {
			const node = this._world.nodes[this._lastId % this._world.nodes.length];
			void this._prove(node);
			this._readAges(node);
		}

		this._world.clock.setTimer(this._everyMs * (0.5 + this._world.random.next()), () => {
			this._tick();
		});
	}

	private async _write(instance: FakeInstance): Promise<void> {
		const {availabilityZone} = instance.address;
		const nodes = this._world.nodes.filter(node => isRunning(node));
		const node = nodes.find(({host}) => host.availabilityZone === availabilityZone) ?? nodes[0];
		if (!node || !this._world.network.isOpen(node.process, instance.process)) {
			return;
		}

		this._lastId++;
		const id = this._lastId;
		const position = instance.append(id);
		const outcome = position && await node.monitor.confirm(position, 1000);
		if (position && outcome?.isRight()) {
			this.acknowledged.push({id, position, atMs: this._world.clock.nowMs()});
		} else if (position) {
			this.unknown++;
		}
	}

	private async _prove(node: FakeNode): Promise<void> {
		if (!isRunning(node)) {
			return;
		}

		const before = this.acknowledged.length;
		const proof = await node.monitor.prove(1000);
		proof.ifRight(position => {
			this.proofCount++;
			this._expectCovers(this.acknowledged.slice(0, before), position, `proof ${JSON.stringify(position)}`);
		});
	}

	/** Checks that every write that was acknowledged before the stated age is visible. */
	private _readAges(node: FakeNode): void {
		if (!isRunning(node)) {
			return;
		}

		for (const {name, state} of this._world.instances) {
			const ageMs = node.monitor.ageMs(name);
			// An instance that lost its log serves no reads, but this node may not know yet that it did.
			if (ageMs !== undefined && state.role !== 'rebuilding') {
				this.ageCount++;
				const oldestMs = this._world.clock.nowMs() - ageMs;
				const visible = this.acknowledged.filter(({atMs}) => atMs < oldestMs);
				this._expectCovers(visible.slice(-1), state.applied, `age ${ageMs} of ${name}`);
			}
		}
	}

	private _expectCovers(acknowledged: readonly Acknowledged[], position: LogPosition, subject: string): void {
		const missing = acknowledged.find(write => !hasReached(position, write.position));
		if (missing) {
			this.violations.push(`${subject} does not cover ${JSON.stringify(missing)}`);
		}
	}

	private _checkOnePrimaryPerTerm(): void {
		const primaries = new Map<number, string>();
		for (const {term, primary} of this._world.termStarts) {
			const other = primaries.get(term);
			if (other !== undefined && other !== primary) {
				this.violations.push(`term ${term} had ${other} and ${primary} as primaries`);
			}

			primaries.set(term, primary);
		}
	}

	private _checkAcknowledgedWritesKept(): void {
		for (const {term, primary, log} of this._world.termStarts) {
			const lost = this.acknowledged.find(({id, position}) => position.term < term && log[position.offset - 1]?.id !== id);
			if (lost) {
				this.violations.push(`${primary} opened term ${term} without ${JSON.stringify(lost)}`);
			}
		}
	}
}

function isRunning(node: FakeNode): boolean {
	return !node.process.isDead && !node.process.isPaused;
}
