/**
 * Starts the platform stand-in: `node main.js --settings FILE`. Prints one line of JSON on
 * standard output when it is ready, and ends on SIGTERM or SIGINT.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {Command} from 'commander';
import {parse, printParseErrorCode, type ParseError} from 'jsonc-parser';
import {SystemClock} from '../../src/node/system-clock.js';
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import {PlatformServer} from './server.js';
import {platformSettingsSchema, type PlatformSettings} from './settings.js';

async function readSettings(file: string | undefined): Promise<PlatformSettings> {
	if (file === undefined) {
		return platformSettingsSchema.parse({});
	}

	const errors: ParseError[] = [];
	const json: unknown = parse(await readFile(file, 'utf8'), errors, {allowTrailingComma: true});
	if (errors.length > 0) {
		throw new Error(`${file}: ${printParseErrorCode(errors[0].error)} at offset ${errors[0].offset}`);
	}

	return platformSettingsSchema.parse(json);
}

const command = new Command('platform-standin')
	.option('--settings <file>', 'settings in JSON with comments')
	.action(async (options: {settings?: string}) => {
		const settings = await readSettings(options.settings);
		const server = new PlatformServer(settings, new SystemClock(), new SeededRandom(settings.seed));
		const port = await server.listen();
		process.stdout.write(`${JSON.stringify({ready: true, port})}\n`);
		const stop = (): void => {
			server.dispose();
		};

		process.once('SIGTERM', stop);
		process.once('SIGINT', stop);
	});

await command.parseAsync();
