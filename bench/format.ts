/**
 * Prints results for people.
 */
import type {
	BenchResult, BoundedFigure, Cell, Table,
} from './types.js';

/** Significant digits of figures that are not whole. */
const shownDigits = 3;

/** The tables and bounds of a result, as text. */
export function formatResult({tables, bounded}: BenchResult): string {
	const checks: Table = {
		title: 'Bounds',
		columns: ['figure', 'value', 'maximum', 'held'],
		rows: bounded.map(figure => [figure.name, figure.value, figure.maximum, isHeld(figure) ? 'yes' : 'NO']),
	};
	return [...tables, checks].filter(({rows}) => rows.length > 0).map(table => formatTable(table)).join('\n');
}

/** Figures that exceed their bound. */
export function exceeded(bounded: readonly BoundedFigure[]): readonly BoundedFigure[] {
	return bounded.filter(figure => !isHeld(figure));
}

/** A figure that is not a number was not measured, which does not hold either. */
function isHeld({value, maximum}: BoundedFigure): boolean {
	return value <= maximum;
}

function formatTable({title, columns, rows}: Table): string {
	const lines = [columns, ...rows.map(row => row.map(cell => formatCell(cell)))];
	const widths = columns.map((_column, index) => Math.max(...lines.map(line => line[index].length)));
	const text = lines.map(line => line.map((cell, index) => index === 0 ? cell.padEnd(widths[index]) : cell.padStart(widths[index])).join('  '));
	const ruler = widths.map(width => '-'.repeat(width)).join('  ');
	return [title, '', text[0], ruler, ...text.slice(1), ''].join('\n');
}

function formatCell(cell: Cell): string {
	if (typeof cell === 'string') {
		return cell;
	}

	return Number.isInteger(cell) || Math.abs(cell) >= 10 ** shownDigits
		? String(Math.round(cell))
		: String(Number(cell.toPrecision(shownDigits)));
}
