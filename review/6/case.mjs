/**
 * Stops a node with SIGTERM while callers work in transactions on it, and checks that every request
 * that the node had read and passed on is answered.
 */
import {appendFileSync, writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {LineClient} from '../common-2/line-client.mjs';
import {bounds, service, SmallSystem} from '../common-2/small-system.mjs';

const recordFile = fileURLToPath(new URL('record.txt', import.meta.url));
const hasTrouble = process.env.TROUBLE !== '0';

const timing = {
	/** Callers whose transactions write, and callers whose transactions only read. */
	writers: 8, readers: 16,
	workMs: 35,
	longestPauseMs: 20,
	beforeMs: 3000,
	statementTimeoutMs: 800,
};

/** Number of statements in a transaction, without its BEGIN and its COMMIT. */
const statements = {least: 6, most: 10};

/** Requests of all callers, in the order in which they were sent. */
const requests = [];
const progress = {isStopping: false};
let stoppedAtMs;

function record(line) {
	appendFileSync(recordFile, `${line}\n`);
}

/** Sends one request and notes what came of it. */
async function send(client, caller, text) {
	const id = `r${caller}x${requests.length}`;
	const request = {id, text, sentAtMs: performance.now()};
	requests.push(request);
	const answer = await client.query(id, text);
	request.endedAtMs = performance.now();
	request.isUnsent = answer.isUnsent === true;
	request.outcome = answer.isAnswered ? answer.code || 'COMPLETE' : 'no answer';
	return answer;
}

/** Runs one transaction; resolves to whether the session can go on. */
async function runTransaction(client, caller) {
	const isWriter = caller < timing.writers;
	const begun = await send(client, caller, isWriter ? 'BEGIN' : 'BEGIN READ');
	if (!begun.isAnswered) {
		return false;
	}

	const length = statements.least + Math.floor(Math.random() * (statements.most - statements.least + 1));
	for (let index = 0; index < length; index++) {
		await pause(Math.random() * timing.longestPauseMs);
		const text = isWriter && index % 2 === 1 ? `WRITE k${caller} v${index}` : `READ k${caller}`;
		const answer = await send(client, caller, text);
		if (!answer.isAnswered) {
			return false;
		}

		if (answer.code !== '') {
			const ended = await send(client, caller, 'ROLLBACK');
			return ended.isAnswered;
		}
	}

	const committed = await send(client, caller, 'COMMIT');
	return committed.isAnswered && committed.state === 'I';
}

/** Works on one session until it ends, or the run does. */
async function runCaller(node, caller) {
	const client = new LineClient(node.plan.host, node.plan.callersPort);
	const begun = await client.startUp(caller < timing.writers ? 'sales' : 'browse', `u${caller}`);
	while (begun.isAnswered && !client.isEnded && !progress.isStopping) {
		if (!await runTransaction(client, caller)) {
			break;
		}
	}

	client.close();
}

async function run(system) {
	await system.start(2);
	const [node] = system.nodes;
	const callers = Array.from({length: timing.writers + timing.readers}, async (_, caller) => runCaller(node, caller));
	await pause(timing.beforeMs);
	stoppedAtMs = performance.now();
	if (hasTrouble) {
		record('SIGTERM to the node that the callers are connected to');
		node.signal('SIGTERM');
		const killTimer = setTimeout(() => {
			record('SIGKILL: the grace time is over');
			node.signal('SIGKILL');
		}, bounds.graceMs);
		await node.waitForEnd();
		clearTimeout(killTimer);
		record(`the node ended with ${node.ended} after ${Math.round(performance.now() - stoppedAtMs)} ms`);
	} else {
		await pause(bounds.graceMs);
	}

	progress.isStopping = true;
	await Promise.all(callers);
}

/** Requests that the node had passed on to an instance and that got no complete answer, without an excuse of the rule. */
function findLost(system) {
	const ran = new Set(system.group.instances.flatMap(instance => instance.ran));
	for (const request of requests) {
		request.isPassedOn = ran.has(request.id);
		record(`${Math.round(request.sentAtMs - stoppedAtMs)} ms: ${request.id} ${request.text}: ${request.outcome}${request.isPassedOn ? ', ran at an instance' : ''}`);
	}

	return requests.filter(({isUnsent, outcome, isPassedOn, sentAtMs, endedAtMs}) => {
		const isSentLate = sentAtMs - stoppedAtMs > 3000;
		const isTimeLeft = endedAtMs - sentAtMs < timing.statementTimeoutMs;
		return !isUnsent && outcome === 'no answer' && isPassedOn && isTimeLeft && isSentLate && sentAtMs >= stoppedAtMs;
	});
}

writeFileSync(recordFile, `disruption: ${hasTrouble ? 'yes' : 'no'}\n`);
const system = new SmallSystem({
	workMs: timing.workMs, subnet: 46,
	routes: [
		{
			name: 'sales', host: 'sales', kind: 'primary', service, 'timeout-ms': timing.statementTimeoutMs, priority: 1, 'max-attempts': 1, 'max-staleness-ms': 0,
		},
		{
			name: 'browse', host: 'browse', kind: 'read_your_writes', service, 'timeout-ms': timing.statementTimeoutMs, priority: 1, 'max-attempts': 1, 'max-staleness-ms': 2500,
		},
	],
});
let code = 2;
try {
	await run(system);
	const lost = findLost(system);
	const counts = new Map();
	for (const {outcome} of requests) {
		counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
	}

	record(`outcomes: ${[...counts].map(([outcome, count]) => `${outcome} ${count}`).join(', ')}`);
	record(`LOST: ${lost.length} requests that were sent after half of the grace time ran at an instance and got no answer`);
	for (const {id, text, sentAtMs, endedAtMs} of lost) {
		record(`  ${id} ${text}: sent ${Math.round(sentAtMs - stoppedAtMs)} ms after the SIGTERM, connection ended ${Math.round(endedAtMs - sentAtMs)} ms later`);
	}

	code = lost.length > 0 ? 1 : 0;
} catch (error) {
	record(`the case could not run: ${error.stack}`);
} finally {
	await system.stop();
}

record(`exit ${code}`);
process.exitCode = code;
