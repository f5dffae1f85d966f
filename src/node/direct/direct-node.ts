/**
 * Composition of a node that connects to every endpoint itself: the one module that knows which class
 * implements which interface in such a node.
 */
import {container as rootContainer} from 'tsyringe';
import {RowAudit} from '../../common/audit/row-audit.js';
import {catalogDefaults} from '../../common/catalog/constants.js';
import {EndpointRegistry} from '../../common/catalog/endpoint-registry.js';
import {RouteCatalog} from '../../common/catalog/route-catalog.js';
import {defaultHomeOptions} from '../../common/homes/constants.js';
import {InvariantChecks} from '../../common/invariants/invariant-checks.js';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import {DisposableStore} from '../../common/lifecycle/disposable.js';
import {restoreDefaults} from '../../common/store/constants.js';
import {RestoreWatch} from '../../common/store/restore-watch.js';
import {VersionObservingStore} from '../../common/store/version-observing-store.js';
import {loadDefaults, retentionDefaults} from '../../common/load/constants.js';
import {lineSessionDefaults} from '../../common/line-sessions/constants.js';
import {AccessControl} from '../../common/organisations/access-control.js';
import {usageDefaults} from '../../common/organisations/constants.js';
import {UsageBudgets} from '../../common/organisations/usage-budgets.js';
import {UsageLimits} from '../../common/organisations/usage-limits.js';
import {poolDefaults} from '../../common/pools/constants.js';
import {PoolSet} from '../../common/pools/pool-set.js';
import {primacyDefaults} from '../../common/primacy/constants.js';
import {PrimaryTrackers} from '../../common/primacy/primary-trackers.js';
import {tokens} from '../../common/services/services.js';
import type {
	Audit, Clock, Invariants, Log, Metrics, Random, RowStore, UsageLimit,
} from '../../common/services/services.js';
import type {DirectSettings} from '../../common/settings/direct-settings-schema.js';
import {lineDefaults} from '../line/constants.js';
import {LineServer} from '../line/line-server.js';
import {TcpLineConnector} from '../line/tcp-line-connector.js';
import {PromMetrics} from '../observability/prom-metrics.js';
import {SystemClock} from '../system-clock.js';
import {SystemRandom} from '../system-random.js';
import {Drain} from './drain.js';
import {Readiness} from './readiness.js';
import {createPeering} from './peering.js';
import {StatusServer} from './status-server.js';
import type {DirectNodeEnvironment, PlatformAdapter} from './types.js';

/** A running node. */
export type RunningDirectNode = Disposable & {
	/** Stops accepting callers, finishes what is in progress within the grace time, then disposes the node. */
	drain(): Promise<void>;
};

/** Starts a node; rejects if it cannot listen on an address. */
export async function startDirectNode(environment: DirectNodeEnvironment, settings: DirectSettings, adapter: PlatformAdapter, log: Log): Promise<RunningDirectNode> {
	const owned = new DisposableStore();
	try {
		return await startIn(owned, {environment, settings, adapter}, log);
	} catch (error) {
		owned.dispose();
		throw error;
	}
}

type NodeInputs = {
	readonly environment: DirectNodeEnvironment;
	readonly settings: DirectSettings;
	readonly adapter: PlatformAdapter;
};

async function startIn(owned: DisposableStore, inputs: NodeInputs, log: Log): Promise<RunningDirectNode> {
	const {environment, settings, adapter} = inputs;
	const {tuning, load} = settings;
	const store = owned.register(adapter.openStore(environment.store));
	const services = registerServices(inputs, log, store, owned);
	const {clock, metrics, restores} = services;
	const peering = createPeering({environment, tuning, load}, services, owned);
	const followed = {
		...services, store: peering.store, paceMs: peering.paceMs, options: {...catalogDefaults, ...tuning.catalog},
	};
	const catalog = owned.register(new RouteCatalog({...followed, provingStore: peering.provingStore, keyRevocationMs: environment.keyRevocationMs}, adapter.formats));
	const registry = owned.register(new EndpointRegistry(followed, adapter.formats));
	const isAdmissionByGoal = (): boolean => load.admissionByGoal && peering.fleet.isLarge;
	const isReturnScheduled = (): boolean => load.returnSchedule && peering.fleet.isLarge;
	const pools = owned.register(new PoolSet({
		...services,
		wire: adapter.wire,
		connectionRole: endpoint => peering.fleet.connectionRole(endpoint),
		areConnectionsPerOrganisation: () => catalog.organisations !== undefined,
		connectionShare: ({service}) => peering.fleet.connectionQuota(catalog.connectionLimit(service)),
		connector: new TcpLineConnector(clock, adapter.wire, environment.name, lineDefaults),
		options: {...poolDefaults, ...tuning.pools},
		queueOptions: {...defaultHomeOptions, ...tuning.queues},
		retentionOptions: load.connectionsByUse ? {...retentionDefaults, ...tuning.retention} : undefined,
		load: {
			log,
			isAdmissionByGoal,
			isReturnScheduled,
			options: loadDefaults,
		},
	}));
	const endpointPools = peering.createPoolSelector(pools);
	const trackers = owned.register(new PrimaryTrackers({
		...services,
		registry,
		pools,
		promotions: owned.register(adapter.openPromotions(environment.promotions)),
		peers: peering.peers,
		proofSource: peering.proofSource,
		registrationLifetimeMs: environment.registrationLifetimeMs,
		endpointPools,
		options: {...primacyDefaults, ...tuning.primacy},
		availabilityZone: environment.availabilityZone,
	}));
	const relays = peering.connect(trackers);
	const usageOptions = {...usageDefaults, ...tuning.usage};
	const limitOf = (organisation: string): UsageLimit | undefined => catalog.organisations?.findByName(organisation)?.usageLimit;
	const budgets = new UsageBudgets({
		clock, limitOf, rule: environment.usageRule, zones: environment.zones, membershipChangedAtMs: peering.membershipChangedAtMs, inContactSinceMs: peering.inContactSinceMs, options: usageOptions,
	});
	const usage = new UsageLimits({
		...services,
		self: peering.self,
		calls: peering.calls,
		holders: peering.usageHolders,
		budgets,
		options: usageOptions,
	});
	const callers = owned.register(new LineServer({
		...services,
		wire: adapter.wire,
		catalog,
		usage,
		access: new AccessControl(catalog),
		endpointPools,
		trackers,
		relays,
		availabilityZone: environment.availabilityZone,
		placesByLoad: () => load.loadReports && peering.fleet.isLarge,
		options: {...lineSessionDefaults, ...tuning.sessions},
		load: {
			isAdmissionByGoal, isReturnScheduled, nodes: () => peering.fleet.size, options: loadDefaults,
		},
	}, lineDefaults));
	owned.register(catalog.onChange(() => {
		trackers.follow(catalog.serviceNames());
		usage.onLimitsChanged();
		callers.closeRevokedSessions();
	}));
	const readiness = owned.register(new Readiness({
		clock, log, isLoaded: () => catalog.isLoaded && registry.isLoaded,
		isStoreSettled: () => restores.isSettled,
		unreachableForMs: () => trackers.unreachableForMs,
		hasUnreachablePrimary: () => trackers.hasUnreachablePrimary,
		isStoreUnavailable: () => catalog.isStoreUnavailable || registry.isStoreUnavailable,
		probeStore() {
			void catalog.probeStore();
		},
		onCutOff() {
			callers.closeIdleNow();
		},
	}));
	// These read from the store while the rest of the node is set up.
	catalog.start();
	registry.start();
	void peering.discover();
	await listen(owned, environment, settings, {
		adapter, readiness, metrics, callers,
	});
	await peering.serve({
		trackers,
		pools,
		registry,
		catalog,
		usage,
		tables: {[adapter.formats.configurationTable]: catalog.followed, [adapter.formats.endpointTable]: registry.followed},
	});
	log.event('processStarted', {
		availabilityZone: environment.availabilityZone, callers: environment.callers.port, readiness: environment.readiness.port,
	});
	readiness.start();

	return {
		async drain() {
			const drain = new Drain({
				clock,
				log,
				graceMs: environment.graceMs,
				callers,
				leave() {
					readiness.leave();
					void peering.leave();
				},
				refuseForwarded: peering.refuseForwarded,
				awaitPeersIdle: peering.awaitIdle,
			});
			await drain.run();
			owned.dispose();
		},
		dispose() {
			owned.dispose();
		},
	};
}

/** Services that every component of such a node uses. */
export type DirectServices = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: PromMetrics;
	readonly invariants: Invariants;
	readonly audit: Audit;
	readonly store: RowStore;
	readonly restores: RestoreWatch;
	readonly node: string;
};

function registerServices({environment, settings}: NodeInputs, log: Log, openedStore: RowStore, owned: DisposableStore): DirectServices {
	const container = rootContainer.createChildContainer();
	const metrics = new PromMetrics({node: environment.name});
	container.registerInstance<Clock>(tokens.clock, new SystemClock());
	container.registerInstance<Random>(tokens.random, new SystemRandom());
	container.registerInstance<Log>(tokens.log, log);
	container.registerInstance<Metrics>(tokens.metrics, metrics);
	container.registerInstance<Invariants>(tokens.invariants, new InvariantChecks(log, metrics));
	const clock = container.resolve<Clock>(tokens.clock);
	const restores = owned.register(new RestoreWatch({
		clock, log, metrics, options: {...restoreDefaults, ...settings.tuning.restores},
	}));
	const store = new VersionObservingStore(openedStore, restores);
	const audit = owned.register(new RowAudit({
		clock, log, store, restores, node: environment.name,
	}));
	container.registerInstance<Audit>(tokens.audit, audit);
	return {
		clock,
		log,
		metrics,
		store,
		restores,
		audit,
		node: environment.name,
		random: container.resolve<Random>(tokens.random),
		invariants: container.resolve<Invariants>(tokens.invariants),
	};
}

type ListeningComponents = {
	readonly adapter: PlatformAdapter;
	readonly readiness: Readiness;
	readonly metrics: PromMetrics;
	readonly callers: LineServer;
};

async function listen(owned: DisposableStore, environment: DirectNodeEnvironment, settings: DirectSettings, parts: ListeningComponents): Promise<void> {
	const {
		adapter, readiness, metrics, callers,
	} = parts;
	const readyServer = owned.register(new StatusServer(adapter.readyPath, () => ({
		status: readiness.isReady ? 200 : 503, contentType: 'text/plain', text: readiness.reason,
	})));
	await readyServer.listen(environment.readiness.host, environment.readiness.port);
	if (settings.metrics.port > 0) {
		const metricsServer = owned.register(new StatusServer('/metrics', async () => ({
			status: 200, contentType: metrics.contentType, text: await metrics.text(),
		})));
		await metricsServer.listen(environment.readiness.host, settings.metrics.port);
	}

	await callers.listen(environment.callers.host, environment.callers.port);
}
