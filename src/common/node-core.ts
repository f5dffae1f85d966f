/**
 * Assembles the components of a node, independent of the host that it runs on: time, randomness,
 * peers, the platform and the database groups are injected through the interfaces in services.ts.
 *
 * The daemon creates the node core in src/node/wiring.ts; tests and embedding programs create it with
 * services of their own.
 */
import {ChangeHistory} from './configuration/change-history.js';
import {ConfigurationLog} from './configuration/configuration-log.js';
import {ConfigurationSync} from './configuration/configuration-sync.js';
import {LiveConfiguration} from './configuration/live-configuration.js';
import type {GroupOptions, TermRecorder} from './groups/types.js';
import {MonitoredGroups} from './groups/monitored-groups.js';
import type {HomeOptions} from './homes/constants.js';
import {defaultHomeOptions} from './homes/constants.js';
import {HomeService} from './homes/home-service.js';
import type {Disposable} from './lifecycle/disposable.js';
import {DisposableStore} from './lifecycle/disposable.js';
import type {MembershipOptions} from './membership/constants.js';
import {HostDirectory} from './membership/host-directory.js';
import type {RoutingOptions} from './routing/constants.js';
import {routingDefaults} from './routing/constants.js';
import {StatementRouter} from './routing/statement-router.js';
import type {
	Audit, Clock, EndpointConnector, GroupView, Host, HostList, Invariants, Log, Membership, Metrics, Objects,
	PeerHandlers, Peers, Random, Table,
} from './services/services.js';

/** What a node needs from its host. */
export type NodeServices = {
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
	/** Creates the links to peers, which report reachability to the membership. */
	readonly createPeers: (membership: Membership) => Peers;
};

/** Options of the components; those that are left out have their defaults. */
export type NodeOptions = {
	readonly homes?: Partial<HomeOptions>;
	readonly groups?: Partial<GroupOptions>;
	readonly routing?: Partial<RoutingOptions>;
	readonly membership?: Partial<MembershipOptions>;
};

/** One node without its network listeners. */
export class NodeCore implements Disposable {
	readonly membership: HostDirectory;
	readonly peers: Peers;
	readonly history: ChangeHistory;
	readonly configuration: LiveConfiguration;
	readonly changeLog: ConfigurationLog;
	readonly sync: ConfigurationSync;
	readonly groups: MonitoredGroups;
	readonly homes: HomeService;
	readonly router: StatementRouter;
	/** Handlers that the peer server calls. */
	readonly peerHandlers: PeerHandlers;

	private readonly _disposables = new DisposableStore();

	constructor(self: Host, services: NodeServices, options: NodeOptions = {}) {
		this.membership = this._disposables.register(new HostDirectory(self, services, options.membership));
		this.peers = this._disposables.register(services.createPeers(this.membership));
		this.history = this._disposables.register(new ChangeHistory(services.invariants, services.log));
		this.configuration = this._disposables.register(new LiveConfiguration(this.history));
		this.changeLog = this._disposables.register(new ConfigurationLog({
			...services,
			history: this.history,
			currentPrimary: group => this._primaryOf(group),
		}));
		const shared = {
			...services,
			membership: this.membership,
			peers: this.peers,
			configuration: this.configuration,
		};
		this.sync = this._disposables.register(new ConfigurationSync({
			...shared,
			history: this.history,
			changeLog: this.changeLog,
		}));
		this.groups = this._disposables.register(new MonitoredGroups(shared, options.groups));
		this.homes = this._disposables.register(new HomeService({
			...shared,
			groups: this.groups,
			options: {...defaultHomeOptions, ...options.homes},
		}));
		this.router = this._disposables.register(new StatementRouter({
			...shared,
			groups: this.groups,
			localExecutor: this.homes,
			options: {...routingDefaults, ...options.routing},
		}));
		this.peerHandlers = this._makePeerHandlers();
		this._probeAgainWhenDue();
	}

	/**
	 * Joins the other nodes and loads the configuration; resolves once the configuration is in force.
	 * `joinPeers` is awaited before this node becomes the home of endpoints. Peers that learn of this
	 * node through it may send it requests for endpoints from then on; until this node is the home of
	 * an endpoint, it refuses them and names the home, which it determines from the configuration.
	 */
	async start(joinPeers?: () => Promise<void>): Promise<void> {
		this.membership.beginStartUp();
		await this.membership.start();
		this.sync.start();
		await joinPeers?.();
		this.membership.endStartUp();
		await this.sync.loaded;
	}

	/** Announces to all other hosts that this one is leaving, then hands over every endpoint within `boundMs`. */
	async drain(boundMs: number): Promise<void> {
		this.membership.leave();
		for (const host of this.membership.hosts()) {
			if (host.name !== this.membership.self.name) {
				this.peers.announceLeaving(host);
			}
		}

		await this.homes.drain(boundMs);
	}

	dispose(): void {
		this._disposables.dispose();
	}

	private _makePeerHandlers(): PeerHandlers {
		const {membership, homes, groups, sync, router, configuration} = this;
		return {
			executor: homes,
			groupView: group => groups.existing(group)?.view() ?? emptyView(group),
			probe: () => ({host: membership.self, configurationVersion: configuration.version}),
			onPrimaryAnnounced(announcement) {
				router.views.learnPrimary(announcement);
				groups.existing(announcement.group)?.learnPrimary(announcement);
			},
			changesAfter: afterNumber => sync.changesAfter(afterNumber),
			onVersionAnnounced(from, version) {
				sync.onVersionAnnounced(from, version);
			},
			handOver: async endpoint => homes.handOver(endpoint),
			onLeavingAnnounced(name) {
				const host = membership.host(name);
				if (host) {
					membership.learn({...host, isLeaving: true});
				}
			},
			onPeerLost(name) {
				homes.onPeerLost(name);
			},
		};
	}

	/** Probes suspected hosts again, so that they are not considered unreachable for longer than necessary. */
	private _probeAgainWhenDue(): void {
		this._disposables.register(this.membership.onRetryDue(host => {
			void this._probeAgain(host);
		}));
	}

	private async _probeAgain(host: Host): Promise<void> {
		const answer = await this.peers.probe(host, probeTimeoutMs);
		answer.ifRight(probe => {
			this.membership.learn(probe.host);
		});
		this.membership.reportReachability(host.name, answer.isRight());
	}

	private _primaryOf(group: string): string | undefined {
		const view = this.groups.existing(group)?.view();
		const primary = view?.primary ?? this.router.views.group(group).primary;
		return primary === '' ? undefined : primary;
	}
}

/** Timeout of a probe of a suspected host. */
const probeTimeoutMs = 1000;

function emptyView(group: string): GroupView {
	return {
		group,
		term: 0,
		primary: '',
		instances: [],
	};
}
