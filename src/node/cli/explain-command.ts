/**
 * The command `explain-request`: from the id of a request to its cause, from collected logs.
 */
import {readFile} from 'node:fs/promises';
import {Command} from 'commander';
import {parseLogLines} from '../../common/explaining/log-lines.js';
import {tellStory, type RequestStory, type StoryLine} from '../../common/explaining/request-story.js';
import {exitCodes, type ExitCode} from './constants.js';
import type {CliContext} from './types.js';

/** Time around a request that is shown by default: a failover takes some three seconds. */
const defaultSeconds = 5;

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
			const texts = await Promise.all(logs.map(async file => file === '-' ? context.readInput() : readFile(file, 'utf8')));
			const span = seconds * 1000;
			const story = tellStory(texts.flatMap(text => parseLogLines(text)), id, {beforeMs: span, afterMs: span});
			if (!story) {
				context.writeError(`quetzalstream: no line names ${id}: it was answered without a detour, or its lines were left out (1008), or a log is missing\n`);
				finish(exitCodes.failed);
				return;
			}

			context.write(json ? `${JSON.stringify(story)}\n` : pageOf(story));
		});
}

function pageOf({lines, conclusions}: RequestStory): string {
	return [...lines.map(line => rowOf(line)), '', ...conclusions].map(row => `${row}\n`).join('');
}

function rowOf({line: {time, node, number, name, fields}, isOwn}: StoryLine): string {
	const shown = Object.entries(fields).filter(([key]) => key !== 'request').map(([key, value]) => `${key}=${JSON.stringify(value)}`);
	return [isOwn ? '>' : ' ', time.slice(11, 23), node, String(number), name, ...shown].join(' ');
}
