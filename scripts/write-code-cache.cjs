/**
 * Writes the code cache of the bundle: starts a node on free loopback ports with an unreachable
 * store, connects to it as a caller, and saves what was compiled until then.
 */
'use strict';
const {mkdtempSync, rmSync, writeFileSync} = require('node:fs');
const {connect, createServer} = require('node:net');
const {tmpdir} = require('node:os');
const path = require('node:path');
const process = require('node:process');
const {loadBundle, targetFolder, cacheName} = require('../deploy/load-bundle.cjs');

const host = '127.0.0.1';

/** Time for which the node runs: enough to start, to try to reach its store and to refuse the caller. */
const runForMs = 1000;

/** Delay after which the caller connects; the node should listen by then. */
const listenMs = 500;

async function freePort() {
	const server = createServer();
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	const {port} = server.address();
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

async function processSettingsText() {
	const fields = {
		'node-id': 'node', zone: 'zone', ip: host, 'limits.cpu-share': 1, 'limits.cores': 1, 'bounds.grace-s': 1,
	};
	for (const name of ['listen.frontend', 'listen.ready', 'platform.addr', 'cloud.addr']) {
		fields[name] = `${host}:${await freePort()}`;
	}

	const peerPort = await freePort();
	fields['port-range'] = `${peerPort},${peerPort}`;
	return Object.entries(fields).map(([name, value]) => `${name}=${value}\n`).join('');
}

async function run() {
	const folder = mkdtempSync(path.join(tmpdir(), 'quetzalstream-build-'));
	const text = await processSettingsText();
	const processSettingsFile = path.join(folder, 'node.conf');
	const settingsFile = path.join(folder, 'settings.jsonc');
	writeFileSync(processSettingsFile, text);
	writeFileSync(settingsFile, `{"metrics": {"port": ${await freePort()}}}`);
	process.env.QUETZALSTREAM_NODE_FILE = processSettingsFile;
	process.argv = [process.argv[0], 'quetzalstream', '--settings', settingsFile];
	const {exported, createCache} = loadBundle();
	exported.main({isCacheUsed: false});
	setTimeout(() => {
		const [, port] = /listen\.frontend=[^:]+:(\d+)/v.exec(text);
		const socket = connect(Number(port), host, () => {
			socket.end('STARTUP database user\r\n');
		});
		socket.on('error', () => {
			// The node did not listen in time, so the code cache holds less.
		});
	}, listenMs);
	setTimeout(() => {
		writeFileSync(path.join(targetFolder, cacheName), createCache());
		rmSync(folder, {recursive: true});
		process.exit(0);
	}, runForMs);
}

run();
