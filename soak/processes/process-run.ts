/**
 * One seeded run of real node processes under faults from outside, checked against what callers
 * and instances observed. The seed decides what happens; its exact timing depends on the machine.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import type {Finding} from '../findings.js';
import {CallerRecord} from '../../standins/line/caller-record.js';
import {describeViolation, RanAsSent} from '../../standins/line/ran-as-sent.js';
import {LineClient} from '../../standins/line/processes/line-client.js';
import type {ClientAnswer} from '../../standins/line/processes/line-client.js';
import {databases, LineSystem} from '../../standins/line/processes/line-system.js';
import type {NodeProcess} from '../../standins/line/processes/node-process.js';
import {AccessWatch} from './access-watch.js';
import {allFaults, RandomChoices} from './process-faults.js';
import {SoakCaller} from './soak-caller.js';

/** Size, load and faults of one run. */
export type ProcessPlan = {
	readonly seed: number;
	readonly nodes: number;
	readonly callers: number;
	/** Number of faults in each chain; chains run concurrently. */
	readonly faults: number;
	readonly chains: number;
	/** Names of the faults to choose from. */
	readonly only: readonly string[];
	/** Number of changes to organisations' keys and limits during the faults; with 0, callers need no key. */
	readonly accessChanges: number;
};

/** Findings and counts of one run. */
export type ProcessResult = {
	readonly findings: readonly Finding[];
	readonly answers: ReadonlyMap<string, number>;
	readonly faults: ReadonlyMap<string, number>;
	readonly promotions: number;
	/** Number of statements that instances got, each compared with what its caller had sent. */
	readonly runs: number;
	/** Folder with the logs if there are findings, else empty. */
	readonly folder: string;
};

/** Time with load but without faults at the end, and pause after each fault, in milliseconds. */
const timesMs = {calm: 1500, pause: 300} as const;

/** Time between two attempts of a final read, in milliseconds. */
const retryIntervalMs = 250;

/** Maximum attempts of a final read before the system counts as not recovered. */
const maximumRecoveryAttempts = 120;

/** Maximum attempts to read, over one node, a database that was added after the last fault. */
const maximumConfigurationAttempts = 40;

/** Name of the database that is added after the last fault. */
const lastDatabase = 'db-last';

/** Runs a plan to its end and checks every promise to callers. */
export async function runProcesses(plan: ProcessPlan): Promise<ProcessResult> {
	const findings: Finding[] = [];
	const report = (finding: Finding): void => {
		findings.push(finding);
	};

	const system = new LineSystem();
	const checks = new RanAsSent();
	system.group.runListener = run => {
		checks.recordRun(run);
	};

	const access = plan.accessChanges > 0 ? new AccessWatch(system) : undefined;
	try {
		await system.start(plan.nodes);
		const writes = new Map<string, boolean>();
		const callers = startCallers(system, {
			plan, report, writes, access, checks,
		});
		const stopping = new AbortController();
		const callerRuns = callers.map(async caller => caller.run(stopping.signal));
		const [faults] = await Promise.all([injectFaults(system, plan), access?.changeAccess(accessChoices(plan), plan.accessChanges)]);
		system.addDatabase(lastDatabase);
		await pause(timesMs.calm);
		stopping.abort();
		await Promise.all(callerRuns);
		const reader = {checks, key: access?.callerOf(1).key};
		await checkConfiguration(system, report, reader);
		await checkItems(system, callers, {report, reader});
		checkWriteEffects(system, writes, report);
		checkPromotions(system, report);
		checkAcknowledgements(system, writes, report);
		access?.check(report);
		for (const violation of checks.violations()) {
			report({promise: violation.rule, detail: describeViolation(violation)});
		}

		return {
			findings, faults, answers: sumCounts(callers), promotions: system.ordered.length, runs: checks.runs, folder: findings.length > 0 ? system.folder : '',
		};
	} finally {
		await system.stop(findings.length > 0);
	}
}

type CallerParts = {
	readonly plan: ProcessPlan;
	readonly report: (finding: Finding) => void;
	readonly writes: Map<string, boolean>;
	readonly access: AccessWatch | undefined;
	readonly checks: RanAsSent;
};

/** What the reads after the last fault need: the key that they present, and the check of what ran. */
type Reader = {readonly key: string | undefined; readonly checks: RanAsSent};

/** Chain number of the access changes; chains of faults have smaller ones, so that a seed's faults are the same with organisations and without. */
const accessChainNumber = 99;

function accessChoices({seed}: ProcessPlan): RandomChoices {
	return new RandomChoices(new SeededRandom((seed * 100) + accessChainNumber));
}

/** Added to a caller's seed for its odd statements; beyond the seeds of any number of callers. */
const firstOddSeed = 500;

function startCallers(system: LineSystem, {plan, report, writes, access, checks}: CallerParts): SoakCaller[] {
	const addresses = system.nodes.map(({plan: {host, callersPort}}) => ({host, port: callersPort}));
	return Array.from({length: plan.callers}, (_, index) => new SoakCaller({
		name: `c${index}`,
		random: new SeededRandom((plan.seed * 1000) + index),
		oddRandom: new SeededRandom((plan.seed * 1000) + index + firstOddSeed),
		checks,
		addresses,
		report,
		key: access?.callerOf(index).key,
		onSent(id, operation) {
			access?.recordSent(id, access.callerOf(index).organisation, operation);
		},
		onWrite(id, isAcknowledged) {
			writes.set(id, isAcknowledged);
		},
		mayBeLost: id => system.group.commits.some(commit => commit.id === id && commit.isUnreplicable),
	}));
}

async function injectFaults(system: LineSystem, {seed, faults, chains, only}: ProcessPlan): Promise<Map<string, number>> {
	const counts = new Map<string, number>();
	const chain = async (number: number): Promise<void> => {
		const random = new RandomChoices(new SeededRandom((seed * 100) + number));
		for (let count = 0; count < faults; count++) {
			const name = random.pick(only);
			counts.set(name, (counts.get(name) ?? 0) + 1);
			await allFaults[name](system, random);
			await pause(timesMs.pause);
		}
	};

	await Promise.all(Array.from({length: chains}, async (_, number) => chain(number)));
	// A node that two chains ended at the same time may not be running; it is started here.
	await Promise.all(system.nodes.map(async node => {
		if (!node.isRunning) {
			await node.start();
		}
	}));
	return counts;
}

/** Checks that after the last fault, read at the primary, every item includes its acknowledged writes. */
async function checkItems(system: LineSystem, callers: readonly SoakCaller[], {report, reader}: {readonly report: (finding: Finding) => void; readonly reader: Reader}): Promise<void> {
	for (const item of callers.flatMap(({items}) => items)) {
		const minimum = item.minimumValue(0);
		const observed = await readWithRetries(system, item.name, reader);
		if (observed === undefined) {
			report({promise: 'notRecovered', detail: `${item.name} could not be read after the last fault`});
			return;
		}

		if (observed < minimum) {
			report({promise: 'lost', detail: `${item.name}=${observed} at the end, ${minimum} had been acknowledged`});
		} else {
			item.check(observed, minimum, 'the last reader');
		}
	}
}

async function readWithRetries(system: LineSystem, item: string, reader: Reader): Promise<number | undefined> {
	for (let tries = 0; tries < maximumRecoveryAttempts; tries++) {
		const answer = await readOnce(system.nodes[tries % system.nodes.length], databases.primary, {id: `z-${item}-${tries}`, item, ...reader});
		if (answer) {
			return Number(answer.rows.at(0) ?? 0);
		}

		await pause(retryIntervalMs);
	}

	return undefined;
}

/** Reads once over a node in a session of its own; undefined if the node is not running yet, refuses, or does not know the database. */
async function readOnce(
	{plan: {host, callersPort}}: NodeProcess,
	database: string,
	{id, item, key, checks}: Reader & {readonly id: string; readonly item: string},
): Promise<ClientAnswer | undefined> {
	try {
		const client = await LineClient.open(host, callersPort, database, key);
		const answer = await client.query(id, new CallerRecord(id, checks).send(id, {kind: 'read', item}));
		client.close();
		return answer.code === '' ? answer : undefined;
	} catch {
		return undefined;
	}
}

/** Checks that every node serves a database that was added after the last fault. */
async function checkConfiguration(system: LineSystem, report: (finding: Finding) => void, reader: Reader): Promise<void> {
	for (const node of system.nodes) {
		const {name} = node.plan;
		let answer: ClientAnswer | undefined;
		for (let tries = 0; tries < maximumConfigurationAttempts && !answer; tries++) {
			await pause(tries === 0 ? 0 : retryIntervalMs);
			answer = await readOnce(node, lastDatabase, {id: `k-${name}-${tries}`, item: 'k', ...reader});
		}

		if (!answer) {
			report({promise: 'configurationLate', detail: `${name} does not serve a database that was added after the last fault`});
		}
	}
}

/** Checks that no write takes effect twice, and that none takes effect which no caller sent. */
function checkWriteEffects(system: LineSystem, writes: ReadonlyMap<string, boolean>, report: (finding: Finding) => void): void {
	const runs = new Map<string, number>();
	for (const id of system.group.instances.flatMap(({committed}) => committed)) {
		runs.set(id, (runs.get(id) ?? 0) + 1);
	}

	for (const [id, count] of runs) {
		if (count > 1) {
			report({promise: 'doubled', detail: `${id} took effect ${count} times`});
		}

		if (!writes.has(id)) {
			report({promise: 'invented', detail: `${id} took effect, which no caller sent`});
		}
	}
}

/** Checks that no two nodes send promotion commands with the same epoch, and that epochs never decrease. */
function checkPromotions({ordered}: LineSystem, report: (finding: Finding) => void): void {
	for (const [index, {epoch, holder}] of ordered.entries()) {
		const before = ordered[index - 1];
		if (before && (epoch < before.epoch || (epoch === before.epoch && holder !== before.holder))) {
			report({promise: 'falsePromotion', detail: `${holder} sent a promotion command with epoch ${epoch} after ${before.holder} had sent one with epoch ${before.epoch}`});
		}
	}
}

/** Checks that no write is acknowledged that took effect at an old primary after a later term had begun. */
function checkAcknowledgements({group}: LineSystem, writes: ReadonlyMap<string, boolean>, report: (finding: Finding) => void): void {
	for (const {id, instance, term, atMs} of group.commits) {
		const later = group.promotionEffects.find(start => start.term > term && start.atMs < atMs);
		if (later && writes.get(id) === true) {
			const delayMs = Math.round(atMs - later.atMs);
			report({promise: 'ackedAtOldPrimary', detail: `${id} took effect at ${instance} in term ${term}, ${delayMs} ms after ${later.instance} led term ${later.term}`});
		}
	}
}

function sumCounts(callers: readonly SoakCaller[]): Map<string, number> {
	const sums = new Map<string, number>();
	for (const [what, count] of callers.flatMap(({counts}) => [...counts])) {
		sums.set(what, (sums.get(what) ?? 0) + count);
	}

	return sums;
}
