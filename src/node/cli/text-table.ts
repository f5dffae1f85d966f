/**
 * Tables of text for terminals.
 */

/** Lines with columns of one width; a value that is absent shows as a hyphen. */
export function textTable(heads: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number | undefined>>): string {
	const lines = [heads, ...rows].map(row => row.map(value => value === undefined || value === '' ? '-' : String(value)));
	const widths = heads.map((_, column) => Math.max(...lines.map(line => line[column].length)));
	return lines
		.map(line => line.map((value, column) => value.padEnd(widths[column])).join('  ').trimEnd())
		.join('\n');
}
