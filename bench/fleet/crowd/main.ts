/**
 * Stands in for all nodes of a fleet but one, in one process: each listens for links and is
 * in the host list; together they compare themselves with the measured node, and announce
 * changes to it, as often as nodes would.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {Command} from 'commander';
import {syncDefaults} from '../../../src/common/configuration/constants.js';
import {hostsPartition} from '../../../src/node/platform/constants.js';
import {crowdPollMs} from '../constants.js';
import {PlatformAccess} from '../platform-access.js';
import {CrowdHost} from './crowd-host.js';
import {crowdSettingsSchema, type CrowdSettings} from './crowd-settings.js';

const fetchTimeoutMs = 400;

/** Trees along which a version comes to a node. */
const announcementsPerVersion = 2;

const startedAtOneTime = 16;

async function run(settings: CrowdSettings): Promise<void> {
	const access = new PlatformAccess(settings.platformUrl);
	const hosts = settings.hosts.map(host => new CrowdHost(host, access));
	await Promise.all(Array.from({length: startedAtOneTime}, async (_item, task) => {
		for (let index = task; index < hosts.length; index += startedAtOneTime) {
			await hosts[index].start();
			await register(access, hosts[index]);
		}
	}));
	process.once('SIGTERM', () => {
		process.exit(0);
	});
	process.stdout.write(`${JSON.stringify({ready: true})}\n`);
	if (hosts.length > 0) {
		await Promise.all([followChanges(settings, access, hosts), compareRepeatedly(settings, access, hosts), keepLinks(settings, access, hosts)]);
	}
}

/** Lasts for ever, so that nothing has to be renewed. */
async function register({table}: PlatformAccess, {host}: CrowdHost): Promise<void> {
	const written = await table.put({
		partition: hostsPartition, sort: host.name, changeId: `${host.incarnation}/1`, body: JSON.stringify(host),
	}, 0);
	written.ifLeft(fault => {
		throw new Error(`${host.name} is not registered: ${fault.detail}`);
	});
}

async function followChanges({subject}: CrowdSettings, {history, changeLog}: PlatformAccess, hosts: readonly CrowdHost[]): Promise<void> {
	history.onChange(version => {
		for (let count = 0; count < announcementsPerVersion; count++) {
			anyOf(hosts).peers.announceVersion(subject, version);
		}
	});
	for (;;) {
		await changeLog.catchUp();
		await pause(crowdPollMs);
	}
}

async function compareRepeatedly({subject, comparisonsPerS}: CrowdSettings, {history}: PlatformAccess, hosts: readonly CrowdHost[]): Promise<void> {
	// As many nodes have a node for their partner as it has partners.
	const partners = Array.from({length: syncDefaults.antiEntropyAnyZoneEvery}, () => anyOf(hosts));
	for (let turn = 0; ; turn++) {
		await pause(1000 / comparisonsPerS);
		await partners[turn % partners.length].peers.fetchChanges(subject, history.version, fetchTimeoutMs);
	}
}

/** Every host uses its link now and then, as one does whose callers' statements go everywhere. */
async function keepLinks({subject, linkUseMs}: CrowdSettings, {history}: PlatformAccess, hosts: readonly CrowdHost[]): Promise<void> {
	if (linkUseMs === undefined) {
		return;
	}

	await Promise.all(hosts.map(async ({peers}, index) => {
		await pause(linkUseMs * index / hosts.length);
		for (;;) {
			await peers.fetchChanges(subject, history.version, fetchTimeoutMs);
			await pause(linkUseMs);
		}
	}));
}

function anyOf(hosts: readonly CrowdHost[]): CrowdHost {
	return hosts[Math.floor(Math.random() * hosts.length)];
}

const command = new Command('crowd').requiredOption('--settings <file>', 'settings');
command.parse();
const {settings} = command.opts<{settings: string}>();
await run(crowdSettingsSchema.parse(JSON.parse(await readFile(settings, 'utf8'))));
