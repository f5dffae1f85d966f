/**
 * Changes that operators make during a run, some of them concurrently.
 */
import type {ConfigurationModel} from '../../src/common/configuration/model.js';
import type {Operation, RuleEffect} from '../../src/common/configuration/schema.js';
import type {EndpointAddress} from '../../src/common/services/services.js';
import type {FaultInjector} from './fault-injector.js';

type PutOperation = Extract<Operation, {op: 'put'}>;

/** Time after which an operator retries a change, in milliseconds. */
const retryIntervalMs = 500;

/** Actions of operators, by the name of the fault. */
export const operatorActions = {
	orderPrimary: async (faults: FaultInjector) => applyTemporaryRule(faults, {kind: 'orderPrimary'}),
	drainEndpoint: async (faults: FaultInjector) => applyTemporaryRule(faults, {kind: 'drain', isDraining: true}),
	/** Reduces the slots of an endpoint to one, and restores them after a random time. */
	async fewerSlots(faults: FaultInjector) {
		const address = faults.pick(faults.world.addresses);
		const node = faults.pickNode();
		if (address && node) {
			const {slots} = faults.world.plan;
			await faults.world.operators.propose(node, [endpointOperation(faults, address, 1)], 'operator');
			await faults.pauseBetween(1000, 5000);
			await proposeUntilInForce(faults, endpointOperation(faults, address, slots), ({endpoint}) => endpoint.get(address.name)?.slots === slots);
		}
	},
	/** Two operators propose the same rule concurrently, each with another deadline and on a node of its own choice. */
	async operatorRace(faults: FaultInjector) {
		const nodes = [faults.pickNode(), faults.pickNode()].filter(node => node !== undefined);
		await Promise.all(nodes.map(async (node, index) => faults.world.operators.propose(node, [
			deadlineRule('race', 5000 + index),
		], `operator-${index}`)));
	},
	/** One operator undoes a change while another proposes the next one. */
	async undoRace(faults: FaultInjector) {
		const first = faults.pickNode();
		const second = faults.pickNode();
		if (first && second && await faults.world.operators.propose(first, [deadlineRule(faults.nextRuleName(), 4000)], 'operator-0')) {
			const {version} = first.core.history;
			await Promise.all([
				faults.world.operators.undo(first, version, 'operator-0'),
				faults.world.operators.propose(second, [deadlineRule('race', 6000)], 'operator-1'),
			]);
		}
	},
} as const;

/** Puts a rule for one endpoint in force, and removes it after a random time. */
async function applyTemporaryRule(faults: FaultInjector, effect: RuleEffect): Promise<void> {
	const endpoint = faults.pick(faults.world.endpoints);
	const node = faults.pickNode();
	if (!endpoint || !node) {
		return;
	}

	const name = faults.nextRuleName();
	const operation = ruleOperation({
		name, order: 0, selector: {endpoints: [{label: 'name', operator: 'equals', value: endpoint.process.name}]}, effect,
	});
	await faults.world.operators.propose(node, [operation], 'operator');
	await faults.pauseBetween(3000, 8000);
	await proposeUntilInForce(faults, {op: 'remove', kind: 'rule', name}, ({rule}) => !rule.has(name));
}

/** Proposes a change until it is in force; it checks first, since the change may be in force although the answer was lost. */
async function proposeUntilInForce(faults: FaultInjector, operation: Operation, isDone: (model: ConfigurationModel) => boolean): Promise<void> {
	for (;;) {
		const node = faults.pickNode();
		if (node?.core.sync.isLoaded && (isDone(node.core.history.model) || await faults.world.operators.propose(node, [operation], 'operator'))) {
			return;
		}

		await faults.world.pause(retryIntervalMs);
	}
}

function endpointOperation({world}: FaultInjector, address: EndpointAddress, slots: number): Operation {
	const {connections} = world.plan;
	return {
		op: 'put',
		kind: 'endpoint',
		value: {
			...address, slots, connections, labels: {},
		},
	};
}

function deadlineRule(name: string, deadlineMs: number): Operation {
	return ruleOperation({
		name, order: 0, selector: {}, effect: {kind: 'deadline', deadlineMs},
	});
}

function ruleOperation(value: Extract<PutOperation, {kind: 'rule'}>['value']): Operation {
	return {op: 'put', kind: 'rule', value};
}
