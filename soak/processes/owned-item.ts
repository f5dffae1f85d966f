/**
 * One item that one caller writes, and what reads of it may show.
 *
 * Values are counted up. A write that was acknowledged must be there for ever; one that was
 * refused as not run must never be there; one whose outcome is unknown may be there or not.
 */
import type {Finding} from '../findings.js';

type Attempt = {
	readonly value: number;
	outcome: 'pending' | 'acknowledged' | 'notRun' | 'unknown';
	endedAtMs: number;
};

/** Knows the attempts of one item. */
export class OwnedItem {
	readonly name: string;
	private readonly _attempts: Attempt[] = [];
	private readonly _report: (finding: Finding) => void;

	constructor(name: string, report: (finding: Finding) => void) {
		this.name = name;
		this._report = report;
	}

	/** Writes that were acknowledged. */
	get acknowledged(): number {
		return this._attempts.filter(({outcome}) => outcome === 'acknowledged').length;
	}

	/** Begins an attempt; its value is larger than all before. */
	begin(): Attempt {
		const attempt: Attempt = {value: this._attempts.length + 1, outcome: 'pending', endedAtMs: Number.POSITIVE_INFINITY};
		this._attempts.push(attempt);
		return attempt;
	}

	end(attempt: Attempt, outcome: Attempt['outcome']): void {
		attempt.outcome = outcome;
		attempt.endedAtMs = Date.now();
	}

	/** Largest value that a read which arrives now must include: acknowledged at least an age ago. */
	least(maximumAgeMs: number): number {
		const atMs = Date.now() - maximumAgeMs;
		return this._attempts.findLast(({outcome, endedAtMs}) => outcome === 'acknowledged' && endedAtMs <= atMs)?.value ?? 0;
	}

	/** Judges what a read showed. */
	check(shown: number, least: number, reader: string): void {
		const attempt = this._attempts[shown - 1];
		if (shown < least) {
			this._report({promise: 'stale', detail: `${reader} read ${this.name}=${shown}, ${least} had been acknowledged`});
		}

		if (shown > 0 && !attempt) {
			this._report({promise: 'invented', detail: `${reader} read ${this.name}=${shown}, which nobody wrote`});
		}

		if (attempt?.outcome === 'notRun') {
			this._report({promise: 'ranAfterNotRun', detail: `${reader} read ${this.name}=${shown}, which was refused as not run`});
		}
	}
}
