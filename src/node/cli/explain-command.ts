/**
 * The commands `explain-request` and `explain-day`: they derive from collected logs what happened
 * to a request, or why requests were refused in the course of a day.
 */
import {readFile, writeFile} from 'node:fs/promises';
import {Command} from 'commander';
import {plotDay} from '../../common/explaining/day-plot.js';
import {countsByCause, summariseDay, type DaySummary} from '../../common/explaining/day-summary.js';
import {parseLogLines, type LogLine} from '../../common/explaining/log-lines.js';
import {buildRequestTimeline, type RequestTimeline, type TimelineLine} from '../../common/explaining/request-timeline.js';
import {escapeControls} from '../../common/observability/readable-text.js';
import {exitCodes, type ExitCode} from './constants.js';
import {textTable} from './text-table.js';
import type {CliContext} from './types.js';

/** Default time before and after a request that is shown; a failover takes about three seconds. */
const defaultSeconds = 5;

/** Default length of the interval that one row of `explain-day` covers. */
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

/** `quetzalstream explain-request`. */
export function explainRequestCommand(context: CliContext, finish: (code: ExitCode) => void): Command {
	return new Command('explain-request')
		.description('show what nodes logged about a request and its group, as one timeline with conclusions')
		.argument('<id>', 'id of the request')
		.requiredOption('--logs <files...>', 'logs of all nodes; - for standard input')
		.option('--seconds <number>', 'time before and after the request that is shown', Number, defaultSeconds)
		.option('--json', 'print the timeline as JSON', false)
		.action(async (id: string, {logs, seconds, json}: ExplainOptions) => {
			const span = seconds * 1000;
			const timeline = buildRequestTimeline(await readLogs(logs, context), id, {beforeMs: span, afterMs: span});
			if (!timeline) {
				context.writeError(`quetzalstream: no line names ${id}: it was answered without a detour, or its lines were dropped to limit the log (event 1008), or a log is missing\n`);
				finish(exitCodes.failed);
				return;
			}

			context.write(json ? `${JSON.stringify(timeline)}\n` : formatTimeline(timeline));
		});
}

/** `quetzalstream explain-day`. */
export function explainDayCommand(context: CliContext, finish: (code: ExitCode) => void): Command {
	return new Command('explain-day')
		.description('show for each second why requests were refused, and the events of that time')
		.requiredOption('--logs <files...>', 'logs of all nodes; - for standard input')
		.option('--seconds <number>', 'length of the interval of a row', Number, defaultSpanSeconds)
		.option('--svg <file>', 'also write a plot to this file')
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

/** Formats refusals by cause; served requests are not logged individually, but counted by the histogram `callerRequestMs`. */
function formatDayTable({startMs, spans, totals}: DaySummary): string {
	const causes = totals.map(([cause]) => cause);
	const rows = spans.map(({fromMs, refused, marks}) => {
		const counts = new Map(countsByCause(refused));
		return [new Date(startMs + fromMs).toISOString().slice(11, 23), ...causes.map(cause => counts.get(cause)), marks.join('; ')];
	});
	return `${textTable(['from', ...causes, 'events'], [...rows, ['all', ...totals.map(([, count]) => count), '']])}\n`;
}

function formatTimeline({lines, conclusions}: RequestTimeline): string {
	return [...lines.map(line => formatTimelineLine(line)), '', ...conclusions].map(row => `${escapeControls(row)}\n`).join('');
}

function formatTimelineLine({line: {time, node, number, name, fields}, isOwn}: TimelineLine): string {
	const shown = Object.entries(fields).filter(([key]) => key !== 'request').map(([key, value]) => `${key}=${JSON.stringify(value)}`);
	return [isOwn ? '>' : ' ', time.slice(11, 23), node, String(number), name, ...shown].join(' ');
}
