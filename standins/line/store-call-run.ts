/**
 * A run of a large fleet under traffic in which calls to the store and status requests to endpoints
 * are counted, calm or during a fault of the store.
 */
import {tables} from '../../platform/names.js';
import {LineGroup, registrationOf} from './line-group.js';
import {databases, LineTestCluster} from './line-test-cluster.js';
import type {LineTestNode} from './line-test-cluster.js';

/** Fault of the store during a run. */
export type StoreFault = 'none' | 'silent' | 'unavailable' | 'refusesThird' | 'refusesZone' | 'noHistory';

/** Options of a run. */
export type StoreCallRunOptions = {
	readonly fault: StoreFault;
	/** Whether the endpoints write their registrations every 1.2 s, as those of the deployments do. */
	readonly areRegistrationsWritten: boolean;
};

/** Result of a run. */
export type StoreCallRun = {
	readonly calls: number;
	/** Calls by purpose, table and kind. */
	readonly rows: ReadonlyArray<readonly [string, number]>;
	/** Calls of the node that makes the most. */
	readonly mostByNode: number;
	readonly statusRequests: number;
	readonly statements: number;
	/** Statements that were not served, by answer. */
	readonly refused: ReadonlyMap<string, number>;
	/** Time from the end of the fault until every node had a configuration that was written at that moment. */
	readonly applyMs: number;
};

/** Nodes in 3 zones, as in deployment H of docs/design/load-control.md. */
export const runNodes = 88;

/** Length of a run from the begin of the fault, and length of a fault of the store, in virtual milliseconds. */
export const runMs = 14_000;
const faultMs = 9000;

/** Time before and after a run. */
const settleMs = 5000;

const stepMs = 50;

/** Time between two statements of one node. */
const statementEveryMs = 250;

/** Time between two registrations of one endpoint. */
const registerEveryMs = 1200;

/** Registered endpoints that no route leads to; with those of the group 18, as in deployment H. */
const otherEndpoints = 15;

const keyRevocationMs = 5000;
const key = 'key-of-shop';

/** Starts the fleet, lets it settle, and counts what happens during a run. */
export async function runStoreCalls({fault, areRegistrationsWritten}: StoreCallRunOptions): Promise<StoreCallRun> {
	const cluster = new LineTestCluster();
	cluster.keyRevocationMs = keyRevocationMs;
	cluster.organisations = [{name: 'shop', 'api-keys': [key]}];
	const {clock, group, store, storeCalls} = cluster;
	const others = new LineGroup('other', Array.from({length: otherEndpoints}, (_, index) => `o-${index + 1}`), clock);
	const refused = new Map<string, number>();
	let statements = 0;
	let applyMs = Number.POSITIVE_INFINITY;

	const send = async (node: LineTestNode, step: number): Promise<void> => {
		const isWrite = step % 2 === 0;
		const answer = await node.session(isWrite ? databases.primary : databases.own, key).start(isWrite ? 'WRITE x 1' : 'READ x');
		statements += 1;
		if (answer.startsWith('ERROR')) {
			refused.set(answer, (refused.get(answer) ?? 0) + 1);
		}
	};

	const registerOther = (index: number): void => {
		store.put(tables.instances, others.instances[index].id, registrationOf(others.instances[index], `10.0.1.${index + 1}:1`, 'abc'[index % 3]));
	};

	const registerDue = (atMs: number): void => {
		const step = Math.floor(atMs / stepMs) % (registerEveryMs / stepMs);
		if (step < others.instances.length) {
			registerOther(step);
		} else if (step < others.instances.length + group.instances.length) {
			cluster.registerInstance(step - others.instances.length);
		}
	};

	const runSteps = async (durationMs: number, onStep?: () => void): Promise<void> => {
		for (let step = 0; step < durationMs / stepMs; step++) {
			const atMs = step * stepMs;
			for (const [index, node] of cluster.nodes.entries()) {
				if ((atMs + (index * stepMs)) % statementEveryMs === 0) {
					void send(node, Math.floor(atMs / statementEveryMs) + index);
				}
			}

			if (areRegistrationsWritten) {
				registerDue(atMs);
			}

			await clock.advance(stepMs);
			onStep?.();
		}
	};

	for (const index of others.instances.keys()) {
		registerOther(index);
	}

	await cluster.start(runNodes);
	await runSteps(settleMs);
	storeCalls.clear();
	refused.clear();
	statements = 0;
	const statusRequestsBefore = group.statusRequests;
	setFault(cluster, fault, true);
	// A store without its history stays so for the whole run.
	await runSteps(fault === 'noHistory' ? runMs - stepMs : faultMs);
	setFault(cluster, fault, false);
	const recoveredAtMs = clock.nowMs();
	const noteApplied = (): void => {
		if (cluster.nodes.every(({catalog}) => catalog.version === 2)) {
			applyMs = Math.min(applyMs, clock.nowMs() - recoveredAtMs);
		}
	};

	cluster.configure(2);
	await runSteps(fault === 'noHistory' ? stepMs : runMs - faultMs, noteApplied);
	const result = {
		calls: storeCalls.total,
		rows: storeCalls.rows,
		mostByNode: Math.max(...cluster.nodes.map(({self}) => storeCalls.ofNode(self.name))),
		statusRequests: group.statusRequests - statusRequestsBefore,
		statements,
		refused,
	};
	await runSteps(settleMs, noteApplied);
	cluster.dispose();
	return {...result, applyMs};
}

function setFault({nodes, store}: LineTestCluster, fault: StoreFault, isOn: boolean): void {
	store.isSilent = isOn && fault === 'silent';
	store.isUnavailable = isOn && fault === 'unavailable';
	store.keepsNoHistory = isOn && fault === 'noHistory';
	if (fault === 'noHistory') {
		store.dropHistory();
	}

	for (const [index, {self, fleet}] of nodes.entries()) {
		const isInZone = self.availabilityZone === 'a';
		const isInThird = index % 9 < 3 || (fleet.isCoordinator && isInZone);
		nodes[index].isStoreUnreachable = isOn && ((fault === 'refusesThird' && isInThird) || (fault === 'refusesZone' && isInZone));
	}
}
