/**
 * Requesters begin transactions, write and pause. Meanwhile the node that holds the connections to
 * their primary is killed and starts again, and other requesters begin transactions of their own.
 * Then the first requesters go on. Exit code 1 if a statement ran in another requester's transaction,
 * if a transaction was committed that its requester had not asked for, or if a commit was answered
 * with success though its write is lost.
 */
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {LineClient} from '../../out/standins/line/processes/line-client.js';
import {Deployment} from '../common/deployment.mjs';
import {RunRecord} from '../common/run-record.mjs';

const isTroubled = process.env.TROUBLE !== '0';
const database = 'counter-sale';

/**
 * Longest pause inside the first requesters' transactions; it ends before, once the further requesters have
 * begun. `tx-idle-ms` of the configuration is 3,000.
 */
const longestRestMs = 2400;

/** Requesters that begin before the disruption. */
const firstRequesters = 8;

/** Interval at which further requesters begin. */
const nextEveryMs = 100;

/** Codes which promise that nothing of the transaction is kept. */
const promises = new Set(['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'REDIRECT', 'TOOMANY']);

const record = new RunRecord();
const deployment = new Deployment({
	nodes: ['kandy', 'kandy', ...Array.from({length: 7}, () => 'nuwara'), ...Array.from({length: 7}, () => 'badulla')],
	instances: ['kandy', 'nuwara', 'badulla'],
	databases: {[database]: {kind: 'primary', 'timeout-ms': 2000}},
});

class Requester {
	constructor(name) {
		this.name = name;
		this.item = `item-${name}`;
		this._statements = 0;
	}

	async open({plan: {host, callersPort}}) {
		this._client = await LineClient.open(host, callersPort, database, this.name);
	}

	async send(text) {
		this._statements += 1;
		const {code} = await record.query(this._client, this.name, `${this.name}-${this._statements}`, text);
		this.promise ??= promises.has(code) ? code : undefined;
		return code === '';
	}

	async begin() {
		this.isOpen = await this.send('BEGIN') && await this.send(`WRITE ${this.item} first-${this.name}`);
	}

	async goOn() {
		if (this.isOpen && await this.send(`WRITE ${this.item}-second second-${this.name}`)) {
			this.isCommitted = await this.send('COMMIT');
		}
	}

	close() {
		this._client?.close();
	}
}

async function play() {
	const [home, ...others] = [deployment.nodes[0], ...deployment.nodes.slice(2)];
	const first = Array.from({length: firstRequesters}, (_, index) => new Requester(`a${index + 1}`));
	for (const [index, requester] of first.entries()) {
		await requester.open(others[index % others.length]);
		await requester.begin();
	}

	const restStartMs = performance.now();
	const restEndMs = restStartMs + longestRestMs;
	if (isTroubled) {
		record.add(`kill ${home.plan.name}`);
		await home.end('SIGKILL');
		await home.start();
		record.add(`started ${home.plan.name} again`);
	}

	const next = [];
	const begun = [];
	while (performance.now() < restEndMs && next.length < firstRequesters) {
		if (await home.isReady()) {
			const requester = new Requester(`b${next.length + 1}`);
			next.push(requester);
			await requester.open(others[next.length % others.length]);
			begun.push(requester.begin());
		}

		await pause(nextEveryMs);
	}

	await Promise.race([Promise.all(begun), pause(Math.max(0, restEndMs - performance.now()))]);
	record.add(`pause of ${Math.round(performance.now() - restStartMs)} ms`);
	await Promise.all(first.map(async requester => requester.goOn()));
	await Promise.all(begun);
	await Promise.all(next.map(async requester => requester.goOn()));
	for (const requester of [...first, ...next]) {
		requester.close();
	}

	return [...first, ...next];
}

/** Name of the requester that sent a statement. */
function senderOf(id) {
	return id.split('-')[0];
}

/** Finds transactions at instances that hold statements of several requesters. */
function findMixedTransactions() {
	const open = new Map();
	const findings = [];
	for (const {connection, id, text, isSuccess} of record.runs) {
		const statements = open.get(connection);
		if (/^(?:AFTERLSN \S+ )?BEGIN/v.test(text) && isSuccess) {
			open.set(connection, []);
		} else if (text === 'ROLLBACK' || !statements) {
			open.delete(connection);
		} else {
			statements.push({id, text});
			const senders = new Set(statements.map(statement => senderOf(statement.id)));
			if (senders.size > 1) {
				findings.push(`PINNED: ${id} ${text} ran on ${connection} in a transaction with statements of ${[...senders].join(' and ')}`);
			}

			if (text === 'COMMIT') {
				const foreign = statements.filter(statement => senderOf(statement.id) !== senderOf(id) && statement.text.startsWith('WRITE'));
				if (isSuccess && foreign.length > 0) {
					findings.push(`UNASKED: ${id} COMMIT committed ${foreign.map(statement => `${statement.id} ${statement.text}`).join(', ')}`);
				}

				open.delete(connection);
			}
		}
	}

	return findings;
}

function findLostWrites(requesters) {
	const {instances} = deployment.group;
	const primary = instances.find(({isPrimary}) => isPrimary);
	return requesters
		.filter(({isCommitted, item}) => isCommitted === true && primary.read(item) === undefined)
		.map(({name, item}) => `a commit of ${name} was answered with success, and its write of ${item} is lost`);
}

function findBrokenPromises(requesters) {
	const primary = deployment.group.instances.find(({isPrimary}) => isPrimary);
	return requesters
		.filter(({promise, item}) => promise !== undefined && primary.read(item) !== undefined)
		.map(({name, item, promise}) => `REFUSED: ${name} was promised with ${promise} that nothing is kept, and its write of ${item} is committed`);
}

let exitCode = 2;
try {
	await deployment.start();
	// Nodes learn the size of the fleet and the primary before requests arrive.
	await pause(4000);
	const requesters = await play();
	const committed = requesters.filter(({isCommitted}) => isCommitted === true).length;
	const findings = [...findMixedTransactions(), ...findLostWrites(requesters), ...findBrokenPromises(requesters)];
	record.add(`${requesters.length} transactions, ${committed} committed, ${deployment.orders.length} promotions ordered`);
	for (const finding of findings) {
		record.add(finding);
		process.stdout.write(`${finding}\n`);
	}

	process.stdout.write(`${requesters.length} transactions, ${committed} committed, ${findings.length} findings\n`);
	if (committed > 0) {
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
