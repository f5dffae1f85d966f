import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	assert, array, integer, property,
} from 'fast-check';
import {loadDefaults} from './constants.js';
import type {WaitingCaller} from './promotion-forecast.js';
import {PromotionForecast} from './promotion-forecast.js';

function caller(change: Partial<WaitingCaller> = {}): WaitingCaller {
	return {
		nowMs: 0, timeLeftMs: 800, spacingMs: 4, nodes: 10, random: 0, ...change,
	};
}

/** Plays a vacancy in which a caller is refused every 50 ms. */
function vacancy(forecast: PromotionForecast, sinceMs: number, durationMs: number): void {
	for (let atMs = 0; atMs < durationMs; atMs += 50) {
		forecast.returnAfterMs(caller({nowMs: sinceMs + atMs}));
	}

	forecast.noteFound(sinceMs + durationMs);
}

describe('PromotionForecast', () => {
	it('expects the bound until a promotion has been seen, which ends after the deadline', () => {
		const forecast = new PromotionForecast(2500, loadDefaults);
		expect([forecast.returnAfterMs(caller()), new PromotionForecast(500, loadDefaults).returnAfterMs(caller())]).toEqual([undefined, 500]);
	});

	it('gives each refused caller a later place, spread over the nodes that do the same', () => {
		const forecast = new PromotionForecast(2500, loadDefaults);
		vacancy(forecast, 0, 400);
		const times = [caller({nowMs: 1000}), caller({nowMs: 1000}), caller({nowMs: 1100, random: 0.5})].map(waiting => forecast.returnAfterMs(waiting));
		expect(times).toEqual([400, 440, 400]);
	});

	it('gives no time once a promotion lasts longer than expected', () => {
		const forecast = new PromotionForecast(2500, loadDefaults);
		vacancy(forecast, 0, 400);
		forecast.returnAfterMs(caller({nowMs: 1000}));
		expect(forecast.returnAfterMs(caller({nowMs: 1400}))).toEqual(undefined);
	});

	// Guards against learning the time without statements as a promotion.
	it('learns nothing from a vacancy whose end it did not see', () => {
		const forecast = new PromotionForecast(2500, loadDefaults);
		vacancy(forecast, 0, 400);
		forecast.returnAfterMs(caller({nowMs: 1000}));
		forecast.noteFound(9000);
		expect(forecast.returnAfterMs(caller({nowMs: 10_000}))).toEqual(400);
	});

	it('never gives a time past the deadline, nor expects more than the bound', () => {
		const durations = array(integer({min: 1, max: 4000}), {maxLength: 10});
		assert(property(durations, integer({min: 1, max: 3000}), integer({min: 1, max: 200}), (given, timeLeftMs, nodes) => {
			const forecast = new PromotionForecast(2500, loadDefaults);
			let nowMs = 0;
			for (const durationMs of given) {
				vacancy(forecast, nowMs, durationMs);
				nowMs += durationMs + 10_000;
			}

			const first = forecast.returnAfterMs(caller({nowMs, timeLeftMs, nodes}));
			expect(first === undefined || (first > 0 && first <= Math.min(timeLeftMs, 2500))).toEqual(true);
		}), {seed: 16, numRuns: 300});
	});
});
