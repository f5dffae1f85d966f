/**
 * The requesting side of all links of this node.
 */
import {Left, Right, type Either} from 'purify-ts';
import {Refusal} from '../../common/errors/error-kinds.js';
import type {
	AnswerSink,
	ChangeBatch,
	GroupView,
	HomeEnd,
	HomeExecutor,
	HomeRequest,
	Host,
	PeerProbe,
	Peers,
	PrimaryAnnouncement,
} from '../../common/services/services.js';
import {peerDefaults} from './constants.js';
import {fromGroupView, fromHost} from './message-conversion.js';
import {PeerLink, type LinkEnd} from './peer-link.js';
import type {
	Body, PeerOptions, PeerServices, PeerTls,
} from './types.js';

/** Backoff of a peer that could not be reached: requests to this address are refused until `untilMs`. */
type ReconnectBackoff = {
	readonly address: string;
	readonly untilMs: number;
	readonly delayMs: number;
};

/** Sends requests to peers over one link per peer, which is opened on demand. */
export class PeerLinks implements Peers {
	private readonly _links = new Map<string, PeerLink>();
	private readonly _backoffs = new Map<string, ReconnectBackoff>();
	private readonly _options: PeerOptions;
	private _isDisposed = false;

	constructor(
		private readonly _services: PeerServices,
		options: Partial<PeerOptions> = {},
		private readonly _tls?: PeerTls,
	) {
		this._options = {...peerDefaults, ...options};
	}

	executorOf(host: Host): HomeExecutor {
		return {
			execute: async (request, sink, signal) => this._execute(host, request, sink, signal),
			release: (group, endpoint, sessionId) => {
				// Without a link the peer holds nothing for the session: it released everything when the last link ended.
				this._links.get(host.name)?.release(group, endpoint, sessionId);
			},
		};
	}

	async groupView(host: Host, group: string, timeoutMs: number): Promise<Either<Refusal, GroupView>> {
		return this._withLink(host, async link => {
			const answer = await link.requestUnary({$case: 'groupViewAsk', value: {group}}, 'groupViewAnswer', timeoutMs);
			return answer.map(view => fromGroupView(view));
		});
	}

	async probe(host: Host, timeoutMs: number): Promise<Either<Refusal, PeerProbe>> {
		return this._withLink(host, async link => {
			const answer = await link.requestUnary({$case: 'probe', value: {}}, 'probeAnswer', timeoutMs);
			return answer.chain(probe => {
				const peer = fromHost(probe.host);
				return peer
					? Right({host: peer, configurationVersion: probe.configurationVersion})
					: Left(new Refusal('peerUnavailable', 'the probe answer does not name its host'));
			});
		});
	}

	announcePrimary(host: Host, announcement: PrimaryAnnouncement): void {
		this._announce(host, {$case: 'primaryAnnounced', value: announcement});
	}

	async fetchChanges(host: Host, afterNumber: number, timeoutMs: number): Promise<Either<Refusal, ChangeBatch>> {
		return this._withLink(host, async link => link.requestUnary({$case: 'changesAsk', value: {afterNumber}}, 'changesAnswer', timeoutMs));
	}

	announceVersion(host: Host, version: number): void {
		this._announce(host, {$case: 'versionAnnounced', value: {version}});
	}

	async handOver(host: Host, endpoint: string, timeoutMs: number): Promise<Either<Refusal, void>> {
		return this._withLink(host, async link => {
			const answer = await link.requestUnary({$case: 'handOver', value: {endpoint}}, 'handedOver', timeoutMs);
			return answer.map(() => undefined);
		});
	}

	announceLeaving(host: Host): void {
		this._announce(host, {$case: 'leavingAnnounced', value: {}});
	}

	dispose(): void {
		this._isDisposed = true;
		for (const link of this._links.values()) {
			link.dispose();
		}

		this._links.clear();
	}

	private async _execute(host: Host, request: HomeRequest, sink: AnswerSink, signal: AbortSignal): Promise<Either<Refusal, HomeEnd>> {
		return this._withLink(host, async link => link.execute({request, sink, signal}));
	}

	private async _withLink<T>(host: Host, use: (link: PeerLink) => Promise<Either<Refusal, T>>): Promise<Either<Refusal, T>> {
		return this._linkTo(host)
			.map(async link => use(link))
			.mapLeft(async refusal => Left<Refusal, T>(refusal))
			.extract();
	}

	private _announce(host: Host, body: Body): void {
		this._linkTo(host).ifRight(link => {
			link.announce(body);
		});
	}

	private _linkTo(host: Host): Either<Refusal, PeerLink> {
		const existing = this._links.get(host.name);
		if (existing && !this._hasAddressChanged(existing.peer, host)) {
			return Right(existing);
		}

		if (this._isDisposed) {
			return Left(new Refusal('peerUnavailable', 'this node is stopping'));
		}

		const pause = this._backoffs.get(host.name);
		const pauseLeftMs = pause?.address === addressOf(host) ? pause.untilMs - this._services.clock.nowMs() : 0;
		if (pauseLeftMs > 0) {
			return Left(new Refusal('peerUnavailable', `${host.name} could not be reached`, {retryAfterMs: pauseLeftMs}));
		}

		existing?.dispose();
		return Right(this._open(host));
	}

	/**
	 * Whether the host's address differs from that of the link. A description of another incarnation than the one
	 * that membership knows is ignored, since it may be from before the host's last start.
	 */
	private _hasAddressChanged(linked: Host, host: Host): boolean {
		if (linked.peerPort === host.peerPort && linked.peerHost === host.peerHost) {
			return false;
		}

		const known = this._services.membership.host(host.name);
		return !known || known.incarnation === host.incarnation;
	}

	private _open(host: Host): PeerLink {
		const link = new PeerLink(host, this._services, this._options, this._tls);
		link.onEnd(end => {
			this._onEnd(link, end);
		});
		this._links.set(host.name, link);
		this._services.metrics.gauge('peerLinksOpen', this._links.size);
		return link;
	}

	private _onEnd(link: PeerLink, end: LinkEnd): void {
		const {name} = link.peer;
		if (this._links.get(name) === link) {
			this._links.delete(name);
			this._services.metrics.gauge('peerLinksOpen', this._links.size);
		}

		if (end === 'notOpened') {
			this._extendBackoff(link.peer);
		} else {
			this._backoffs.delete(name);
		}
	}

	/** Starts or doubles the backoff of a peer, so that not every request waits for a peer that does not answer. */
	private _extendBackoff(peer: Host): void {
		const previous = this._backoffs.get(peer.name);
		const delayMs = previous
			? Math.min(previous.delayMs * 2, this._options.maximumReopenDelayMs)
			: this._options.firstReopenDelayMs;
		this._backoffs.set(peer.name, {address: addressOf(peer), delayMs, untilMs: this._services.clock.nowMs() + delayMs});
	}
}

function addressOf(host: Host): string {
	return `${host.peerHost}:${host.peerPort}`;
}
