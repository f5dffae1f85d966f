import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Finding} from '../findings.js';
import {OwnedItem} from './owned-item.js';

function itemWith(...outcomes: ReadonlyArray<'acknowledged' | 'notRun' | 'unknown'>): {item: OwnedItem; findings: Finding[]} {
	const findings: Finding[] = [];
	const item = new OwnedItem('x', finding => {
		findings.push(finding);
	});
	for (const outcome of outcomes) {
		item.end(item.begin(), outcome);
	}

	return {item, findings};
}

describe('OwnedItem', () => {
	const cases = [
		{outcomes: ['acknowledged', 'acknowledged'], shown: 2, found: []},
		{outcomes: ['acknowledged', 'acknowledged'], shown: 1, found: ['stale']},
		{outcomes: ['acknowledged', 'unknown'], shown: 2, found: []},
		{outcomes: ['acknowledged', 'unknown'], shown: 1, found: []},
		{outcomes: ['acknowledged', 'notRun'], shown: 2, found: ['ranAfterNotRun']},
		{outcomes: ['acknowledged'], shown: 2, found: ['invented']},
		{outcomes: [], shown: 0, found: []},
	] as const;

	for (const {outcomes, shown, found} of cases) {
		it(`finds ${found.join(', ') || 'nothing'} where ${shown} is read after ${outcomes.join(', ') || 'no write'}`, () => {
			const {item, findings} = itemWith(...outcomes);
			item.check(shown, item.minimumValue(0), 'a reader');
			expect(findings.map(({promise}) => promise)).toEqual([...found]);
		});
	}

	it('requires of a read with a maximum age only what was acknowledged at least that long ago', () => {
		const {item} = itemWith('acknowledged');
		expect(item.minimumValue(60_000)).toEqual(0);
	});
});
