/**
 * One host of the crowd: answers peer links as a node does, without running a node.
 */
import {Left} from 'purify-ts';
import {Refusal} from '../../../src/common/errors/error-kinds.js';
import type {Disposable} from '../../../src/common/lifecycle/disposable.js';
import type {
	Host, Membership, PeerHandlers, Peers,
} from '../../../src/common/services/services.js';
import {PeerLinks} from '../../../src/node/peers/peer-links.js';
import {PeerServer} from '../../../src/node/peers/peer-server.js';
import {hostOf} from '../fleet-plan.js';
import type {PlatformAccess} from '../platform-access.js';
import type {FleetHost} from '../types.js';

const address = '127.0.0.1';

function ignore(): void {
	// A host of the crowd does not react to this.
}

/** Listens for peer links under the name of one host, and can open its own. */
export class CrowdHost implements Disposable {
	private readonly _access: PlatformAccess;
	private readonly _fleetHost: FleetHost;
	private readonly _server = new PeerServer();
	private _peers: Peers | undefined;
	private _self: Host;

	constructor(fleetHost: FleetHost, access: PlatformAccess) {
		this._fleetHost = fleetHost;
		this._access = access;
		this._self = hostOf(fleetHost);
	}

	get host(): Host {
		return this._self;
	}

	/** Links from this host to its peers, created on first use. */
	get peers(): Peers {
		this._peers ??= new PeerLinks(this._services());
		return this._peers;
	}

	/** Starts to listen on a free port. */
	async start(): Promise<void> {
		const peerPort = await this._server.listen(address, 0);
		this._self = hostOf(this._fleetHost, {peerHost: address, peerPort});
		this._server.serve(this._services(), this._handlers());
	}

	dispose(): void {
		this._peers?.dispose();
		this._server.dispose();
	}

	private _services() {
		const {clock, log, metrics, invariants} = this._access;
		const self = this._self;
		const membership: Membership = {
			self,
			onChange: () => ({dispose: ignore}),
			hosts: () => [self],
			host: () => undefined,
			homeOf: () => undefined,
			reportReachability: ignore,
			learn: ignore,
			leave: ignore,
		};
		return {
			clock, log, metrics, invariants, membership,
		};
	}

	private _handlers(): PeerHandlers {
		const {history} = this._access;
		return {
			executor: {
				async execute() {
					return Left(new Refusal('endpointUnavailable', 'there is no endpoint here'));
				},
				release: ignore,
			},
			groupView: group => ({
				group, term: 0, primary: '', instances: [],
			}),
			probe: () => ({host: this._self, configurationVersion: history.version}),
			onPrimaryAnnounced: ignore,
			changesAfter: afterNumber => history.changesAfter(afterNumber),
			onVersionAnnounced: ignore,
			async handOver() {
				// Nothing is served here.
			},
			onLeavingAnnounced: ignore,
			onPeerLost: ignore,
		};
	}
}
