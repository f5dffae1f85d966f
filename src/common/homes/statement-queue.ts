/**
 * The queue of statements that wait for a slot, and the order in which they are served.
 *
 * Statements of open transactions come first, in order of arrival, since ending them frees locks.
 * Priority classes follow in ascending order. Within a class, service time is shared evenly
 * among lanes (reads, writes, new transactions), and within a lane among callers. Every
 * `ageingInterval` statements, the one that has waited longest is served if it has waited for
 * at least `ageingMs`, so that no class starves.
 *
 * With an order by goals, that order replaces the sharing among lanes and callers within a class;
 * ageing remains, and bounds the wait of late statements.
 */
import type {OrderedStatement, StatementOrder} from '../load/goal-order.js';
import type {HomeOptions} from './constants.js';
import {FairShare} from './fair-share.js';
import type {SlotLane} from './types.js';

/** A statement in the queue. */
export type WaitingStatement = {
	readonly caller: string;
	/** Priority class; lower values are served first. */
	readonly priority: number;
	readonly lane: SlotLane;
	readonly enteredAtMs: number;
	/** When it must be answered; undefined if it is not ordered by goal. */
	readonly deadlineMs?: number;
	/** When the response-time goal of its caller ends; undefined without one. */
	readonly goalAtMs?: number;
	/** Whether it was admitted although it would miss its goal. */
	readonly isExpectedLate?: boolean;
};

/** An order by goals within priority classes. */
export type OrderInClass = {
	readonly order: StatementOrder;
	/** Expected time from the start of a statement to its answer. */
	readonly expectedMs: (item: WaitingStatement) => number;
	/** Takes the place of `ageingInterval`. */
	readonly ageingInterval: number;
};

/** Work that would be served before a new statement, in milliseconds of service time. */
export type WorkAhead = {
	readonly onTimeMs: number;
	readonly lateMs: number;
};

type Lane<T> = {
	readonly byCaller: Map<string, T[]>;
	readonly share: FairShare<string>;
	count: number;
};

type PriorityClass<T> = {
	readonly lanes: Map<SlotLane, Lane<T>>;
	readonly share: FairShare<SlotLane>;
	/** Shares of callers over all lanes, for the order by goals. */
	readonly callers: FairShare<string>;
};

type StatementQueueOptions = Pick<HomeOptions, 'ageingMs' | 'ageingInterval' | 'minimumChargeMs'>;

/** Orders waiting statements. */
export class StatementQueue<T extends WaitingStatement> {
	private readonly _options: StatementQueueOptions;
	private readonly _transactions: T[] = [];
	private readonly _classes = new Map<number, PriorityClass<T>>();
	/** Statements that belong to no open transaction, in order of arrival. */
	private readonly _arrivals = new Set<T>();
	private _served = 0;

	constructor(options: StatementQueueOptions) {
		this._options = options;
	}

	/** Number of statements that wait. */
	get length(): number {
		return this._transactions.length + this._arrivals.size;
	}

	/** Returns the waiting statements that belong to no open transaction, oldest first. */
	newWork(): T[] {
		return [...this._arrivals];
	}

	add(item: T): void {
		if (item.lane === 'transaction') {
			this._transactions.push(item);
			return;
		}

		const group = this._priorityClass(item.priority);
		const lane = laneOf(group, item.lane);
		const ofCaller = lane.byCaller.get(item.caller);
		if (ofCaller) {
			ofCaller.push(item);
		} else {
			lane.byCaller.set(item.caller, [item]);
		}

		lane.count += 1;
		lane.share.add(item.caller);
		group.share.add(item.lane);
		group.callers.add(item.caller);
		this._arrivals.add(item);
	}

	/** Removes a statement; returns false if it is not in the queue. */
	remove(item: T): boolean {
		if (item.lane === 'transaction') {
			return removeFrom(this._transactions, item);
		}

		if (!this._arrivals.delete(item)) {
			return false;
		}

		const group = this._priorityClass(item.priority);
		const lane = laneOf(group, item.lane);
		const ofCaller = lane.byCaller.get(item.caller) ?? [];
		removeFrom(ofCaller, item);
		if (ofCaller.length === 0) {
			lane.byCaller.delete(item.caller);
		}

		lane.count -= 1;
		lane.share.remove(item.caller);
		group.share.remove(item.lane);
		group.callers.remove(item.caller);
		return true;
	}

	/** Removes and returns the statement to serve next among the open lanes, and charges its share; undefined if none may run. */
	take(nowMs: number, isLaneOpen: (lane: SlotLane) => boolean, expectedMs: (lane: SlotLane) => number, inClass?: OrderInClass): T | undefined {
		const item = this._transactions.at(0) ?? this._takeAged(nowMs, isLaneOpen, inClass?.ageingInterval ?? this._options.ageingInterval)
			?? (inClass ? this._takeOrdered(nowMs, isLaneOpen, inClass) : this._takeFair(isLaneOpen));
		if (!item) {
			return undefined;
		}

		this._chargeServed(item, Math.max(expectedMs(item.lane), this._options.minimumChargeMs));
		this.remove(item);
		return item;
	}

	/** Corrects the charge of a caller and its lane by the difference to the actual service time, in milliseconds. */
	correctCharge(item: WaitingStatement, differenceMs: number): void {
		const group = this._classes.get(item.priority);
		group?.share.charge(item.lane, differenceMs);
		group?.callers.charge(item.caller, differenceMs);
		group?.lanes.get(item.lane)?.share.charge(item.caller, differenceMs);
	}

	/** Estimates the service time, in milliseconds, of the work that would be served before a new statement. */
	workAheadMs(item: WaitingStatement, expectedMs: (lane: SlotLane) => number): number {
		let workMs = this._transactions.length * expectedMs('transaction');
		if (item.lane === 'transaction') {
			return workMs;
		}

		for (const [priority, group] of this._classes) {
			if (priority < item.priority) {
				workMs += classWorkMs(group, expectedMs);
			} else if (priority === item.priority) {
				workMs += workAheadInClassMs(group, item, expectedMs);
			}
		}

		return workMs;
	}

	/**
	 * Estimates the work that would be served before a new statement in the order by goals. `isBefore`
	 * tells which statements of its class go first if it meets its goal. Of these, each other caller
	 * counts with at most as many as its own caller, since callers share the slots.
	 */
	goalWorkAhead(item: WaitingStatement, isBefore: (waiting: T) => boolean, expectedMs: (waiting: WaitingStatement) => number): WorkAhead {
		let onTimeMs = 0;
		let lateMs = 0;
		for (const waiting of this._transactions) {
			onTimeMs += expectedMs(waiting);
		}

		const beforeByCaller = new Map<string, {count: number; workMs: number}>();
		for (const waiting of this._arrivals) {
			if (waiting.priority < item.priority) {
				onTimeMs += expectedMs(waiting);
			} else if (waiting.priority === item.priority && isBefore(waiting)) {
				const ofCaller = beforeByCaller.get(waiting.caller) ?? {count: 0, workMs: 0};
				ofCaller.count += 1;
				ofCaller.workMs += expectedMs(waiting);
				beforeByCaller.set(waiting.caller, ofCaller);
			} else if (waiting.priority === item.priority) {
				lateMs += expectedMs(waiting);
			}
		}

		const ownCount = beforeByCaller.get(item.caller)?.count ?? 0;
		for (const [caller, {count, workMs}] of beforeByCaller) {
			onTimeMs += caller === item.caller ? workMs : workMs * Math.min(1, (ownCount + 1) / count);
		}

		return {onTimeMs, lateMs};
	}

	/**
	 * Returns the statement to refuse instead of a new one when the queue is full: the newest one of
	 * the caller with the most waiting statements in the least urgent class; undefined if that is
	 * the new statement itself.
	 */
	evictionCandidate(item: WaitingStatement): T | undefined {
		let worst: T | undefined;
		let worstCount = this._countOf(item) + 1;
		let worstPriority = item.priority;
		for (const waiting of this._arrivals) {
			const count = this._countOf(waiting);
			const isWorse = waiting.priority > worstPriority || (waiting.priority === worstPriority && count > worstCount);
			if (isWorse) {
				worst = waiting;
				worstCount = count;
				worstPriority = waiting.priority;
			}
		}

		return worst && this._newestOf(worst);
	}

	private _takeAged(nowMs: number, isLaneOpen: (lane: SlotLane) => boolean, interval: number): T | undefined {
		if ((this._served + 1) % interval !== 0) {
			return undefined;
		}

		for (const item of this._arrivals) {
			if (nowMs - item.enteredAtMs < this._options.ageingMs) {
				return undefined;
			}

			if (isLaneOpen(item.lane)) {
				return item;
			}
		}

		return undefined;
	}

	private _takeFair(isLaneOpen: (lane: SlotLane) => boolean): T | undefined {
		const priorities = [...this._classes.keys()].toSorted((a, b) => a - b);
		for (const priority of priorities) {
			const group = this._priorityClass(priority);
			const laneName = group.share.next(isLaneOpen);
			const lane = laneName && group.lanes.get(laneName);
			const caller = lane?.share.next();
			if (lane && caller !== undefined) {
				return lane.byCaller.get(caller)?.at(0);
			}
		}

		return undefined;
	}

	private _takeOrdered(nowMs: number, isLaneOpen: (lane: SlotLane) => boolean, inClass: OrderInClass): T | undefined {
		const priorities = [...this._classes.keys()].toSorted((a, b) => a - b);
		for (const priority of priorities) {
			const first = firstInOrder(this._priorityClass(priority), nowMs, isLaneOpen, inClass);
			if (first) {
				return first;
			}
		}

		return undefined;
	}

	private _chargeServed(item: T, expectedMs: number): void {
		if (item.lane === 'transaction') {
			return;
		}

		this._served += 1;
		const group = this._priorityClass(item.priority);
		group.share.serve(item.lane, expectedMs);
		group.callers.serve(item.caller, expectedMs);
		group.callers.prune();
		laneOf(group, item.lane).share.serve(item.caller, expectedMs);
		laneOf(group, item.lane).share.prune();
	}

	private _countOf(item: WaitingStatement): number {
		return this._classes.get(item.priority)?.lanes.get(item.lane)?.byCaller.get(item.caller)?.length ?? 0;
	}

	private _newestOf(item: T): T | undefined {
		return this._classes.get(item.priority)?.lanes.get(item.lane)?.byCaller.get(item.caller)?.at(-1);
	}

	private _priorityClass(priority: number): PriorityClass<T> {
		const existing = this._classes.get(priority);
		if (existing) {
			return existing;
		}

		const created: PriorityClass<T> = {lanes: new Map(), share: new FairShare(), callers: new FairShare()};
		this._classes.set(priority, created);
		return created;
	}
}

/** Returns the first statement of a class in an order; of statements that are equal in it, the one that arrived first in its lane. */
function firstInOrder<T extends WaitingStatement>(
	group: PriorityClass<T>,
	nowMs: number,
	isLaneOpen: (lane: SlotLane) => boolean,
	{order, expectedMs}: OrderInClass,
): T | undefined {
	let first: T | undefined;
	let firstOrdered: OrderedStatement | undefined;
	for (const [name, {byCaller}] of group.lanes) {
		for (const [caller, items] of isLaneOpen(name) ? byCaller : []) {
			const leadMs = group.callers.leadMs(caller);
			for (const item of items) {
				const deadlineMs = item.deadlineMs ?? Number.POSITIVE_INFINITY;
				const ordered = {
					deadlineMs, leadMs, goalAtMs: item.goalAtMs ?? deadlineMs, expectedMs: expectedMs(item),
				};
				if (!firstOrdered || order.isBefore(ordered, firstOrdered, nowMs)) {
					first = item;
					firstOrdered = ordered;
				}
			}
		}
	}

	return first;
}

function laneOf<T>(group: PriorityClass<T>, name: SlotLane): Lane<T> {
	const existing = group.lanes.get(name);
	if (existing) {
		return existing;
	}

	const created: Lane<T> = {byCaller: new Map(), share: new FairShare(), count: 0};
	group.lanes.set(name, created);
	return created;
}

function classWorkMs<T>(group: PriorityClass<T>, expectedMs: (lane: SlotLane) => number): number {
	let workMs = 0;
	for (const [name, lane] of group.lanes) {
		workMs += lane.count * expectedMs(name);
	}

	return workMs;
}

/** Under fair sharing, each other caller and lane is served at most as much before the statement as its own caller and lane. */
function workAheadInClassMs<T>(group: PriorityClass<T>, item: WaitingStatement, expectedMs: (lane: SlotLane) => number): number {
	const own = group.lanes.get(item.lane);
	const ownCount = own?.byCaller.get(item.caller)?.length ?? 0;
	let ahead = 0;
	for (const [caller, items] of own?.byCaller ?? []) {
		ahead += caller === item.caller ? ownCount : Math.min(items.length, ownCount + 1);
	}

	const ownLaneMs = ahead * expectedMs(item.lane);
	let workMs = ownLaneMs;
	for (const [name, lane] of group.lanes) {
		if (name !== item.lane) {
			workMs += Math.min(lane.count * expectedMs(name), ownLaneMs + expectedMs(item.lane));
		}
	}

	return workMs;
}

function removeFrom<T>(items: T[], item: T): boolean {
	const index = items.indexOf(item);
	if (index === -1) {
		return false;
	}

	items.splice(index, 1);
	return true;
}
