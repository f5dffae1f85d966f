/**
 * A zone with the primary and one replica of a group is cut off from the other zones and from the
 * platform. The third instance, in another zone, had crashed some seconds before and comes back during
 * the cut. Requesters inside and outside of the zone write to and read from a database of a `primary`
 * route all the while. Exit code 1 if a read lacks a write that was acknowledged before it was sent.
 */
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {LineClient} from '../../out/standins/line/processes/line-client.js';
import {Deployment} from '../common/deployment.mjs';
import {RunRecord} from '../common/run-record.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const database = 'allocation-post';
const cutZone = 'kgl-gasabo';

/** Times in milliseconds. */
const times = {
	/** Length of the cut; the longest one in the site file is 6,300. */
	cut: 6200,
	/** From the crash of the third instance to the cut: its registration is removed after 3,600. */
	crashBeforeCut: 3900,
	/** From the beginning of the cut until the crashed instance is back; it is down for 5.5 to 6.7 s, and 7 are allowed. */
	backAfterCut: 500,
	/** From the last report of the instances in the zone to the cut; they report every 1,200. */
	afterReport: 1100,
	/** Interval at which a requester sends a statement. */
	statements: 50,
};

const record = new RunRecord();
const deployment = new Deployment({
	nodes: [cutZone, cutZone, 'kgl-nyarugenge', 'kgl-nyarugenge', 'kgl-kicukiro', 'kgl-kicukiro'],
	instances: [cutZone, cutZone, 'kgl-nyarugenge'],
	databases: {[database]: {kind: 'primary', 'timeout-ms': 800}},
	slots: 3,
	connections: 22,
	promotionMs: 300,
	extraSettings: [['heartbeat-ms', '1200']],
});

/** Acknowledged writes: their item and number, and when the answer arrived. */
const acknowledged = [];
const stale = [];
/** Reads outside of the zone that lack a write of the old primary; not judged, since the end of the cut rolls such writes back. */
const rolledBackLater = [];
const progress = {endMs: Number.POSITIVE_INFINITY, written: 0};
const counts = {
	writes: 0, acknowledged: 0, reads: 0, answered: 0,
};

async function openSession({plan: {host, callersPort}}, name) {
	return LineClient.open(host, callersPort, database, name);
}

/** Sends one statement after the other through one node; opens another session when one ends. */
async function runRequester(node, name, work) {
	let client = await openSession(node, name);
	for (let number = 1; performance.now() < progress.endMs; number++) {
		if (await work(client, number) === 'LOST') {
			client = await openSession(node, name);
		}

		await pause(times.statements);
	}

	client.close();
}

/** Writes increasing numbers to an item of its own. */
async function keepWriting(node, name) {
	await runRequester(node, name, async (client, number) => {
		progress.written += 1;
		const value = progress.written;
		counts.writes += 1;
		const {code} = await record.query(client, name, `${name}-${number}`, `WRITE ${name} ${value}`);
		if (code === '') {
			counts.acknowledged += 1;
			acknowledged.push({
				item: name, value, id: `${name}-${number}`, atMs: performance.now(),
			});
		}

		return code;
	});
}

/** Reads the items of the writers, and compares each with what was acknowledged before. */
async function keepReading(node, name, {items, isInside}) {
	await runRequester(node, name, async (client, number) => {
		const item = items[number % items.length];
		const sentAtMs = performance.now();
		const expected = acknowledged.findLast(write => write.item === item && write.atMs < sentAtMs);
		counts.reads += 1;
		const {code, rows} = await record.query(client, name, `${name}-${number}`, `READ ${item}`);
		if (code === '') {
			counts.answered += 1;
			const value = Number(rows[0] ?? 0);
			if (expected && value < expected.value) {
				const text = `${name}-${number} at ${node.plan.name} read ${item} = ${value}; ${expected.value} was acknowledged ${Math.round(sentAtMs - expected.atMs)} ms before the read was sent`;
				(isInside ? stale : rolledBackLater).push(text);
			}
		}

		return code;
	});
}

/** What happens to the deployment while the requesters work. */
const courses = {
	/** Crashes the third instance, cuts the zone off, and lets the instance come back. */
	async trouble() {
		const crashed = deployment.group.instance('i-3');
		record.add('i-3 crashes');
		crashed.isUp = false;
		deployment.servers.get('i-3').resetConnections();
		await pause(times.crashBeforeCut);
		await deployment.waitAfterReport(deployment.group.instance('i-1'), times.afterReport);
		record.add(`cut ${cutZone}`);
		deployment.cutZone(cutZone);
		await pause(times.backAfterCut);
		deployment.group.rejoin('i-3');
		deployment.registerNow(crashed);
		record.add(`i-3 is back with its log, at ${crashed.received}`);
		await pause(times.cut - times.backAfterCut);
		record.add('end of the cut');
	},
	async calm() {
		await pause(times.crashBeforeCut + times.cut);
	},
};

/** Writes that the old primary acknowledged after the promotion had taken effect. */
function acknowledgedAfterPromotion() {
	const [effect] = deployment.group.promotionEffects;
	const late = new Set(deployment.group.commits.filter(({instance, atMs}) => effect && instance === 'i-1' && atMs > effect.atMs).map(({id}) => id));
	return acknowledged.filter(({id}) => late.has(id));
}

let exitCode = 2;
try {
	await deployment.start();
	await pause(4000);
	const inside = deployment.nodes.filter(({plan}) => plan.zone === cutZone);
	const outside = deployment.nodes.filter(({plan}) => plan.zone !== cutZone);
	const items = ['w1', 'w2'];
	const work = Promise.all([
		keepWriting(inside[0], 'w1'),
		keepWriting(outside[0], 'w2'),
		...inside.map(async (node, index) => keepReading(node, `i${index + 1}`, {items, isInside: true})),
		...outside.map(async (node, index) => keepReading(node, `o${index + 1}`, {items, isInside: false})),
	]);
	await pause(1000);
	await courses[hasTrouble ? 'trouble' : 'calm']();
	progress.endMs = performance.now();
	await work;
	const late = acknowledgedAfterPromotion();
	const summary = [
		`${counts.acknowledged} of ${counts.writes} writes acknowledged`,
		`${counts.answered} of ${counts.reads} reads answered`,
		`${deployment.orders.length} promotions ordered`,
		`${stale.length} stale reads`,
		`${late.length} writes committed at the old primary after the promotion and acknowledged`,
		`not judged: ${rolledBackLater.length} reads outside of the zone that lack writes of the old primary`,
	].join(', ');
	for (const line of [...stale.map(text => `STALE: ${text}`), ...late.map(({id}) => `ONE: ${id}`), summary]) {
		record.add(line);
	}

	process.stdout.write(`${summary}\n`);
	if (counts.answered > 0 && counts.acknowledged > 0) {
		exitCode = stale.length > 0 ? 1 : 0;
	}
} catch (error) {
	record.add(`could not run: ${error.stack}`);
	process.stdout.write(`could not run: ${error.stack}\n`);
} finally {
	await deployment.stop();
	record.write(path.join(import.meta.dirname, 'record.txt'));
}

process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit -- the exit code is the result
