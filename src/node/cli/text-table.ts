/**
 * Tables of text for terminals.
 */
import {escapeControls} from '../../common/observability/readable-text.js';

/** Formats rows as lines with aligned columns; an absent or empty value shows as a hyphen, and control characters are escaped. */
export function textTable(headings: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number | undefined>>): string {
	const lines = [headings, ...rows].map(row => row.map(value => value === undefined || value === '' ? '-' : escapeControls(String(value))));
	const widths = headings.map((_, column) => Math.max(...lines.map(line => line[column].length)));
	return lines
		.map(line => line.map((value, column) => value.padEnd(widths[column])).join('  ').trimEnd())
		.join('\n');
}
