/**
 * Runs a node that reaches every endpoint itself, until it is told to stop.
 */
import process from 'node:process';
import type {Either} from 'purify-ts';
import {Right} from 'purify-ts';
import {directSettingsSchema, type DirectSettings} from '../../common/settings/direct-settings-schema.js';
import type {Log} from '../../common/services/services.js';
import {BoundedLog} from '../observability/bounded-log.js';
import {ConsolaLog} from '../observability/consola-log.js';
import {loadFile} from '../settings/settings-file.js';
import {SystemClock} from '../system-clock.js';
import {startDirectNode} from './direct-node.js';
import type {DirectNodePlace, DirectServeOptions} from './types.js';

const okCode = 0;
const failedCode = 1;

/** Resolves with the exit code once the node has stopped. */
export async function serveDirectNode(options: DirectServeOptions): Promise<number> {
	const place = options.readPlace();
	const settings = await readSettings(options.settingsFile);
	const problems = [place, settings].flatMap(read => read.isLeft() ? [read.extract()] : []);
	if (problems.length > 0) {
		process.stderr.write(`${problems.join('\n')}\n`);
		return options.badSettingsCode;
	}

	if (options.isCheck) {
		return okCode;
	}

	return run(place.unsafeCoerce(), settings.unsafeCoerce(), options);
}

async function run(place: DirectNodePlace, settings: DirectSettings, options: DirectServeOptions): Promise<number> {
	const log = makeLog(place, settings);
	exitOnUncaught(log);
	process.on('SIGHUP', () => {
		reload(options, log);
	});
	const stopped = new Promise<void>(resolve => {
		process.once('SIGTERM', resolve);
		process.once('SIGINT', resolve);
	});
	const node = await startDirectNode(place, settings, options, log);
	await stopped;
	await node.drain();
	// A connection that is half open must not keep a drained process alive.
	process.exit(okCode); // eslint-disable-line unicorn/no-process-exit
}

function makeLog(place: DirectNodePlace, settings: DirectSettings): Log {
	const lines = new ConsolaLog({
		node: place.name,
		level: settings.logs.level,
		write(line) {
			process.stdout.write(line);
		},
	});
	return new BoundedLog(lines, new SystemClock(), settings.logs.linesPerS);
}

/** Addresses and the zone hold as long as the process: a reload checks the file and says what it holds. */
function reload({readPlace}: DirectServeOptions, log: Log): void {
	readPlace().ifLeft(problem => {
		log.event('settingsReloaded', {isValid: false, problem});
	}).ifRight(({name, availabilityZone}) => {
		log.event('settingsReloaded', {isValid: true, name, availabilityZone});
	});
}

async function readSettings(file: string | undefined): Promise<Either<string, DirectSettings>> {
	if (file === undefined) {
		return Right(directSettingsSchema.parse({}));
	}

	const loaded = await loadFile(file, directSettingsSchema);
	return loaded.mapLeft(({message}) => message);
}

/** State may be damaged after an error that nobody expected: the process ends. */
function exitOnUncaught(log: Log): void {
	for (const name of ['uncaughtException', 'unhandledRejection'] as const) {
		process.on(name, (reason: unknown) => {
			log.event('uncaughtError', {error: reason instanceof Error ? reason.stack ?? reason.message : String(reason)});
			process.exit(failedCode);
		});
	}
}
