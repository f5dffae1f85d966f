/**
 * The commands that read a settings file: `serve` and `check-settings`.
 */
import process from 'node:process';
import {Command} from 'commander';
import type {Either} from 'purify-ts';
import {settingsSchema, type Settings} from '../../common/settings/settings-schema.js';
import {ConsolaLog} from '../observability/consola-log.js';
import {loadSettings, parseSettings, type SettingsError} from '../settings/settings-file.js';
import {exitCodes, type ExitCode} from './constants.js';
import {serve} from './serve.js';
import type {CliContext, StartNode} from './types.js';

/** File name that stands for standard input. */
const standardInput = '-';

/** `quetzalstream serve`. */
export function serveCommand(context: CliContext, startNode: StartNode, finish: (code: ExitCode) => void): Command {
	return new Command('serve')
		.description('run a node until SIGTERM or SIGINT; the first signal drains it, a second one ends it at once')
		.requiredOption('-s, --settings <file>', 'settings in JSON with comments; - reads standard input')
		.addHelpText('after', `
Prints one line of JSON on standard output when it serves callers; logs go to standard error.

Examples:
  quetzalstream serve --settings /etc/quetzalstream/node.jsonc
  printenv NODE_SETTINGS | quetzalstream serve --settings -`)
		.action(async ({settings: file}: {settings: string}) => {
			const loaded = await readSettings(file, context);
			loaded.ifLeft(error => {
				context.writeError(`${error.message}\n`);
				finish(exitCodes.usage);
			});
			const settings = loaded.toMaybe().extract();
			if (settings) {
				const log = new ConsolaLog({node: settings.node.name, ...settings.logs});
				const code = await serve(settings, startNode, {events: process, write: context.write, log});
				finish(code);
				// A peer's half-open connection must not keep a drained process alive.
				process.exit(code); // eslint-disable-line unicorn/no-process-exit
			}
		});
}

/** `quetzalstream check-settings`. */
export function checkSettingsCommand(context: CliContext, finish: (code: ExitCode) => void): Command {
	return new Command('check-settings')
		.description('check a settings file and print every problem with its line and column')
		.requiredOption('-s, --settings <file>', 'settings in JSON with comments; - reads standard input')
		.option('--json', 'print problems as JSON')
		.addHelpText('after', `
Examples:
  quetzalstream check-settings --settings node.jsonc
  quetzalstream check-settings --settings node.jsonc --json`)
		.action(async ({settings: file, json: isJson}: {settings: string; json?: boolean}) => {
			const loaded = await readSettings(file, context);
			loaded.ifLeft(error => {
				context.writeError(isJson ? `${JSON.stringify({problems: error.problems})}\n` : `${error.message}\n`);
				finish(exitCodes.usage);
			}).ifRight(() => {
				context.write(isJson ? `${JSON.stringify({problems: []})}\n` : `${file}: no problems\n`);
			});
		});
}

async function readSettings(file: string, context: CliContext): Promise<Either<SettingsError, Settings>> {
	if (file === standardInput) {
		return parseSettings(await context.readInput(), file, settingsSchema, context.environment);
	}

	return loadSettings(file, context.environment);
}
