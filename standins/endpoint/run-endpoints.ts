/**
 * Command line of the endpoint stand-in.
 */
import {rmSync} from 'node:fs';
import process from 'node:process';
import {Command} from 'commander';
import {Endpoint} from './endpoint.js';
import {readSettings} from './settings.js';

/**
 * Starts the endpoints that the arguments name, and says when each listens in one JSON line:
 * `{"ready":true,"name":..,"port":..,"controlPort":..}`.
 */
export async function runEndpoints(argumentList: readonly string[], maximum = Number.POSITIVE_INFINITY): Promise<void> {
	const command = new Command()
		.requiredOption('--settings <file...>', 'settings file of an endpoint')
		.option('--fresh', 'forget what was kept of an earlier run: this is a first start', false);
	command.parse([...argumentList], {from: 'user'});
	const {settings, fresh} = command.opts<{settings: string[]; fresh: boolean}>();
	if (settings.length > maximum) {
		command.error('this program runs one endpoint; use host.js for several');
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
