/**
 * One host of the crowd: answers links as a node does, without being one.
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
	// Nothing follows from it here.
}

/** Listens under the name of one host. */
export class CrowdHost implements Disposable {
	private readonly _access: PlatformAccess;
	private readonly _place: FleetHost;
	private readonly _server = new PeerServer();
	private _peers: Peers | undefined;
	private _self: Host;

	constructor(place: FleetHost, access: PlatformAccess) {
		this._place = place;
		this._access = access;
		this._self = hostOf(place);
	}

	get host(): Host {
		return this._self;
	}

	/** Links of this host, made when they are first needed. */
	get peers(): Peers {
		this._peers ??= new PeerLinks(this._services());
		return this._peers;
	}

	/** Begins to listen on a free port. */
	async start(): Promise<void> {
		const peerPort = await this._server.listen(address, 0);
		this._self = hostOf(this._place, {peerHost: address, peerPort});
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
