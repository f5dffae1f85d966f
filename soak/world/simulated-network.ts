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

	/** Whether nothing passes between two zones. */
	isCut(zoneA: string, zoneB: string): boolean {
		return this._cuts.size > 0 && this._cuts.has(cutKey(zoneA, zoneB));
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
		this._cuts.add(cutKey(zoneA, zoneB));
	}

	heal(zoneA: string, zoneB: string): void {
		this._cuts.delete(cutKey(zoneA, zoneB));
		const held = this._held;
		this._held = [];
		for (const message of held) {
			this._arrive(message);
		}
	}

	healAll(): void {
		for (const key of this._cuts) {
			const [zoneA, zoneB] = key.split('|');
			this.heal(zoneA, zoneB);
		}
	}

	private _arrive(message: Held): void {
		if (this.isCut(message.from.availabilityZone, message.to.availabilityZone)) {
			this._held.push(message);
			return;
		}

		message.to.run(message.action);
	}

	private _delayMs(from: SimulatedProcess, to: SimulatedProcess): number {
		const {withinZoneMs, betweenZonesMs, spreadMs} = this._delays;
		const baseMs = from.availabilityZone === to.availabilityZone ? withinZoneMs : betweenZonesMs;
		return baseMs + (this._random.next() * spreadMs);
	}
}

function cutKey(zoneA: string, zoneB: string): string {
	return [zoneA, zoneB].toSorted().join('|');
}
