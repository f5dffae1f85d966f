/**
 * An operators' server for tests, over a small configuration and without a network.
 */
import {Right} from 'purify-ts';
import {MemoryPlatform} from '../../../../standins/platform/memory-platform.js';
import {ChangeHistory} from '../../../common/configuration/change-history.js';
import {ConfigurationLog} from '../../../common/configuration/configuration-log.js';
import {
	RecordedAudit, sampleOperations, silentLog, silentMetrics,
} from '../../../common/configuration/testing/fixtures.js';
import {Undo} from '../../../common/configuration/undo.js';
import {InvariantChecks} from '../../../common/invariants/invariant-checks.js';
import {SeededRandom} from '../../../common/random/seeded-random.js';
import {VirtualClock} from '../../../common/testing/virtual-clock.js';
import {OperatorServer} from '../operator-server.js';
import {hashPassword} from '../password-check.js';
import type {OperatorServerOptions, OperatorServices, SystemStatus} from '../types.js';

/** Status of the sample configuration. */
export const sampleStatus: SystemStatus = {
	node: {name: 'node-1', availabilityZone: 'zone-a'},
	configurationVersion: 1,
	groups: ['stock', 'orders'].map(name => ({
		name,
		service: 'shop',
		term: 3,
		primary: `${name}-a`,
		endpoints: ['a', 'b', 'c'].map(zone => ({
			name: `${name}-${zone}`,
			availabilityZone: `zone-${zone}`,
			role: zone === 'a' ? 'primary' : 'replica',
			isReachable: zone !== 'c',
			isDraining: false,
			lagEntries: zone === 'a' ? 0 : 12,
			ageMs: 40,
		})),
	})),
	nodes: ['a', 'b', 'c'].map(zone => ({
		name: `node-${zone}`, availabilityZone: `zone-${zone}`, isLeaving: false, isReachable: zone !== 'c', configurationVersion: 1,
	})),
	replicaReadShare: 0.834,
	lastFailover: {
		group: 'stock', reason: 'crash', gapMs: 412.4, at: '2024-01-01T00:00:00.000Z',
	},
	degraded: [{subject: 'zone-c', reason: 'node-c does not answer, so stock-c and orders-c are not served'}],
};

/** A server with the operators ann (plain password) and bob (hashed). */
export async function makeOperatorServer(options: Partial<OperatorServerOptions> = {}, platform = new MemoryPlatform(new VirtualClock(), new SeededRandom(1))) {
	const clock = new VirtualClock();
	const client = platform.connect();
	const history = new ChangeHistory(new InvariantChecks(silentLog, silentMetrics, {isFatal: true}), silentLog);
	const audit = new RecordedAudit();
	const changeLog = new ConfigurationLog({
		...client, history, audit, clock, log: silentLog, metrics: silentMetrics, currentPrimary: group => `${group}-a`,
	}, {putPauseMs: 0});
	const readiness = {isReady: true, reason: 'serving'};
	const services: OperatorServices = {
		history, changeLog, clock, undo: new Undo(changeLog, history), log: silentLog, metrics: silentMetrics,
		status: {read: () => ({...sampleStatus, configurationVersion: history.version})},
		audit: {
			read: async () => Right({
				records: audit.entries.map((entry, index) => ({
					...entry, atMs: clock.wallClockMs(), node: 'node-1/1', sequence: index + 1,
				})).toReversed(),
				next: undefined,
			}),
		},
		reach: {
			nodes: async () => [
				{name: 'node-a', availabilityZone: 'zone-a', version: history.version},
				{name: 'node-b', availabilityZone: 'zone-b', version: history.version - 1},
				{name: 'node-c', availabilityZone: 'zone-c'},
			],
		},
		metricsSource: {contentType: 'text/plain', text: async () => 'quetzalstream_up 1\n'},
		readiness: () => readiness,
	};
	const operatorServer = new OperatorServer(services, {
		credentials: [{user: 'ann', password: 'plain'}, {user: 'bob', password: await hashPassword('hashed')}],
		...options,
	});
	await changeLog.propose({
		changeId: 'first-change', author: 'ann', basedOn: 0, operations: sampleOperations(),
	});
	return {
		operatorServer, history, changeLog, clock, platform, client, audit, readiness,
	};
}
