/**
 * Commands that are implemented by separate programs of this package: demo and bench.
 */
import {access} from 'node:fs/promises';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Command} from 'commander';
import {exitCodes, type ExitCode} from './constants.js';
import type {CliContext} from './types.js';

/** Compiled programs, relative to this module. */
const programs = {
	demo: {url: new URL('../../../demo/main.js', import.meta.url), summary: 'start a whole system on this machine and show it at work'},
	bench: {url: new URL('../../../bench/main.js', import.meta.url), summary: 'measure latency, replica reads and failover on this machine'},
} as const;

/** A command that passes all arguments after its name to its program. */
export function delegatedCommand(name: keyof typeof programs, context: CliContext, finish: (code: ExitCode) => void): Command {
	const {url, summary} = programs[name];
	return new Command(name)
		.description(`${summary}; see \`quetzalstream ${name} --help\` for its options`)
		.helpOption(false)
		.allowUnknownOption()
		.allowExcessArguments()
		.argument('[options...]', 'options of the program')
		.action(async (options: string[]) => {
			const file = fileURLToPath(url);
			if (!await isPresent(file)) {
				context.writeError(`quetzalstream: this installation has no ${name} program\n`);
				finish(exitCodes.failed);
				return;
			}

			// The program reads its options from `process.argv`, as if it had been started directly.
			process.argv = [process.argv[0], file, ...options];
			await import(url.href);
		});
}

async function isPresent(file: string): Promise<boolean> {
	try {
		await access(file);
		return true;
	} catch {
		return false;
	}
}
