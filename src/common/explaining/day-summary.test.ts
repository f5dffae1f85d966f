import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {LogEventName} from '../services/services.js';
import {logEvents} from '../observability/log-events.js';
import {plotDay} from './day-plot.js';
import {summariseDay} from './day-summary.js';
import {parseLogLines} from './log-lines.js';

/** A log line as a node writes it, `atS` seconds after a fixed time. */
function line(atS: number, node: string, name: LogEventName, fields: Record<string, unknown> = {}): string {
	const {number, level, message} = logEvents[name];
	return JSON.stringify({
		time: new Date(Date.UTC(2026, 0, 1) + (atS * 1000)).toISOString(), number, name, level, node, message, fields,
	});
}

function refusal(atS: number, kind: string, detail: string): string {
	return line(atS, 'n1', 'statementRefused', {request: `r${atS}`, kind, detail});
}

const lines = parseLogLines([
	line(0, 'n1', 'processLoaded'),
	line(0.1, 'n2', 'processLoaded'),
	refusal(2.1, 'noPrimary', 'none known'),
	refusal(2.2, 'noPrimary', 'i-1 of term 3, not proved'),
	refusal(2.3, 'noPrimary', 'i-1 of term 3, silent'),
	refusal(2.4, 'noPrimary', 'i-1 of term 3, silent'),
	refusal(3.1, 'overloaded', 'i-1 had too many connections a moment ago'),
	refusal(3.2, 'overloaded', 'BUSY i-1'),
	refusal(3.3, 'outcomeUnknown', 'no answer'),
	refusal(3.4, 'unknownGroup', 'db'),
	line(3.5, 'n2', 'promotionStarted', {group: 'svc'}),
].toReversed().join('\n'));

describe('summariseDay', () => {
	it('counts refusals by cause and span, and lists the events of each span', () => {
		const day = summariseDay(lines, 1000)!;
		expect(day.spans).toEqual([
			{fromMs: 0, refused: {}, marks: ['processLoaded (n2, n1)']},
			{fromMs: 2000, refused: {primaryOutOfReach: 2, termNotProved: 1, primaryUnknown: 1}, marks: []},
			{
				fromMs: 3000, refused: {
					requestItself: 1, answerLost: 1, noSlotInTime: 1, noConnection: 1,
				}, marks: ['promotionStarted (svc)'],
			},
		]);
		expect(day.totals[0]).toEqual(['primaryOutOfReach', 2]);
		expect(day.totals.reduce((sum, [, count]) => sum + count, 0)).toEqual(8);
	});

	it('returns undefined if there are no lines', () => {
		expect(summariseDay([], 1000)).toEqual(undefined);
	});
});

describe('plotDay', () => {
	it('draws exactly one bar for each cause and span', () => {
		const svg = plotDay(summariseDay(lines, 1000)!, 1000);
		const bars = svg.split('\n').filter(row => row.startsWith('<rect') && !row.includes('<text'));
		expect(bars.length).toEqual(7);
		expect(svg.includes('at most 4')).toEqual(true);
	});
});
