/**
 * Runs every test of the source tree, compiled, under node's test runner.
 * With arguments, it runs only the tests whose path contains one of them.
 *
 * A run whose failures are all listed in KNOWN-RED.txt counts as passed; it prints the list and the failures.
 */
import {spawnSync} from 'node:child_process';
import {
	existsSync, mkdtempSync, readdirSync, readFileSync, rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

const outputFolder = process.env.QUETZALSTREAM_OUT ?? 'out';
const wanted = process.argv.slice(2);

/** Time after which a test file that has not ended is stopped. */
const fileTimeoutMs = 600_000;

/** Lines of "file: test | command | seed | what was seen | issue". */
const knownRedFile = 'KNOWN-RED.txt';

const files = ['src', 'platform', 'standins', 'demo', 'bench', 'soak']
	.flatMap(folder => readdirSync(folder, {recursive: true}).map(file => path.join(folder, file)))
	.filter(file => file.endsWith('.test.ts'))
	.filter(file => wanted.length === 0 || wanted.some(part => file.includes(part)))
	.map(file => path.join(outputFolder, file.replace(/\.ts$/v, '.js')))
	.toSorted();

const reportFolder = mkdtempSync(path.join(tmpdir(), 'quetzalstream-tests-'));
const failuresFile = path.join(reportFolder, 'failed.txt');
const {status} = spawnSync(process.execPath, [
	'--enable-source-maps',
	'--test',
	'--test-concurrency=4',
	// A test that hangs must fail; the longest file takes about a minute.
	`--test-timeout=${fileTimeoutMs}`,
	'--test-reporter=tap',
	'--test-reporter-destination=stdout',
	'--test-reporter=./scripts/failed-tests-reporter.mjs',
	`--test-reporter-destination=${failuresFile}`,
	...files,
], {stdio: 'inherit'});
const failed = linesOf(failuresFile);
rmSync(reportFolder, {recursive: true});

process.exitCode = verdict(status ?? 1, failed, linesOf(knownRedFile));

function verdict(code, failures, knownRed) {
	for (const line of knownRed) {
		console.log(`known red: ${line}`);
	}

	const known = new Set(knownRed.map(line => line.split(' | ', 1)[0]));
	const unknown = failures.filter(failure => !known.has(failure));
	for (const failure of failures) {
		console.log(`failed${known.has(failure) ? ', known' : ''}: ${failure}`);
	}

	// A run that failed without any failed test, for example by a crash, does not show that the other tests pass.
	return code !== 0 && failures.length > 0 && unknown.length === 0 ? 0 : code;
}

function linesOf(file) {
	return existsSync(file) ? readFileSync(file, 'utf8').split('\n').filter(line => line.trim() !== '') : [];
}
