/**
 * The answering side of one link: runs what the peer asks and answers it.
 */
import type {ServerDuplexStream} from '@grpc/grpc-js';
import {Left, type Either} from 'purify-ts';
import {Refusal} from '../../common/errors/error-kinds.js';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import type {HomeEnd, Host, PeerHandlers} from '../../common/services/services.js';
import type {
	Batch, Envelope, Execute, ExecutePart, Hello,
} from './generated/quetzalstream/peer.js';
import {handleBody, type BodyHandlers} from './body-handlers.js';
import {joinFrames} from './frames.js';
import {LinkWriter} from './link-writer.js';
import {Liveness, type LivenessSubject} from './liveness.js';
import {
	fromExecute, fromHost, toGroupView, toRefused,
} from './message-conversion.js';
import {ServedAnswer} from './served-answer.js';
import type {
	Body, BodyKind, BodyOf, PeerOptions, PeerServices,
} from './types.js';

/** A request that runs here, or whose parts still arrive. */
type Served = {
	readonly controller: AbortController;
	readonly answer: ServedAnswer;
	/** The parts so far; undefined once the request is whole. */
	parts: {readonly execute: Execute; readonly pieces: Uint8Array[]; sizeBytes: number} | undefined;
};

/** What the server does around its links. */
export type LinkOwner = {
	readonly services: PeerServices;
	readonly handlers: PeerHandlers;
	readonly options: PeerOptions;
	/** The peer has greeted: earlier links of it are over. */
	onGreeted(link: ServedLink): void;
	onEnded(link: ServedLink): void;
};

function ignore(): void {
	// Deliberately empty.
}

/** One link from one peer. */
export class ServedLink implements LivenessSubject, Disposable {
	private _peer: Host | undefined;
	private readonly _served = new Map<number, Served>();
	private readonly _writer: LinkWriter;
	private readonly _liveness: Liveness;
	private _windowBytes: number;
	private _partsBytes = 0;
	private _isEnded = false;
	private readonly _services: PeerServices;
	private readonly _handlers: PeerHandlers;
	private readonly _options: PeerOptions;
	private readonly _receivers: BodyHandlers = {
		hello: hello => {
			this._onHello(hello);
		},
		execute: (execute, id) => {
			this._onExecute(id, execute);
		},
		executePart: (part, id) => {
			this._onExecutePart(id, part);
		},
		cancel: (_value, id) => {
			this._onCancel(id);
		},
		windowUpdate: ({bytes}, id) => {
			this._served.get(id)?.answer.addCredit(bytes);
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
			void this._answer(id, () => ({$case: 'changesAnswer', value: toChanges(this._handlers.changesAfter(afterNumber))}));
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
			this._handlers.onVersionAnnounced(this._peer?.name ?? '', version);
		},
		leavingAnnounced: () => {
			this._handlers.onLeavingAnnounced(this._peer?.name ?? '');
		},
	};

	constructor(
		private readonly _stream: ServerDuplexStream<Batch, Batch>,
		private readonly _owner: LinkOwner,
	) {
		this._services = _owner.services;
		this._handlers = _owner.handlers;
		this._options = _owner.options;
		this._windowBytes = this._options.windowBytes;
		this._writer = new LinkWriter(this._options);
		this._liveness = new Liveness(this._services.clock, this, {
			tickMs: this._options.livenessTickMs,
			maximumSilentTicks: this._options.servedSilentTicks,
		});
	}

	/** The peer, once it has greeted. */
	get peer(): Host | undefined {
		return this._peer;
	}

	get isBusy(): boolean {
		return this._served.size > 0;
	}

	/** The task of this link, from the greeting to the end. */
	async run(): Promise<void> {
		// The loop below hears of errors too; this listener only keeps late ones from being thrown.
		this._stream.on('error', ignore);
		this._stream.on('cancelled', () => {
			this.dispose();
		});
		this._stream.on('drain', () => {
			this._writer.drained();
		});
		try {
			for await (const batch of this._stream as AsyncIterable<Batch>) {
				this._liveness.received();
				for (const envelope of batch.envelopes) {
					this._receive(envelope);
				}
			}
		} catch (error) {
			this._services.log.event('peerLinkFailed', {peer: this._peer?.name, detail: String(error)});
		}

		this.dispose();
	}

	onTick(): void {
		// The asker pings; this side only listens.
	}

	onSilent(): void {
		this._services.metrics.count('peerSilencesTotal');
		this.dispose();
	}

	/** Asks the peer to close the link once nothing is in progress on it. */
	close(): void {
		this._writer.send(0, {$case: 'closing', value: {}});
	}

	/** Ends the link and everything that runs for it. */
	dispose(): void {
		if (this._isEnded) {
			return;
		}

		this._isEnded = true;
		this._liveness.dispose();
		this._writer.stop();
		for (const served of this._served.values()) {
			served.answer.close();
			served.controller.abort();
		}

		this._served.clear();
		this._stream.end();
		this._owner.onEnded(this);
	}

	private _receive({requestId, body}: Envelope): void {
		if (!body || this._isEnded) {
			return;
		}

		if (!this._peer && body.$case !== 'hello') {
			this.dispose();
			return;
		}

		handleBody(this._receivers, body, requestId);
	}

	private _onHello(hello: Hello): void {
		const peer = fromHost(hello.host);
		if (!peer || this._peer) {
			this.dispose();
			return;
		}

		this._peer = peer;
		this._windowBytes = Math.min(hello.windowBytes, this._options.windowBytes);
		this._owner.onGreeted(this);
		this._services.membership.learn(peer);
		this._writer.send(0, {
			$case: 'hello',
			value: {
				host: this._services.membership.self,
				windowBytes: this._options.windowBytes,
				maximumInProgress: this._options.maximumInProgress,
			},
		});
		this._writer.start(this._stream);
	}

	private _onExecute(id: number, execute: Execute): void {
		if (this._served.size >= this._options.maximumInProgress) {
			this._refuse(id, new Refusal('overloaded', 'too many requests of one peer'));
			return;
		}

		const answer = new ServedAnswer({
			requestId: id,
			writer: this._writer,
			windowBytes: this._windowBytes,
			partBytes: this._options.partBytes,
			onSent: () => {
				this._served.delete(id);
			},
		});
		const served: Served = {controller: new AbortController(), answer, parts: undefined};
		this._served.set(id, served);
		this._liveness.watch();
		if (execute.hasMore) {
			served.parts = {execute, pieces: [], sizeBytes: 0};
			this._addPart(id, served, execute.frames);
		} else {
			void this._run(execute, execute.frames, served);
		}
	}

	private _onExecutePart(id: number, part: ExecutePart): void {
		const served = this._served.get(id);
		if (!served?.parts || !this._addPart(id, served, part.frames) || part.hasMore) {
			return;
		}

		const {execute, pieces, sizeBytes} = served.parts;
		this._dropParts(served);
		void this._run(execute, joinFrames(pieces, sizeBytes), served);
	}

	/** Keeps a part; false when the request was refused because it grew too large. */
	private _addPart(id: number, served: Served, piece: Uint8Array): boolean {
		const parts = served.parts!;
		parts.pieces.push(piece);
		parts.sizeBytes += piece.length;
		this._partsBytes += piece.length;
		if (this._partsBytes <= this._options.maximumFramesBytes) {
			return true;
		}

		this._dropParts(served);
		this._served.delete(id);
		this._refuse(id, new Refusal('overloaded', 'too many bytes of unfinished requests'));
		return false;
	}

	private _dropParts(served: Served): void {
		this._partsBytes -= served.parts?.sizeBytes ?? 0;
		served.parts = undefined;
	}

	private _onCancel(id: number): void {
		const served = this._served.get(id);
		if (!served) {
			return;
		}

		if (served.parts) {
			// It has not begun, and now it never will.
			this._dropParts(served);
			served.answer.end(Left(new Refusal('cancelled')));
			return;
		}

		served.controller.abort();
	}

	private async _run(execute: Execute, frames: Uint8Array, served: Served): Promise<void> {
		served.answer.end(await this._execute(execute, frames, served));
	}

	private async _execute(execute: Execute, frames: Uint8Array, {answer, controller}: Served): Promise<Either<Refusal, HomeEnd>> {
		try {
			return await this._handlers.executor.execute(fromExecute(execute, frames), answer, controller.signal);
		} catch (error) {
			this._services.log.event('peerHandlerFailed', {peer: this._peer?.name, detail: String(error)});
			return Left(new Refusal('invariantViolated', 'the request failed on the peer'));
		}
	}

	private async _answer(id: number, produce: () => Body | Promise<Body>): Promise<void> {
		try {
			this._writer.send(id, await produce());
		} catch (error) {
			this._services.log.event('peerHandlerFailed', {peer: this._peer?.name, detail: String(error)});
			this._refuse(id, new Refusal('peerUnavailable', 'the peer could not answer'));
		}
	}

	private _refuse(id: number, refusal: Refusal): void {
		this._writer.send(id, {$case: 'refused', value: toRefused(refusal)});
	}
}

function toChanges(batch: ReturnType<PeerHandlers['changesAfter']>): BodyOf<'changesAnswer'>['value'] {
	return {...batch, changes: [...batch.changes]};
}
