/**
 * The serving side of all links to this node.
 */
import {Server, status, type ServerDuplexStream} from '@grpc/grpc-js';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import type {PeerHandlers} from '../../common/services/services.js';
import {loopbackPattern, peerDefaults} from './constants.js';
import type {Batch} from './generated/quetzalstream/peer.js';
import {channelOptions, linkService, serverCredentials} from './link-definition.js';
import {ServedLink, type ServedLinkContext} from './served-link.js';
import type {PeerOptions, PeerServices, PeerTls} from './types.js';

/** Accepts links from peers and passes their requests to the node's handlers. */
export class PeerServer implements Disposable {
	private readonly _options: PeerOptions;
	private readonly _server: Server;
	private readonly _links = new Set<ServedLink>();
	private _linkContext: ServedLinkContext | undefined;
	private _isDraining = false;
	private _onLastEnded: (() => void) | undefined;

	constructor(
		options: Partial<PeerOptions> = {},
		private readonly _tls?: PeerTls,
	) {
		this._options = {...peerDefaults, ...options};
		this._server = new Server(channelOptions(this._options, _tls));
		this._server.addService(linkService, {
			link: (stream: ServerDuplexStream<Batch, Batch>) => {
				this._accept(stream);
			},
		});
	}

	/** Starts to listen and resolves with the port; port 0 selects a free one. Rejects if the address cannot be bound. */
	async listen(host: string, port: number): Promise<number> {
		const address = host.includes(':') ? `[${host}]` : host;
		return new Promise((resolve, reject) => {
			this._server.bindAsync(`${address}:${port}`, serverCredentials(this._tls), (error, boundPort) => {
				if (error) {
					reject(error);
				} else {
					resolve(boundPort);
				}
			});
		});
	}

	/** Starts to serve links; links that arrive before this call are refused as unavailable. */
	serve(services: PeerServices, handlers: PeerHandlers): void {
		this._linkContext = {
			services,
			handlers,
			options: this._options,
			onHandshake: link => {
				this._onHandshake(link);
			},
			onEnded: link => {
				this._onEnded(link);
			},
		};
		if (!this._tls && !loopbackPattern.test(services.membership.self.peerHost)) {
			services.log.event('peerLinksUnencrypted', {peerHost: services.membership.self.peerHost});
		}
	}

	/** Refuses new links and asks peers to close theirs once nothing is in progress; waits at most `boundMs` for that. */
	async drain(boundMs: number): Promise<void> {
		this._isDraining = true;
		for (const link of this._links) {
			link.close();
		}

		if (this._links.size > 0) {
			await this._waitForLinksToEnd(boundMs);
		}
	}

	dispose(): void {
		for (const link of this._links) {
			link.dispose();
		}

		this._server.forceShutdown();
	}

	private _onHandshake(link: ServedLink): void {
		// A peer opens one link at a time, so an older link of it is lost, even if the loss was not detected yet.
		for (const other of [...this._links].filter(other => other !== link && other.peer?.name === link.peer?.name)) {
			other.dispose();
		}
	}

	private _onEnded(link: ServedLink): void {
		this._links.delete(link);
		if (link.peer) {
			this._linkContext?.handlers.onPeerLost(link.peer.name);
		}

		if (this._links.size === 0) {
			this._onLastEnded?.();
		}
	}

	private async _waitForLinksToEnd(boundMs: number): Promise<void> {
		return new Promise(resolve => {
			const bound = this._linkContext?.services.clock.setTimer(boundMs, resolve);
			this._onLastEnded = () => {
				bound?.dispose();
				resolve();
			};
		});
	}

	private _accept(stream: ServerDuplexStream<Batch, Batch>): void {
		if (!this._linkContext || this._isDraining) {
			stream.emit('error', {code: status.UNAVAILABLE, details: 'not ready'});
			return;
		}

		const link = new ServedLink(stream, this._linkContext);
		this._links.add(link);
		void link.run();
	}
}
