/**
 * Formats the results of a benchmark as text tables.
 */
import type {
	BenchResult, BoundedFigure, Cell, Table,
} from './types.js';

/** Significant digits with which fractional figures are printed. */
const shownDigits = 3;

/** Formats the tables and bounds of a result as text. */
export function formatResult({tables, bounded}: BenchResult): string {
	const checks: Table = {
		title: 'Bounds',
		columns: ['figure', 'value', 'maximum', 'held'],
		rows: bounded.map(figure => [figure.name, figure.value, figure.maximum, isWithinBound(figure) ? 'yes' : 'NO']),
	};
	return [...tables, checks].filter(({rows}) => rows.length > 0).map(table => formatTable(table)).join('\n');
}

/** Figures that exceed their bound or were not measured. */
export function exceeded(bounded: readonly BoundedFigure[]): readonly BoundedFigure[] {
	return bounded.filter(figure => !isWithinBound(figure));
}

/** A figure that is NaN was not measured; it counts as out of bounds too. */
function isWithinBound({value, maximum}: BoundedFigure): boolean {
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
