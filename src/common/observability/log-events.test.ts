import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {tableRows} from '../testing/markdown-tables.js';
import {logEvents} from './log-events.js';

const page = readFileSync('docs/EVENTS.md', 'utf8');

/** Sections of the page with their number ranges, which stand in the headings: `## Title (1000–1099)`. */
function sections(): Array<{firstNumber: number; lastNumber: number; rows: string[][]}> {
	return page.split(/^## /mv).slice(1).map(section => {
		const [, firstNumber, lastNumber] = /^.*\((\d+)–(\d+)\)$/mv.exec(section) ?? [];
		return {firstNumber: Number(firstNumber), lastNumber: Number(lastNumber), rows: tableRows(section)};
	});
}

describe('logEvents', () => {
	it('uses each number once', () => {
		const numbers = Object.values(logEvents).map(({number}) => number);
		expect(numbers.length).toEqual(new Set(numbers).size);
	});

	it('agrees with docs/EVENTS.md in number, name and level', () => {
		const documented = sections().flatMap(({rows}) => rows).map(([number, name, level]) => `${number} ${name} ${level}`);
		const kept = Object.entries(logEvents).map(([name, {number, level}]) => `${number} \`${name}\` ${level}`);
		expect(documented.toSorted()).toEqual(kept.toSorted());
	});

	it('documents each event in full, in the number range of its section', () => {
		for (const {firstNumber, lastNumber, rows} of sections()) {
			for (const row of rows) {
				const number = Number(row[0]);
				expect(number >= firstNumber && number <= lastNumber).toEqual(true);
				expect(row.every(cell => cell.length > 0)).toEqual(true);
			}
		}
	});
});
