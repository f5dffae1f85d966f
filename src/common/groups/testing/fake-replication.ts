/**
 * The log of a fake instance, and its streams to followers and from a primary.
 */
import type {LogPosition} from '../../positions/log-position.js';
import type {FakeInstance} from './fake-instance.js';
import {FakeConnection} from './fake-network.js';

/** An entry of the log; the id is unique over the whole test. */
export type FakeEntry = {readonly term: number; readonly id: number};

type Stream = {readonly follower: FakeReplication; readonly connection: FakeConnection};

type Link = {
	readonly term: number;
	readonly primary: FakeInstance;
	connection: FakeConnection | undefined;
	heardMs: number;
};

const streamSilenceMs = 700;
const streamRetryMs = 100;

/** Replication as one instance sees it. */
export class FakeReplication {
	readonly log: FakeEntry[] = [];
	isStreaming = false;
	/** Delay between receiving and applying. */
	lagMs = 0;

	private readonly _instance: FakeInstance;
	private readonly _streams = new Set<Stream>();
	private _link: Link | undefined;
	private _appliedOffset = 0;
	/** Offset at which a rebuilding instance has the whole log. */
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

	/** Primary: adds an entry and sends it. */
	append(entry: FakeEntry): void {
		this.log.push(entry);
		this._appliedOffset = this.log.length;
		for (const stream of this._streams) {
			this._send(stream, entry);
		}
	}

	/** Follows a primary, unless it does so already. */
	link(term: number, primary: FakeInstance): void {
		if (this._link?.term === term && this._link.primary === primary) {
			return;
		}

		this.unlink();
		this._link = {
			term, primary, connection: undefined, heardMs: 0,
		};
		this._openStream(this._link);
	}

	/** Follows nobody. */
	unlink(): void {
		this._link?.connection?.close();
		this._link = undefined;
		this.isStreaming = false;
	}

	/** The log is gone. */
	clearLog(): void {
		this.log.length = 0;
		this._appliedOffset = 0;
	}

	/** Primary: says that it lives. Follower: gives a silent stream up. */
	heartbeat(): void {
		for (const {follower, connection} of this._streams) {
			connection.sendToA(() => {
				follower._hear(connection);
			});
		}

		const link = this._link;
		if (link?.connection && this._instance.process.nowMs() - link.heardMs >= streamSilenceMs) {
			this._loseStream(link.connection);
		}
	}

	/** Primary: followers get what was sent before a graceful end, but not before a crash. */
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

	/** Primary: streams the log to a follower, if it leads the term. */
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

	/** Follower: the stream begins; what the primary lacks is dropped. */
	begin(connection: FakeConnection, kept: number, end: number): void {
		if (this._hear(connection)) {
			this.log.length = Math.min(kept, this.log.length);
			this._appliedOffset = Math.min(this._appliedOffset, kept);
			this.isStreaming = true;
			this._rebuiltOffset = end;
			this._noteRebuilt();
			this._instance.changed();
		}
	}

	/** Follower: an entry arrived. */
	receive(connection: FakeConnection, entry: FakeEntry): void {
		if (!this._hear(connection)) {
			return;
		}

		this.log.push(entry);
		this._noteRebuilt();
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
		link.heardMs = this._instance.process.nowMs();
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

	private _hear(connection: FakeConnection): boolean {
		if (this._link?.connection !== connection) {
			return false;
		}

		this._link.heardMs = this._instance.process.nowMs();
		return true;
	}

	private _noteRebuilt(): void {
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
