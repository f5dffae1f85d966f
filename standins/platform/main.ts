/**
 * Entry point of the platform stand-in: `node main.js --settings FILE`. Prints one line of JSON on
 * standard output when it is ready, and exits on SIGTERM or SIGINT.
 */
import process from 'node:process';
import {Command} from 'commander';
import {loadFile} from '../../src/node/settings/settings-file.js';
import {SystemClock} from '../../src/node/system-clock.js';
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import {PlatformServer} from './server.js';
import {platformSettingsSchema, type PlatformSettings} from './settings.js';

async function readSettings(file: string | undefined): Promise<PlatformSettings> {
	if (file === undefined) {
		return platformSettingsSchema.parse({});
	}

	const loaded = await loadFile(file, platformSettingsSchema);
	if (loaded.isLeft()) {
		throw loaded.extract();
	}

	return loaded.unsafeCoerce();
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
