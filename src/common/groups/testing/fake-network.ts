/**
 * A simulated network: zones that can be cut off from each other, processes that can be
 * paused, and connections between them that deliver messages in order.
 */
import {Emitter} from '../../lifecycle/emitter.js';
import type {Disposable} from '../../lifecycle/disposable.js';
import type {Clock, Random} from '../../services/services.js';
import type {VirtualClock} from '../../testing/virtual-clock.js';

/** A simulated process in a zone: a node or an endpoint. */
export class FakeProcess implements Clock {
	readonly name: string;
	readonly zone: string;
	isPaused = false;
	isDead = false;
	private readonly _clock: VirtualClock;
	private readonly _network: FakeNetwork;
	private readonly _deferredTimers: Array<() => void> = [];

	constructor(name: string, zone: string, network: FakeNetwork) {
		this.name = name;
		this.zone = zone;
		this._network = network;
		this._clock = network.clock;
	}

	nowMs(): number {
		return this._clock.nowMs();
	}

	wallClockMs(): number {
		return this._clock.wallClockMs();
	}

	/** Sets a timer: one that falls due during a pause runs after it, and none runs once the process is dead. */
	setTimer(delayMs: number, callback: () => void): Disposable {
		let isCancelled = false;
		const run = (): void => {
			if (this.isPaused) {
				this._deferredTimers.push(run);
			} else if (!isCancelled && !this.isDead) {
				callback();
			}
		};

		const timer = this._clock.setTimer(delayMs, run);
		return {
			dispose() {
				isCancelled = true;
				timer.dispose();
			},
		};
	}

	pause(): void {
		this.isPaused = true;
	}

	/** Ends a pause: runs the overdue timers first and then delivers the messages that arrived, as an event loop does. */
	resume(): void {
		this.isPaused = false;
		for (const run of this._deferredTimers.splice(0)) {
			run();
		}

		this._network.changed();
	}
}

/** Holds which zones and processes can reach each other, and gives the latency of messages. */
export class FakeNetwork {
	readonly clock: VirtualClock;
	readonly random: Random;
	private readonly _cuts = new Set<string>();
	private readonly _onChange = new Emitter<void>();
	readonly onChange = this._onChange.event; // eslint-disable-line @typescript-eslint/member-ordering -- needs the emitter.

	constructor(clock: VirtualClock, random: Random) {
		this.clock = clock;
		this.random = random;
	}

	/** One-way latency in milliseconds, with a random part; lower within a zone. */
	delayMs(a: FakeProcess, b: FakeProcess): number {
		return (a.zone === b.zone ? 0.2 : 1) * (1 + this.random.next());
	}

	isOpen(a: FakeProcess, b: FakeProcess): boolean {
		return [a.zone, a.name].every(from => [b.zone, b.name].every(to => !this._cuts.has(`${from} ${to}`)));
	}

	/** Holds back all messages between the zones or processes of these names, in both directions. */
	cut(names: readonly string[], others: readonly string[]): void {
		for (const a of names) {
			for (const b of others) {
				this._cuts.add(`${a} ${b}`).add(`${b} ${a}`);
			}
		}
	}

	clearCuts(): void {
		this._cuts.clear();
		this.changed();
	}

	/** Lets connections deliver messages that were held back and can pass now. */
	changed(): void {
		this._onChange.fire();
	}
}

/** One direction of a connection: delivers messages in order, and holds back those that cannot pass. */
class Direction {
	private readonly _queue: Array<{readonly dueMs: number; readonly deliver: () => void}> = [];
	private readonly _network: FakeNetwork;
	private readonly _from: FakeProcess;
	private readonly _to: FakeProcess;
	private _isClosed = false;
	private _lastDueMs = 0;

	constructor(network: FakeNetwork, from: FakeProcess, to: FakeProcess) {
		this._network = network;
		this._from = from;
		this._to = to;
	}

	send(deliver: () => void): void {
		const dueMs = Math.max(this._lastDueMs, this._network.clock.nowMs() + this._network.delayMs(this._from, this._to));
		this._lastDueMs = dueMs;
		this._queue.push({dueMs, deliver});
		this._network.clock.setTimer(dueMs - this._network.clock.nowMs(), () => {
			this.deliverDue();
		});
	}

	deliverDue(): void {
		while (!this._isClosed && this._queue.length > 0 && this._queue[0].dueMs <= this._network.clock.nowMs()) {
			if (this._to.isPaused || !this._network.isOpen(this._from, this._to)) {
				return;
			}

			const {deliver} = this._queue.shift()!;
			deliver();
		}
	}

	clear(): void {
		this._queue.length = 0;
	}

	close(): void {
		this._isClosed = true;
	}
}

/** A connection between two processes. */
export class FakeConnection {
	readonly a: FakeProcess;
	readonly b: FakeProcess;
	private readonly _toA: Direction;
	private readonly _toB: Direction;
	private readonly _subscription: Disposable;

	constructor(network: FakeNetwork, a: FakeProcess, b: FakeProcess) {
		this.a = a;
		this.b = b;
		this._toA = new Direction(network, b, a);
		this._toB = new Direction(network, a, b);
		this._subscription = network.onChange(() => {
			this._toA.deliverDue();
			this._toB.deliverDue();
		});
	}

	sendToB(deliver: () => void): void {
		this._toB.send(deliver);
	}

	sendToA(deliver: () => void): void {
		this._toA.send(deliver);
	}

	/** Drops the messages in flight to `a` and sends only this one. */
	resetToA(deliver: () => void): void {
		this._toA.clear();
		this._toA.send(deliver);
	}

	/** Closes the connection: no message is delivered any more in either direction. */
	close(): void {
		this._toA.close();
		this._toB.close();
		this._subscription.dispose();
	}
}
