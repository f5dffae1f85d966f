/**
 * `quetzalstream config`: shows and changes the configuration.
 */
import {Command} from 'commander';
import type {Explanation, SettingExplanation} from '../../common/configuration/explain.js';
import type {ChangeList} from '../operators/operator-client.js';
import {
	applyCommand, orderPrimaryCommand, proposeCommand, undoCommand,
} from './change-commands.js';
import type {ExitCode} from './constants.js';
import {parseWholeNumber} from './parse-whole-number.js';
import {callApi, operatorCommand, type OperatorOptions} from './operator-options.js';
import {describeChange} from './refusals.js';
import type {CliContext} from './types.js';

/** `quetzalstream config` with its subcommands. */
export function configCommand(context: CliContext, finish: (code: ExitCode) => void): Command {
	const command = new Command('config').description('show and change the configuration');
	for (const make of [getCommand, proposeCommand, applyCommand, undoCommand, orderPrimaryCommand, logCommand, explainCommand]) {
		command.addCommand(make(context, finish));
	}

	return command;
}

function getCommand(context: CliContext, finish: (code: ExitCode) => void): Command {
	return operatorCommand('get', 'print the configuration in force and its number, as JSON')
		.addHelpText('after', `
The output can be edited and given to \`config propose\` and \`config apply\`.

Example:
  quetzalstream config get > configuration.json`)
		.action(async (options: OperatorOptions) => {
			finish(await callApi(context, options, async api => api.configuration(), answer => JSON.stringify(answer, undefined, 2)));
		});
}

function logCommand(context: CliContext, finish: (code: ExitCode) => void): Command {
	return operatorCommand('log', 'show changes, newest first')
		.option('--limit <count>', 'changes to show', parseWholeNumber)
		.option('--before <number>', 'only changes with smaller numbers', parseWholeNumber)
		.addHelpText('after', `
Example:
  quetzalstream config log --limit 10`)
		.action(async (options: OperatorOptions & {limit?: number; before?: number}) => {
			finish(await callApi(context, options, async api => api.changes(options.limit, options.before), describeLog));
		});
}

type ExplainOptions = OperatorOptions & {caller: string; group: string; zone?: string; application?: string; write?: boolean};

function explainCommand(context: CliContext, finish: (code: ExitCode) => void): Command {
	return operatorCommand('explain', 'explain which rules apply to a caller and a group, and why')
		.requiredOption('--caller <user>', 'user name of the caller')
		.requiredOption('--group <group>', 'database group')
		.option('--zone <zone>', 'availability zone of the caller')
		.option('--application <name>', 'application_name of the caller')
		.option('--write', 'explain a write instead of a read')
		.addHelpText('after', `
Example:
  quetzalstream config explain --caller public --group stock --zone ayutthaya`)
		.action(async (options: ExplainOptions) => {
			const {caller: user, group, zone, application, write: isWrite} = options;
			finish(await callApi(context, options, async api => api.explain({
				user, group, zone, application, access: isWrite ? 'write' : 'read',
			}), describeExplanation));
		});
}

function describeLog({version, changes}: ChangeList): string {
	return [`in force on this node: ${version}`, ...changes.map(change => describeChange(change))].join('\n');
}

function describeExplanation({summary, settings, endpoints}: Explanation): string {
	const lines = endpoints.map(({endpoint, availabilityZone, mayServe, reasons}) =>
		`${endpoint} in ${availabilityZone}: ${mayServe ? 'may serve' : 'does not serve'}${reasons.length === 0 ? '' : ` (${reasons.join('; ')})`}`);
	return [...summary, '', ...settings.flatMap(setting => describeSetting(setting)), '', ...lines].join('\n');
}

function describeSetting({setting, value, winner, candidates}: SettingExplanation): string[] {
	const source = winner === undefined ? 'by default' : `by rule ${winner}`;
	const others = candidates.filter(({rule}) => rule !== winner).map(({rule, value: other, selector, lostBy}) =>
		`    not ${JSON.stringify(other)} of rule ${rule} (${selector}): weaker by ${lostBy}`);
	return [`${setting} = ${value === undefined ? 'unbounded' : JSON.stringify(value)}, ${source}`, ...others];
}
