/**
 * A cluster of complete nodes in one process on a virtual clock. All components except the sockets
 * are the product's own.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {lineWire} from '../../platform/line-wire.js';
import {configurationKey, tables} from '../../platform/names.js';
import {rowFormats} from '../../platform/row-formats.js';
import {catalogDefaults} from '../../src/common/catalog/constants.js';
import {EndpointRegistry} from '../../src/common/catalog/endpoint-registry.js';
import {RouteCatalog} from '../../src/common/catalog/route-catalog.js';
import {defaultHomeOptions} from '../../src/common/homes/constants.js';
import {InvariantChecks} from '../../src/common/invariants/invariant-checks.js';
import {lineSessionDefaults} from '../../src/common/line-sessions/constants.js';
import {retentionDefaults, loadDefaults} from '../../src/common/load/constants.js';
import {LineSession} from '../../src/common/line-sessions/line-session.js';
import {StatementRunner} from '../../src/common/line-sessions/statement-runner.js';
import type {LineSessionServices} from '../../src/common/line-sessions/types.js';
import type {HandlersOf} from '../../src/common/dispatch.js';
import {dispatch} from '../../src/common/dispatch.js';
import {Refusal} from '../../src/common/errors/error-kinds.js';
import {nodeTable, peeringDefaults} from '../../src/common/peering/constants.js';
import type {FollowedTable} from '../../src/common/catalog/table-follower.js';
import {FleetUsageHolders} from '../../src/common/peering/fleet-usage-holders.js';
import {EndpointPoolSelector} from '../../src/common/peering/endpoint-pool-selector.js';
import {Fleet} from '../../src/common/peering/fleet.js';
import {HomeLoadReports} from '../../src/common/peering/home-load-reports.js';
import {ForwardedStatements} from '../../src/common/peering/forwarded-statements.js';
import {PeerDirectory} from '../../src/common/peering/peer-directory.js';
import {FleetPrimacyPeers} from '../../src/common/peering/primacy-peers.js';
import {OverviewPoller} from '../../src/common/peering/overview-poller.js';
import {Registrations} from '../../src/common/peering/registrations.js';
import {ProofRenewal} from '../../src/common/peering/proof-renewal.js';
import {Relays} from '../../src/common/peering/relays.js';
import {notFollowedReason, DelegatingRowStore} from '../../src/common/peering/delegating-row-store.js';
import {poolDefaults} from '../../src/common/pools/constants.js';
import type {StatementFault} from '../../src/common/pools/types.js';
import {PoolSet} from '../../src/common/pools/pool-set.js';
import {primacyDefaults} from '../../src/common/primacy/constants.js';
import {PrimaryTrackers} from '../../src/common/primacy/primary-trackers.js';
import type {PrimaryTracker} from '../../src/common/primacy/primary-tracker.js';
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import type {
	GroupOverview, Log, LogEventName, Metrics, PeerCalls, PeerNode, PeerNotice, PeerRequestHandlers, PlatformFault, PromotionCalls, RowStore,
	StoredRows, UsageLimit,
} from '../../src/common/services/services.js';
import {restoreDefaults} from '../../src/common/store/constants.js';
import {RestoreWatch} from '../../src/common/store/restore-watch.js';
import {VersionObservingStore} from '../../src/common/store/version-observing-store.js';
import {silentMetrics} from '../../src/common/testing/observers.js';
import {VirtualClock} from '../../src/common/testing/virtual-clock.js';
import {pauseFor, withTimeout} from '../../src/common/lifecycle/timing.js';
import {AccessControl} from '../../src/common/organisations/access-control.js';
import {usageDefaults} from '../../src/common/organisations/constants.js';
import {UsageBudgets} from '../../src/common/organisations/usage-budgets.js';
import {noAnswerInTime, noBudgetHere, UsageLimits} from '../../src/common/organisations/usage-limits.js';
import type {UsageRule} from '../../src/common/organisations/usage-rule.js';
import {DirectPeerClient} from '../../src/node/direct-peers/peer-client.js';
import {DirectPeerServer} from '../../src/node/direct-peers/peer-server.js';
import {RowsSender} from '../../src/node/direct-peers/rows-sender.js';
import type {LinkModel} from './links/link-model.js';
import {LineTestSession} from './line-test-session.js';
import {LineGroup, registrationOf} from './line-group.js';
import {MemoryConnector} from './memory-connector.js';
import {MemoryRowStore} from './memory-row-store.js';
import {routeKinds} from './route-kinds.js';
import type {StoreCall, StoreCallPurpose} from './store-call-counts.js';
import {StoreCallCounts} from './store-call-counts.js';

/** Name of the only service. */
export const service = 'svc';

/** Databases of the test cluster, by the kind of their routes. */
export const databases = {primary: 'db-primary', aged: 'db-aged', own: 'db-own'} as const;

/** Rule by which the usage of organisations is limited. */
export const usageRule: UsageRule = {windowS: 5, overshootShare: 0.1, slack: 20};

/** Default time from the order of a promotion to its effect. */
const defaultPromotionMs = 500;

/** Timeout of an answer of the store beyond the wait of the call, and approximate bytes of a row besides its value, as in platform/row-store-client.ts. */
const storeTimeoutMs = 1000;
const storeRowBytes = 100;

/** Why a call to a node fails whose process has ended. */
const endedReason = 'ended';

/** A log event of a node. */
export type LoggedEvent = {readonly name: LogEventName; readonly fields: Readonly<Record<string, unknown>>};

/** One node of the test cluster. */
export class LineTestNode {
	readonly events: LoggedEvent[] = [];
	readonly connector: MemoryConnector;
	readonly trackers: PrimaryTrackers;
	readonly catalog: RouteCatalog;
	readonly registry: EndpointRegistry;
	readonly pools: PoolSet;
	readonly directory: PeerDirectory;
	readonly sessionServices: LineSessionServices;
	readonly requests: PeerRequestHandlers;
	readonly self: PeerNode;
	readonly fleet: Fleet;
	readonly forwarded: ForwardedStatements;
	readonly usage: UsageLimits;
	/** Whether this node's calls to the store fail. */
	isStoreUnreachable = false;
	/** Whether calls that were waiting when the store became unreachable are not answered either. */
	losesPendingAnswers = false;
	/** Names of nodes that cannot be reached: calls between them and this node fail in both directions. */
	readonly unreachablePeers = new Set<string>();
	private readonly _cluster: LineTestCluster;
	private readonly _noticeHandlers: HandlersOf<PeerNotice, void> = {
		joined: ({node}) => {
			this.directory.learn(node);
		},
		left: ({name, incarnation}) => {
			this.directory.markLeaving(name, incarnation);
		},
		primary: notice => {
			this.trackers.learnPrimary(notice.service, notice);
		},
		fence: ({service: name, term, isFenced, ...promoter}) => {
			this.trackers.group(name).fence(term, isFenced, promoter);
		},
	};

	private readonly _access: AccessControl;
	private readonly _overviewPoller: OverviewPoller;
	private readonly _registrations: Registrations;
	private readonly _runner: StatementRunner;
	private readonly _calls: PeerCalls;
	/** Answers the calls that come over links of limited bandwidth. */
	private readonly _server: DirectPeerServer | undefined;

	constructor(name: string, availabilityZone: string, cores: number, cluster: LineTestCluster, incarnation = '1') {
		const {clock, group} = cluster;
		this._cluster = cluster;
		this.self = {
			name, availabilityZone, host: name, port: 1, cores, incarnation,
		};
		const log: Log = {
			event: (event, fields = {}) => {
				this.events.push({name: event, fields});
			},
		};
		const restores = new RestoreWatch({
			clock, log, metrics: silentMetrics, options: restoreDefaults,
		});
		const storeFor = (purpose: StoreCallPurpose): RowStore => new VersionObservingStore(this._storeOverLink(this._storeWithFaults(cluster.store, purpose)), restores);
		const shared = {
			clock, log, store: storeFor('registration'), restores, metrics: silentMetrics, random: new SeededRandom(cluster.seedOf?.(name) ?? 7), node: name,
		};
		this.connector = new MemoryConnector(group, clock);
		const calls = cluster.links ? this._callsOverLinks(cluster.links, shared) : cluster.peerCallsOf(this);
		this._calls = calls;
		const peering = {
			...shared, self: this.self, calls, options: peeringDefaults,
		};
		this.directory = new PeerDirectory(peering);
		const fleet = new Fleet(peering, this.directory);
		this.fleet = fleet;
		const delegating = new DelegatingRowStore(storeFor('following'), {...peering, directory: this.directory, fleet});
		const followed = {
			...shared, store: delegating, options: catalogDefaults,
			paceMs: () => fleet.isLarge ? peeringDefaults.followPaceMs : 0,
		};
		this._registrations = new Registrations(this.directory, followed);
		const provingStore = cluster.isRowTransferOn
			? new ProofRenewal({
				...shared,
				store: delegating.forProofs(storeFor('keyProofs')),
				peers: delegating,
				timeoutMs: catalogDefaults.provingAtPeersMs,
				maximumAgeMs: (cluster.keyRevocationMs ?? 0) * catalogDefaults.renewProofAtShare,
			})
			: delegating.forProofs(storeFor('keyProofs'));
		this.catalog = new RouteCatalog({...followed, provingStore, keyRevocationMs: cluster.keyRevocationMs}, rowFormats);
		this.registry = new EndpointRegistry(followed, rowFormats);
		this.pools = new PoolSet({
			...shared,
			wire: lineWire,
			connector: this.connector,
			invariants: new InvariantChecks(log, silentMetrics, {isFatal: true}),
			connectionRole: endpoint => fleet.connectionRole(endpoint),
			areConnectionsPerOrganisation: () => this.catalog.organisations !== undefined,
			connectionShare: ({service: name}) => fleet.connectionQuota(this.catalog.connectionLimit(name)),
			options: poolDefaults,
			queueOptions: defaultHomeOptions,
			retentionOptions: cluster.isRetentionByUse ? retentionDefaults : undefined,
			load: {
				log, isAdmissionByGoal: () => fleet.isLarge, isReturnScheduled: () => fleet.isLarge, options: loadDefaults,
			},
		});
		const peers = new FleetPrimacyPeers(peering, this.directory, fleet);
		const poolSelector = new EndpointPoolSelector({
			...peering, directory: this.directory, fleet, pools: this.pools, poolOptions: poolDefaults, usesLoadReports: cluster.usesLoadReports,
		});
		const sharing = {
			get isCoordinator() {
				return fleet.isCoordinator;
			},
			get isCoordinatorOnly() {
				return fleet.isCoordinatorOnly;
			},
			refresh: async () => this._overviewPoller.refresh(),
		};
		this.trackers = new PrimaryTrackers({
			...shared,
			store: storeFor('primacy'),
			peers,
			registry: this.registry,
			pools: this.pools,
			promotions: cluster.promotions,
			proofSource: sharing,
			registrationLifetimeMs: cluster.registrationLifetimeMs,
			endpointPools: poolSelector,
			audit: {
				record() {
					// The tests do not check audit records.
				},
			},
			options: {...primacyDefaults, registrationsTrustMs: cluster.registrationsTrustMs},
			availabilityZone,
		});
		this._overviewPoller = new OverviewPoller(peering, {
			directory: this.directory, fleet, trackers: this.trackers, contactGapMs: usageDefaults.touchMs,
		});
		const relays = new Relays({
			...peering, peers, poolOptions: poolDefaults,
		}, this.trackers);
		const limitOf = (organisation: string): UsageLimit | undefined => this.catalog.organisations?.findByName(organisation)?.usageLimit;
		const holders = new FleetUsageHolders({
			directory: this.directory, fleet, touchMs: usageDefaults.touchMs, overviewPoller: () => this._overviewPoller,
		});
		const budgets = new UsageBudgets({
			clock,
			limitOf,
			rule: usageRule,
			zones: 3,
			membershipChangedAtMs: () => this.directory.membershipChangedAtMs,
			inContactSinceMs: () => holders.inContactSinceMs,
			options: usageDefaults,
		});
		this.usage = new UsageLimits({
			...peering,
			budgets,
			options: usageDefaults,
			holders,
		});
		this.catalog.onChange(() => {
			this.trackers.follow(this.catalog.serviceNames());
			this.usage.onLimitsChanged();
		});
		this._access = new AccessControl(this.catalog);
		this.sessionServices = {
			...shared,
			relays,
			wire: lineWire,
			catalog: this.catalog,
			access: this._access,
			usage: this.usage,
			endpointPools: poolSelector,
			trackers: this.trackers,
			availabilityZone,
			placesByLoad: () => cluster.usesLoadReports && fleet.isLarge,
			options: lineSessionDefaults,
			load: {
				isAdmissionByGoal: () => fleet.isLarge, isReturnScheduled: () => fleet.isLarge, nodes: () => fleet.size, options: loadDefaults,
			},
		};
		this._runner = new StatementRunner(this.sessionServices);
		this.forwarded = new ForwardedStatements({
			clock,
			log,
			metrics: silentMetrics,
			incarnation,
			registry: this.registry,
			pools: this.pools,
			heldTimeoutMs: () => 5000,
			reports: new HomeLoadReports({
				clock,
				isEnabled: () => cluster.usesLoadReports && fleet.isLarge,
				group: name => this.trackers.group(name),
				lagKeptMs: peeringDefaults.lagKeptMs,
			}),
		});
		this.requests = this._makeRequests();
		if (cluster.links) {
			const server = new DirectPeerServer({
				...shared,
				requests: this.requests,
				configurationVersion: () => this.catalog.version,
				rowsSender: cluster.isRowTransferOn ? new RowsSender(shared) : undefined,
				onPeerAlive(peer) {
					if (calls instanceof DirectPeerClient) {
						calls.noteAlive(peer);
					}
				},
			});
			cluster.links.join(name, stream => {
				server.serve(stream);
			});
			this._server = server;
		}
	}

	/** This node's tracker of the group's primary. */
	get group(): PrimaryTracker {
		return this.trackers.group(service);
	}

	start(): void {
		this.catalog.start();
		this.registry.start();
		this.directory.onDiscoveryDone(() => {
			this.trackers.wake();
		});
		this.directory.onRegistered(() => {
			void this.trackers.checkReplacements();
		});
		void this.directory.discover();
		void this._registrations.run();
		void this._overviewPoller.run();
	}

	/** Opens a session with one of the databases for a caller that sends a credential: a word, or an API key. */
	session(database: string, credential = 'caller'): LineTestSession {
		return new LineTestSession(new LineSession(database, this._access.createCredential(credential), this.sessionServices, this._runner), this._cluster.clock);
	}

	/** Returns the fields of every logged event of a name. */
	logged(name: LogEventName): ReadonlyArray<Readonly<Record<string, unknown>>> {
		return this.events.filter(event => event.name === name).map(({fields}) => fields);
	}

	dispose(): void {
		this._calls.dispose();
		this._server?.dispose();
		this._overviewPoller.dispose();
		this._registrations.dispose();
		this.directory.dispose();
		this.trackers.dispose();
		this.pools.dispose();
		this.registry.dispose();
		this.catalog.dispose();
	}

	/**
	 * Wraps the store so that this node's calls are counted, fail while the store is unreachable, and
	 * time out when the store does not answer.
	 */
	private _storeWithFaults(store: RowStore, purpose: StoreCallPurpose): RowStore {
		const {clock, storeCalls} = this._cluster;
		const reach = async <T>(
			{table, kind, waitMs = 0}: Pick<StoreCall, 'table' | 'kind'> & {readonly waitMs?: number},
			call: () => Promise<Either<PlatformFault, T>>,
		): Promise<Either<PlatformFault, T>> => {
			storeCalls.record({
				node: this.self.name, purpose, table, kind,
			});
			if (this.isStoreUnreachable) {
				return Left({kind: 'unavailable', detail: 'cut by the test'});
			}

			const answer = await withTimeout(clock, call(), waitMs + storeTimeoutMs);
			const isLost = this.isStoreUnreachable && this.losesPendingAnswers;
			return answer && !isLost ? answer : Left({kind: 'unavailable', detail: 'no answer in time'});
		};

		return {
			read: async (table, partition) => reach({table, kind: 'read'}, async () => store.read(table, partition)),
			follow: async (table, afterVersion, waitMs) => reach({table, kind: 'follow', waitMs}, async () => store.follow(table, afterVersion, waitMs)),
			write: async write => reach({table: write.table, kind: 'write'}, async () => store.write(write)),
		};
	}

	/** Wraps the store so that its answers take the time that this node's link needs for them. */
	private _storeOverLink(store: RowStore): RowStore {
		const {links, clock} = this._cluster;
		if (!links) {
			return store;
		}

		const limit = async (answer: Promise<Either<PlatformFault, StoredRows>>, timeoutMs: number): Promise<Either<PlatformFault, StoredRows>> => {
			const found = await withTimeout(clock, answer, timeoutMs);
			if (!found) {
				return Left({kind: 'unavailable', detail: `no answer within ${timeoutMs} ms`});
			}

			// The store sends values in base64.
			const bytes = found.map(({rows}) => rows.reduce((sum, {value}) => sum + ((value?.length ?? 0) * 4 / 3) + storeRowBytes, 0)).orDefault(0);
			await links.receiveFromStore(this.self.name, bytes);
			return found;
		};

		return {
			read: async (table, partition) => limit(store.read(table, partition), storeTimeoutMs),
			follow: async (table, afterVersion, waitMs) => limit(store.follow(table, afterVersion, waitMs), waitMs + storeTimeoutMs),
			write: async write => store.write(write),
		};
	}

	private _callsOverLinks(links: LinkModel, {log, metrics}: {readonly log: Log; readonly metrics: Metrics}): PeerCalls {
		return new DirectPeerClient(this._cluster.clock, notice => {
			this._onNotice(notice);
		}, {
			connect: peer => links.connect(this.self.name, peer.name),
			rowTransfers: this._cluster.isRowTransferOn ? {self: this.self.name, log, metrics} : undefined,
		});
	}

	private _makeRequests(): PeerRequestHandlers {
		const {forwarded} = this;
		const tables: Readonly<Record<string, FollowedTable>> = {
			[rowFormats.configurationTable]: this.catalog.followed,
			[rowFormats.endpointTable]: this.registry.followed,
			[nodeTable]: this._registrations.followed,
		};
		return {
			self: () => this.self,
			onNotice: notice => {
				this._onNotice(notice);
			},
			overview: async name => {
				this._overviewPoller.recordIncomingPoll();
				return name === '' ? this.trackers.overviews(name) : this.trackers.opinion(name);
			},
			status: async (endpointId, timeoutMs) => forwarded.status(endpointId, timeoutMs),
			rows: async (table, afterVersion, waitMs) => tables[table]?.changes(afterVersion, waitMs),
			run: async (endpointId, statement) => forwarded.run(endpointId, statement),
			begin: async (endpointId, statement, isReadOnly) => forwarded.begin(endpointId, statement, isReadOnly),
			runHeld: async (heldId, statement) => forwarded.runHeld(heldId, statement),
			end: async (heldId, manner) => forwarded.end(heldId, manner),
			takeUsage: async request => this.usage.requestGrant(request),
		};
	}

	private _onNotice(notice: PeerNotice): void {
		dispatch(this._noticeHandlers, notice);
	}
}

/** A call from one node to another. */
export type ObservedPeerCall = {readonly from: string; readonly to: string; readonly kind: Exclude<keyof PeerCalls, 'dispose'>};

/** Nodes in front of one group of three instances. */
export class LineTestCluster {
	readonly clock = new VirtualClock();
	readonly store = new MemoryRowStore(this.clock);
	/** Calls of all nodes to the store. */
	readonly storeCalls = new StoreCallCounts();
	readonly group = new LineGroup(service, ['i-1', 'i-2', 'i-3'], this.clock);
	readonly nodes: LineTestNode[] = [];
	/** Promotions that were ordered: the instance, the holder of the duty and the epoch. */
	readonly ordered: Array<{readonly id: string; readonly holder: string; readonly epoch: number}> = [];
	/** Time from the order of a promotion to its effect. */
	promotionMs = defaultPromotionMs;
	/** Number of next orders whose answers are lost although the promotions take effect. */
	orderAnswersToLose = 0;
	/** Time within which every node must refuse a revoked key; undefined for a platform without such a bound. */
	keyRevocationMs: number | undefined;
	/** Response-time goal of all routes of the next configuration; none by default. */
	responseGoalMs: number | undefined;
	/** Organisations of the next configuration, in the form in which operators write them; none by default. */
	organisations: ReadonlyArray<Readonly<Record<string, unknown>>> | undefined;
	/** Minimum time from the last write of a registration to its removal, as nodes know it that are started from now on. */
	registrationLifetimeMs: number | undefined = 3600;
	/** Time for which nodes that start from now on rely on the registrations of endpoints that they know. */
	registrationsTrustMs: number = primacyDefaults.registrationsTrustMs;
	/** Connections that each instance accepts according to the configuration. */
	connectionLimit = 23;
	/** Whether nodes that start from now on keep connections of organisations by their use. */
	isRetentionByUse = true;
	/** Whether nodes that are started from now on give load reports and place statements by them. */
	usesLoadReports = true;
	/** Number of routes that the next configuration has besides those of the databases above. */
	additionalRoutes = 0;
	/** Links of limited bandwidth between the nodes; to be set before they start. Without them, calls take 1 ms. */
	links: LinkModel | undefined;
	/** Whether rows go over those links in compressed parts, and proofs are renewed over other nodes. */
	isRowTransferOn = true;
	/** Returns the seed of the random choices of a node that starts, by its name; the same for all by default. */
	seedOf: ((name: string) => number) | undefined;
	/** Called for every call between nodes, before the call is made, except over links of limited bandwidth. */
	peerCallListener: ((call: ObservedPeerCall) => void) | undefined;
	/** Returns the time in milliseconds that a call between two nodes takes, by their names; one millisecond by default. */
	peerDelayMs: ((from: string, to: string) => number) | undefined;

	readonly promotions: PromotionCalls = {
		promote: async (name, id, holder, epoch) => {
			this.ordered.push({id, holder, epoch});
			if (!this.group.instance(id).isUp) {
				return Left({kind: 'invalid', detail: 'the instance does not run'});
			}

			this.clock.setTimer(this.promotionMs, () => {
				this.group.promote(id);
				this.register();
			});
			if (this.orderAnswersToLose > 0) {
				this.orderAnswersToLose -= 1;
				return Left({kind: 'unavailable', detail: 'the answer was lost'});
			}

			return Right(undefined);
		},
	};

	/** Starts nodes in the zones a, b and c in turn, with the given numbers of cores, and waits until they serve. */
	async start(nodes: number, coresOf: (index: number) => number = () => 1): Promise<void> {
		this.configure(1);
		this.register();
		for (let index = 0; index < nodes; index++) {
			this.addNode(coresOf(index));
		}

		await this.clock.advance(3000);
	}

	/** Lets nodes run for so long that every endpoint may be promoted, whether or not all nodes can be notified. */
	async awaitTrust(): Promise<void> {
		await this.clock.advance(this.registrationsTrustMs);
	}

	/** Starts one more node. */
	addNode(cores = 1): LineTestNode {
		const index = this.nodes.length;
		const node = new LineTestNode(`n${index + 1}`, 'abc'[index % 3], cores, this);
		this.nodes.push(node);
		node.start();
		return node;
	}

	/** Ends every node without notice and starts all of them again at once, as after a loss of power. */
	restartAll(): void {
		for (const node of this.nodes) {
			this.restart(node);
		}
	}

	/** Ends a node without notice and starts it again at once under its name. */
	restart(node: LineTestNode): LineTestNode {
		const {name, availabilityZone, cores, incarnation} = node.self;
		node.dispose();
		const started = new LineTestNode(name, availabilityZone, cores, this, String(Number(incarnation) + 1));
		this.nodes[this.nodes.indexOf(node)] = started;
		started.start();
		return started;
	}

	/** Writes a configuration; `without` names a database whose route is left out, `timeoutMs` limits a statement. */
	configure(version: number, without?: keyof typeof databases, timeoutMs = 800): void {
		const routes = (['primary', 'aged', 'own'] as const).filter(kind => kind !== without).map(kind => ({
			name: `r-${kind}`, host: databases[kind], kind: routeKinds[kind], service,
			'timeout-ms': timeoutMs, priority: 1, 'max-attempts': 2, 'max-staleness-ms': kind === 'primary' ? 0 : 1500,
			'target-latency-ms': this.responseGoalMs,
		}));
		const additional = Array.from({length: this.additionalRoutes}, (_, index) => ({
			name: `added-${version}-${(index * 7919) % 100_003}`, host: `db-added-${version}-${(index * 104_729) % 1_000_003}`, kind: 'primary', service,
			'timeout-ms': 800, 'target-latency-ms': 151, priority: 1, 'max-attempts': 2, 'max-staleness-ms': 1500, public: false, note: `added for the team of area ${(index * 31) % 997}`,
		}));
		this.store.put(tables.operator, configurationKey, JSON.stringify({
			version, routes: [...routes, ...additional], services: [{name: service, 'max-conns': this.connectionLimit}], limits: {'tx-idle-ms': 3000}, tenants: this.organisations,
		}));
	}

	/** Writes the registrations of all instances; `draining` names one that is draining. */
	register(draining?: string): void {
		for (const [index, {id}] of this.group.instances.entries()) {
			this.registerInstance(index, id === draining);
		}
	}

	/** Writes the registration of one instance. */
	registerInstance(index: number, isDraining = false): void {
		const instance = this.group.instances[index];
		this.store.put(tables.instances, instance.id, registrationOf(instance, `10.0.0.${index + 1}:1`, 'abc'[index], isDraining));
	}

	/** Returns a node's calls to other nodes; they fail for the peers that a test made unreachable. */
	peerCallsOf(from: LineTestNode): PeerCalls {
		const {clock} = this;
		const reach = async <T>(peer: PeerNode, kind: ObservedPeerCall['kind'], work: (requests: PeerRequestHandlers) => T | Promise<T>): Promise<Either<string, T>> => {
			this.peerCallListener?.({from: from.self.name, to: peer.name, kind});
			await pauseFor(clock, this.peerDelayMs?.(from.self.name, peer.name) ?? 1);
			const node = this.nodes.find(({self}) => self.name === peer.name);
			if (!node) {
				return Left(endedReason);
			}

			return !from.unreachablePeers.has(peer.name) && !node.unreachablePeers.has(from.self.name) ? Right(await work(node.requests)) : Left('cut');
		};

		// Nothing can be sent to a process that has ended, since its address refuses connections.
		const unreachable = (reason: string): StatementFault => ({isSent: reason !== endedReason, refusal: new Refusal('peerUnavailable', reason), isPeerLost: true});
		return {
			tell: async (peer, notice) => reach(peer, 'tell', requests => {
				requests.onNotice(notice);
				return requests.self();
			}),
			overview: async (peer, name): Promise<Either<string, readonly GroupOverview[]>> => reach(peer, 'overview', async requests => requests.overview(name)),
			async status(peer, endpointId, timeoutMs) {
				const sentAtMs = clock.nowMs();
				const result = await reach(peer, 'status', async requests => requests.status(endpointId, timeoutMs));
				return result.isLeft() ? Left(unreachable(result.extract())) : result.unsafeCoerce().map(report => ({...report, sentAtMs}));
			},
			async rows(peer, table, afterVersion, waitMs) {
				const result = await reach(peer, 'rows', async requests => requests.rows(table, afterVersion, waitMs));
				return result.chain(rows => rows ? Right(rows) : Left(notFollowedReason));
			},
			async run(peer, endpointId, statement) {
				const result = await reach(peer, 'run', async requests => requests.run(endpointId, statement));
				return result.isLeft() ? Left(unreachable(result.extract())) : result.unsafeCoerce();
			},
			async begin(peer, endpointId, statement, isReadOnly) {
				const result = await reach(peer, 'begin', async requests => requests.begin(endpointId, statement, isReadOnly));
				return result.isLeft() ? Left(unreachable(result.extract())) : result.unsafeCoerce();
			},
			async runHeld(peer, heldId, statement) {
				const result = await reach(peer, 'runHeld', async requests => requests.runHeld(heldId, statement));
				return result.isLeft() ? Left(unreachable(result.extract())) : result.unsafeCoerce();
			},
			async end(peer, heldId, manner) {
				await reach(peer, 'end', async requests => requests.end(heldId, manner));
			},
			async takeUsage(peer, request, timeoutMs) {
				const answer = await withTimeout(clock, reach(peer, 'takeUsage', async requests => requests.takeUsage(request)), timeoutMs);
				return (answer ?? Left(noAnswerInTime)).chain(grant => grant ? Right(grant) : Left(noBudgetHere));
			},
			dispose() {
				// There is nothing to release.
			},
		};
	}

	dispose(): void {
		for (const node of this.nodes) {
			node.dispose();
		}
	}
}

/** Makes a node's connections to instances fail and closes those that are idle. */
export function cutConnections(node: LineTestNode, ids: readonly string[]): void {
	for (const id of ids) {
		node.connector.connectionFaults.set(id, 'refused');
		const endpoint = node.registry.endpoint(id);
		if (endpoint) {
			node.pools.pool(endpoint).closeIdle();
		}
	}
}
