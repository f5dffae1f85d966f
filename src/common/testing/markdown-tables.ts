/**
 * Reads tables of the documentation, for tests that check that pages and code agree.
 */

/** Cells of every table row in a Markdown text, without the header rows. */
export function tableRows(text: string): string[][] {
	const lines = text.split('\n');
	const isHeading = (index: number): boolean => /^\|(?:-+\|)+$/v.test(lines[index + 1] ?? '');
	return lines
		.filter((line, index) => line.startsWith('| ') && !isHeading(index))
		.map(line => line.split('|').slice(1, -1).map(cell => cell.trim()));
}
