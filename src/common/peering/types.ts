/**
 * Types shared by the modules of peering.
 */
import type {
	Clock, Log, Metrics, PeerCalls, PeerNode, Random, RowStore,
} from '../services/services.js';
import type {RestoreWatch} from '../store/restore-watch.js';
import type {PeeringOptions} from './constants.js';

/** Services that the modules of peering use. */
export type PeeringServices = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly store: RowStore;
	readonly restores: RestoreWatch;
	readonly calls: PeerCalls;
	readonly self: PeerNode;
	readonly options: PeeringOptions;
};
