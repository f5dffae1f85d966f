/**
 * A database group of the platform in memory: a primary, replicas that lag, terms,
 * transactions, slots. It keeps to the published pages and to nothing else.
 */
import type {Clock} from '../../src/common/services/services.js';
import {LineInstanceSession} from './line-instance-session.js';

type Entry = {
	readonly term: number;
	readonly items: ReadonlyMap<string, string>;
};

/** A write that took effect at a primary. Times are of the group's clock. */
export type CommittedWrite = {
	readonly id: string;
	readonly instance: string;
	readonly term: number;
	readonly atMs: number;
	/** Whether faults kept every replica from receiving it: fences are no fault. */
	readonly isUnreplicable: boolean;
};

/** The effect of a promotion. */
export type PromotionEffect = {
	readonly term: number;
	readonly instance: string;
	readonly atMs: number;
};

/** One instance of the group. */
export class LineInstance {
	readonly id: string;
	readonly group: LineGroup;
	/** Entries that it holds. */
	log: Entry[] = [];
	/** Number of entries that its reads show. */
	applied = 0;
	term: number;
	isPrimary: boolean;
	/** Term for which it stopped receiving. */
	fencedForTerm = 0;
	/** Whether it answers at all. */
	isUp = true;
	/** Whether it receives what the primary writes. */
	isReplicationBlocked = false;
	/** Whether promotions of others do not reach it. */
	missesPromotions = false;
	/** Whether no other instance and no order of the platform reaches it. */
	isIsolated = false;
	lagMs = 20;
	/** Time until it has received what the primary wrote. */
	replicationDelayMs = 0;
	maximumConnections = 23;
	slots = 3;
	/** Ids of the statements whose writes took effect here, first as a primary. */
	readonly committed: string[] = [];
	/** Statements that ran, by their id; for checks of tests. */
	readonly ran: string[] = [];
	/** As whom each of them ran, by what its connection said when it began, and when it did first. */
	readonly firstRuns = new Map<string, {readonly user: string; readonly atMs: number}>();
	/** Connections that were opened. */
	openedConnections = 0;
	/** Questions for its state. */
	statusRequests = 0;
	/** Ids whose answers are lost after they ran. */
	readonly lostAnswers = new Set<string>();
	/** Reports since its start. */
	registrationCount = 0;
	/** When it started, where the platform says so. */
	startedAtMs: number | undefined;
	busySlots = 0;
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

	/** Position that its reads show. */
	get position(): string {
		return `${this.log[this.applied - 1]?.term ?? this.term}.${this.applied}`;
	}

	/** A new connection; the text is the error that refuses it. */
	open(service: string, user: string, id: string): LineInstanceSession | string {
		if (service !== this.group.service || (id !== '' && id !== this.id)) {
			return `REDIRECT ${this.id}`;
		}

		if (this._sessions.size >= this.maximumConnections) {
			return `TOOMANY ${this.id}`;
		}

		const session = new LineInstanceSession(this, user);
		this.openedConnections += 1;
		this._sessions.add(session);
		return session;
	}

	close(session: LineInstanceSession): void {
		this._sessions.delete(session);
	}

	/** Whether the log holds a position. */
	hasApplied(position: string): boolean {
		const [term, offset] = position.split('.').map(Number);
		const entry = this.log[offset - 1];
		return offset === 0 || (offset <= this.applied && entry?.term === term);
	}

	/** The value of an item as its reads show it. */
	read(item: string): string | undefined {
		return this.log.slice(0, this.applied).findLast(({items}) => items.has(item))?.items.get(item);
	}

	/** Takes in that a statement runs. */
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

	/** Starts anew: nothing of before is held or known. */
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
	private readonly _clock: Clock;

	constructor(service: string, ids: readonly string[], clock: Clock) {
		this.service = service;
		this._clock = clock;
		this.instances = ids.map((id, index) => new LineInstance(id, this, index === 0));
	}

	/** Questions for states that all instances were asked. */
	get statusRequests(): number {
		return this.instances.reduce((sum, {statusRequests}) => sum + statusRequests, 0);
	}

	/** Time of the group's clock. */
	nowMs(): number {
		return this._clock.nowMs();
	}

	/** The instance of an id; throws when there is none. */
	instance(id: string): LineInstance {
		const found = this.instances.find(instance => instance.id === id);
		if (!found) {
			throw new Error(`no instance ${id}`);
		}

		return found;
	}

	/**
	 * Makes an instance lead the next term with what it received. Fences end everywhere at that
	 * moment, also at instances that don't hear of the new term.
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

	/** A crashed instance is back: it follows whoever leads a later term, and goes on leading otherwise. */
	rejoin(id: string): void {
		const instance = this.instance(id);
		instance.isUp = true;
		instance.fencedForTerm = 0;
		const leader = this.newerPrimary(instance)
			?? (instance.isPrimary ? undefined : this._reachablePrimaries(instance).find(({isUp}) => isUp));
		if (leader) {
			follow(instance, leader);
		}
	}

	/** The leader of a later term that an instance can reach; undefined where it is not left behind. */
	newerPrimary(instance: LineInstance): LineInstance | undefined {
		return this._reachablePrimaries(instance).find(({term}) => term > instance.term);
	}

	/** An instance that was left behind follows the leader of a later term, with that one's log. */
	catchUp(instance: LineInstance): void {
		const leader = this.newerPrimary(instance);
		if (leader) {
			instance.fencedForTerm = instance.fencedForTerm > leader.term ? instance.fencedForTerm : 0;
			follow(instance, leader);
		}
	}

	/** Keeps that a write took effect. */
	recordCommit(id: string, primary: LineInstance): void {
		const isUnreplicable = !this.instances.some(other => other !== primary && this._canReplicate(primary, other));
		this.commits.push({
			id, instance: primary.id, term: primary.term, isUnreplicable, atMs: this._clock.nowMs(),
		});
	}

	/**
	 * An instance starts again under its id with an empty memory: its connections end, and it
	 * has forgotten its log and its fence. It follows the primary that it reaches after a time,
	 * or calls itself the primary that it was.
	 */
	restart(id: string, {syncMs, isPrimary = false}: {readonly syncMs: number; readonly isPrimary?: boolean}): void {
		const instance = this.instance(id);
		instance.reset(isPrimary);
		this._clock.setTimer(syncMs, () => {
			const leader = this._reachablePrimaries(instance).find(({isUp}) => isUp);
			if (leader && !instance.isPrimary && instance.fencedForTerm === 0) {
				follow(instance, leader);
			}
		});
	}

	/** Sends what a primary wrote to its replicas; they apply it later. */
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

	/** Whether what a primary writes arrives at a replica, but for a fence. */
	private _canReplicate(primary: LineInstance, replica: LineInstance): boolean {
		const isLinked = replica.isUp && !replica.isReplicationBlocked && !replica.isIsolated && !primary.isIsolated;
		return isLinked && !replica.isPrimary && replica.term === primary.term;
	}

	/** Other instances that call themselves primary and can be reached, that of the latest term first. */
	private _reachablePrimaries(instance: LineInstance): LineInstance[] {
		return this.instances
			.filter(other => other !== instance && other.isPrimary && !other.isIsolated && !instance.isIsolated && !instance.isReplicationBlocked)
			.toSorted((a, b) => b.term - a.term);
	}

	/** A replica takes nothing from a primary whose log is shorter than its own of the term. */
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

function follow(instance: LineInstance, leader: LineInstance): void {
	instance.isPrimary = false;
	instance.term = leader.term;
	instance.log = [...leader.log];
	instance.applied = leader.log.length;
}

/** What an instance writes into its registration; its count of reports goes on. */
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
