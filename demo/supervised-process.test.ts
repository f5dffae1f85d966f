import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	after, before, describe, it,
} from 'node:test';
import {pathToFileURL} from 'node:url';
import {expect} from 'earl';
import {ProcessSet} from './process-set.js';

// Each program that becomes ready installs its signal handler first, as the real programs do.
const programs = {
	steady: 'process.on("SIGTERM", () => process.exit(0)); setInterval(() => {}, 1000); console.log(JSON.stringify({ready: true}));',
	failing: 'console.error("port is taken"); process.exit(3);',
	complaining: 'process.on("SIGTERM", () => { console.error("cut short"); process.exit(1); }); setInterval(() => {}, 1000); console.log(JSON.stringify({ready: true}));',
} as const;

const temporary = {folder: ''};

async function describeProcess(name: keyof typeof programs) {
	const file = path.join(temporary.folder, `${name}.mjs`);
	await writeFile(file, programs[name]);
	return {
		name, program: pathToFileURL(file), settings: {name}, folder: temporary.folder,
	};
}

describe('ProcessSet', () => {
	before(async () => {
		temporary.folder = await mkdtemp(path.join(tmpdir(), 'quetzalstream-'));
	});

	after(async () => {
		await rm(temporary.folder, {recursive: true});
	});

	it('starts a process until it is ready and stops it', async () => {
		const processes = new ProcessSet();
		const started = await processes.start(await describeProcess('steady'));
		expect(started.isRunning).toEqual(true);
		expect(await processes.stop(['steady'])).toEqual([]);
		expect(await started.exited).toEqual(0);
		processes.dispose();
	});

	it('reports the last log lines of a process that did not start', async () => {
		const processes = new ProcessSet();
		await expect(processes.start(await describeProcess('failing'))).toBeRejectedWith('failing: ended with 3\nport is taken');
		processes.dispose();
	});

	it('reports a process that did not exit cleanly', async () => {
		const processes = new ProcessSet();
		await processes.start(await describeProcess('complaining'));
		expect(await processes.stop(['complaining'])).toEqual(['complaining ended with 1\ncut short']);
		processes.dispose();
	});

	it('ends every process at once when it is disposed', async () => {
		const processes = new ProcessSet();
		const started = await processes.start(await describeProcess('steady'));
		processes.dispose();
		expect(await started.exited).toEqual('SIGKILL');
	});
});
