/**
 * Adjustments that break one part of every node, to show that a run finds the breakage.
 */
import {Refusal} from '../../src/common/errors/error-kinds.js';
import type {
	AnswerSink, InstanceControl,
} from '../../src/common/services/services.js';
import type {NodeAdjustments} from '../world/simulated-node.js';

/** Partition of the table with the changes of the configuration. */
const configurationPartition = 'config';

/** Instances are reported to have promised a term, but are never told of it. */
export const fenceSkipped: NodeAdjustments = {
	connector: connector => ({
		connectWork: async (endpoint, homeId) => connector.connectWork(endpoint, homeId),
		async connectControl(endpoint, observerId) {
			const control = await connector.connectControl(endpoint, observerId);
			return control.map(real => skipFence(real));
		},
	}),
};

function skipFence(control: InstanceControl): InstanceControl {
	return {
		onClose: control.onClose,
		onState: control.onState,
		readState: async () => control.readState(),
		async raiseTerm(term) {
			const state = await control.readState();
			return state.map(known => ({isAccepted: true, state: {...known, promisedTerm: term}}));
		},
		async promote(term, claimId) {
			await control.raiseTerm(term, claimId);
			return control.promote(term, claimId);
		},
		follow: async (term, primary) => control.follow(term, primary),
		attach: async (homeId, isForced) => control.attach(homeId, isForced),
		detach: async homeId => control.detach(homeId),
		dispose() {
			control.dispose();
		},
	};
}

/** A refusal of a peer with an unknown outcome is replaced by one which says that nothing ran. */
export const unknownReportedNotRun: NodeAdjustments = {
	remoteExecutor: executor => ({
		async execute(request, sink, signal) {
			const result = await executor.execute(request, sink, signal);
			return result.mapLeft(refusal => refusal.kind === 'outcomeUnknown' ? new Refusal('overloaded', refusal.detail) : refusal);
		},
		release(group, endpoint, sessionId) {
			executor.release(group, endpoint, sessionId);
		},
	}),
};

/** The answer to a read that a peer executes goes to the previous read. */
export function answersSwapped(): NodeAdjustments {
	let previousSink: AnswerSink | undefined;
	return {
		remoteExecutor: executor => ({
			async execute(request, sink, signal) {
				const isRead = request.access === 'read';
				const receiver = isRead ? previousSink ?? sink : sink;
				previousSink = isRead ? sink : previousSink;
				return executor.execute(request, receiver, signal);
			},
			release(group, endpoint, sessionId) {
				executor.release(group, endpoint, sessionId);
			},
		}),
	};
}

/** Every session of a node has the same id, so that transactions share a connection. */
export const sessionsConfused: NodeAdjustments = {
	node(node) {
		node.nextSessionId = () => `${node.process.name}/${node.incarnation}/1`;
	},
};

/** Rules that drain an endpoint are ignored. */
export const drainsIgnored: NodeAdjustments = {
	node({core: {configuration}}) {
		const policyOf = configuration.endpointPolicy.bind(configuration);
		configuration.endpointPolicy = endpoint => ({...policyOf(endpoint), isDraining: false});
	},
};

/** Changes are written even if their number is already taken. */
export const numbersOverwritten: NodeAdjustments = {
	table: table => ({
		...table,
		async put(item, expectedRevision) {
			const result = await table.put(item, expectedRevision);
			if (item.partition !== configurationPartition || result.isRight()) {
				return result;
			}

			const found = await table.get(item.partition, item.sort);
			return table.put(item, found.orDefault(undefined)?.revision ?? expectedRevision);
		},
	}),
};

/** Nodes learn of no change after the first one, neither from the table nor from peers. */
export const changesHidden: NodeAdjustments = {
	table: table => ({
		...table,
		async query(partition, afterSort, limit) {
			const items = await table.query(partition, afterSort, limit);
			return items.map(found => found.filter(({sort}) => partition !== configurationPartition || Number(sort) <= 1));
		},
	}),
	node({core: {history}}) {
		history.changesAfter = () => ({version: 0, changes: []});
	},
};
