/**
 * Stands in for all nodes of a fleet but one, in one process: each host listens for links and
 * is in the host list; together they compare their configuration versions with the measured
 * node and announce changes to it as often as real nodes would.
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

/** Announcements of each version that a node receives: one along each of the two announcement trees. */
const announcementsPerVersion = 2;

const startConcurrency = 16;

async function run(settings: CrowdSettings): Promise<void> {
	const access = new PlatformAccess(settings.platformUrl);
	const hosts = settings.hosts.map(host => new CrowdHost(host, access));
	await Promise.all(Array.from({length: startConcurrency}, async (_item, task) => {
		for (let index = task; index < hosts.length; index += startConcurrency) {
			await hosts[index].start();
			await register(access, hosts[index]);
		}
	}));
	process.once('SIGTERM', () => {
		process.exit(0);
	});
	process.stdout.write(`${JSON.stringify({ready: true})}\n`);
	if (hosts.length > 0) {
		await Promise.all([followChanges(settings, access, hosts), compareRepeatedly(settings, access, hosts), useLinksRepeatedly(settings, access, hosts)]);
	}
}

/** Registers a host without an expiry time, so that its registration need not be renewed. */
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
			pickRandom(hosts).peers.announceVersion(subject, version);
		}
	});
	for (;;) {
		await changeLog.catchUp();
		await pause(crowdPollMs);
	}
}

async function compareRepeatedly({subject, comparisonsPerS}: CrowdSettings, {history}: PlatformAccess, hosts: readonly CrowdHost[]): Promise<void> {
	// On average, a node is the anti-entropy peer of as many nodes as it has anti-entropy peers itself.
	const partners = Array.from({length: syncDefaults.antiEntropyAnyZoneEvery}, () => pickRandom(hosts));
	for (let turn = 0; ; turn++) {
		await pause(1000 / comparisonsPerS);
		await partners[turn % partners.length].peers.fetchChanges(subject, history.version, fetchTimeoutMs);
	}
}

/** Lets every host use its link at an interval, as a node does whose callers' statements go to all nodes. */
async function useLinksRepeatedly({subject, linkUseMs}: CrowdSettings, {history}: PlatformAccess, hosts: readonly CrowdHost[]): Promise<void> {
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

function pickRandom(hosts: readonly CrowdHost[]): CrowdHost {
	return hosts[Math.floor(Math.random() * hosts.length)];
}

const command = new Command('crowd').requiredOption('--settings <file>', 'settings');
command.parse();
const {settings} = command.opts<{settings: string}>();
await run(crowdSettingsSchema.parse(JSON.parse(await readFile(settings, 'utf8'))));
