/**
 * Preloaded into the measured node: on SIGUSR2, collects garbage and writes the memory usage to a file.
 */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Name of the environment variable with the path of the file to write. */
export const memoryFileVariable = 'QUETZALSTREAM_BENCH_MEMORY';

const file = process.env[memoryFileVariable];
if (file !== undefined) {
	setFlagsFromString('--expose-gc');
	const collectGarbage: unknown = runInNewContext('gc');
	process.on('SIGUSR2', () => {
		if (typeof collectGarbage === 'function') {
			Reflect.apply(collectGarbage, undefined, []);
		}

		writeFileSync(file, JSON.stringify(process.memoryUsage()));
	});
}
