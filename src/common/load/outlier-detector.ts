/**
 * Finds endpoints of one group that are slow or fail part of their work, by comparing them with their
 * peers, and ejects them for a limited time. Addresses endpoints that answer status requests well while
 * they are slow by several times or fail half of their statements.
 *
 * After its time, and after some statements went elsewhere, an ejected endpoint gets one trial statement at a time; the first that succeeds
 * readmits it, and one that fails ejects it for twice as long. Which endpoints may be left out is
 * decided by the caller, who knows which of them can serve a statement at all.
 */

/** Figures of an endpoint over its last statements. */
export type EndpointFigures = {
	readonly serviceMs: number;
	readonly failedShare: number;
	/** Number of statements on which the figures are based. */
	readonly measured: number;
};

/** Why an endpoint was ejected, and for how long. */
export type Ejection = {
	readonly reason: 'slow' | 'failing';
	readonly forMs: number;
	/** Median service time of the other endpoints; zero if it is not known. */
	readonly medianMs: number;
};

/** Standing of an endpoint: an ejected one gets no statements, one on trial a single one at a time. */
export type EndpointStanding = 'admitted' | 'ejected' | 'trial';

/** Minimum number of statements behind a comparison. */
const leastMeasured = 8;
/** Age up to which figures are compared. */
const figuresKeptMs = 2000;
/** Share of failures above which an endpoint is ejected. */
const highestFailedShare = 0.2;
/** Multiple of the median service time of its peers above which an endpoint is ejected. */
const slowFactor = 4;
/** Minimum excess in milliseconds over that median: less than a new connection costs is not worth a move. */
const leastExcessMs = 20;
const shortestEjectionMs = 1000;
const longestEjectionMs = 4000;
/** Share of its time by which an ejection is prolonged at random. */
const jitterShare = 0.5;
/**
 * Statements that a node sends elsewhere before its next trial, which bounds the share of statements
 * that trials delay. With one trial a second from each of 72 nodes, a replica that was slow by 7.5 times
 * was never idle, and each trial took 1 s.
 */
const statementsPerTrial = 24;
/** Time without an ejection after which the next one is as short as the first. */
const forgetAfterMs = 10_000;
/** Time after which a trial whose end was not reported is given up. */
const trialTimeoutMs = 4000;

type EndpointState = {
	figures?: EndpointFigures & {readonly atMs: number};
	ejectedUntilMs: number;
	ejectedForMs: number;
	isOut: boolean;
	/** Statements sent elsewhere since the ejection. */
	passedOver: number;
	trialSinceMs: number;
};

/** Compares the endpoints of one group. */
export class OutlierDetector {
	private readonly _endpoints = new Map<string, EndpointState>();
	private readonly _random: () => number;

	/** `random` returns numbers from zero to one. */
	constructor(random: () => number) {
		this._random = random;
	}

	/** Standing of an endpoint at a moment. */
	standing(endpointId: string, nowMs: number): EndpointStanding {
		const state = this._endpoints.get(endpointId);
		if (!state?.isOut) {
			return 'admitted';
		}

		const isDue = state.passedOver >= statementsPerTrial || nowMs >= state.ejectedUntilMs + longestEjectionMs;
		return nowMs < state.ejectedUntilMs || !isDue || nowMs - state.trialSinceMs < trialTimeoutMs ? 'ejected' : 'trial';
	}

	/** Records figures of an endpoint; returns the ejection if they show that it is an outlier. `isEjectable` is false for a primary. */
	note(endpointId: string, figures: EndpointFigures, isEjectable: boolean, nowMs: number): Ejection | undefined {
		const state = this._state(endpointId);
		if (state.isOut) {
			return undefined;
		}

		state.figures = {...figures, atMs: nowMs};
		if (!isEjectable || figures.measured < leastMeasured) {
			return undefined;
		}

		const medianMs = this._medianOfOthersMs(endpointId, nowMs);
		const isSlow = medianMs !== undefined && figures.serviceMs > Math.max(medianMs * slowFactor, medianMs + leastExcessMs);
		const isFailing = figures.failedShare > highestFailedShare;
		return isSlow || isFailing ? this._eject(state, isFailing ? 'failing' : 'slow', medianMs ?? 0, nowMs) : undefined;
	}

	/** Records that a statement is sent elsewhere because an endpoint is ejected. */
	notePassedOver(endpointId: string): void {
		this._state(endpointId).passedOver += 1;
	}

	/** Records that an endpoint on trial is sent a statement. */
	beginTrial(endpointId: string, nowMs: number): void {
		this._state(endpointId).trialSinceMs = nowMs;
	}

	/** Records that a trial statement did not run, so that another may follow. */
	abandonTrial(endpointId: string): void {
		this._state(endpointId).trialSinceMs = Number.NEGATIVE_INFINITY;
	}

	/** Records how a trial statement ended; returns the next ejection, or undefined if the endpoint is admitted again. */
	endTrial(endpointId: string, {isFailed, serviceMs}: {readonly isFailed: boolean; readonly serviceMs: number}, nowMs: number): Ejection | undefined {
		const state = this._state(endpointId);
		state.trialSinceMs = Number.NEGATIVE_INFINITY;
		const medianMs = this._medianOfOthersMs(endpointId, nowMs);
		const isSlow = medianMs !== undefined && serviceMs > Math.max(medianMs * slowFactor, medianMs + leastExcessMs);
		if (isFailed || isSlow) {
			return this._eject(state, isFailed ? 'failing' : 'slow', medianMs ?? 0, nowMs);
		}

		state.isOut = false;
		state.figures = undefined;
		return undefined;
	}

	private _eject(state: EndpointState, reason: Ejection['reason'], medianMs: number, nowMs: number): Ejection {
		const isRepeated = nowMs - state.ejectedUntilMs < forgetAfterMs;
		const ejectedForMs = isRepeated ? Math.min(longestEjectionMs, state.ejectedForMs * 2) : shortestEjectionMs;
		// Without jitter, the trial statements of all nodes would arrive together and wait for each other.
		const forMs = ejectedForMs * (1 + (this._random() * jitterShare));
		state.isOut = true;
		state.passedOver = 0;
		state.ejectedForMs = ejectedForMs;
		state.ejectedUntilMs = nowMs + forMs;
		return {reason, forMs, medianMs};
	}

	private _medianOfOthersMs(endpointId: string, nowMs: number): number | undefined {
		const times: number[] = [];
		for (const [id, {figures}] of this._endpoints) {
			if (id !== endpointId && figures && figures.measured >= leastMeasured && nowMs - figures.atMs <= figuresKeptMs) {
				times.push(figures.serviceMs);
			}
		}

		times.sort((a, b) => a - b);
		// Of two, the higher one counts, so that one fast peer does not make an ordinary endpoint an outlier.
		return times.at(Math.floor(times.length / 2));
	}

	private _state(endpointId: string): EndpointState {
		let state = this._endpoints.get(endpointId);
		if (!state) {
			state = {
				ejectedUntilMs: Number.NEGATIVE_INFINITY, ejectedForMs: 0, isOut: false, passedOver: 0, trialSinceMs: Number.NEGATIVE_INFINITY,
			};
			this._endpoints.set(endpointId, state);
		}

		return state;
	}
}
