/**
 * Nodes with one part broken on purpose, for showing that a run finds it.
 */
import {Refusal} from '../../src/common/errors/error-kinds.js';
import type {
	AnswerSink, InstanceControl,
} from '../../src/common/services/services.js';
import type {NodeAdjustments} from '../world/simulated-node.js';

/** Partition of the table that holds the configuration's changes. */
const configurationPartition = 'config';

/** Instances are said to have promised a term that they know nothing of. */
export const withoutFence: NodeAdjustments = {
	connector: connector => ({
		connectWork: async (endpoint, homeId) => connector.connectWork(endpoint, homeId),
		async connectControl(endpoint, observerId) {
			const control = await connector.connectControl(endpoint, observerId);
			return control.map(real => unfenced(real));
		},
	}),
};

function unfenced(control: InstanceControl): InstanceControl {
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

/** What a peer does not know the outcome of is said not to have run. */
export const unknownSaidNotRun: NodeAdjustments = {
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

/** Answers to reads that come from peers go to the request that was sent before. */
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

/** Every session of a node has the same identity, so that transactions find each other's connection. */
export const sessionsConfused: NodeAdjustments = {
	node(node) {
		node.nextSessionId = () => `${node.process.name}/${node.incarnation}/1`;
	},
};

/** Rules that an endpoint is leaving are not looked at. */
export const drainsIgnored: NodeAdjustments = {
	node({core: {configuration}}) {
		const policyOf = configuration.endpointPolicy.bind(configuration);
		configuration.endpointPolicy = endpoint => ({...policyOf(endpoint), isDraining: false});
	},
};

/** Changes are written whether or not their number is taken. */
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

/** After the first change nodes learn of no further ones, neither from the table nor from peers. */
export const changesUnheard: NodeAdjustments = {
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
