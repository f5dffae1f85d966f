/**
 * Puts a node together: the one module that knows which class serves which interface.
 */
import {randomUUID} from 'node:crypto';
import {container as rootContainer} from 'tsyringe';
import type {DependencyContainer} from 'tsyringe';
import {AuditTrail} from '../common/audit/audit-trail.js';
import {TermRecords} from '../common/groups/term-record.js';
import type {TermRecorder} from '../common/groups/types.js';
import {InvariantChecks} from '../common/invariants/invariant-checks.js';
import type {Disposable} from '../common/lifecycle/disposable.js';
import {DisposableStore} from '../common/lifecycle/disposable.js';
import {NodeCore} from '../common/node-core.js';
import {tokens} from '../common/services/services.js';
import type {
	Audit, Clock, EndpointConnector, Host, HostList, Invariants, Log, Metrics, Objects, Random, Table,
} from '../common/services/services.js';
import type {Settings} from '../common/settings/settings-schema.js';
import {CallerServer} from './callers/caller-server.js';
import {HmacTokenSigner} from './callers/token-signer.js';
import type {Authentication} from './callers/types.js';
import {PgEndpointConnector} from './endpoints/pg-endpoint-connector.js';
import {ConsolaLog} from './observability/consola-log.js';
import {PromMetrics} from './observability/prom-metrics.js';
import {PeerLinks} from './peers/peer-links.js';
import {PeerServer} from './peers/peer-server.js';
import type {PeerTls} from './peers/types.js';
import {DynamoTable} from './platform/dynamo-table.js';
import {S3Objects} from './platform/s3-objects.js';
import type {PlatformSettings} from './platform/settings.js';
import {TableHostList} from './platform/table-host-list.js';
import {SystemClock} from './system-clock.js';
import {SystemRandom} from './system-random.js';

/** Ports that a node listens on. */
export type NodePorts = {
	readonly callers: number;
	readonly peers: number;
	readonly operators: number;
};

/** A node that runs. */
export type RunningNode = Disposable & {
	readonly ports: NodePorts;
	/** Resolves once the configuration is in force and callers are served. */
	readonly ready: Promise<void>;
	/** Finishes what is in progress within the settings' bound, then stops. */
	drain(): Promise<void>;
};

/** Names of the settings' authentication methods in the caller front. */
const authenticationByMethod: Record<Settings['callers']['authentication']['method'], Authentication> = {
	none: 'none',
	cleartext: 'cleartextPassword',
	md5: 'md5Password',
};

/** Starts a node; rejects when an address cannot be listened on. */
export async function startNode(settings: Settings): Promise<RunningNode> {
	const owned = new DisposableStore();
	const services = registerServices(settings, owned);
	const {clock, log} = services;
	const peerTls = peerTlsOf(settings);
	const peerServer = owned.register(new PeerServer({}, peerTls));
	const peerPort = await peerServer.listen(settings.peers.host, settings.peers.port);
	const self = selfOf(settings, peerPort);
	const core = owned.register(new NodeCore(self, {
		...services,
		createPeers: membership => new PeerLinks({...services, membership}, {}, peerTls),
	}, settings.tuning));
	peerServer.serve({...services, membership: core.membership}, core.peerHandlers);
	const callers = owned.register(makeCallerServer(settings, services, core));
	const callerPort = await callers.listen(settings.callers.host, settings.callers.port);
	const ports: NodePorts = {callers: callerPort, peers: peerPort, operators: self.operatorPort};
	log.event('processStarted', {...ports, availabilityZone: self.availabilityZone});

	const ready = core.start().then(() => {
		log.event('processReady', {version: core.configuration.version});
	});

	return {
		ports,
		ready,
		async drain() {
			const {drainMs, drainNoticeMs} = settings.timings;
			log.event('processDraining', {drainMs});
			core.membership.leave();
			await new Promise<void>(resolve => {
				clock.setTimer(drainNoticeMs, resolve);
			});
			await Promise.all([callers.drain(drainMs), core.drain(drainMs)]);
			await peerServer.drain(drainMs);
			owned.dispose();
			log.event('processStopped');
		},
		dispose() {
			owned.dispose();
		},
	};
}

/** The services that come from the host, resolved from a container of the node's own. */
type HostServices = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly invariants: Invariants;
	readonly connector: EndpointConnector;
	readonly table: Table;
	readonly objects: Objects;
	readonly hostList: HostList;
	readonly audit: Audit;
	readonly terms: TermRecorder;
};

function registerServices(settings: Settings, owned: DisposableStore): HostServices {
	const container = rootContainer.createChildContainer();
	container.registerInstance<Clock>(tokens.clock, new SystemClock());
	container.registerInstance<Random>(tokens.random, new SystemRandom());
	container.registerInstance<Log>(tokens.log, new ConsolaLog({node: settings.node.name, ...settings.logs}));
	container.registerInstance<Metrics>(tokens.metrics, new PromMetrics({node: settings.node.name}));
	const clock = container.resolve<Clock>(tokens.clock);
	const random = container.resolve<Random>(tokens.random);
	const log = container.resolve<Log>(tokens.log);
	const metrics = container.resolve<Metrics>(tokens.metrics);
	container.registerInstance<Invariants>(tokens.invariants, new InvariantChecks(log, metrics));
	container.registerInstance<EndpointConnector>(tokens.connector, makeConnector(settings, clock));
	registerPlatform(container, settings, owned);
	const table = container.resolve<Table>(tokens.table);
	const terms = owned.register(new TermRecords({
		table, clock, random, log, metrics,
	}));
	return {
		clock,
		random,
		log,
		metrics,
		table,
		terms,
		invariants: container.resolve<Invariants>(tokens.invariants),
		connector: container.resolve<EndpointConnector>(tokens.connector),
		objects: container.resolve<Objects>(tokens.objects),
		hostList: container.resolve<HostList>(tokens.hostList),
		audit: container.resolve<Audit>(tokens.audit),
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
	container.registerInstance<Audit>(tokens.audit, owned.register(new AuditTrail({
		table,
		clock,
		log,
		metrics,
		random: container.resolve<Random>(tokens.random),
	}, settings.node.name)));
}

function platformSettingsOf({platform}: Settings): PlatformSettings {
	const {accessKeyId, secretAccessKey} = platform;
	return {
		tableEndpoint: platform.tableEndpointUrl,
		objectsEndpoint: platform.objectEndpointUrl,
		region: platform.region,
		table: platform.tableName,
		bucket: platform.bucket,
		credentials: accessKeyId === undefined || secretAccessKey === undefined ? undefined : {accessKeyId, secretAccessKey},
		connectTimeoutMs: platform.connectTimeoutMs,
		requestTimeoutMs: platform.requestTimeoutMs,
	};
}

function selfOf({node, peers, operators}: Settings, peerPort: number): Host {
	return {
		...node,
		peerHost: peers.advertisedHost ?? peers.host,
		peerPort,
		operatorPort: operators.port,
		isLeaving: false,
		incarnation: randomUUID(),
	};
}

function peerTlsOf({peers: {tls}}: Settings): PeerTls | undefined {
	return tls && {key: tls.key, certificate: tls.certificate, authority: tls.authority ?? tls.certificate};
}

function makeCallerServer(settings: Settings, services: HostServices, core: NodeCore): CallerServer {
	const {callers} = settings;
	const {users} = callers.authentication;
	return new CallerServer({
		...services,
		router: core.router,
		configuration: core.configuration,
		signer: new HmacTokenSigner(callers.tokenKey),
		node: core.membership.self,
		options: {
			authentication: authenticationByMethod[callers.authentication.method],
			users: users.map(({user, password, labels}) => ({name: user, password, labels})),
			tls: callers.tls && {key: callers.tls.key, cert: callers.tls.certificate},
			tokenlessReads: callers.tokenlessReads,
			maximumConnections: callers.maximumConnections,
			maximumMessageBytes: callers.maximumMessageBytes,
			startUpTimeoutMs: callers.startUpTimeoutMs,
		},
	});
}
