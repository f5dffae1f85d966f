/**
 * Assembles a node: the only module that knows which class implements which interface.
 */
import {container as rootContainer} from 'tsyringe';
import type {DependencyContainer} from 'tsyringe';
import {AuditTrail} from '../common/audit/audit-trail.js';
import {Undo} from '../common/configuration/undo.js';
import {TermRecords} from '../common/groups/term-record.js';
import {WakeableSleep, withTimeout} from '../common/lifecycle/timing.js';
import type {TermRecorder} from '../common/groups/types.js';
import {InvariantChecks} from '../common/invariants/invariant-checks.js';
import type {Disposable} from '../common/lifecycle/disposable.js';
import {DisposableStore} from '../common/lifecycle/disposable.js';
import {NodeCore} from '../common/node-core.js';
import {tokens} from '../common/services/services.js';
import type {
	Audit, Clock, EndpointConnector, HostList, Invariants, Log, Metrics, Objects, Random, Table,
} from '../common/services/services.js';
import type {Settings} from '../common/settings/settings-schema.js';
import {CallerServer} from './callers/caller-server.js';
import {HmacTokenSigner} from './callers/token-signer.js';
import {PgEndpointConnector} from './endpoints/pg-endpoint-connector.js';
import {newIncarnation} from './incarnation.js';
import {ConsolaLog} from './observability/consola-log.js';
import {PromMetrics} from './observability/prom-metrics.js';
import {FailoverRecord} from './operators/failover-record.js';
import {GroupViewCollector} from './operators/group-view-collector.js';
import {NodeReadiness} from './operators/node-readiness.js';
import {NodeStatusSource} from './operators/node-status.js';
import {OperatorServer} from './operators/operator-server.js';
import {PromotionLog} from './operators/promotion-log.js';
import {ReachProbe} from './operators/reach.js';
import {
	callerOptionsOf, nodeOptionsOf, operatorOptionsOf, peerTlsOf, platformSettingsOf, localHostOf,
} from './component-options.js';
import {PeerLinks} from './peers/peer-links.js';
import {PeerServer} from './peers/peer-server.js';
import {DynamoTable} from './platform/dynamo-table.js';
import {S3Objects} from './platform/s3-objects.js';
import {TableHostList} from './platform/table-host-list.js';
import {InitialDiscovery} from './initial-discovery.js';
import {SystemClock} from './system-clock.js';
import {SystemRandom} from './system-random.js';

/** Ports that a node listens on. */
export type NodePorts = {
	readonly callers: number;
	readonly peers: number;
	readonly operators: number;
};

/** A running node. */
export type RunningNode = Disposable & {
	readonly ports: NodePorts;
	/** Resolves once the configuration is in force and callers are served. */
	readonly ready: Promise<void>;
	/** Finishes work in progress within the drain time of the settings, then stops. */
	drain(): Promise<void>;
};

/** Minimum time that links to peers have to close after the work on them has ended. */
const minimumLinkDrainMs = 1000;

/** Maximum wait, at the end of a drain, for answers to operators and for writes of the audit trail. */
const finalFlushTimeoutMs = 2000;

/** Starts a node; rejects when an address cannot be listened on. */
export async function startNode(settings: Settings): Promise<RunningNode> {
	const owned = new DisposableStore();
	try {
		return await startOwnedBy(owned, settings);
	} catch (error) {
		owned.dispose();
		throw error;
	}
}

async function startOwnedBy(owned: DisposableStore, settings: Settings): Promise<RunningNode> {
	const incarnation = newIncarnation();
	const services = registerServices(settings, incarnation, owned);
	const {clock, log} = services;
	const peerTls = peerTlsOf(settings);
	const peerServer = owned.register(new PeerServer({}, peerTls));
	const peerPort = await peerServer.listen(settings.peers.host, settings.peers.port);
	const self = localHostOf(settings, peerPort, incarnation);
	const core = owned.register(new NodeCore(self, {
		...services,
		createPeers: membership => new PeerLinks({...services, membership}, {}, peerTls),
	}, nodeOptionsOf(settings)));
	const operators = owned.register(makeOperatorServer(settings, services, core, owned));
	// This host has not been registered or announced yet, so the port that was chosen becomes part of what others learn.
	self.operatorPort = await operators.listen(settings.operators.host, settings.operators.port);
	peerServer.serve({...services, membership: core.membership}, core.peerHandlers);
	const callers = owned.register(makeCallerServer(settings, services, core));
	const callerPort = await callers.listen(settings.callers.host, settings.callers.port);
	const ports: NodePorts = {callers: callerPort, peers: peerPort, operators: self.operatorPort};
	log.event('processStarted', {...ports, availabilityZone: self.availabilityZone});
	const discovery = owned.register(new InitialDiscovery({...services, membership: core.membership, peers: core.peers}));
	const ready = core.start(async () => discovery.run()).then(() => {
		log.event('processReady', {version: core.configuration.version});
	});

	return {
		ports,
		ready,
		async drain() {
			const {drainMs, drainNoticeMs} = settings.timings;
			log.event('processDraining', {drainMs});
			core.membership.leave();
			await new WakeableSleep(clock).wait(drainNoticeMs);
			const endMs = clock.nowMs() + drainMs;
			await Promise.all([callers.drain(drainMs), core.drain(drainMs)]);
			await peerServer.drain(Math.max(minimumLinkDrainMs, endMs - clock.nowMs()));
			await Promise.all([withTimeout(clock, operators.close(), finalFlushTimeoutMs), services.audit.flush(finalFlushTimeoutMs)]);
			owned.dispose();
			log.event('processStopped');
		},
		dispose() {
			owned.dispose();
		},
	};
}

/** The services of this process, resolved from the node's own dependency container. */
type HostServices = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: PromotionLog;
	readonly metrics: PromMetrics;
	readonly invariants: Invariants;
	readonly connector: EndpointConnector;
	readonly table: Table;
	readonly objects: Objects;
	readonly hostList: HostList;
	readonly audit: AuditTrail;
	readonly terms: TermRecorder;
	/** `<name>/<incarnation>` of this process. */
	readonly processId: string;
};

function registerServices(settings: Settings, incarnation: string, owned: DisposableStore): HostServices {
	const container = rootContainer.createChildContainer();
	const log = owned.register(new PromotionLog(new ConsolaLog({node: settings.node.name, ...settings.logs})));
	const metrics = new PromMetrics({node: settings.node.name});
	const processId = `${settings.node.name}/${incarnation}`;
	container.registerInstance<Clock>(tokens.clock, new SystemClock());
	container.registerInstance<Random>(tokens.random, new SystemRandom());
	container.registerInstance<Log>(tokens.log, log);
	container.registerInstance<Metrics>(tokens.metrics, metrics);
	container.registerInstance<Invariants>(tokens.invariants, new InvariantChecks(log, metrics, settings.invariants));
	const clock = container.resolve<Clock>(tokens.clock);
	const random = container.resolve<Random>(tokens.random);
	container.registerInstance<EndpointConnector>(tokens.connector, makeConnector(settings, clock));
	registerPlatform(container, settings, owned);
	const table = container.resolve<Table>(tokens.table);
	const records = {
		table, clock, random, log, metrics,
	};
	const audit = owned.register(new AuditTrail(records, processId));
	container.registerInstance<Audit>(tokens.audit, audit);
	return {
		...records,
		audit,
		terms: owned.register(new TermRecords(records)),
		invariants: container.resolve<Invariants>(tokens.invariants),
		connector: container.resolve<EndpointConnector>(tokens.connector),
		objects: container.resolve<Objects>(tokens.objects),
		hostList: container.resolve<HostList>(tokens.hostList),
		processId,
	};
}

function makeConnector(settings: Settings, clock: Clock): PgEndpointConnector {
	return new PgEndpointConnector(clock, {
		...settings.endpoints,
		maximumMessageBytes: settings.limits.maximumBackendMessageBytes,
	});
}

function registerPlatform(container: DependencyContainer, settings: Settings, owned: DisposableStore): void {
	const clock = container.resolve<Clock>(tokens.clock);
	const log = container.resolve<Log>(tokens.log);
	const metrics = container.resolve<Metrics>(tokens.metrics);
	const platform = platformSettingsOf(settings);
	const table = owned.register(new DynamoTable(platform, clock, log, metrics));
	container.registerInstance<Table>(tokens.table, table);
	container.registerInstance<Objects>(tokens.objects, owned.register(new S3Objects(platform, clock, log, metrics)));
	container.registerInstance<HostList>(tokens.hostList, new TableHostList(table, table));
}

function makeCallerServer(settings: Settings, services: HostServices, core: NodeCore): CallerServer {
	return new CallerServer({
		...services,
		router: core.router,
		configuration: core.configuration,
		signer: new HmacTokenSigner(settings.callers.tokenKey),
		previousSigners: settings.callers.previousTokenKeys.map(key => new HmacTokenSigner(key)),
		node: core.membership.self,
		options: callerOptionsOf(settings),
	});
}

function makeOperatorServer(settings: Settings, services: HostServices, core: NodeCore, owned: DisposableStore): OperatorServer {
	const {
		history, changeLog, configuration, membership, peers, groups, sync,
	} = core;
	const {clock, random, log, metrics} = services;
	const reach = new ReachProbe({
		membership, peers, clock, version: () => configuration.version,
	});
	const failovers = owned.register(new FailoverRecord({table: services.table, clock, writerId: services.processId}));
	owned.register(log.onPromotionFinished(promotion => {
		failovers.note({...promotion, at: new Date(clock.wallClockMs()).toISOString()});
	}));
	const readiness = owned.register(new NodeReadiness({
		membership,
		peers,
		clock,
		random,
		isConfigured: () => sync.isLoaded,
		hasReachableInstance: () => configuration.groups().some(({name}) =>
			groups.existing(name)?.view().instances.some(({isReachable}) => isReachable)),
	}));
	void readiness.run();
	const observer = new GroupViewCollector({
		configuration, membership, peers, clock, ownView: group => groups.existing(group)?.view(),
	});
	return new OperatorServer({
		history,
		changeLog,
		reach,
		clock,
		log,
		metrics,
		undo: new Undo(changeLog, history),
		status: new NodeStatusSource({
			configuration, membership, groups: observer, reach, failovers, metrics, clock,
		}),
		audit: services.audit,
		metricsSource: metrics,
		readiness: () => readiness.current,
	}, operatorOptionsOf(settings));
}
