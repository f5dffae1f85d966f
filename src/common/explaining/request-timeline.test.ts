import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {LogEventName} from '../services/services.js';
import {logEvents} from '../observability/log-events.js';
import {parseLogLines} from './log-lines.js';
import {buildRequestTimeline} from './request-timeline.js';

const times = {beforeMs: 5000, afterMs: 5000};

/** A log line as a node writes it, `atS` seconds after a fixed time. */
function line(atS: number, node: string, name: LogEventName, fields: Record<string, unknown>): string {
	const {number, level, message} = logEvents[name];
	return JSON.stringify({
		time: new Date(Date.UTC(2026, 0, 1) + (atS * 1000)).toISOString(), number, name, level, node, message, fields,
	});
}

const logs = [
	line(1, 'n2', 'configurationInForce', {version: 1}),
	line(9, 'n1', 'statementTurnedAway', {
		request: 'r1', endpoint: 'i-1', kind: 'endpointUnavailable', group: 'svc', via: 'n3',
	}),
	line(9.1, 'n3', 'forwardedRefused', {request: 'r1', endpoint: 'i-1', kind: 'endpointUnavailable'}),
	line(9.2, 'n1', 'statementRefused', {
		request: 'r1', kind: 'noPrimary', detail: 'i-1 of term 1, not proved', outcome: 'notRun', tookMs: 350,
	}),
	line(9.3, 'n4', 'promotionStarted', {group: 'svc', reason: 'crashed'}),
	line(9.9, 'n4', 'promotionFinished', {group: 'svc', outcome: 'done'}),
	line(10, 'n4', 'promotionStarted', {group: 'other', reason: 'silent'}),
	line(12, 'n1', 'statementRefused', {
		request: 'r2', kind: 'outcomeUnknown', detail: 'the connection broke', outcome: 'unknown', tookMs: 12,
	}),
	line(40, 'n4', 'promotionStarted', {group: 'svc', reason: 'crashed'}),
];

describe('buildRequestTimeline', () => {
	it('orders the lines about a request and about its group, and leaves out all others', () => {
		const timeline = buildRequestTimeline(parseLogLines(logs.toReversed().join('\n')), 'r1', times)!;
		expect(timeline.lines.map(({line: {node, name}, isOwn}) => `${node} ${name} ${isOwn}`)).toEqual([
			'n1 statementTurnedAway true',
			'n3 forwardedRefused true',
			'n1 statementRefused true',
			'n4 promotionStarted false',
			'n4 promotionFinished false',
		]);
	});

	it('concludes which answer the caller received, whether the request ran, and why', () => {
		const {conclusions} = buildRequestTimeline(parseLogLines(logs.join('\n')), 'r1', times)!;
		expect(conclusions).toEqual([
			'n1 answered noPrimary after 350 ms (i-1 of term 1, not proved); the request did not run.',
			'The group had no primary that could be proved while a promotion was under way.',
		]);
	});

	// Guards against a conclusion from the promotion of another group.
	it('leaves out the group of an endpoint whose id is only a part of the id in a detail', () => {
		const known = [
			line(2, 'n1', 'endpointRegistered', {endpoint: 'i-7', service: 'other'}),
			line(2, 'n1', 'endpointRegistered', {endpoint: 'i-70', service: 'svc'}),
			line(9, 'n4', 'promotionStarted', {group: 'other', reason: 'crashed'}),
			line(9.2, 'n1', 'statementRefused', {
				request: 'r3', kind: 'noPrimary', detail: 'i-70 of term 1, not proved', outcome: 'notRun', tookMs: 350,
			}),
		];
		const {lines} = buildRequestTimeline(parseLogLines(known.join('\n')), 'r3', times)!;
		expect(lines.map(({line: {name}}) => name)).toEqual(['statementRefused']);
	});

	it('finds the group of a refusal by the endpoint that its detail names', () => {
		const known = [
			line(2, 'n1', 'endpointRegistered', {endpoint: 'i-7', service: 'svc'}),
			line(9.2, 'n1', 'statementRefused', {
				request: 'r3', kind: 'noPrimary', detail: 'i-7 of term 1, not proved', outcome: 'notRun', tookMs: 350,
			}),
			line(9.3, 'n4', 'promotionStarted', {group: 'svc', reason: 'crashed'}),
		];
		const {lines} = buildRequestTimeline(parseLogLines(known.join('\n')), 'r3', times)!;
		expect(lines.map(({line: {name}}) => name)).toEqual(['statementRefused', 'promotionStarted']);
	});

	it('concludes of an unknown outcome only that it is unknown', () => {
		const {conclusions} = buildRequestTimeline(parseLogLines(logs.join('\n')), 'r2', times)!;
		expect(conclusions[0].endsWith('the request may or may not have run.')).toEqual(true);
	});

	it('says that log lines were dropped', () => {
		const timeline = buildRequestTimeline(parseLogLines([...logs, line(9.5, 'n1', 'logLinesDropped', {dropped: {}})].join('\n')), 'r1', times)!;
		expect(timeline.conclusions.at(-1)).toEqual('A node dropped log lines in this time: the timeline may have gaps.');
	});

	it('returns undefined for a request that no line names', () => {
		expect(buildRequestTimeline(parseLogLines(logs.join('\n')), 'r9', times)).toEqual(undefined);
	});
});

describe('parseLogLines', () => {
	it('parses lines after a collector\'s prefix and skips everything else', () => {
		const text = `9.2 n1 ${logs[0]}\nsomething {else}\n${logs[1].slice(0, 30)}\n\n${logs[2]}`;
		expect(parseLogLines(text).map(({name}) => name)).toEqual(['configurationInForce', 'forwardedRefused']);
	});
});
