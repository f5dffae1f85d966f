/**
 * A network of limited bandwidth between nodes of the test cluster, on a virtual clock.
 *
 * Each node has one link, whose two directions forward segments in order of arrival. Each stream has
 * a limited number of bytes in transit, as TCP does, and sends its messages in order: a probe waits
 * behind all that was written to its stream before, as in the buffers of an operating system. A
 * message arrives when its last segment has.
 */
import {EventEmitter} from 'node:events';
import {Right} from 'purify-ts';
import type {Clock} from '../../../src/common/services/services.js';
import type {AnswerStream, CallStream, LinkTransport} from '../../../src/node/direct-peers/types.js';
import {LinkAnswer, LinkCall} from '../../../src/node/peers/generated/quetzalstream/direct.js';

/** Bytes of headers for each message, of gRPC, HTTP/2, TCP and IP. */
const headerBytes = 80;

/** Maximum size of a segment: four packets. */
const segmentBytes = 5600;

/** Bytes of one direction of a stream that may be in transit: a usual initial receive window. */
const windowBytes = 65_536;

/** One way latency between nodes, in milliseconds. */
const latencyMs = 1;

/** One direction of a node's link. */
type Pipe = {busyUntilMs: number};

type NodeLink = {
	readonly up: Pipe;
	readonly down: Pipe;
	readonly bytesPerMs: number;
	readonly accept: (stream: AnswerStream) => void;
};

/** One direction of a stream: sends messages in order, with a limited number of bytes in transit. */
class Flow {
	private readonly _sendSegment: (bytes: number, arrive: () => void) => void;
	private readonly _queue: Array<{leftBytes: number; readonly deliver: () => void}> = [];
	private _inTransitBytes = 0;

	constructor(sendSegment: (bytes: number, arrive: () => void) => void) {
		this._sendSegment = sendSegment;
	}

	send(bytes: number, deliver: () => void): void {
		this._queue.push({leftBytes: bytes, deliver});
		this._fill();
	}

	private _fill(): void {
		while (this._queue.length > 0 && this._inTransitBytes < windowBytes) {
			const [message] = this._queue;
			const bytes = Math.min(message.leftBytes, segmentBytes);
			message.leftBytes -= bytes;
			this._inTransitBytes += bytes;
			const isLast = message.leftBytes === 0;
			if (isLast) {
				this._queue.shift();
			}

			this._sendSegment(bytes, () => {
				this._inTransitBytes -= bytes;
				if (isLast) {
					message.deliver();
				}

				this._fill();
			});
		}
	}
}

/** Traffic of a node. */
export type Traffic = {
	/** Bytes received of answers of other nodes that hold rows. */
	rowBytes: number;
	/** Bytes received from the store. */
	storeBytes: number;
	/** All bytes received. */
	bytes: number;
};

/** Forwards streams between nodes, and the answers of the store. */
export class LinkModel {
	/** Names of nodes that neither send nor receive; what they were sending is lost. */
	readonly lostNodes = new Set<string>();
	private readonly _clock: Clock;
	private readonly _bytesPerMsOf: (node: string) => number;
	private readonly _links = new Map<string, NodeLink>();
	private readonly _traffic = new Map<string, Traffic>();

	constructor(clock: Clock, bytesPerMsOf: (node: string) => number) {
		this._clock = clock;
		this._bytesPerMsOf = bytesPerMsOf;
	}

	/** Adds a node, or replaces it after a restart; `accept` receives the streams to it. */
	join(node: string, accept: (stream: AnswerStream) => void): void {
		this._links.set(node, {
			accept, up: {busyUntilMs: 0}, down: {busyUntilMs: 0}, bytesPerMs: this._bytesPerMsOf(node),
		});
	}

	/** Returns the traffic of a node, whose fields change on. */
	traffic(node: string): Traffic {
		const traffic = this._traffic.get(node) ?? {rowBytes: 0, storeBytes: 0, bytes: 0};
		this._traffic.set(node, traffic);
		return traffic;
	}

	/** Connects a node to another one. */
	connect(from: string, to: string): LinkTransport {
		return {
			waitUntilConnected: async () => Right(undefined),
			open: () => this._open(from, to),
			close() {
				// Streams are cancelled by themselves.
			},
		};
	}

	/** Forwards an answer of the store to a node over a connection of its own; resolves when it has arrived. */
	async receiveFromStore(node: string, bytes: number): Promise<void> {
		const link = this._links.get(node);
		if (!link) {
			return;
		}

		const flow = new Flow((size, arrive) => {
			this._passPipe(link, 'down', size, () => {
				this.traffic(node).bytes += size;
				this.traffic(node).storeBytes += size;
				arrive();
			});
		});
		await new Promise<void>(resolve => {
			flow.send(bytes + headerBytes, resolve);
		});
	}

	private _open(from: string, to: string): CallStream {
		const calling = new EventEmitter(); // eslint-disable-line unicorn/prefer-event-target -- the interface of gRPC's streams
		const answering = new EventEmitter(); // eslint-disable-line unicorn/prefer-event-target -- the interface of gRPC's streams
		let isOpen = true;
		const end = (): void => {
			isOpen = false;
			answering.emit('close');
		};

		const sendOver = (flow: Flow, size: number, deliver: () => void): void => {
			if (isOpen) {
				flow.send(size + headerBytes, () => {
					if (isOpen) {
						deliver();
					}
				});
			}
		};

		const calls = this._flow(from, to);
		const answers = this._flow(to, from);

		const answerStream = Object.assign(answering, {
			writable: true,
			writableNeedDrain: false,
			write: (encoded: Uint8Array) => {
				sendOver(answers, encoded.length, () => {
					const decoded = LinkAnswer.decode(encoded);
					this.traffic(from).rowBytes += decoded.answer?.$case === 'rows' || decoded.answer?.$case === 'rowsPart' ? encoded.length : 0;
					calling.emit('data', decoded);
				});
			},
			end,
		});
		const callStream = Object.assign(calling, {
			write(encoded: Uint8Array) {
				sendOver(calls, encoded.length, () => {
					answering.emit('data', LinkCall.decode(encoded));
				});
			},
			cancel: end,
		});
		this._links.get(to)?.accept(answerStream);
		return callStream;
	}

	private _flow(sender: string, receiver: string): Flow {
		return new Flow((bytes, arrive) => {
			const from = this._links.get(sender);
			if (!from) {
				return;
			}

			this._passPipe(from, 'up', bytes, () => {
				this._clock.setTimer(latencyMs, () => {
					const to = this._links.get(receiver);
					if (to && !this._isCut(sender, receiver)) {
						this._passPipe(to, 'down', bytes, () => {
							this.traffic(receiver).bytes += bytes;
							arrive();
						});
					}
				});
			});
		});
	}

	private _passPipe(link: NodeLink, direction: 'up' | 'down', bytes: number, pass: () => void): void {
		const nowMs = this._clock.nowMs();
		const pipe = link[direction];
		pipe.busyUntilMs = Math.max(nowMs, pipe.busyUntilMs) + (bytes / link.bytesPerMs);
		this._clock.setTimer(pipe.busyUntilMs - nowMs, pass);
	}

	private _isCut(sender: string, receiver: string): boolean {
		return this.lostNodes.has(sender) || this.lostNodes.has(receiver);
	}
}
