/**
 * The primary's side of one replication stream: chooses what to send to the follower.
 */
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import type {Clock} from '../../src/common/services/services.js';
import type {Database} from './store/database.js';
import type {ReplicatedLog} from './store/replicated-log.js';
import {entriesPerMessage} from './constants.js';
import type {
	Snapshot, StreamMessage, StreamRequest, StreamSink,
} from './types.js';

/** Options of one stream. */
export type FeedOptions = {
	readonly term: number;
	readonly heartbeatMs: number;
	readonly request: StreamRequest;
};

/** The content that is replicated. */
export type FeedContent = {
	readonly log: ReplicatedLog;
	readonly database: Database;
};

/** Sends the log to one follower as fast as its sink accepts messages. */
export class ReplicationFeed implements Disposable {
	readonly follower: string;
	private readonly _term: number;
	private readonly _log: ReplicatedLog;
	private readonly _database: Database;
	private readonly _sink: StreamSink;
	private readonly _clock: Clock;
	private readonly _heartbeatMs: number;
	private _sentOffset = 0;
	private _isBlocked = false;
	private _isEnded = false;
	private _heartbeatTimer: Disposable | undefined;
	private _hasSentSinceTimer = false;

	constructor(options: FeedOptions, content: FeedContent, sink: StreamSink, clock: Clock) {
		this.follower = options.request.follower;
		this._term = options.term;
		this._heartbeatMs = options.heartbeatMs;
		this._log = content.log;
		this._database = content.database;
		this._sink = sink;
		this._clock = clock;
		this._start(options.request);
		this._armHeartbeat();
		this.sendPending();
	}

	/** Sends the entries that were not sent yet, unless the sink applies backpressure. */
	sendPending(): void {
		while (!this._isBlocked && !this._isEnded && this._sentOffset < this._log.end.offset) {
			if (this._sentOffset < this._log.droppedOffset) {
				this.end('the follower needs entries that the log no longer keeps');
				return;
			}

			const entries = this._log.entriesAfter(this._sentOffset, entriesPerMessage);
			this._sentOffset += entries.length;
			this._push({kind: 'entries', term: this._term, entries});
		}
	}

	/** Ends the stream from the primary's side. */
	end(reason: string): void {
		if (!this._isEnded) {
			this.dispose();
			this._sink.end(reason);
		}
	}

	dispose(): void {
		this._isEnded = true;
		this._heartbeatTimer?.dispose();
	}

	private _start(request: StreamRequest): void {
		const sharedOffset = this._log.sharedOffset(request);
		const isTooOld = sharedOffset < Math.max(this._log.droppedOffset, request.droppedOffset);
		const snapshot = isTooOld ? this._snapshot() : undefined;
		const keptOffset = snapshot ? snapshot.position.offset : sharedOffset;
		this._sentOffset = keptOffset;
		this._push({
			kind: 'start', term: this._term, keptOffset, end: this._log.end, snapshot,
		});
	}

	private _snapshot(): Snapshot {
		return {position: this._log.end, terms: [...this._log.terms], changes: this._database.snapshot()};
	}

	private _push(message: StreamMessage): void {
		this._hasSentSinceTimer = true;
		const pushed = this._sink.push(message);
		if (pushed) {
			this._isBlocked = true;
			void this._unblock(pushed);
		}
	}

	private async _unblock(pushed: Promise<void>): Promise<void> {
		await pushed;
		this._isBlocked = false;
		this.sendPending();
	}

	private _armHeartbeat(): void {
		this._heartbeatTimer = this._clock.setTimer(this._heartbeatMs, () => {
			if (!this._hasSentSinceTimer && !this._isBlocked) {
				this._push({kind: 'alive', term: this._term});
			}

			this._hasSentSinceTimer = false;
			this._armHeartbeat();
		});
	}
}
