/**
 * Average service time of an endpoint and the share of statements that it failed, over the last
 * statements. Addresses endpoints that are slow or fail part of their work: the figures of a home
 * cover the statements of all nodes, of which each single node sees too few.
 */

/** Number of last statements that the figures cover. */
const window = 16;

/** Time after which a statement counts half, so that the figures of a recovered endpoint follow its few trial statements. */
const halfLifeMs = 2000;

/** Keeps the figures of one endpoint. */
export class StatementFigures {
	private _weight = 0;
	private _serviceSum = 0;
	private _failedSum = 0;
	private _updatedAtMs = Number.NEGATIVE_INFINITY;

	/** Average service time in milliseconds; zero before the first statement. */
	get serviceMs(): number {
		return this._weight === 0 ? 0 : this._serviceSum / this._weight;
	}

	/** Share of failed statements. */
	get failedShare(): number {
		return this._weight === 0 ? 0 : this._failedSum / this._weight;
	}

	/** Number of statements that the figures are based on at a moment, at most `window`. */
	measured(nowMs: number): number {
		return this._weight === 0 ? 0 : Math.round(this._weight * ageWeight(nowMs - this._updatedAtMs));
	}

	note(serviceMs: number, isFailed: boolean, nowMs: number): void {
		const remaining = Math.min(1 - (1 / window), ageWeight(nowMs - this._updatedAtMs));
		this._weight = (this._weight * remaining) + 1;
		this._serviceSum = (this._serviceSum * remaining) + serviceMs;
		this._failedSum = (this._failedSum * remaining) + (isFailed ? 1 : 0);
		this._updatedAtMs = nowMs;
	}
}

function ageWeight(ageMs: number): number {
	return 0.5 ** (ageMs / halfLifeMs);
}
