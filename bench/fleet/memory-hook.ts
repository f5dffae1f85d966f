/**
 * Preloaded into the measured node: collects garbage when told to, and writes what is left.
 */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Name of the variable that tells the file to write to. */
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
