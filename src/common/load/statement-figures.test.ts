import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, boolean, double, property, record,
} from 'fast-check';
import {StatementFigures} from './statement-figures.js';

describe('StatementFigures', () => {
	// A window that never forgets would keep a recovered endpoint ejected for as long as few statements reach it.
	it('forget a failing past after a few successes that are far apart', () => {
		const figures = new StatementFigures();
		for (let count = 0; count < 16; count++) {
			figures.note(10, count % 2 === 0, count);
		}

		expect(figures.failedShare > 0.4).toEqual(true);
		for (let count = 1; count <= 4; count++) {
			figures.note(10, false, count * 2000);
		}

		expect(figures.failedShare < 0.2).toEqual(true);
	});

	it('are based on fewer statements as time passes', () => {
		const figures = new StatementFigures();
		for (let count = 0; count < 100; count++) {
			figures.note(10, false, 0);
		}

		expect([figures.measured(0), figures.measured(2000), figures.measured(20_000)]).toEqual([16, 8, 0]);
	});

	it('stay within the values that were noted', () => {
		const steps = array(record({afterMs: double({min: 0, max: 5000, noNaN: true}), serviceMs: double({min: 1, max: 900, noNaN: true}), isFailed: boolean()}), {minLength: 1, maxLength: 60});
		assert(property(steps, notes => {
			const figures = new StatementFigures();
			let nowMs = 0;
			for (const {afterMs, serviceMs, isFailed} of notes) {
				nowMs += afterMs;
				figures.note(serviceMs, isFailed, nowMs);
				const known = notes.map(note => note.serviceMs);
				expect(figures.serviceMs >= Math.min(...known) - 1e-6 && figures.serviceMs <= Math.max(...known) + 1e-6).toEqual(true);
				expect(figures.failedShare >= 0 && figures.failedShare <= 1).toEqual(true);
				expect(figures.measured(nowMs) >= 1 && figures.measured(nowMs) <= 16).toEqual(true);
			}
		}), {seed: 11, numRuns: 200});
	});
});
