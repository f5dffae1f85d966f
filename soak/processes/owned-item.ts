/**
 * One item that a single caller writes, and the values that reads of it may return.
 *
 * Each attempt writes the next larger value. An acknowledged write must stay visible for ever;
 * one that was refused as not run must never be visible; one with an unknown outcome may be either.
 */
import type {Finding} from '../findings.js';

type Attempt = {
	readonly value: number;
	outcome: 'pending' | 'acknowledged' | 'notRun' | 'unknown';
	endedAtMs: number;
};

/** Records the write attempts of one item and checks reads against them. */
export class OwnedItem {
	readonly name: string;
	private readonly _attempts: Attempt[] = [];
	private readonly _report: (finding: Finding) => void;

	constructor(name: string, report: (finding: Finding) => void) {
		this.name = name;
		this._report = report;
	}

	/** Number of acknowledged writes. */
	get acknowledged(): number {
		return this._attempts.filter(({outcome}) => outcome === 'acknowledged').length;
	}

	/** Begins an attempt with a value larger than all previous ones. */
	begin(): Attempt {
		const attempt: Attempt = {value: this._attempts.length + 1, outcome: 'pending', endedAtMs: Number.POSITIVE_INFINITY};
		this._attempts.push(attempt);
		return attempt;
	}

	/** Ends an attempt with its outcome, at the current time. */
	end(attempt: Attempt, outcome: Attempt['outcome']): void {
		attempt.outcome = outcome;
		attempt.endedAtMs = Date.now();
	}

	/** The largest value acknowledged at least `maximumAgeMs` ago, which a read that starts now must include; 0 if there is none. */
	minimumValue(maximumAgeMs: number): number {
		const atMs = Date.now() - maximumAgeMs;
		return this._attempts.findLast(({outcome, endedAtMs}) => outcome === 'acknowledged' && endedAtMs <= atMs)?.value ?? 0;
	}

	/** Reports a finding if a read returned a value that it must not return. */
	check(observed: number, minimum: number, reader: string): void {
		const attempt = this._attempts[observed - 1];
		if (observed < minimum) {
			this._report({promise: 'stale', detail: `${reader} read ${this.name}=${observed}, ${minimum} had been acknowledged`});
		}

		if (observed > 0 && !attempt) {
			this._report({promise: 'invented', detail: `${reader} read ${this.name}=${observed}, which nobody wrote`});
		}

		if (attempt?.outcome === 'notRun') {
			this._report({promise: 'ranAfterNotRun', detail: `${reader} read ${this.name}=${observed}, which was refused as not run`});
		}
	}
}
