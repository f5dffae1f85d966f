/**
 * Composition of a node's peering with the other nodes.
 */
import {catalogDefaults} from '../../common/catalog/constants.js';
import type {EndpointRegistry} from '../../common/catalog/endpoint-registry.js';
import type {FollowedTable} from '../../common/catalog/table-follower.js';
import type {RouteCatalog} from '../../common/catalog/route-catalog.js';
import type {HandlersOf} from '../../common/dispatch.js';
import {dispatch} from '../../common/dispatch.js';
import type {DisposableStore} from '../../common/lifecycle/disposable.js';
import {nodeTable, peeringDefaults} from '../../common/peering/constants.js';
import {FleetUsageHolders} from '../../common/peering/fleet-usage-holders.js';
import {EndpointPoolSelector} from '../../common/peering/endpoint-pool-selector.js';
import {Fleet} from '../../common/peering/fleet.js';
import {HomeLoadReports} from '../../common/peering/home-load-reports.js';
import {ForwardedStatements} from '../../common/peering/forwarded-statements.js';
import {PeerDirectory} from '../../common/peering/peer-directory.js';
import {FleetPrimacyPeers} from '../../common/peering/primacy-peers.js';
import {OverviewPoller} from '../../common/peering/overview-poller.js';
import {Registrations} from '../../common/peering/registrations.js';
import {ProofRenewal} from '../../common/peering/proof-renewal.js';
import {Relays} from '../../common/peering/relays.js';
import {DelegatingRowStore} from '../../common/peering/delegating-row-store.js';
import {usageDefaults} from '../../common/organisations/constants.js';
import type {UsageHolders, UsageLimits} from '../../common/organisations/usage-limits.js';
import {poolDefaults} from '../../common/pools/constants.js';
import type {PoolSet} from '../../common/pools/pool-set.js';
import type {PrimaryTrackers} from '../../common/primacy/primary-trackers.js';
import type {PrimacyPeers, ProofSource} from '../../common/primacy/types.js';
import type {
	PeerCalls, PeerNode, PeerNotice, RowStore,
} from '../../common/services/services.js';
import type {DirectSettings, LoadSettings} from '../../common/settings/direct-settings-schema.js';
import {DirectPeerClient} from '../direct-peers/peer-client.js';
import type {NoticeListener} from '../direct-peers/peer-link.js';
import {DirectPeerServer} from '../direct-peers/peer-server.js';
import {RowsSender} from '../direct-peers/rows-sender.js';
import {newIncarnation} from '../incarnation.js';
import type {DirectServices} from './direct-node.js';
import type {DirectNodeEnvironment} from './types.js';

type PeeringInputs = {
	readonly environment: DirectNodeEnvironment;
	readonly tuning: DirectSettings['tuning'];
	readonly load: LoadSettings;
};

type ServingComponents = {
	readonly trackers: PrimaryTrackers;
	readonly pools: PoolSet;
	readonly registry: EndpointRegistry;
	readonly catalog: RouteCatalog;
	readonly usage: UsageLimits;
	/** Tables that other nodes may follow here, by name. */
	readonly tables: Readonly<Record<string, FollowedTable>>;
};

/** The components that work with other nodes. */
export type Peering = {
	readonly self: PeerNode;
	readonly calls: PeerCalls;
	readonly membershipChangedAtMs: () => number;
	/** When the present period of contact with other nodes began, on this node's clock. */
	readonly inContactSinceMs: () => number;
	/** Finds the nodes that hold the budgets of organisations. */
	readonly usageHolders: UsageHolders;
	readonly peers: PrimacyPeers;
	readonly fleet: Fleet;
	/** The store; in a large fleet, tables are read and followed over the coordinator. */
	readonly store: RowStore;
	/** Source of proofs that the keys of organisations are current, when the last one is about to expire. */
	readonly provingStore: Pick<RowStore, 'follow'>;
	/** Pause in milliseconds after changes of a followed table were applied, before more are asked for. */
	readonly paceMs: () => number;
	readonly proofSource: ProofSource;
	createPoolSelector(pools: PoolSet): EndpointPoolSelector;
	/** Connects the trackers of groups, and returns the relays for them; to be called once. */
	connect(trackers: PrimaryTrackers): Relays;
	/** Reads the registrations of the other nodes. */
	discover(): Promise<void>;
	/** Listens for peers; resolves then, while registration and polling go on in the background. */
	serve(parts: ServingComponents): Promise<void>;
	/** Notifies the other nodes that this one leaves. */
	leave(): Promise<void>;
	/** Refuses statements of other nodes, and rolls their transactions back as soon as nothing runs in them. */
	refuseForwarded(): void;
	/** Waits until nothing of other nodes is in progress here, or the timeout in milliseconds is over. */
	awaitIdle(timeoutMs: number): Promise<void>;
};

/** Creates a node's peering, whose components are disposed with `owned`. */
export function createPeering({environment, tuning, load}: PeeringInputs, services: DirectServices, owned: DisposableStore): Peering {
	const {clock, log, metrics, random} = services;
	const self: PeerNode = {
		name: environment.name, availabilityZone: environment.availabilityZone, ...environment.peers, cores: environment.cores, incarnation: newIncarnation(),
	};
	let onNotice: NoticeListener | undefined;
	const calls = owned.register(new DirectPeerClient(clock, notice => onNotice?.(notice), {
		rowTransfers: load.rowTransfer ? {self: self.name, log, metrics} : undefined,
	}));
	const shared = {
		...services, calls, self, options: {...peeringDefaults, ...tuning.peering},
	};
	const directory = owned.register(new PeerDirectory(shared));
	const fleet = new Fleet(shared, directory);
	const peers = new FleetPrimacyPeers(shared, directory, fleet);
	const poolOptions = {...poolDefaults, ...tuning.pools};
	const {touchMs} = {...usageDefaults, ...tuning.usage};
	let overviewPoller: OverviewPoller | undefined;
	let forwarded: ForwardedStatements | undefined;
	let server: DirectPeerServer | undefined;
	const usageHolders = new FleetUsageHolders({
		directory, fleet, touchMs, overviewPoller: () => overviewPoller,
	});
	const store = new DelegatingRowStore(services.store, {...shared, directory, fleet});
	const paceMs = (): number => fleet.isLarge ? shared.options.followPaceMs : 0;
	const catalogOptions = {...catalogDefaults, ...tuning.catalog};
	const registrations = owned.register(new Registrations(directory, {
		...services, store, options: catalogOptions, paceMs,
	}));
	const provingStore = load.rowTransfer
		? new ProofRenewal({
			...services,
			store: store.forProofs(services.store),
			peers: store,
			timeoutMs: catalogOptions.provingAtPeersMs,
			maximumAgeMs: (environment.keyRevocationMs ?? 0) * catalogOptions.renewProofAtShare,
		})
		: store.forProofs(services.store);

	return {
		self,
		calls,
		membershipChangedAtMs: () => directory.membershipChangedAtMs,
		inContactSinceMs: () => usageHolders.inContactSinceMs,
		usageHolders,
		peers,
		fleet,
		store,
		provingStore,
		paceMs,
		proofSource: {
			get isCoordinator() {
				return fleet.isCoordinator;
			},
			get isCoordinatorOnly() {
				return fleet.isCoordinatorOnly;
			},
			refresh: async () => overviewPoller?.refresh(),
		},
		createPoolSelector: pools => new EndpointPoolSelector({
			...shared, directory, fleet, pools, poolOptions, usesLoadReports: load.loadReports,
		}),
		connect(trackers) {
			// No node polls endpoints before its discovery is done, since there may be too many nodes for that.
			owned.register(directory.onDiscoveryDone(() => {
				trackers.wake();
			}));
			owned.register(directory.onRegistered(() => {
				void trackers.checkReplacements();
			}));
			overviewPoller = owned.register(new OverviewPoller(shared, {
				directory, fleet, trackers, contactGapMs: touchMs,
			}));
			return owned.register(new Relays({
				...shared, peers, random, poolOptions,
			}, trackers));
		},
		discover: async () => directory.discover(),
		async serve({trackers, pools, registry, catalog, usage, tables}) {
			const reports = new HomeLoadReports({
				clock,
				isEnabled: () => load.loadReports && fleet.isLarge,
				group: service => trackers.group(service),
				lagKeptMs: shared.options.lagKeptMs,
			});
			const forwardedStatements = owned.register(new ForwardedStatements({
				clock, log, metrics, incarnation: self.incarnation, reports, registry, pools, heldTimeoutMs: () => catalog.transactionIdleMs + shared.options.heldGraceMs,
			}));
			forwarded = forwardedStatements;
			const followed: Readonly<Record<string, FollowedTable>> = {...tables, [nodeTable]: registrations.followed};
			const notices: HandlersOf<PeerNotice, void> = {
				joined({node}) {
					directory.learn(node);
				},
				left({name, incarnation}) {
					directory.markLeaving(name, incarnation);
				},
				primary({service, endpointId, term}) {
					trackers.learnPrimary(service, {endpointId, term});
				},
				fence({service, term, isFenced, ...promoter}) {
					trackers.group(service).fence(term, isFenced, promoter);
				},
			};
			onNotice = notice => {
				dispatch(notices, notice);
			};

			server = owned.register(new DirectPeerServer({
				clock,
				log,
				configurationVersion: () => catalog.version,
				rowsSender: load.rowTransfer ? new RowsSender({clock, metrics}) : undefined,
				onPeerAlive(name) {
					calls.noteAlive(name);
				},
				requests: {
					self: () => self,
					onNotice,
					async overview(service) {
						overviewPoller?.recordIncomingPoll();
						return service === '' ? trackers.overviews(service) : trackers.opinion(service);
					},
					status: async (endpointId, timeoutMs) => forwardedStatements.status(endpointId, timeoutMs),
					rows: async (table, afterVersion, waitMs) => followed[table]?.changes(afterVersion, waitMs),
					run: async (endpointId, statement) => forwardedStatements.run(endpointId, statement),
					begin: async (endpointId, statement, isReadOnly) => forwardedStatements.begin(endpointId, statement, isReadOnly),
					runHeld: async (heldId, statement) => forwardedStatements.runHeld(heldId, statement),
					end: async (heldId, manner) => forwardedStatements.end(heldId, manner),
					takeUsage: async request => usage.requestGrant(request),
				},
			}));
			await server.listen(environment.peers.host, environment.peers.port);
			void registrations.run();
			void overviewPoller?.run();
		},
		async leave() {
			server?.announceLeaving();
			if (!fleet.isLarge) {
				await directory.leave();
			}
		},
		refuseForwarded() {
			forwarded?.refuseWork();
		},
		async awaitIdle(timeoutMs) {
			await forwarded?.awaitIdle(timeoutMs);
		},
	};
}
