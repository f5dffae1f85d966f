/**
 * A network between processes: delays by zone, and cuts between zones.
 *
 * A message that meets a cut is not lost but held until the cut ends, since a connection that
 * outlives the cut delivers it late.
 */
import type {Clock, Random} from '../../src/common/services/services.js';
import type {SimulatedProcess} from './simulated-process.js';

/** Delays one way, in milliseconds. */
export type NetworkDelays = {
	readonly withinZoneMs: number;
	readonly betweenZonesMs: number;
	/** Largest random addition. */
	readonly spreadMs: number;
};

type HeldMessage = {readonly from: SimulatedProcess; readonly to: SimulatedProcess; readonly action: () => void};

/** Zone name that stands for the platform in a cut. */
export const platformZone = 'platform';

/** Carries messages between processes. */
export class SimulatedNetwork {
	/** Additional delay of every message between zones, in milliseconds. */
	extraDelayMs = 0;
	private readonly _clock: Clock;
	private readonly _random: Random;
	private readonly _delays: NetworkDelays;
	private readonly _cuts = new Set<string>();
	private readonly _lastDueMs = new Map<string, number>();
	private _held: HeldMessage[] = [];

	constructor(clock: Clock, random: Random, delays: NetworkDelays) {
		this._clock = clock;
		this._random = random;
		this._delays = delays;
	}

	/** Whether messages between two zones are held in at least one direction. */
	isCut(zoneA: string, zoneB: string): boolean {
		return this._isDirectionCut(zoneA, zoneB) || this._isDirectionCut(zoneB, zoneA);
	}

	/** Runs an action in the receiving process after the delay; messages between two machines keep their order. */
	send(from: SimulatedProcess, to: SimulatedProcess, action: () => void): void {
		if (!from.isAlive) {
			return;
		}

		const pair = `${from.machine}>${to.machine}`;
		const dueMs = Math.max(this._clock.nowMs() + this._delayMs(from, to), this._lastDueMs.get(pair) ?? 0);
		this._lastDueMs.set(pair, dueMs);
		this._clock.setTimer(dueMs - this._clock.nowMs(), () => {
			this._arrive({from, to, action});
		});
	}

	cut(zoneA: string, zoneB: string): void {
		this.cutOneWay(zoneA, zoneB);
		this.cutOneWay(zoneB, zoneA);
	}

	/** Holds messages from one zone to another; the other direction is not affected. */
	cutOneWay(from: string, to: string): void {
		this._cuts.add(directionKey(from, to));
	}

	/** Ends every cut. */
	healAll(): void {
		this._cuts.clear();
		const held = this._held;
		this._held = [];
		for (const message of held) {
			this._arrive(message);
		}
	}

	private _arrive(message: HeldMessage): void {
		if (this._isDirectionCut(message.from.availabilityZone, message.to.availabilityZone)) {
			this._held.push(message);
			return;
		}

		message.to.run(message.action);
	}

	private _isDirectionCut(from: string, to: string): boolean {
		return this._cuts.size > 0 && this._cuts.has(directionKey(from, to));
	}

	private _delayMs(from: SimulatedProcess, to: SimulatedProcess): number {
		const {withinZoneMs, betweenZonesMs, spreadMs} = this._delays;
		const baseMs = from.availabilityZone === to.availabilityZone ? withinZoneMs : betweenZonesMs + this.extraDelayMs;
		return baseMs + (this._random.next() * spreadMs);
	}
}

function directionKey(from: string, to: string): string {
	return `${from}>${to}`;
}
