/**
 * Parses the log lines of nodes.
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

/** Returns the log lines of a text in order; prefixes of log lines and lines that are not log lines are left out. */
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
		// Collected logs contain lines of other programs and truncated lines.
		return [];
	}
}
