/**
 * Options of the commands that talk to the operators API, and how their results are shown.
 */
import {Command} from 'commander';
import type {Either} from 'purify-ts';
import type {ClientRefusal} from '../operators/operator-client.js';
import {environmentNames, exitCodes, type ExitCode} from './constants.js';
import {describeRefusal, exitCodeOf} from './refusals.js';
import type {CliContext, OperatorApi} from './types.js';

/** Options that all commands of the operators API have. */
export type OperatorOptions = {
	readonly url?: string;
	readonly user?: string;
	readonly password?: string;
	readonly json?: boolean;
};

/** A command that calls the operators API, with the options for it. */
export function operatorCommand(name: string, description: string): Command {
	return new Command(name)
		.description(description)
		.option('--url <url>', `operators API of any node (${environmentNames.url})`)
		.option('--user <user>', `operator (${environmentNames.user})`)
		.option('--password <password>', `prefer ${environmentNames.password}, as other users of the host can see command lines`)
		.option('--json', 'print the answer as JSON');
}

/** Calls the API and prints its answer or refusal; resolves with the exit code. */
export async function callApi<T>(
	context: CliContext,
	options: OperatorOptions,
	ask: (api: OperatorApi) => Promise<Either<ClientRefusal, T>>,
	show: (answer: T) => string,
): Promise<ExitCode> {
	const api = connect(context, options);
	if (!api) {
		return exitCodes.usage;
	}

	const answer = await ask(api);
	return answer
		.map((value): ExitCode => {
			context.write(options.json ? `${JSON.stringify(value, undefined, 2)}\n` : `${show(value).trimEnd()}\n`);
			return exitCodes.ok;
		})
		.mapLeft(refusal => {
			context.writeError(options.json ? `${JSON.stringify(refusal)}\n` : `quetzalstream: ${describeRefusal(refusal)}\n`);
			return exitCodeOf(refusal);
		})
		.extract();
}

function connect(context: CliContext, options: OperatorOptions): OperatorApi | undefined {
	const {environment} = context;
	const url = options.url ?? environment[environmentNames.url];
	const user = options.user ?? environment[environmentNames.user];
	const password = options.password ?? environment[environmentNames.password];
	if (url === undefined || user === undefined || password === undefined) {
		context.writeError(`quetzalstream: give --url, --user and --password, or ${Object.values(environmentNames).join(', ')}\n`);
		return undefined;
	}

	if (!URL.canParse(url)) {
		context.writeError(`quetzalstream: ${url} is not a URL\n`);
		return undefined;
	}

	return context.connectApi({url, user, password});
}
