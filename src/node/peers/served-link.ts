/**
 * The serving side of one link: runs the requests of the peer and answers them.
 */
import type {ServerDuplexStream} from '@grpc/grpc-js';
import {Refusal} from '../../common/errors/error-kinds.js';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import type {Host, PeerHandlers} from '../../common/services/services.js';
import {handleBody, type BodyHandlers} from './body-handlers.js';
import type {Batch, Envelope, Hello} from './generated/quetzalstream/peer.js';
import {LinkWriter} from './link-writer.js';
import {LivenessMonitor, type MonitoredLink} from './liveness-monitor.js';
import {fromHost, toGroupView, toRefused} from './message-conversion.js';
import {ServedRequests} from './served-requests.js';
import type {Body, PeerOptions, PeerServices} from './types.js';

/** What the server provides to its links. */
export type ServedLinkContext = {
	readonly services: PeerServices;
	readonly handlers: PeerHandlers;
	readonly options: PeerOptions;
	/** Called when the peer's hello has arrived; earlier links of the same peer have to be disposed. */
	onHandshake(link: ServedLink): void;
	onEnded(link: ServedLink): void;
};

function ignore(): void {
	// Deliberately empty.
}

/** One link from one peer. */
export class ServedLink implements MonitoredLink, Disposable {
	private _peer: Host | undefined;
	private _isEnded = false;
	private readonly _requests: ServedRequests;
	private readonly _writer: LinkWriter;
	private readonly _liveness: LivenessMonitor;
	private readonly _bodyHandlers: BodyHandlers = {
		hello: hello => {
			this._onHello(hello);
		},
		execute: (execute, id) => {
			this._requests.execute(id, execute);
		},
		executePart: (part, id) => {
			this._requests.addPart(id, part);
		},
		cancel: (_value, id) => {
			this._requests.cancel(id);
		},
		windowUpdate: ({bytes}, id) => {
			this._requests.addCredit(id, bytes);
		},
		release: ({group, endpoint, sessionId}) => {
			this._handlers.executor.release(group, endpoint, sessionId);
		},
		ping: () => {
			this._writer.send(0, {$case: 'pong', value: {}});
		},
		groupViewAsk: ({group}, id) => {
			void this._answer(id, () => ({$case: 'groupViewAnswer', value: toGroupView(this._handlers.groupView(group))}));
		},
		probe: (_value, id) => {
			void this._answer(id, () => ({$case: 'probeAnswer', value: this._handlers.probe()}));
		},
		changesAsk: ({afterNumber}, id) => {
			void this._answer(id, () => {
				const batch = this._handlers.changesAfter(afterNumber);
				return {$case: 'changesAnswer', value: {...batch, changes: [...batch.changes]}};
			});
		},
		handOver: ({endpoint}, id) => {
			void this._answer(id, async () => {
				await this._handlers.handOver(endpoint);
				return {$case: 'handedOver', value: {}};
			});
		},
		primaryAnnounced: announcement => {
			this._handlers.onPrimaryAnnounced(announcement);
		},
		versionAnnounced: ({version}) => {
			this._handlers.onVersionAnnounced(this._peerName, version);
		},
		leavingAnnounced: () => {
			this._handlers.onLeavingAnnounced(this._peerName);
		},
	};

	constructor(
		private readonly _stream: ServerDuplexStream<Batch, Batch>,
		private readonly _context: ServedLinkContext,
	) {
		const {options, services, handlers} = _context;
		this._writer = new LinkWriter(options);
		this._liveness = new LivenessMonitor(services.clock, this, {
			tickMs: options.livenessTickMs,
			maximumSilentTicks: options.servedSilentTicks,
		});
		this._requests = new ServedRequests({
			writer: this._writer,
			executor: handlers.executor,
			options,
			findHost: name => services.membership.host(name),
			onBegin: () => {
				this._liveness.start();
			},
			onFailure: error => {
				this._logFailure(error);
			},
		});
	}

	/** The peer; undefined until its hello has arrived. */
	get peer(): Host | undefined {
		return this._peer;
	}

	get isBusy(): boolean {
		return this._requests.hasUncancelledRequests;
	}

	private get _peerName(): string {
		return this._peer?.name ?? '';
	}

	private get _handlers(): PeerHandlers {
		return this._context.handlers;
	}

	/** Runs the link from the handshake to its end. */
	async run(): Promise<void> {
		// The loop below gets the errors as well. This listener only keeps errors after the loop from being thrown
		// as unhandled.
		this._stream.on('error', ignore);
		this._stream.on('cancelled', () => {
			this.dispose();
		});
		this._stream.on('drain', () => {
			this._writer.onDrain();
		});
		try {
			for await (const batch of this._stream as AsyncIterable<Batch>) {
				this._liveness.received();
				for (const envelope of batch.envelopes) {
					this._receive(envelope);
				}
			}
		} catch (error) {
			this._context.services.log.event('peerLinkFailed', {peer: this._peer?.name, detail: String(error)});
		}

		this.dispose();
	}

	onTick(): void {
		// The requesting side sends the pings; this side only answers them.
	}

	onSilent(): void {
		this._context.services.metrics.count('peerSilencesTotal');
		this.dispose();
	}

	/** Asks the peer to close the link once nothing is in progress on it. */
	close(): void {
		this._writer.send(0, {$case: 'closing', value: {}});
	}

	/** Ends the link and aborts all requests that run for it. */
	dispose(): void {
		if (this._isEnded) {
			return;
		}

		this._isEnded = true;
		this._liveness.dispose();
		this._writer.stop();
		this._requests.close();
		this._stream.end();
		this._context.onEnded(this);
	}

	private _receive({requestId, body}: Envelope): void {
		if (!body || this._isEnded) {
			return;
		}

		if (!this._peer && body.$case !== 'hello') {
			this.dispose();
			return;
		}

		try {
			handleBody(this._bodyHandlers, body, requestId);
		} catch (error) {
			// The link carries other requests as well, so it is not ended.
			this._logFailure(error);
		}
	}

	private _onHello(hello: Hello): void {
		const peer = fromHost(hello.host);
		if (!peer || this._peer) {
			this.dispose();
			return;
		}

		const {options, services} = this._context;
		this._peer = peer;
		this._requests.windowBytes = hello.windowBytes;
		this._context.onHandshake(this);
		services.membership.learn(peer);
		this._writer.send(0, {
			$case: 'hello',
			value: {
				host: services.membership.self,
				windowBytes: options.windowBytes,
				maximumInProgress: options.maximumInProgress,
			},
		});
		this._writer.start(this._stream);
	}

	private async _answer(id: number, produce: () => Body | Promise<Body>): Promise<void> {
		try {
			this._writer.send(id, await produce());
		} catch (error) {
			this._logFailure(error);
			const refusal = new Refusal('peerUnavailable', 'the peer could not answer');
			this._writer.send(id, {$case: 'refused', value: toRefused(refusal)});
		}
	}

	private _logFailure(error: unknown): void {
		this._context.services.log.event('peerHandlerFailed', {peer: this._peer?.name, detail: String(error)});
	}
}
