/**
 * Draws a day's refusals as stacked bars over time, in SVG.
 */
import type {DaySummary, RefusalCause} from './day-summary.js';
import {countsByCause} from './day-summary.js';

/** Sizes in pixels; the width shows one minute in spans of a second on a phone in landscape orientation. */
const plot = {
	width: 720, height: 240, margin: 32, legendRow: 16,
} as const;

/** Colours that colour-blind readers can distinguish. */
const colours: Readonly<Record<RefusalCause, string>> = {
	primaryUnknown: '#000000',
	termNotProved: '#e69f00',
	primaryOutOfReach: '#d55e00',
	noConnection: '#56b4e9',
	noSlotInTime: '#0072b2',
	noFreshEndpoint: '#009e73',
	endpointOutOfReach: '#cc79a7',
	answerLost: '#f0e442',
	leaving: '#999999',
	requestItself: '#dddddd',
};

/** Returns the plot of a day as SVG text; `spanMs` is the length of the summary's spans. */
export function plotDay({spans, totals}: DaySummary, spanMs: number): string {
	const lastMs = Math.max(spanMs, ...spans.map(({fromMs}) => fromMs + spanMs));
	const sums = spans.map(({refused}) => countsByCause(refused).reduce((sum, [, count]) => sum + count, 0));
	const highest = Math.max(1, ...sums);
	const perMs = (plot.width - (2 * plot.margin)) / lastMs;
	const perRequest = (plot.height - (2 * plot.margin)) / highest;
	const baselineY = plot.height - plot.margin;
	const bars = spans.flatMap(({fromMs, refused}) => {
		let y = baselineY;
		return countsByCause(refused).map(([cause, count]) => {
			y -= count * perRequest;
			return `<rect x="${round(plot.margin + (fromMs * perMs))}" y="${round(y)}" width="${round(spanMs * perMs)}" height="${round(count * perRequest)}" fill="${colours[cause]}"/>`;
		});
	});
	const legend = totals.map(([cause, count], row) => {
		const y = plot.height + (row * plot.legendRow);
		return `<rect x="${plot.margin}" y="${y}" width="10" height="10" fill="${colours[cause]}"/><text x="${plot.margin + 16}" y="${y + 9}">${cause}: ${count}</text>`;
	});
	const height = plot.height + (totals.length * plot.legendRow) + plot.margin;
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${plot.width} ${height}" font-family="sans-serif" font-size="11">`,
		`<text x="${plot.margin}" y="16">Refused requests in ${spanMs / 1000} s, at most ${highest}; ${Math.round(lastMs / 1000)} s in all</text>`,
		`<line x1="${plot.margin}" y1="${baselineY}" x2="${plot.width - plot.margin}" y2="${baselineY}" stroke="#000000"/>`,
		...bars,
		...legend,
		'</svg>',
		'',
	].join('\n');
}

function round(pixels: number): number {
	return Math.round(pixels * 10) / 10;
}
