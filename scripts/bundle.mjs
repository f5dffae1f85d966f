/**
 * Bundles the compiled entry point for the platform with its imports into one file, and writes
 * a V8 code cache of what a start runs beside it.
 */
import {spawnSync} from 'node:child_process';
import {rmSync} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

/* eslint-disable require-unicode-regexp -- esbuild takes expressions without flags only */
/** Modules that libraries load and a node never uses; each costs 2 to 10 ms of processor time at a start. */
const unusedModules = /^(?:node:)?(?:child_process|cluster|https)$/;

/** Pushes metrics to a gateway, whereas a node's metrics are scraped; and tracing, which only metrics with exemplars use. */
const unusedFiles = /\/pushgateway$|^@opentelemetry\/api$/;

const leaveOutUnused = {
	name: 'leave-out-unused',
	setup({onResolve, onLoad}) {
		for (const filter of [unusedModules, unusedFiles]) {
			onResolve({filter}, ({path}) => ({path, namespace: 'unused'}));
		}

		onLoad({filter: /.*/, namespace: 'unused'}, () => ({contents: 'module.exports = {};', loader: 'js'}));
	},
};
/* eslint-enable require-unicode-regexp */

// V8 recognises the cache of another source only by the source's length, so no cache may outlive its bundle.
rmSync('target/node.cache', {force: true});
await build({
	entryPoints: ['target/platform/main.js'],
	outfile: 'target/node.cjs',
	bundle: true,
	minify: true,
	keepNames: true,
	// One byte per character, so that the file can be read without decoding.
	charset: 'ascii',
	legalComments: 'none',
	platform: 'node',
	mainFields: ['module', 'main'],
	format: 'cjs',
	target: 'node20',
	plugins: [leaveOutUnused],
	logLevel: 'error',
});

// In a separate process, so that the cache holds what a start compiles and nothing else.
const {status} = spawnSync(process.execPath, ['scripts/write-code-cache.cjs'], {stdio: ['ignore', 'ignore', 'inherit']});
if (status !== 0) {
	process.stderr.write('No code cache was written: nodes start without it, which takes longer.\n');
}
