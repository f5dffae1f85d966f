/**
 * Work and use of the slots of one endpoint by priority class.
 *
 * Addresses load of several classes at once: an average over all classes overestimates the work of
 * short urgent statements, and a less urgent class gets only what the more urgent ones leave.
 */
import type {LoadOptions} from './constants.js';

type WorkByKind = Map<string, number>;

/** Learns the work of statements and the share of the slots that each class uses. */
export class ClassUsage {
	private readonly _options: Pick<LoadOptions, 'usageWindowMs' | 'workWeight'>;
	private readonly _workMs = new Map<number, WorkByKind>();
	/** Recent service time of each class, decayed to `_decayedAtMs`. */
	private readonly _usedMs = new Map<number, number>();
	private _decayedAtMs = 0;

	constructor(options: Pick<LoadOptions, 'usageWindowMs' | 'workWeight'>) {
		this._options = options;
	}

	/** Average service time of the statements of a class and kind; undefined before the first of them has ended. */
	workMs(priority: number, kind: string): number | undefined {
		return this._workMs.get(priority)?.get(kind);
	}

	/** Records that a statement has ended. */
	note(priority: number, kind: string, serviceMs: number, nowMs: number): void {
		const ofClass = this._workMs.get(priority) ?? new Map<string, number>();
		this._workMs.set(priority, ofClass);
		const averageMs = ofClass.get(kind);
		const {workWeight} = this._options;
		ofClass.set(kind, averageMs === undefined ? serviceMs : (averageMs * (1 - workWeight)) + (serviceMs * workWeight));
		this._decay(nowMs);
		this._usedMs.set(priority, (this._usedMs.get(priority) ?? 0) + serviceMs);
	}

	/** Share of the slots, from zero to one, that classes more urgent than this one have used recently. */
	urgentShare(priority: number, slots: number, nowMs: number): number {
		this._decay(nowMs);
		let usedMs = 0;
		for (const [other, ofClassMs] of this._usedMs) {
			usedMs += other < priority ? ofClassMs : 0;
		}

		return Math.min(1, usedMs / (this._options.usageWindowMs * slots));
	}

	private _decay(nowMs: number): void {
		const factor = Math.exp((this._decayedAtMs - nowMs) / this._options.usageWindowMs);
		for (const [priority, usedMs] of this._usedMs) {
			this._usedMs.set(priority, usedMs * factor);
		}

		this._decayedAtMs = nowMs;
	}
}
