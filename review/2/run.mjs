/**
 * A zone with the primary and one replica of a group is cut off from the other zones and from the
 * platform, while its requesters still reach it. Requesters inside and outside write to and read from a
 * database of a `primary` route all the while. Exit code 1 if a read lacks a write that was acknowledged
 * before the read was sent.
 */
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {LineClient} from '../../out/standins/line/processes/line-client.js';
import {Deployment} from '../common/deployment.mjs';
import {RunRecord} from '../common/run-record.mjs';

const isTroubled = process.env.TROUBLE !== '0';
const database = 'allocation-post';
const cutZone = 'kgl-gasabo';

/** Length of the cut; the site's longest one is 6.3 s. */
const cutMs = 6200;

/** Time from the last report of the instances to the cut; they report every 1,200 ms. */
const afterReportMs = 900;

/** Interval at which a requester sends a statement. */
const everyMs = 50;

const record = new RunRecord();
const deployment = new Deployment({
	nodes: [cutZone, cutZone, 'kgl-nyarugenge', 'kgl-nyarugenge', 'kgl-kicukiro', 'kgl-kicukiro'],
	instances: [cutZone, cutZone, 'kgl-nyarugenge'],
	databases: {[database]: {kind: 'primary', 'timeout-ms': 800}},
	slots: 3,
	connections: 22,
	promotionMs: 300,
});

/** Acknowledged writes of the item: their number, and when the answer arrived. */
const acknowledged = [];
const findings = [];
/** Reads outside of the zone that lack a write which the old primary acknowledged; not judged, since the end of the cut rolls such writes back. */
const lostLater = [];
let endMs = Number.POSITIVE_INFINITY;
let written = 0;
const counts = {
	writes: 0, acknowledged: 0, reads: 0, answered: 0,
};

async function openSession({plan: {host, callersPort}}, name) {
	return LineClient.open(host, callersPort, database, name);
}

/** Writes increasing numbers to the item through one node. */
async function keepWriting(node, name) {
	let client = await openSession(node, name);
	for (let count = 1; performance.now() < endMs; count++) {
		written += 1;
		const value = written;
		counts.writes += 1;
		const {code} = await record.query(client, name, `${name}-${count}`, `WRITE ${name} ${value}`);
		if (code === '') {
			counts.acknowledged += 1;
			acknowledged.push({item: name, value, atMs: performance.now()});
		} else if (code === 'LOST') {
			client = await openSession(node, name);
		}

		await pause(everyMs);
	}

	client.close();
}

/** Reads the items of the writers through one node, and compares each with what was acknowledged before. */
async function keepReading(node, name, {items, isInside}) {
	let client = await openSession(node, name);
	for (let count = 1; performance.now() < endMs; count++) {
		const item = items[count % items.length];
		const sentAtMs = performance.now();
		const expected = acknowledged.findLast(write => write.item === item && write.atMs < sentAtMs);
		counts.reads += 1;
		const {code, rows} = await record.query(client, name, `${name}-${count}`, `READ ${item}`);
		if (code === '') {
			counts.answered += 1;
			const value = Number(rows[0] ?? 0);
			if (expected && value < expected.value) {
				const agoMs = Math.round(sentAtMs - expected.atMs);
				const text = `${name}-${count} at ${node.plan.name} read ${item} = ${value}; ${expected.value} was acknowledged ${agoMs} ms before the read was sent`;
				(isInside ? findings : lostLater).push(text);
			}
		} else if (code === 'LOST') {
			client = await openSession(node, name);
		}

		await pause(everyMs);
	}

	client.close();
}

let exitCode = 2;
try {
	await deployment.start();
	await pause(6000);
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
	await deployment.waitAfterReport(deployment.group.instance('i-1'), afterReportMs);
	if (isTroubled) {
		record.add(`cut ${cutZone}`);
		deployment.cutZone(cutZone);
	}

	await pause(cutMs);
	record.add('end of the cut');
	endMs = performance.now();
	await work;
	const summary = [
		`${counts.acknowledged} of ${counts.writes} writes acknowledged`,
		`${counts.answered} of ${counts.reads} reads answered`,
		`${deployment.orders.length} promotions ordered`,
		`${findings.length} stale reads`,
		`not judged: ${lostLater.length} reads outside of the zone that lack writes of the old primary`,
	].join(', ');
	for (const line of [...findings.map(text => `STALE: ${text}`), ...lostLater.map(text => `not judged: ${text}`), summary]) {
		record.add(line);
	}

	process.stdout.write(`${[...findings.slice(0, 5), summary].join('\n')}\n`);
	if (counts.answered > 0 && counts.acknowledged > 0) {
		exitCode = findings.length > 0 ? 1 : 0;
	}
} catch (error) {
	record.add(`could not run: ${error.stack}`);
	process.stdout.write(`could not run: ${error.stack}\n`);
} finally {
	await deployment.stop();
	record.write(path.join(import.meta.dirname, 'record.txt'));
}

process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit -- the exit code is the result
