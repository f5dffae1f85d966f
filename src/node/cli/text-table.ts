/**
 * Tables of text for terminals.
 */

/** Formats rows as lines with aligned columns; an absent or empty value shows as a hyphen. */
export function textTable(headings: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number | undefined>>): string {
	const lines = [headings, ...rows].map(row => row.map(value => value === undefined || value === '' ? '-' : String(value)));
	const widths = headings.map((_, column) => Math.max(...lines.map(line => line[column].length)));
	return lines
		.map(line => line.map((value, column) => value.padEnd(widths[column])).join('  ').trimEnd())
		.join('\n');
}
