/**
 * One instance of a database group: log, term promise, role and replication.
 *
 * It uses no API of the platform: time comes only from the clock and randomness only from the random source,
 * so that a whole group can run in one process on a virtual clock.
 */
import {toDisposable, type Disposable} from '../../src/common/lifecycle/disposable.js';
import {Emitter, type Event} from '../../src/common/lifecycle/emitter.js';
import type {LogPosition} from '../../src/common/positions/log-position.js';
import type {
	Clock, InstanceRole, InstanceState, Random, TermClaim,
} from '../../src/common/services/services.js';
import {noop} from './noop.js';
import {Attachment} from './attachment.js';
import {InstanceContent} from './instance-content.js';
import {LagSampler} from './lag-sampler.js';
import {ReplicationFeed} from './replication-feed.js';
import {ReplicationLink} from './replication-link.js';
import type {Database} from './store/database.js';
import type {
	Change, InstanceOptions, LagDistribution, PrimaryAddress, ReplicationConnector, StreamMessage, StreamRequest, StreamSink, TermPromise,
} from './types.js';

/** One instance, without listeners and SQL. */
export class Instance implements Disposable {
	readonly name: string;
	readonly attachment = new Attachment();
	/** Fires with the new state when any part of it has changed. */
	readonly onState: Event<InstanceState>;
	/** Fires with a new term promise; listeners must store it synchronously, before any response is sent. */
	readonly onTermPromised: Event<TermPromise>;
	/** Fires when the instance stops being primary; open write transactions must end. */
	readonly onStepDown: Event<void>;
	private readonly _options: InstanceOptions;
	private readonly _clock: Clock;
	private readonly _lag: LagSampler;
	private readonly _connector: ReplicationConnector;
	private readonly _content: InstanceContent;
	private readonly _feeds = new Set<ReplicationFeed>();
	private readonly _onState = new Emitter<InstanceState>();
	private readonly _onTermPromised = new Emitter<TermPromise>();
	private readonly _onStepDown = new Emitter<void>();
	private _role: InstanceRole;
	private _termPromise: TermPromise;
	/** Last term in which the instance followed a primary; it can no longer be promoted in that term. */
	private _followedTerm = 0;
	/** Offset up to which a rebuilding instance must receive the log before it becomes a replica. */
	private _rebuiltOffset: number | undefined;
	private _link: ReplicationLink | undefined;

	constructor(options: InstanceOptions, clock: Clock, random: Random, connector: ReplicationConnector) {
		this.name = options.name;
		this.onState = this._onState.event;
		this.onTermPromised = this._onTermPromised.event;
		this.onStepDown = this._onStepDown.event;
		this._lag = new LagSampler(options.lag, clock, random);
		this._options = options;
		this._clock = clock;
		this._connector = connector;
		this._content = new InstanceContent(options.logEntriesKept, clock, () => {
			this._fireState();
		});
		this._role = options.start === 'restart' ? 'rebuilding' : options.start;
		this._termPromise = options.promise ?? {term: options.start === 'restart' ? 0 : 1, claimId: ''};
	}

	/** Distribution of the delay between receiving and applying entries. */
	get lag(): LagDistribution {
		return this._lag.distribution;
	}

	set lag(distribution: LagDistribution) {
		this._lag.distribution = distribution;
	}

	get role(): InstanceRole {
		return this._role;
	}

	get isPrimary(): boolean {
		return this._role === 'primary';
	}

	/** The tables with every applied entry, which is what reads see. */
	get database(): Database {
		return this._content.database;
	}

	/** Position up to which entries are applied. */
	get applied(): LogPosition {
		return this._content.applied;
	}

	/** Position of the last entry in the log. */
	get received(): LogPosition {
		return this._content.log.end;
	}

	get state(): InstanceState {
		return {
			role: this._role,
			promisedTerm: this._termPromise.term,
			claimId: this._termPromise.claimId,
			received: this.received,
			applied: this.applied,
			isStreaming: this.isPrimary || (this._link?.isStreaming ?? false),
		};
	}

	/** Names of the instances that follow this one. */
	get followers(): readonly string[] {
		return [...this._feeds].map(feed => feed.follower);
	}

	/** Starts the instance. This is not part of the constructor so that listeners can be added first. */
	start(): void {
		this._onTermPromised.fire(this._termPromise);
		if (this.isPrimary) {
			this._appendTermStart();
		} else if (this._options.start === 'replica' && this._options.initialPrimary) {
			this._connect(this._termPromise.term, this._options.initialPrimary);
		}

		this._fireState();
	}

	/** Promises not to take part in any lower term. Accepted if the term is higher than the promised one, or the same with the same claim. */
	raiseTerm(term: number, claimId: string): TermClaim {
		const isHigher = term > this._termPromise.term;
		const isSame = term === this._termPromise.term && claimId === this._termPromise.claimId;
		if (this._role === 'rebuilding' || claimId === '' || !(isHigher || isSame)) {
			return this._termClaim(false);
		}

		if (isHigher) {
			this._setTermPromise({term, claimId});
			this._disconnect();
			this._stepDown('a higher term was promised');
			this._fireState();
		}

		return this._termClaim(true);
	}

	/** Becomes primary of a term; accepted only if that term was promised to this claim. */
	promote(term: number, claimId: string): TermClaim {
		const isPromised = claimId !== '' && term === this._termPromise.term && claimId === this._termPromise.claimId;
		if (this._role === 'rebuilding' || !isPromised || this._followedTerm === term) {
			return this._termClaim(false);
		}

		if (!this.isPrimary) {
			this._disconnect();
			this._content.applyAll();
			this._role = 'primary';
			this._appendTermStart();
			this._fireState();
		}

		return this._termClaim(true);
	}

	/** Follows the primary of a term; refused if a higher term was promised, or if this instance is the primary of that term. */
	follow(term: number, primary: PrimaryAddress): TermClaim {
		const isOwnTerm = this.isPrimary && term === this._termPromise.term;
		if (term < this._termPromise.term || isOwnTerm) {
			return this._termClaim(false);
		}

		if (term > this._termPromise.term) {
			this._setTermPromise({term, claimId: ''});
		}

		this._stepDown('the instance now follows another primary');
		const isFollowing = this._link?.term === term && this._link.primary.host === primary.host && this._link.primary.port === primary.port;
		if (!isFollowing) {
			this._connect(term, primary);
		}

		this._fireState();
		return this._termClaim(true);
	}

	/** Appends one transaction to the log and returns its position; undefined if this instance is not the primary. */
	append(changes: readonly Change[]): LogPosition | undefined {
		if (!this.isPrimary) {
			return undefined;
		}

		const position = this._content.appendOwn(this._termPromise.term, changes);
		for (const feed of this._feeds) {
			feed.sendPending();
		}

		this._fireState();
		return position;
	}

	/** Streams the log to a follower until either side ends the stream. The stream ends at once if this instance is not the primary of the requested term. */
	serve(request: StreamRequest, sink: StreamSink): Disposable {
		if (!this.isPrimary || request.term !== this._termPromise.term) {
			sink.end(`not the primary of term ${request.term}`);
			return toDisposable(noop);
		}

		const feed = new ReplicationFeed({term: this._termPromise.term, heartbeatMs: this._options.streamAliveMs, request}, this._content, sink, this._clock);
		this._feeds.add(feed);
		return {
			dispose: () => {
				feed.dispose();
				this._feeds.delete(feed);
			},
		};
	}

	dispose(): void {
		this._disconnect();
		this._endFeeds('the instance was disposed');
		this._content.dispose();
		this._onState.dispose();
		this._onTermPromised.dispose();
		this._onStepDown.dispose();
	}

	private _termClaim(isAccepted: boolean): TermClaim {
		return {isAccepted, state: this.state};
	}

	private _setTermPromise(promise: TermPromise): void {
		this._termPromise = promise;
		this._onTermPromised.fire(promise);
	}

	private _appendTermStart(): void {
		this.append([]);
	}

	private _stepDown(reason: string): void {
		if (this.isPrimary) {
			this._role = 'replica';
			this._endFeeds(reason);
			this._onStepDown.fire();
		}
	}

	private _endFeeds(reason: string): void {
		for (const feed of this._feeds) {
			feed.end(reason);
		}

		this._feeds.clear();
	}

	private _connect(term: number, primary: PrimaryAddress): void {
		this._disconnect();
		this._followedTerm = term;
		const link = new ReplicationLink({term, primary, timing: this._options}, this._connector, {
			request: () => this._streamRequest(term),
			receive: message => {
				this._receive(message);
			},
			onStreamingChange: () => {
				this._fireState();
			},
		}, this._clock);
		this._link = link;
		link.open();
	}

	private _streamRequest(term: number): StreamRequest {
		const {terms, end, droppedOffset} = this._content.log;
		return {
			follower: this.name, term, terms: [...terms], end, droppedOffset,
		};
	}

	private _disconnect(): void {
		this._link?.dispose();
		this._link = undefined;
	}

	private _receive(message: StreamMessage): void {
		if (message.kind === 'start') {
			this._content.join(message);
			this._rebuiltOffset = this._role === 'rebuilding' ? message.end.offset : undefined;
		} else if (message.kind === 'entries') {
			this._content.receive(message.entries, this._lag.currentMs());
		}

		if (this._rebuiltOffset !== undefined && this.received.offset >= this._rebuiltOffset) {
			this._rebuiltOffset = undefined;
			this._role = 'replica';
		}

		this._fireState();
	}

	private _fireState(): void {
		this._onState.fire(this.state);
	}
}
