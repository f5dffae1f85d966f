/**
 * The log of a fake instance, its streams to followers and its stream from a primary.
 */
import type {LogPosition} from '../../positions/log-position.js';
import type {FakeInstance} from './fake-instance.js';
import {FakeConnection} from './fake-network.js';

/** An entry of the log; the id is unique within a test. */
export type FakeEntry = {readonly term: number; readonly id: number};

type Stream = {readonly follower: FakeReplication; readonly connection: FakeConnection};

type Link = {
	readonly term: number;
	readonly primary: FakeInstance;
	connection: FakeConnection | undefined;
	lastHeardMs: number;
};

const streamSilenceMs = 700;
const streamRetryMs = 100;

/** The replication of one instance. */
export class FakeReplication {
	readonly log: FakeEntry[] = [];
	isStreaming = false;
	/** Delay between receiving and applying an entry, in milliseconds. */
	lagMs = 0;

	private readonly _instance: FakeInstance;
	private readonly _streams = new Set<Stream>();
	private _link: Link | undefined;
	private _appliedOffset = 0;
	/** Offset at which a rebuilding instance holds the whole log again. */
	private _rebuiltOffset = 0;

	constructor(instance: FakeInstance) {
		this._instance = instance;
	}

	get received(): LogPosition {
		return this._positionAt(this.log.length);
	}

	get applied(): LogPosition {
		return this._positionAt(this._appliedOffset);
	}

	/** On a primary: appends an entry and sends it to the followers. */
	append(entry: FakeEntry): void {
		this.log.push(entry);
		this._appliedOffset = this.log.length;
		for (const stream of this._streams) {
			this._send(stream, entry);
		}
	}

	/** Follows a primary in a term; does nothing if it does so already. */
	link(term: number, primary: FakeInstance): void {
		if (this._link?.term === term && this._link.primary === primary) {
			return;
		}

		this.unlink();
		this._link = {
			term, primary, connection: undefined, lastHeardMs: 0,
		};
		this._openStream(this._link);
	}

	/** Stops following a primary. */
	unlink(): void {
		this._link?.connection?.close();
		this._link = undefined;
		this.isStreaming = false;
	}

	/** Clears the log, as if the data of the instance were lost. */
	clearLog(): void {
		this.log.length = 0;
		this._appliedOffset = 0;
	}

	/** On a primary: sends a heartbeat on each stream. On a follower: closes a stream that is silent for too long. */
	heartbeat(): void {
		for (const {follower, connection} of this._streams) {
			connection.sendToA(() => {
				follower._recordContact(connection);
			});
		}

		const link = this._link;
		if (link?.connection && this._instance.process.nowMs() - link.lastHeardMs >= streamSilenceMs) {
			this._loseStream(link.connection);
		}
	}

	/** On a primary: ends all streams; followers still receive the entries in flight, unless it crashed. */
	endStreams(isCrash: boolean): void {
		for (const {follower, connection} of this._streams) {
			const lose = (): void => {
				follower._loseStream(connection);
			};

			if (isCrash) {
				connection.resetToA(lose);
			} else {
				connection.sendToA(lose);
			}
		}

		this._streams.clear();
	}

	/** On a primary: streams the log to a follower, if this instance leads the term. */
	serve(stream: Stream, term: number, log: readonly FakeEntry[]): void {
		const {follower, connection} = stream;
		if (connection.b.isDead || this._instance.role !== 'primary' || this._instance.promisedTerm !== term) {
			connection.sendToA(() => {
				follower._loseStream(connection);
			});
			return;
		}

		const shared = this.log.findIndex((entry, index) => log[index]?.id !== entry.id || log[index]?.term !== entry.term);
		const kept = shared === -1 ? this.log.length : shared;
		const end = this.log.length;
		this._streams.add(stream);
		connection.sendToA(() => {
			follower.begin(connection, kept, end);
		});
		for (const entry of this.log.slice(kept)) {
			this._send(stream, entry);
		}
	}

	/** On a follower: begins a stream and drops the entries that the primary does not have. */
	begin(connection: FakeConnection, kept: number, end: number): void {
		if (this._recordContact(connection)) {
			this.log.length = Math.min(kept, this.log.length);
			this._appliedOffset = Math.min(this._appliedOffset, kept);
			this.isStreaming = true;
			this._rebuiltOffset = end;
			this._finishRebuild();
			this._instance.changed();
		}
	}

	/** On a follower: appends an entry that arrived, and applies it after `lagMs`. */
	receive(connection: FakeConnection, entry: FakeEntry): void {
		if (!this._recordContact(connection)) {
			return;
		}

		this.log.push(entry);
		this._finishRebuild();
		const offset = this.log.length;
		this._instance.process.setTimer(this.lagMs, () => {
			if (this.log[offset - 1] === entry) {
				this._appliedOffset = Math.max(this._appliedOffset, offset);
				this._instance.changed();
			}
		});
		this._instance.changed();
	}

	private _openStream(link: Link): void {
		const {primary, term} = link;
		const connection = new FakeConnection(this._instance.group.network, this._instance.process, primary.process);
		link.connection = connection;
		link.lastHeardMs = this._instance.process.nowMs();
		const log = [...this.log];
		connection.sendToB(() => {
			primary.replication.serve({follower: this, connection}, term, log);
		});
	}

	private _send({follower, connection}: Stream, entry: FakeEntry): void {
		connection.sendToA(() => {
			follower.receive(connection, entry);
		});
	}

	private _recordContact(connection: FakeConnection): boolean {
		if (this._link?.connection !== connection) {
			return false;
		}

		this._link.lastHeardMs = this._instance.process.nowMs();
		return true;
	}

	private _finishRebuild(): void {
		if (this._instance.role === 'rebuilding' && this.log.length >= this._rebuiltOffset) {
			this._instance.role = 'replica';
		}
	}

	private _loseStream(connection: FakeConnection): void {
		const link = this._link;
		if (link?.connection !== connection) {
			return;
		}

		connection.close();
		link.connection = undefined;
		this.isStreaming = false;
		this._instance.changed();
		this._instance.process.setTimer(streamRetryMs, () => {
			if (this._link === link && !link.connection) {
				this._openStream(link);
			}
		});
	}

	private _positionAt(offset: number): LogPosition {
		return {term: this.log[offset - 1]?.term ?? 0, offset};
	}
}
