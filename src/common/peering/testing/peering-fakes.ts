/**
 * A node's peering without a network: peers exist by name only, and a test defines what calls return.
 */
import {Left} from 'purify-ts';
import {MemoryRowStore} from '../../../../standins/line/memory-row-store.js';
import {Refusal} from '../../errors/error-kinds.js';
import type {StatementFault} from '../../pools/types.js';
import {SeededRandom} from '../../random/seeded-random.js';
import type {PeerCalls, PeerNode} from '../../services/services.js';
import {RecordingLog, silentMetrics} from '../../testing/observers.js';
import {VirtualClock} from '../../testing/virtual-clock.js';
import {restoreDefaults} from '../../store/constants.js';
import {RestoreWatch} from '../../store/restore-watch.js';
import {peeringDefaults} from '../constants.js';
import {PeerDirectory} from '../peer-directory.js';
import type {PeeringServices} from '../types.js';

const peerLostFault: StatementFault = {isSent: false, refusal: new Refusal('peerUnavailable', 'cut'), isPeerLost: true};

/** Peer calls that all fail because no peer can be reached. */
export const unreachableCalls: PeerCalls = {
	tell: async () => Left('cut'),
	overview: async () => Left('cut'),
	rows: async () => Left('cut'),
	status: async () => Left(peerLostFault),
	run: async () => Left(peerLostFault),
	begin: async () => Left(peerLostFault),
	runHeld: async () => Left(peerLostFault),
	end: async () => undefined,
	takeUsage: async () => Left('cut'),
	dispose() {
		// There is nothing to dispose.
	},
};

/** A peer node of a name. */
export function peerNode(name: string, availabilityZone: string, cores = 1): PeerNode {
	return {
		name, availabilityZone, cores, host: name, port: 1, incarnation: '1',
	};
}

/** Services of peering that tests can control. */
type FakePeering = PeeringServices & {
	readonly clock: VirtualClock;
	readonly store: MemoryRowStore;
	readonly log: RecordingLog;
	readonly directory: PeerDirectory;
};

/** Services of peering for a node `n0` of zone `a`. */
export function fakePeering(calls: PeerCalls = unreachableCalls): FakePeering {
	const clock = new VirtualClock();
	const store = new MemoryRowStore(clock);
	const log = new RecordingLog();
	const services = {
		clock,
		store,
		log,
		metrics: silentMetrics,
		restores: new RestoreWatch({
			clock, log, metrics: silentMetrics, options: restoreDefaults,
		}),
		calls,
		random: new SeededRandom(1),
		self: peerNode('n0', 'a'),
		options: peeringDefaults,
	};
	return {...services, directory: new PeerDirectory(services)};
}
