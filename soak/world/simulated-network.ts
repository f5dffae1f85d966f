/**
 * A network between processes: delays by zone, and cuts between zones.
 *
 * What is sent into a cut is not lost but held until the cut ends, as a connection that
 * outlives the cut would deliver it: late.
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

type Held = {readonly from: SimulatedProcess; readonly to: SimulatedProcess; readonly action: () => void};

/** Name that stands for the platform in a cut. */
export const platformZone = 'platform';

/** Carries messages between processes. */
export class SimulatedNetwork {
	/** Time that everything between zones takes longer than usual. */
	extraDelayMs = 0;
	private readonly _clock: Clock;
	private readonly _random: Random;
	private readonly _delays: NetworkDelays;
	private readonly _cuts = new Set<string>();
	private readonly _lastDueMs = new Map<string, number>();
	private _held: Held[] = [];

	constructor(clock: Clock, random: Random, delays: NetworkDelays) {
		this._clock = clock;
		this._random = random;
		this._delays = delays;
	}

	/** Whether nothing passes between two zones, in one direction at least. */
	isCut(zoneA: string, zoneB: string): boolean {
		return this._holds(zoneA, zoneB) || this._holds(zoneB, zoneA);
	}

	/** Delivers an action to a process after the delay, in order for each pair of machines. */
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

	/** Holds what one zone sends to another; the other direction goes on. */
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

	private _arrive(message: Held): void {
		if (this._holds(message.from.availabilityZone, message.to.availabilityZone)) {
			this._held.push(message);
			return;
		}

		message.to.run(message.action);
	}

	private _holds(from: string, to: string): boolean {
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
