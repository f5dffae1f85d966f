/**
 * Runs a node until it is told to stop.
 */
import type {Log} from '../../common/services/services.js';
import type {Settings} from '../../common/settings/settings-schema.js';
import {exitCodes, type ExitCode} from './constants.js';
import type {RunningNode, StartNode} from './types.js';

/** What a serving process hears from its host. */
export type ProcessEvents = {
	on(name: 'SIGTERM' | 'SIGINT' | 'uncaughtException' | 'unhandledRejection', listener: (reason: unknown) => void): unknown;
	/** Ends the process at once. */
	exit(code: ExitCode): void;
};

/** What serving uses of its process. */
export type ServeContext = {
	readonly events: ProcessEvents;
	readonly write: (text: string) => void;
	readonly log: Log;
};

/**
 * Starts a node and resolves with the exit code once it has been drained. The first signal
 * drains, the second ends the process at once.
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

/** Tells a supervisor that callers are served, and where. */
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

/** State may be damaged after an error that nobody expected: the process ends. */
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
