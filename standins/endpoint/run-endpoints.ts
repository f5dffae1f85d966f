/**
 * Command line of the endpoint stand-in.
 */
import {rmSync} from 'node:fs';
import process from 'node:process';
import {Command} from 'commander';
import {Endpoint} from './endpoint.js';
import {readSettings} from './settings.js';

/**
 * Starts the endpoints of the settings files in the arguments. Prints one JSON line to standard output when
 * each of them listens: `{"ready":true,"name":..,"port":..,"controlPort":..}`.
 */
export async function runEndpoints(argumentList: readonly string[], maximum = Number.POSITIVE_INFINITY): Promise<void> {
	const command = new Command()
		.requiredOption('--settings <file...>', 'settings file of an endpoint')
		.option('--fresh', 'delete the stored term promise of an earlier run and start as for the first time', false);
	command.parse([...argumentList], {from: 'user'});
	const {settings, fresh} = command.opts<{settings: string[]; fresh: boolean}>();
	if (settings.length > maximum) {
		command.error('main.js runs a single endpoint; use host.js to run several');
	}

	const endpoints: Endpoint[] = [];
	for (const file of settings) {
		endpoints.push(await startEndpoint(file, fresh));
	}

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.once(signal, () => {
			for (const endpoint of endpoints) {
				endpoint.dispose();
			}

			process.exit(0);
		});
	}
}

async function startEndpoint(file: string, isFresh: boolean): Promise<Endpoint> {
	const settings = readSettings(file);
	if (isFresh && settings.promiseFile !== undefined) {
		rmSync(settings.promiseFile, {force: true});
	}

	const endpoint = new Endpoint(settings);
	await endpoint.start();
	const line = {
		ready: true, name: endpoint.name, port: endpoint.port, controlPort: endpoint.controlPort,
	};
	process.stdout.write(`${JSON.stringify(line)}\n`);
	return endpoint;
}
