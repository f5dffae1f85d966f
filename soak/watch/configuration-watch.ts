/**
 * Watches the configuration of every node from outside: it checks that accepted changes are in
 * force within a bound and keep their content, and that versions never decrease.
 */
import type {Change, Operation} from '../../src/common/configuration/schema.js';
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import type {Finding} from '../findings.js';
import type {SimulatedNode} from '../world/simulated-node.js';
import type {SimulatedProcess} from '../world/simulated-process.js';
import type {ConfigurationObserver} from '../world/world-plan.js';
import type {World} from '../world/world.js';

/** Time within which an accepted change must be in force on every node that can learn of it, in milliseconds. */
export const inForceWithinMs = 3000;

const pollIntervalMs = 50;

/** A platform whose latency is above this bound counts as unreachable. */
const maximumPlatformLatencyMs = 50;

/** State of one change on one node. */
type NodeState = {
	/** Time from which the bound is counted: acceptance of the change or first sight of the node, or the last check at which the node could not learn of the change. */
	countedFromMs: number;
	inForceMs: number | undefined;
	isLate: boolean;
};

/** An accepted change and its state on every node. */
type AcceptedChange = {
	readonly change: Change;
	readonly states: Map<SimulatedProcess, NodeState>;
};

/** Checks how changes spread in a world. */
export class ConfigurationWatch implements ConfigurationObserver, Disposable {
	readonly findings: Finding[] = [];
	/** Time that changes took to come into force, for each node and change, in milliseconds. */
	readonly delaysMs: number[] = [];
	private readonly _accepted: AcceptedChange[] = [];
	private _world: World | undefined;
	private _timer: Disposable | undefined;

	/** Starts polling the nodes of a world. */
	start(world: World): void {
		this._world = world;
		this._poll();
	}

	onNodeStarted(node: SimulatedNode): void {
		let lastVersion = 0;
		node.core.configuration.onChange(version => {
			if (version <= lastVersion) {
				this.findings.push({promise: 'configurationWentBack', detail: `${node.process.name} went from ${lastVersion} to ${version}`});
			}

			lastVersion = version;
			this._recordInForce(node);
		});
	}

	onProposed(_operations: readonly Operation[]): void {
		// Nothing is promised for a change before it is accepted.
	}

	onAccepted(change: Change, node: SimulatedNode): void {
		const nowMs = node.process.nowMs();
		const states = new Map<SimulatedProcess, NodeState>();
		for (const {process} of this._world?.nodes.values() ?? []) {
			this._stateOf(states, process, nowMs);
		}

		this._accepted.push({change, states});
		this._recordInForce(node);
	}

	/** Time at which a change came into force on a process, or else the latest time by which it must; infinite if the change or the process is unknown. */
	dueMs(process: SimulatedProcess, changeNumber: number): number {
		const state = this._accepted.find(({change}) => change.number === changeNumber)?.states.get(process);
		return state ? state.inForceMs ?? state.countedFromMs + inForceWithinMs : Number.POSITIVE_INFINITY;
	}

	/** Checks that every node has the same configuration at the end, and stops polling. */
	finish(): void {
		this._poll();
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

	private _poll(): void {
		const {_world: world} = this;
		if (!world) {
			return;
		}

		for (const node of world.nodes.values()) {
			this._pollNode(node, world);
		}

		this._timer = world.clock.setTimer(pollIntervalMs, () => {
			this._poll();
		});
	}

	private _pollNode(node: SimulatedNode, world: World): void {
		const nowMs = world.clock.nowMs();
		for (const {change, states} of this._accepted) {
			const state = this._stateOf(states, node.process, nowMs);
			if (state.inForceMs !== undefined || node.core.history.version >= change.number) {
				// If the answer to its author was lost, nodes have the change before it counts as accepted.
				state.inForceMs ??= nowMs;
				continue;
			}

			if (!canLearn(node, change.number, world)) {
				state.countedFromMs = nowMs;
			} else if (nowMs - state.countedFromMs > inForceWithinMs && !state.isLate) {
				state.isLate = true;
				this.findings.push({promise: 'configurationLate', detail: `${node.process.name} lacks change ${change.number} at ${nowMs}`});
			}
		}
	}

	private _recordInForce(node: SimulatedNode): void {
		const nowMs = node.process.nowMs();
		const {history} = node.core;
		for (const {change, states} of this._accepted) {
			const state = this._stateOf(states, node.process, nowMs);
			if (state.inForceMs === undefined && history.version >= change.number) {
				state.inForceMs = nowMs;
				this.delaysMs.push(nowMs - state.countedFromMs);
				this._checkContent(node, change);
			}
		}
	}

	private _stateOf(states: Map<SimulatedProcess, NodeState>, process: SimulatedProcess, nowMs: number): NodeState {
		const state = states.get(process) ?? {countedFromMs: nowMs, inForceMs: undefined, isLate: false};
		states.set(process, state);
		return state;
	}

	/** Checks that a change in force on a node is the one that was accepted under its number. */
	private _checkContent(node: SimulatedNode, {number, changeId}: Change): void {
		const found = node.core.history.keptChangesAfter(number - 1)?.at(0);
		if (found && found.changeId !== changeId) {
			this.findings.push({promise: 'configurationAltered', detail: `change ${number} on ${node.process.name} is ${found.changeId}, but ${changeId} was accepted`});
		}
	}
}

/** Whether a node runs and reaches the platform or a peer that has the change; until it has loaded its configuration it needs the platform. */
function canLearn(node: SimulatedNode, changeNumber: number, {platform, nodes, network}: World): boolean {
	const {process, core} = node;
	if (process.isFrozen) {
		return false;
	}

	const {outage, latencyMs} = platform.faults;
	if (outage === 'none' && node.platform.faults.outage === 'none' && latencyMs <= maximumPlatformLatencyMs) {
		return true;
	}

	return core.sync.isLoaded && [...nodes.values()].some(peer => peer !== node
		&& !peer.process.isFrozen
		&& !network.isCut(process.availabilityZone, peer.process.availabilityZone)
		&& peer.core.history.version >= changeNumber);
}
