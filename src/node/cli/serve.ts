/**
 * Runs a node until the process receives a signal to stop.
 */
import type {Log} from '../../common/services/services.js';
import type {Settings} from '../../common/settings/settings-schema.js';
import {exitCodes, type ExitCode} from './constants.js';
import type {RunningNode, StartNode} from './types.js';

/** The events of a process that `serve` listens to; `process` provides them. */
export type ProcessEvents = {
	on(name: 'SIGTERM' | 'SIGINT' | 'uncaughtException' | 'unhandledRejection', listener: (reason: unknown) => void): unknown;
	/** Ends the process at once. */
	exit(code: ExitCode): void;
};

/** The parts of the process that `serve` uses. */
export type ServeContext = {
	readonly events: ProcessEvents;
	readonly write: (text: string) => void;
	readonly log: Log;
};

/**
 * Starts a node and resolves with the exit code once it has been drained. The first signal
 * starts the drain, a second one ends the process at once.
 */
export async function serve(settings: Settings, startNode: StartNode, host: ServeContext): Promise<ExitCode> {
	const {events, log} = host;
	const stopped = waitForStopSignal(events);
	exitOnUncaught(events, log);
	let node: RunningNode | undefined;
	try {
		node = await startNode(settings);
		await Promise.race([announceReady(node, settings, host), stopped]);
		await stopped;
		await node.drain();
		return exitCodes.ok;
	} catch (error) {
		log.event('uncaughtError', {error: describe(error)});
		return exitCodes.failed;
	} finally {
		node?.dispose();
	}
}

/** Writes a line of JSON for a supervisor once callers are served, with the name and the ports of the node. */
async function announceReady(node: RunningNode, settings: Settings, {write}: ServeContext): Promise<void> {
	await node.ready;
	write(`${JSON.stringify({ready: true, node: settings.node.name, ports: node.ports})}\n`);
}

/** Resolves with the first signal to stop; a second one ends the process at once. */
export async function waitForStopSignal(events: ProcessEvents): Promise<void> {
	return new Promise(resolve => {
		let isStopping = false;
		const stop = (): void => {
			if (isStopping) {
				events.exit(exitCodes.failed);
			}

			isStopping = true;
			resolve();
		};

		events.on('SIGTERM', stop);
		events.on('SIGINT', stop);
	});
}

/** Logs an uncaught error and ends the process, since its state may be inconsistent after that. */
export function exitOnUncaught(events: ProcessEvents, log: Log): void {
	for (const name of ['uncaughtException', 'unhandledRejection'] as const) {
		events.on(name, reason => {
			log.event('uncaughtError', {error: describe(reason)});
			events.exit(exitCodes.failed);
		});
	}
}

function describe(error: unknown): string {
	return error instanceof Error ? error.stack ?? error.message : String(error);
}
