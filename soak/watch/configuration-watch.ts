/**
 * Watches the configuration of every node from outside: accepted changes come into force in
 * time, keep their content, and versions never go back.
 */
import type {Change, Operation} from '../../src/common/configuration/schema.js';
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import type {Finding} from '../findings.js';
import type {SimulatedNode} from '../world/simulated-node.js';
import type {SimulatedProcess} from '../world/simulated-process.js';
import type {ConfigurationObserver} from '../world/world-plan.js';
import type {World} from '../world/world.js';

/** Time within which an accepted change is in force wherever it can be learned of. */
export const inForceWithinMs = 3000;

const lookEveryMs = 50;

/** A platform that takes longer than this counts as out of reach. */
const promptPlatformMs = 50;

/** What is known about one change on one node. */
type NodeState = {
	/** Last time at which the node could not learn of the change; or when it became possible. */
	excusedMs: number;
	inForceMs: number | undefined;
	isLate: boolean;
};

/** A change that was accepted. */
type AcceptedChange = {
	readonly change: Change;
	readonly states: Map<SimulatedProcess, NodeState>;
};

/** Judges how changes spread in a world. */
export class ConfigurationWatch implements ConfigurationObserver, Disposable {
	readonly findings: Finding[] = [];
	/** How long changes took to come into force, per node, in milliseconds. */
	readonly delaysMs: number[] = [];
	private readonly _accepted: AcceptedChange[] = [];
	private _world: World | undefined;
	private _timer: Disposable | undefined;

	/** Begins to look at the nodes of a world. */
	start(world: World): void {
		this._world = world;
		this._look();
	}

	onNodeStarted(node: SimulatedNode): void {
		let lastVersion = 0;
		node.core.configuration.onChange(version => {
			if (version <= lastVersion) {
				this.findings.push({promise: 'configurationWentBack', detail: `${node.process.name} went from ${lastVersion} to ${version}`});
			}

			lastVersion = version;
			this._noteInForce(node);
		});
	}

	onProposed(_operations: readonly Operation[]): void {
		// Only what was accepted is promised.
	}

	onAccepted(change: Change, node: SimulatedNode): void {
		const nowMs = node.process.nowMs();
		const states = new Map<SimulatedProcess, NodeState>();
		for (const {process} of this._world?.nodes.values() ?? []) {
			this._stateOf(states, process, nowMs);
		}

		this._accepted.push({change, states});
		this._noteInForce(node);
	}

	/** From when on a process had, or must have had, a change in force. */
	dueMs(process: SimulatedProcess, changeNumber: number): number {
		const state = this._accepted.find(({change}) => change.number === changeNumber)?.states.get(process);
		return state ? state.inForceMs ?? state.excusedMs + inForceWithinMs : Number.POSITIVE_INFINITY;
	}

	/** At the end every node has the same configuration, with every accepted change in it. */
	finish(): void {
		this._look();
		const nodes = [...this._world?.nodes.values() ?? []];
		const texts = new Set(nodes.map(({core}) => core.history.snapshotText()));
		if (texts.size > 1) {
			const versions = nodes.map(({process, core}) => `${process.name} ${core.history.version}`);
			this.findings.push({promise: 'configurationAltered', detail: `nodes differ at the end: ${versions.join(', ')}`});
		}

		this.dispose();
	}

	dispose(): void {
		this._timer?.dispose();
	}

	private _look(): void {
		const {_world: world} = this;
		if (!world) {
			return;
		}

		for (const node of world.nodes.values()) {
			this._lookAt(node, world);
		}

		this._timer = world.clock.setTimer(lookEveryMs, () => {
			this._look();
		});
	}

	private _lookAt(node: SimulatedNode, world: World): void {
		const nowMs = world.clock.nowMs();
		for (const {change, states} of this._accepted) {
			const state = this._stateOf(states, node.process, nowMs);
			if (state.inForceMs !== undefined || node.core.history.version >= change.number) {
				// With a lost answer nodes have the change before its author knows of it.
				state.inForceMs ??= nowMs;
				continue;
			}

			if (!canLearn(node, change.number, world)) {
				state.excusedMs = nowMs;
			} else if (nowMs - state.excusedMs > inForceWithinMs && !state.isLate) {
				state.isLate = true;
				this.findings.push({promise: 'configurationLate', detail: `${node.process.name} lacks change ${change.number} at ${nowMs}`});
			}
		}
	}

	private _noteInForce(node: SimulatedNode): void {
		const nowMs = node.process.nowMs();
		const {history} = node.core;
		for (const {change, states} of this._accepted) {
			const state = this._stateOf(states, node.process, nowMs);
			if (state.inForceMs === undefined && history.version >= change.number) {
				state.inForceMs = nowMs;
				this.delaysMs.push(nowMs - state.excusedMs);
				this._checkContent(node, change);
			}
		}
	}

	private _stateOf(states: Map<SimulatedProcess, NodeState>, process: SimulatedProcess, nowMs: number): NodeState {
		const state = states.get(process) ?? {excusedMs: nowMs, inForceMs: undefined, isLate: false};
		states.set(process, state);
		return state;
	}

	/** A change has the same content wherever it is in force. */
	private _checkContent(node: SimulatedNode, {number, changeId}: Change): void {
		const found = node.core.history.keptChangesAfter(number - 1)?.at(0);
		if (found && found.changeId !== changeId) {
			this.findings.push({promise: 'configurationAltered', detail: `change ${number} on ${node.process.name} is ${found.changeId}, accepted was ${changeId}`});
		}
	}
}

/** Whether a node runs and reaches the platform, or a peer that has the change; at its start it needs the platform. */
function canLearn(node: SimulatedNode, changeNumber: number, {platform, nodes, network}: World): boolean {
	const {process, core} = node;
	if (process.isFrozen) {
		return false;
	}

	const {outage, latencyMs} = platform.faults;
	if (outage === 'none' && node.platform.faults.outage === 'none' && latencyMs <= promptPlatformMs) {
		return true;
	}

	return core.sync.isLoaded && [...nodes.values()].some(peer => peer !== node
		&& !peer.process.isFrozen
		&& !network.isCut(process.availabilityZone, peer.process.availabilityZone)
		&& peer.core.history.version >= changeNumber);
}
