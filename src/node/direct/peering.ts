/**
 * Puts together what a node needs of the other nodes.
 */
import {catalogDefaults} from '../../common/catalog/constants.js';
import type {EndpointRegistry} from '../../common/catalog/endpoint-registry.js';
import type {FollowedTable} from '../../common/catalog/table-follower.js';
import type {RouteCatalog} from '../../common/catalog/route-catalog.js';
import type {HandlersOf} from '../../common/dispatch.js';
import {dispatch} from '../../common/dispatch.js';
import type {DisposableStore} from '../../common/lifecycle/disposable.js';
import {pauseFor} from '../../common/lifecycle/timing.js';
import {nodeTable, peeringDefaults} from '../../common/peering/constants.js';
import {BudgetKeepers} from '../../common/peering/budget-keepers.js';
import {EndpointWays} from '../../common/peering/endpoint-ways.js';
import {Fleet} from '../../common/peering/fleet.js';
import {ForwardedStatements} from '../../common/peering/forwarded-statements.js';
import {PeerDirectory} from '../../common/peering/peer-directory.js';
import {DirectoryPeers} from '../../common/peering/primacy-peers.js';
import {ProofSharing} from '../../common/peering/proof-sharing.js';
import {Registrations} from '../../common/peering/registrations.js';
import {Relays} from '../../common/peering/relays.js';
import {SharedRows} from '../../common/peering/shared-rows.js';
import {usageDefaults} from '../../common/organisations/constants.js';
import type {UsageHolders, UsageLimits} from '../../common/organisations/usage-limits.js';
import {poolDefaults} from '../../common/pools/constants.js';
import type {PoolSet} from '../../common/pools/pool-set.js';
import type {GroupPrimacies} from '../../common/primacy/group-primacies.js';
import type {PrimacyPeers, ProofSource} from '../../common/primacy/types.js';
import type {
	PeerCalls, PeerNode, PeerNotice, RowStore,
} from '../../common/services/services.js';
import type {DirectSettings} from '../../common/settings/direct-settings-schema.js';
import {DirectPeerClient} from '../direct-peers/peer-client.js';
import type {NoticeListener} from '../direct-peers/peer-link.js';
import {DirectPeerServer} from '../direct-peers/peer-server.js';
import {newIncarnation} from '../incarnation.js';
import type {DirectServices} from './direct-node.js';
import type {DirectNodePlace} from './types.js';

type PeeringInputs = {
	readonly place: DirectNodePlace;
	readonly tuning: DirectSettings['tuning'];
};

type ServedParts = {
	readonly primacies: GroupPrimacies;
	readonly pools: PoolSet;
	readonly registry: EndpointRegistry;
	readonly catalog: RouteCatalog;
	readonly usage: UsageLimits;
	/** Tables that other nodes may follow here, by name. */
	readonly tables: Readonly<Record<string, FollowedTable>>;
};

/** The parts that know other nodes. */
export type Peering = {
	readonly self: PeerNode;
	readonly calls: PeerCalls;
	readonly membershipChangedAtMs: () => number;
	/** Who keeps the budgets of organisations. */
	readonly usageHolders: UsageHolders;
	readonly peers: PrimacyPeers;
	readonly fleet: Fleet;
	/** The store, over another node where one follows tables for all. */
	readonly store: RowStore;
	/** Pause between changes of a followed table. */
	readonly paceMs: () => number;
	readonly sharing: ProofSource;
	waysOver(pools: PoolSet): EndpointWays;
	/** Joins the parts that follow groups; once. */
	connect(primacies: GroupPrimacies): Relays;
	/** Reads who is there. */
	look(): Promise<void>;
	/** Listens for other nodes, registers this one and meets them. */
	serve(parts: ServedParts): Promise<void>;
	/** Tells the others that this node leaves. */
	leave(): Promise<void>;
	/** Waits until nothing of other nodes is in progress here, at most for a time. */
	finish(boundMs: number): Promise<void>;
};

/** Time between two looks whether other nodes' statements have ended. */
const finishLookMs = 20;

/** Makes them; they end with `owned`. */
export function makePeering({place, tuning}: PeeringInputs, services: DirectServices, owned: DisposableStore): Peering {
	const {clock, log, random} = services;
	const self: PeerNode = {
		name: place.name, availabilityZone: place.availabilityZone, ...place.peers, cores: place.cores, incarnation: newIncarnation(),
	};
	let onNotice: NoticeListener | undefined;
	const calls = owned.register(new DirectPeerClient(clock, notice => onNotice?.(notice)));
	const shared = {
		...services, calls, self, options: {...peeringDefaults, ...tuning.peering},
	};
	const directory = owned.register(new PeerDirectory(shared));
	const fleet = new Fleet(shared, directory);
	const peers = new DirectoryPeers(shared, directory, fleet);
	const poolOptions = {...poolDefaults, ...tuning.pools};
	const {touchMs} = {...usageDefaults, ...tuning.usage};
	let sharing: ProofSharing | undefined;
	let forwarded: ForwardedStatements | undefined;
	let server: DirectPeerServer | undefined;
	const store = new SharedRows(services.store, {...shared, directory, fleet});
	const paceMs = (): number => fleet.isLarge ? shared.options.followPaceMs : 0;
	const registrations = owned.register(new Registrations(directory, {
		...services, store, options: {...catalogDefaults, ...tuning.catalog}, paceMs,
	}));

	return {
		self,
		calls,
		membershipChangedAtMs: () => directory.membershipChangedAtMs,
		usageHolders: new BudgetKeepers({
			directory, fleet, touchMs, sharing: () => sharing,
		}),
		peers,
		fleet,
		store,
		paceMs,
		sharing: {
			get isAsker() {
				return fleet.isAsker;
			},
			get isExclusive() {
				return fleet.isExclusive;
			},
			refresh: async () => sharing?.refresh(),
		},
		waysOver: pools => new EndpointWays({
			...shared, directory, fleet, pools, poolOptions,
		}),
		connect(primacies) {
			// Before, no node asks endpoints: there may be too many of them.
			owned.register(directory.onLook(() => {
				primacies.wake();
			}));
			owned.register(directory.onRegistered(() => {
				void primacies.checkReplacements();
			}));
			sharing = owned.register(new ProofSharing(shared, directory, fleet, primacies));
			return owned.register(new Relays({
				...shared, peers, random, poolOptions,
			}, primacies));
		},
		look: async () => directory.look(),
		async serve({primacies, pools, registry, catalog, usage, tables}) {
			const served = owned.register(new ForwardedStatements({
				clock, log, registry, pools, heldForMs: () => catalog.transactionIdleMs + shared.options.heldGraceMs,
			}));
			forwarded = served;
			const followed: Readonly<Record<string, FollowedTable>> = {...tables, [nodeTable]: registrations.followed};
			const notices: HandlersOf<PeerNotice, void> = {
				joined({node}) {
					directory.learn(node);
				},
				left({name}) {
					directory.forget(name);
				},
				primary({service, endpointId, term}) {
					primacies.learnPrimary(service, {endpointId, term});
				},
				fence({service, term, isFenced, ...promoter}) {
					primacies.group(service).fence(term, isFenced, promoter);
				},
			};
			onNotice = notice => {
				dispatch(notices, notice);
			};

			server = owned.register(new DirectPeerServer({
				clock,
				log,
				configurationVersion: () => catalog.version,
				requests: {
					self: () => self,
					onNotice,
					async overview(service) {
						sharing?.noteAsked();
						return service === '' ? primacies.overviews(service) : primacies.opinion(service);
					},
					status: async (endpointId, timeoutMs) => served.status(endpointId, timeoutMs),
					rows: async (table, afterVersion, waitMs) => followed[table]?.changes(afterVersion, waitMs),
					run: async (endpointId, statement) => served.run(endpointId, statement),
					begin: async (endpointId, statement, isReadOnly) => served.begin(endpointId, statement, isReadOnly),
					runHeld: async (heldId, statement) => served.runHeld(heldId, statement),
					end: async (heldId, manner) => served.end(heldId, manner),
					takeUsage: async ask => usage.ask(ask),
				},
			}));
			await server.listen(place.peers.host, place.peers.port);
			void registrations.run();
			void sharing?.run();
		},
		async leave() {
			server?.sayFarewell();
			if (!fleet.isLarge) {
				await directory.leave();
			}
		},
		async finish(boundMs) {
			const endMs = clock.nowMs() + boundMs;
			while (forwarded?.isIdle === false && clock.nowMs() < endMs) {
				await pauseFor(clock, finishLookMs);
			}
		},
	};
}
