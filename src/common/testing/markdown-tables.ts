/**
 * Reads tables of the documentation, for tests that keep pages and code in step.
 */

/** Cells of every row of a text's tables, headings left out. */
export function tableRows(text: string): string[][] {
	const lines = text.split('\n');
	const isHeading = (index: number): boolean => /^\|(?:-+\|)+$/v.test(lines[index + 1] ?? '');
	return lines
		.filter((line, index) => line.startsWith('| ') && !isHeading(index))
		.map(line => line.split('|').slice(1, -1).map(cell => cell.trim()));
}
