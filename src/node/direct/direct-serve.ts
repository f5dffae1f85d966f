/**
 * Runs a node that connects to every endpoint itself, until it receives a stop signal.
 */
import process from 'node:process';
import {getHeapStatistics} from 'node:v8';
import type {Either} from 'purify-ts';
import {Right} from 'purify-ts';
import {directSettingsSchema, type DirectSettings} from '../../common/settings/direct-settings-schema.js';
import type {Log} from '../../common/services/services.js';
import {RateLimitedLog} from '../observability/rate-limited-log.js';
import {ConsolaLog} from '../observability/consola-log.js';
import {loadFile} from '../settings/settings-file.js';
import {SystemClock} from '../system-clock.js';
import {exitCodes, type ExitCode} from '../cli/constants.js';
import {exitOnUncaught, waitForStopSignal, type ProcessEvents} from '../cli/serve.js';
import {startDirectNode} from './direct-node.js';
import type {DirectNodeEnvironment, DirectServeOptions} from './types.js';

/** Runs a node, or only checks its settings; resolves with the exit code if no node was started. */
export async function serveDirectNode(options: DirectServeOptions): Promise<ExitCode> {
	const environment = options.readEnvironment();
	const settings = await readSettings(options.settingsFile);
	const problems = [environment, settings].flatMap(read => read.isLeft() ? [read.extract()] : []);
	if (problems.length > 0) {
		process.stderr.write(`${problems.join('\n')}\n`);
		return exitCodes.usage;
	}

	if (options.isCheck) {
		return exitCodes.ok;
	}

	return runNode(environment.unsafeCoerce(), settings.unsafeCoerce(), options);
}

const bytesPerMb = 1024 * 1024;

const events: ProcessEvents = process;

async function runNode(environment: DirectNodeEnvironment, settings: DirectSettings, options: DirectServeOptions): Promise<ExitCode> {
	const log = makeLog(environment, settings);
	exitOnUncaught(events, log);
	logStart(log, options);
	process.on('SIGHUP', () => {
		reload(options, log);
	});
	const stopped = waitForStopSignal(events);
	const node = await startDirectNode(environment, settings, options, log);
	await stopped;
	await node.drain();
	// A half-open connection must not keep a drained process alive.
	process.exit(exitCodes.ok); // eslint-disable-line unicorn/no-process-exit
}

/** Logs the processor time of the start and the heap limit, so that a slow start or a small heap shows in the first line. */
function logStart(log: Log, {isCodeCacheUsed}: DirectServeOptions): void {
	const {user, system} = process.cpuUsage();
	log.event('processLoaded', {
		isCodeCacheUsed,
		processorMs: Math.round((user + system) / 1000),
		heapLimitMb: Math.round(getHeapStatistics().heap_size_limit / bytesPerMb),
	});
}

function makeLog(environment: DirectNodeEnvironment, settings: DirectSettings): Log {
	const lines = new ConsolaLog({
		node: environment.name,
		level: settings.logs.level,
		write(line) {
			process.stdout.write(line);
		},
	});
	return new RateLimitedLog(lines, new SystemClock(), settings.logs.linesPerS);
}

/** Checks the environment's file and logs its result. Addresses and the zone do not change while the process runs. */
function reload({readEnvironment}: DirectServeOptions, log: Log): void {
	readEnvironment().ifLeft(problem => {
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
