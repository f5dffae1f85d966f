/**
 * A database group of the platform in memory: a primary, replicas that lag, terms, transactions
 * and slots. It behaves as the platform's published documentation says and assumes nothing else.
 */
import type {Clock} from '../../src/common/services/services.js';
import type {InstanceLoad} from './instance-load.js';
import {LineInstanceSession} from './line-instance-session.js';

type Entry = {
	readonly term: number;
	readonly items: ReadonlyMap<string, string>;
};

/** A write that took effect at a primary; times are those of the group's clock. */
export type CommittedWrite = {
	readonly id: string;
	readonly instance: string;
	readonly term: number;
	readonly atMs: number;
	/** Whether faults kept every replica from receiving it; a fence does not count as a fault. */
	readonly isUnreplicable: boolean;
};

/** A promotion that took effect. */
export type PromotionEffect = {
	readonly term: number;
	readonly instance: string;
	readonly atMs: number;
};

/** What an EXECUTE ran: the statement that the connection knew by the name, and the parameters. */
export type Execution = {
	readonly isWrite: boolean;
	readonly shape: string;
	readonly parameters: string;
};

/** A statement that an instance got for a caller, as `RanAsSent` compares it with what the caller sent. */
export type InstanceRun = {
	readonly id: string;
	/** The text without the prefix of a minimum position. */
	readonly text: string;
	/** Name of the connection. */
	readonly connection: string;
	/** Number of the connection's transaction that was open when the statement arrived. */
	readonly transaction: number | undefined;
	/** What an EXECUTE ran; undefined if the connection did not know its name. */
	readonly execution: Execution | undefined;
	/** Session values that the connection held. */
	readonly values: ReadonlyMap<string, string>;
	/** Code of the error; empty after a success. */
	readonly code: string;
};

/** One instance of the group. */
export class LineInstance {
	readonly id: string;
	readonly group: LineGroup;
	/** Entries that the instance has received. */
	log: Entry[] = [];
	/** Number of entries that are applied, and so visible to reads. */
	applied = 0;
	term: number;
	isPrimary: boolean;
	/** Term for which the replica is fenced, that is, receives nothing; 0 if it is not fenced. */
	fencedForTerm = 0;
	/** Whether the instance runs and answers. */
	isUp = true;
	/** Whether the instance receives nothing of what the primary writes. */
	isReplicationBlocked = false;
	/** Whether the instance does not learn of promotions of other instances. */
	missesPromotions = false;
	/** Whether neither other instances nor orders of the platform reach the instance. */
	isIsolated = false;
	lagMs = 20;
	/** Time from a write at the primary until the replica has received it. */
	replicationDelayMs = 0;
	maximumConnections = 23;
	slots = 3;
	/** Ids of the statements whose writes took effect here while this instance was the primary. */
	readonly committed: string[] = [];
	/** Ids of the statements that ran, for checks by tests. */
	readonly ran: string[] = [];
	/** For the id of each statement that ran: the user of the connection and the time, both of its first run. */
	readonly firstRuns = new Map<string, {readonly user: string; readonly atMs: number}>();
	/** For the id of each EXECUTE that ran: what its last run was. */
	readonly executions = new Map<string, Execution>();
	/** Number of connections that were opened since the beginning. */
	openedConnections = 0;
	/** Number of connections that were refused because too many were open. */
	refusedConnections = 0;
	/** Number of status requests that were answered. */
	statusRequests = 0;
	/** Ids of statements that run and whose next answers are lost. */
	readonly lostAnswers = new Set<string>();
	/** Number of registrations written since the last start. */
	registrationCount = 0;
	/** Time of the start in milliseconds; undefined if the platform does not report it. */
	startedAtMs: number | undefined;
	busySlots = 0;
	/** Slots, queue and working times; undefined if every statement is answered at once. */
	load: InstanceLoad | undefined;
	private readonly _sessions = new Set<LineInstanceSession>();

	constructor(id: string, group: LineGroup, isPrimary: boolean) {
		this.id = id;
		this.group = group;
		this.isPrimary = isPrimary;
		this.term = 1;
	}

	/** Open connections. */
	get sessions(): ReadonlySet<LineInstanceSession> {
		return this._sessions;
	}

	/** Position of the end of the log. */
	get received(): string {
		return `${this.log.at(-1)?.term ?? this.term}.${this.log.length}`;
	}

	/** Position up to which entries are applied and visible to reads. */
	get position(): string {
		return `${this.log[this.applied - 1]?.term ?? this.term}.${this.applied}`;
	}

	/** Opens a connection; returns the text of the error if the connection is refused. */
	open(service: string, user: string, id: string): LineInstanceSession | string {
		if (service !== this.group.service || (id !== '' && id !== this.id)) {
			return `REDIRECT ${this.id}`;
		}

		if (this._sessions.size >= this.maximumConnections) {
			this.refusedConnections += 1;
			return `TOOMANY ${this.id}`;
		}

		this.openedConnections += 1;
		const session = new LineInstanceSession(this, user);
		this._sessions.add(session);
		return session;
	}

	close(session: LineInstanceSession): void {
		this._sessions.delete(session);
	}

	/** Returns whether the entry at a position is applied. */
	hasApplied(position: string): boolean {
		const [term, offset] = position.split('.').map(Number);
		const entry = this.log[offset - 1];
		return offset === 0 || (offset <= this.applied && entry?.term === term);
	}

	/** Returns the value of an item as of the applied entries. */
	read(item: string): string | undefined {
		return this.log.slice(0, this.applied).findLast(({items}) => items.has(item))?.items.get(item);
	}

	/** Records that a statement runs. */
	recordRun(id: string, user: string): void {
		this.ran.push(id);
		if (!this.firstRuns.has(id)) {
			this.firstRuns.set(id, {user, atMs: this.group.nowMs()});
		}
	}

	append(id: string, items: ReadonlyMap<string, string>): void {
		this.committed.push(id);
		this.group.recordCommit(id, this);
		this.log.push({term: this.term, items});
		this.applied = this.log.length;
		this.group.replicate(this);
	}

	/** Starts the instance again with empty memory: connections end, and log and fence are lost. */
	reset(isPrimary: boolean): void {
		for (const session of this._sessions) {
			session.end();
		}

		this.log = [];
		this.applied = 0;
		this.fencedForTerm = 0;
		this.isPrimary = isPrimary;
		this.isUp = true;
		this.registrationCount = 0;
	}

	statusRow(): string {
		return `${this.isPrimary ? 'primary' : 'replica'} ${this.term} ${this.received} ${this.fencedForTerm} ${this.lagMs} ${this.busySlots} ${this._sessions.size}`;
	}
}

/** A primary and its replicas. */
export class LineGroup {
	readonly service: string;
	readonly instances: readonly LineInstance[];
	/** Every write that took effect at a primary, in order. */
	readonly commits: CommittedWrite[] = [];
	/** Every promotion that took effect, in order. */
	readonly promotionEffects: PromotionEffect[] = [];
	/** Called for every statement that an instance got for a caller, and for those that a node must not issue itself. */
	runListener: ((run: InstanceRun) => void) | undefined;
	private readonly _clock: Clock;

	constructor(service: string, ids: readonly string[], clock: Clock) {
		this.service = service;
		this._clock = clock;
		this.instances = ids.map((id, index) => new LineInstance(id, this, index === 0));
	}

	/** Number of status requests that all instances answered together. */
	get statusRequests(): number {
		return this.instances.reduce((sum, {statusRequests}) => sum + statusRequests, 0);
	}

	/** Returns the time of the group's clock. */
	nowMs(): number {
		return this._clock.nowMs();
	}

	/** Returns the instance with an id; throws if there is none. */
	instance(id: string): LineInstance {
		const found = this.instances.find(instance => instance.id === id);
		if (!found) {
			throw new Error(`no instance ${id}`);
		}

		return found;
	}

	/**
	 * Makes an instance the primary of the next term with the log that it has received. All fences
	 * end at that moment, also those at instances that do not learn of the new term.
	 */
	promote(id: string): void {
		const next = this.instance(id);
		if (next.isPrimary || next.isIsolated) {
			return;
		}

		const term = Math.max(...this.instances.map(instance => instance.term)) + 1;
		this.promotionEffects.push({term, instance: id, atMs: this._clock.nowMs()});
		for (const instance of this.instances) {
			instance.fencedForTerm = 0;
		}

		for (const instance of this.instances.filter(other => other === next || receivesPromotions(other))) {
			instance.isPrimary = instance === next;
			instance.term = term;
			instance.log = instance === next ? instance.log : [...next.log];
			instance.applied = next.log.length;
		}
	}

	/** Brings a crashed instance back with its log. It follows the primary of a later term if it reaches one; otherwise a primary stays primary, and a replica follows a running primary. */
	rejoin(id: string): void {
		const instance = this.instance(id);
		instance.isUp = true;
		instance.fencedForTerm = 0;
		const primary = this.newerPrimary(instance)
			?? (instance.isPrimary ? undefined : this._reachablePrimaries(instance).find(({isUp}) => isUp));
		if (primary) {
			follow(instance, primary);
		}
	}

	/** Returns the primary of a later term that an instance can reach; undefined if the instance is not stale. */
	newerPrimary(instance: LineInstance): LineInstance | undefined {
		return this._reachablePrimaries(instance).find(({term}) => term > instance.term);
	}

	/** Makes a stale instance follow the primary of a later term and adopt that primary's log. */
	catchUp(instance: LineInstance): void {
		const primary = this.newerPrimary(instance);
		if (primary) {
			instance.fencedForTerm = instance.fencedForTerm > primary.term ? instance.fencedForTerm : 0;
			follow(instance, primary);
		}
	}

	/** Records that a write took effect at a primary. */
	recordCommit(id: string, primary: LineInstance): void {
		const isUnreplicable = !this.instances.some(other => other !== primary && this._canReplicate(primary, other));
		this.commits.push({
			id, instance: primary.id, term: primary.term, isUnreplicable, atMs: this._clock.nowMs(),
		});
	}

	/**
	 * Starts an instance again under its id with empty memory: its connections end, and its log and
	 * its fence are lost. After `syncMs` it follows a primary that it reaches; with `isPrimary` it
	 * reports itself as the primary, with an empty log.
	 */
	restart(id: string, {syncMs, isPrimary = false}: {readonly syncMs: number; readonly isPrimary?: boolean}): void {
		const instance = this.instance(id);
		instance.reset(isPrimary);
		this._clock.setTimer(syncMs, () => {
			const primary = this._reachablePrimaries(instance).find(({isUp}) => isUp);
			if (primary && !instance.isPrimary && instance.fencedForTerm === 0) {
				follow(instance, primary);
			}
		});
	}

	/** Replicates a primary's log to its replicas, which apply it after their lag. */
	replicate(primary: LineInstance): void {
		const {length} = primary.log;
		for (const replica of this.instances) {
			const isReceiving = this._canReplicate(primary, replica) && replica.fencedForTerm === 0;
			if (isReceiving && replica.replicationDelayMs === 0) {
				this._receive(replica, primary, length);
			} else if (isReceiving) {
				this._clock.setTimer(replica.replicationDelayMs, () => {
					if (primary.isUp && replica.fencedForTerm === 0 && replica.term === primary.term) {
						this._receive(replica, primary, length);
					}
				});
			}
		}
	}

	/** Returns whether a replica can receive what a primary writes; fences are not considered. */
	private _canReplicate(primary: LineInstance, replica: LineInstance): boolean {
		const isLinked = replica.isUp && !replica.isReplicationBlocked && !replica.isIsolated && !primary.isIsolated;
		return isLinked && !replica.isPrimary && replica.term === primary.term;
	}

	/** Returns the other instances that report themselves as primary and can be reached, the latest term first. */
	private _reachablePrimaries(instance: LineInstance): LineInstance[] {
		return this.instances
			.filter(other => other !== instance && other.isPrimary && !other.isIsolated && !instance.isIsolated && !instance.isReplicationBlocked)
			.toSorted((a, b) => b.term - a.term);
	}

	/** Extends a replica's log with the primary's entries up to `length`. A replica accepts nothing from a primary whose log is shorter than its own. */
	private _receive(replica: LineInstance, primary: LineInstance, length: number): void {
		if (primary.log.length < replica.log.length) {
			return;
		}

		replica.log = primary.log.slice(0, Math.max(length, replica.log.length));
		this._clock.setTimer(replica.lagMs, () => {
			replica.applied = Math.min(replica.log.length, Math.max(replica.applied, length));
		});
	}
}

function receivesPromotions({isUp, missesPromotions, isIsolated}: LineInstance): boolean {
	return isUp && !missesPromotions && !isIsolated;
}

function follow(instance: LineInstance, primary: LineInstance): void {
	instance.isPrimary = false;
	instance.term = primary.term;
	instance.log = [...primary.log];
	instance.applied = primary.log.length;
}

/** Returns the text of an instance's registration, and increases the instance's count of registrations. */
export function registrationOf(instance: LineInstance, address: string, zone: string, isDraining = false): string {
	instance.registrationCount += 1;
	return JSON.stringify({
		service: instance.group.service,
		addr: address,
		zone,
		version: 'v1',
		capacity: instance.slots,
		state: isDraining ? 'draining' : 'ready',
		'warmup-left-ms': 0,
		'db-role': instance.isPrimary ? 'primary' : 'replica',
		seq: instance.registrationCount,
		born: instance.startedAtMs,
	});
}
