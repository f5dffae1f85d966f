/**
 * The program `quetzalstream` with all its commands.
 */
import {Command, CommanderError} from 'commander';
import {configCommand} from './config-commands.js';
import {exitCodeHelp, exitCodes, type ExitCode} from './constants.js';
import {delegatedCommand} from './delegated-command.js';
import {explainDayCommand, explainRequestCommand} from './explain-command.js';
import {checkSettingsCommand, serveCommand} from './settings-commands.js';
import {auditCommand, statusCommand} from './status-commands.js';
import type {CliContext, StartNode} from './types.js';

/** Runs one command line, without the program's own name, and resolves with its exit code. */
export async function runProgram(commandLine: readonly string[], context: CliContext, startNode: StartNode): Promise<ExitCode> {
	let exitCode: ExitCode = exitCodes.ok;
	const finish = (code: ExitCode): void => {
		exitCode = code;
	};

	const program = new Command('quetzalstream')
		.description('Database proxy with session consistency')
		.enablePositionalOptions()
		.addHelpText('after', exitCodeHelp);
	program.addCommand(serveCommand(context, startNode, finish));
	program.addCommand(checkSettingsCommand(context, finish));
	program.addCommand(statusCommand(context, finish));
	program.addCommand(configCommand(context, finish));
	program.addCommand(auditCommand(context, finish));
	program.addCommand(explainRequestCommand(context, finish));
	program.addCommand(explainDayCommand(context, finish));
	program.addCommand(delegatedCommand('demo', context, finish));
	program.addCommand(delegatedCommand('bench', context, finish));
	configureErrorHandling(program, context);
	try {
		await program.parseAsync(commandLine, {from: 'user'});
		return exitCode;
	} catch (error) {
		if (error instanceof CommanderError) {
			return error.exitCode === 0 ? exitCodes.ok : exitCodes.usage;
		}

		context.writeError(`quetzalstream: ${error instanceof Error ? error.message : String(error)}\n`);
		return exitCodes.failed;
	}
}

/** Makes commander throw instead of ending the process, for a command and all its subcommands. */
function configureErrorHandling(command: Command, context: CliContext): void {
	command.exitOverride();
	command.configureOutput({writeOut: context.write, writeErr: context.writeError});
	command.showHelpAfterError('(add --help for more)');
	for (const inner of command.commands) {
		configureErrorHandling(inner, context);
	}
}
