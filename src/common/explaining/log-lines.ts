/**
 * Reads back the lines that nodes log.
 */
import {z} from 'zod';

const lineSchema = z.object({
	time: z.string(),
	number: z.number(),
	name: z.string(),
	node: z.string(),
	message: z.string(),
	fields: z.record(z.string(), z.unknown()),
});

/** One line of a node's log. */
export type LogLine = z.output<typeof lineSchema>;

/** Lines of a text in their order; what stands before a line on it, and what is no line of a log, is left out. */
export function parseLogLines(text: string): LogLine[] {
	return text.split('\n').flatMap(line => {
		const start = line.indexOf('{');
		return start === -1 ? [] : parseLine(line.slice(start));
	});
}

function parseLine(json: string): LogLine[] {
	try {
		const parsed = lineSchema.safeParse(JSON.parse(json));
		return parsed.success ? [parsed.data] : [];
	} catch {
		// Collected logs hold lines of other programs and lines that were cut off.
		return [];
	}
}
