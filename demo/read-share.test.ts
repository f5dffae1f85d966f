import {describe, it} from 'node:test';
import {expect} from 'earl';
import {countReads} from './read-share.js';
import {percentile} from './samples.js';

describe('countReads', () => {
	it('sums reads by the role of the endpoint', () => {
		const text = [
			'# TYPE quetzalstream_answered_requests_total counter',
			'quetzalstream_answered_requests_total{access="read",role="replica",node="n1"} 12',
			'quetzalstream_answered_requests_total{access="read",role="primary",node="n1"} 3',
			'quetzalstream_answered_requests_total{access="write",role="primary",node="n1"} 7',
			'quetzalstream_answered_requests_total{access="read",role="unknown",node="n1"} 9',
		].join('\n');
		expect(countReads(text)).toEqual({replica: 12, primary: 3});
	});
});

describe('percentile', () => {
	it('returns the sample at the given share', () => {
		expect(percentile([5, 1, 3], 0.5)).toEqual(3);
		expect(percentile([1, 2, 3, 4], 1)).toEqual(4);
		expect(percentile([], 0.5)).toEqual(Number.NaN);
	});
});
