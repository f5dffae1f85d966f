/**
 * Latencies and counts of runs that are reported together.
 */
import {build} from 'hdr-histogram-js';
import {histogramOptions} from './constants.js';
import type {RawAnswer} from './raw-client.js';
import type {SeriesReport} from './types.js';

/** Latencies and counts of one series. */
export class Series {
	durationMs = 0;
	private readonly _histogram = build({...histogramOptions});
	private readonly _errors: Record<string, number> = {};
	private _statements = 0;
	private _frames = 0;
	private _pieces = 0;

	/** Records one answer and its latency. */
	add(latencyMs: number, {frames, pieces, sqlState}: RawAnswer): void {
		this._statements++;
		this._frames += frames;
		this._pieces += pieces;
		this._histogram.recordValue(Math.max(1, Math.round(latencyMs * 1000)));
		if (sqlState !== undefined) {
			this._errors[sqlState] = (this._errors[sqlState] ?? 0) + 1;
		}
	}

	/** The figures so far. */
	report(): SeriesReport {
		return {
			statements: this._statements,
			errors: this._errors,
			durationMs: this.durationMs,
			p50Ms: this._histogram.getValueAtPercentile(50) / 1000,
			p99Ms: this._histogram.getValueAtPercentile(99) / 1000,
			frames: this._frames,
			pieces: this._pieces,
		};
	}
}
