/**
 * The commands that change the configuration: propose, apply, undo and order-primary.
 */
import {setTimeout as pause} from 'node:timers/promises';
import type {Command} from 'commander';
import {Left, Right, type Either} from 'purify-ts';
import type {Change} from '../../common/configuration/schema.js';
import type {Preview} from '../../common/configuration/types.js';
import type {ClientRefusal, ProposalOptions} from '../operators/operator-client.js';
import type {ChangeReach} from '../operators/types.js';
import {exitCodes, reachWait, type ExitCode} from './constants.js';
import {parseWholeNumber} from './parse-whole-number.js';
import {readChangeFile, desiredChangeOf, type ChangeFile} from './change-file.js';
import {callApi, operatorCommand, type OperatorOptions} from './operator-options.js';
import type {CliContext, OperatorApi} from './types.js';

type ChangeOptions = OperatorOptions & {
	readonly note?: string;
	readonly basedOn?: number;
	readonly acknowledge?: readonly string[];
	readonly wait: boolean;
};

type Finish = (code: ExitCode) => void;

/** An accepted change, and the nodes on which it is in force if the command waited for that. */
type AcceptedChange = {readonly change: Change; readonly reach?: ChangeReach};

/** `quetzalstream config propose`. */
export function proposeCommand(context: CliContext, finish: Finish): Command {
	return operatorCommand('propose', 'show what a change would affect, without making it')
		.argument('<file>', 'the desired change, in JSON with comments; - reads standard input')
		.addHelpText('after', `
The file holds the output of \`config get\` after editing, a whole document, or a list of operations.

Example:
  quetzalstream config propose configuration.json`)
		.action(async (file: string, options: OperatorOptions) => {
			await withChangeFile(context, file, finish, async changeFile =>
				callApi(context, options, async api => api.preview(desiredChangeOf(changeFile)), describePreview));
		});
}

/** `quetzalstream config apply`. */
export function applyCommand(context: CliContext, finish: Finish): Command {
	return changeCommand('apply', 'put a change in force')
		.argument('<file>', 'the desired change, in JSON with comments; - reads standard input')
		.addHelpText('after', `
Changes by others after the number that the file is based on are a conflict: exit code 3.

Examples:
  quetzalstream config apply configuration.json --note "drain lopburi"
  quetzalstream config apply operations.json --acknowledge noReader:stock`)
		.action(async (file: string, options: ChangeOptions) => {
			await withChangeFile(context, file, finish, async changeFile => {
				const version = 'version' in changeFile ? changeFile.version : undefined;
				return change(context, {...options, basedOn: options.basedOn ?? version}, async (api, proposal) => api.propose(desiredChangeOf(changeFile), proposal));
			});
		});
}

/** `quetzalstream config undo`. */
export function undoCommand(context: CliContext, finish: Finish): Command {
	return changeCommand('undo', 'revert a change by making a new one')
		.argument('<number>', 'number of the change', parseWholeNumber)
		.addHelpText('after', `
Example:
  quetzalstream config undo 41`)
		.action(async (number: number, options: ChangeOptions) => {
			finish(await change(context, options, async (api, proposal) => api.undo(number, proposal)));
		});
}

/** `quetzalstream config order-primary`. */
export function orderPrimaryCommand(context: CliContext, finish: Finish): Command {
	return changeCommand('order-primary', 'order an endpoint to be primary of its group; without an endpoint, end the order')
		.argument('<group>', 'database group')
		.argument('[endpoint]', 'endpoint of the group')
		.addHelpText('after', `
Examples:
  quetzalstream config order-primary sales sales-2
  quetzalstream config order-primary sales`)
		.action(async (group: string, endpoint: string | undefined, options: ChangeOptions) => {
			finish(await change(context, options, async (api, proposal) => api.orderPrimary(group, endpoint, proposal)));
		});
}

function changeCommand(name: string, description: string): Command {
	return operatorCommand(name, description)
		.option('--note <text>', 'reason, kept with the change')
		.option('--based-on <number>', 'number of the last change that this one takes into account; the newest by default', parseWholeNumber)
		.option('--acknowledge <ids...>', 'ids of warnings to acknowledge')
		.option('--no-wait', 'do not wait until the change is in force on the nodes');
}

/** Sends a change and, with `wait`, waits until it is in force; resolves with the exit code. */
async function change(
	context: CliContext,
	options: ChangeOptions,
	send: (api: OperatorApi, proposal: ProposalOptions) => Promise<Either<ClientRefusal, Change>>,
): Promise<ExitCode> {
	return callApi(context, options, async api => {
		const basedOn = await basedOnOf(api, options.basedOn);
		if (basedOn.isLeft()) {
			return Left(basedOn.swap().unsafeCoerce());
		}

		const accepted = await send(api, {
			basedOn: basedOn.unsafeCoerce(),
			...(options.note !== undefined && {note: options.note}),
			...(options.acknowledge && {acknowledged: options.acknowledge}),
		});
		const made = accepted.toMaybe().extract();
		if (!made) {
			return Left(accepted.swap().unsafeCoerce());
		}

		const reach = options.wait ? await awaitReach(api, made.number) : undefined;
		return Right<AcceptedChange>({change: made, ...(reach && {reach})});
	}, describeAccepted);
}

async function basedOnOf(api: OperatorApi, stated: number | undefined): Promise<Either<ClientRefusal, number>> {
	if (stated !== undefined) {
		return Right(stated);
	}

	const current = await api.configuration();
	return current.map(({version}) => version);
}

/** Polls until the change is in force on all nodes or the tries are used up; resolves with the last answer, if there was one. */
async function awaitReach(api: OperatorApi, number: number): Promise<ChangeReach | undefined> {
	let last: ChangeReach | undefined;
	for (let tries = 0; tries < reachWait.tries; tries++) {
		const answer = await api.reach(number);
		last = answer.toMaybe().extract() ?? last;
		if (last?.isEverywhere) {
			return last;
		}

		await pause(reachWait.pauseMs);
	}

	return last;
}

async function withChangeFile(context: CliContext, file: string, finish: Finish, act: (changeFile: ChangeFile) => Promise<ExitCode>): Promise<void> {
	const read = await readChangeFile(context, file);
	const changeFile = read.toMaybe().extract();
	if (changeFile) {
		finish(await act(changeFile));
		return;
	}

	read.ifLeft(error => {
		context.writeError(`${error.message}\n`);
	});
	finish(exitCodes.usage);
}

function describePreview({basedOn, differences, touched, warnings}: Preview): string {
	return [
		`compared with change ${basedOn}:`,
		...differences.map(({kind, name, action}) => `  ${action} ${kind} ${name}`),
		`touches ${touched.endpointCount} endpoints, ${touched.groupCount} groups, ${touched.zoneCount} zones, ${touched.callerCount} listed callers`,
		...(touched.touchesUnlistedCallers ? ['touches callers that are not listed, too'] : []),
		...warnings.map(({id, message}) => `warning ${id}: ${message}`),
	].join('\n');
}

function describeAccepted({change: {number}, reach}: AcceptedChange): string {
	if (!reach) {
		return `accepted as change ${number}`;
	}

	const names = (nodes: ReadonlyArray<{readonly name: string}>): string => nodes.map(({name}) => name).join(', ');
	return [
		`accepted as change ${number}; in force on ${reach.inForceCount} of ${reach.nodeCount} nodes`,
		reach.lagging.length === 0 ? '' : `not yet in force on ${names(reach.lagging)}`,
		reach.cutOff.length === 0 ? '' : `no answer from ${names(reach.cutOff)}`,
	].filter(line => line !== '').join('\n');
}
