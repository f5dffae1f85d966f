/**
 * The commands `explain-request` and `explain-day`: from the id of a request, or from a whole
 * day, to causes, from collected logs.
 */
import {readFile, writeFile} from 'node:fs/promises';
import {Command} from 'commander';
import {plotDay} from '../../common/explaining/day-plot.js';
import {entriesOf, summariseDay, type DaySummary} from '../../common/explaining/day-summary.js';
import {parseLogLines, type LogLine} from '../../common/explaining/log-lines.js';
import {buildRequestTimeline, type RequestTimeline, type TimelineLine} from '../../common/explaining/request-timeline.js';
import {exitCodes, type ExitCode} from './constants.js';
import {textTable} from './text-table.js';
import type {CliContext} from './types.js';

/** Time around a request that is shown by default: a failover takes some three seconds. */
const defaultSeconds = 5;

/** Length of a row of a day. */
const defaultSpanSeconds = 1;

type ExplainDayOptions = {
	readonly logs: readonly string[];
	readonly seconds: number;
	readonly svg?: string;
	readonly json: boolean;
};

type ExplainOptions = {
	readonly logs: readonly string[];
	readonly seconds: number;
	readonly json: boolean;
};

/** The command. */
export function explainRequestCommand(context: CliContext, finish: (code: ExitCode) => void): Command {
	return new Command('explain-request')
		.description('show what nodes logged of a request and its group, as one timeline, and what follows from it')
		.argument('<id>', 'id of the request')
		.requiredOption('--logs <files...>', 'logs of all nodes; - for standard input')
		.option('--seconds <number>', 'time before and after the request that is shown', Number, defaultSeconds)
		.option('--json', 'print the timeline as JSON', false)
		.action(async (id: string, {logs, seconds, json}: ExplainOptions) => {
			const span = seconds * 1000;
			const story = buildRequestTimeline(await readLogs(logs, context), id, {beforeMs: span, afterMs: span});
			if (!story) {
				context.writeError(`quetzalstream: no line names ${id}: it was answered without a detour, or its lines were left out (1008), or a log is missing\n`);
				finish(exitCodes.failed);
				return;
			}

			context.write(json ? `${JSON.stringify(story)}\n` : formatTimeline(story));
		});
}

/** The command for a day. */
export function explainDayCommand(context: CliContext, finish: (code: ExitCode) => void): Command {
	return new Command('explain-day')
		.description('show second by second what requests were refused for, and what happened meanwhile')
		.requiredOption('--logs <files...>', 'logs of all nodes; - for standard input')
		.option('--seconds <number>', 'length of a row', Number, defaultSpanSeconds)
		.option('--svg <file>', 'write a plot as well')
		.option('--json', 'print the rows as JSON', false)
		.action(async ({logs, seconds, svg, json}: ExplainDayOptions) => {
			if (!(seconds > 0)) {
				context.writeError(`quetzalstream: --seconds must be a number above zero, found ${seconds}\n`);
				finish(exitCodes.usage);
				return;
			}

			const spanMs = seconds * 1000;
			const day = summariseDay(await readLogs(logs, context), spanMs);
			if (!day) {
				context.writeError('quetzalstream: the files hold no line of a node\'s log\n');
				finish(exitCodes.failed);
				return;
			}

			context.write(json ? `${JSON.stringify(day)}\n` : formatDayTable(day));
			if (svg !== undefined) {
				await writeFile(svg, plotDay(day, spanMs));
			}
		});
}

async function readLogs(files: readonly string[], context: CliContext): Promise<LogLine[]> {
	const texts = await Promise.all(files.map(async file => file === '-' ? context.readInput() : readFile(file, 'utf8')));
	return texts.flatMap(text => parseLogLines(text));
}

/** Served requests are not logged one by one: the histogram `callerRequestMs` counts them. */
function formatDayTable({startMs, spans, totals}: DaySummary): string {
	const causes = totals.map(([cause]) => cause);
	const rows = spans.map(({fromMs, refused, marks}) => {
		const counts = new Map(entriesOf(refused));
		return [new Date(startMs + fromMs).toISOString().slice(11, 23), ...causes.map(cause => counts.get(cause)), marks.join('; ')];
	});
	return `${textTable(['from', ...causes, 'events'], [...rows, ['all', ...totals.map(([, count]) => count), '']])}\n`;
}

function formatTimeline({lines, conclusions}: RequestTimeline): string {
	return [...lines.map(line => formatTimelineLine(line)), '', ...conclusions].map(row => `${row}\n`).join('');
}

function formatTimelineLine({line: {time, node, number, name, fields}, isOwn}: TimelineLine): string {
	const shown = Object.entries(fields).filter(([key]) => key !== 'request').map(([key, value]) => `${key}=${JSON.stringify(value)}`);
	return [isOwn ? '>' : ' ', time.slice(11, 23), node, String(number), name, ...shown].join(' ');
}
