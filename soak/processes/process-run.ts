/**
 * One seeded run of real node processes under faults from outside, judged by what callers
 * and instances saw. The seed decides what happens; when exactly, the machine does.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import type {Finding} from '../findings.js';
import {LineClient} from '../../standins/line/processes/line-client.js';
import type {ClientAnswer} from '../../standins/line/processes/line-client.js';
import {databases, LineSystem} from '../../standins/line/processes/line-system.js';
import type {NodeProcess} from '../../standins/line/processes/node-process.js';
import {AccessWatch} from './access-watch.js';
import {allFaults, Dice} from './process-faults.js';
import {SoakCaller} from './soak-caller.js';

/** What one run does. */
export type ProcessPlan = {
	readonly seed: number;
	readonly nodes: number;
	readonly callers: number;
	/** Number of faults in each chain; chains overlap. */
	readonly faults: number;
	readonly chains: number;
	/** Names of the faults to choose from. */
	readonly only: readonly string[];
	/** Changes of organisations' keys and limits meanwhile; with none, callers need no key. */
	readonly accessChanges: number;
};

/** What one run showed. */
export type ProcessResult = {
	readonly findings: readonly Finding[];
	readonly answers: ReadonlyMap<string, number>;
	readonly faults: ReadonlyMap<string, number>;
	readonly promotions: number;
	/** Where the logs are, if something was found. */
	readonly folder: string;
};

/** Time with load and no fault, at the end, and pauses between faults, in milliseconds. */
const timesMs = {calm: 1500, pause: 300} as const;

/** Time between two tries of a last read, in milliseconds. */
const retryMs = 250;

/** How often a last read or write is tried, that far apart, before the system counts as not recovered. */
const recoveryTries = 120;

/** The same for a database that is added after the last fault. */
const configurationTries = 40;

/** Name of that database. */
const lastDatabase = 'db-last';

/** Runs a plan to its end. */
export async function runProcesses(plan: ProcessPlan): Promise<ProcessResult> {
	const findings: Finding[] = [];
	const report = (finding: Finding): void => {
		findings.push(finding);
	};

	const system = new LineSystem();
	const access = plan.accessChanges > 0 ? new AccessWatch(system) : undefined;
	try {
		await system.start(plan.nodes);
		const writes = new Map<string, boolean>();
		const callers = startCallers(system, {
			plan, report, writes, access,
		});
		const ending = new AbortController();
		const working = callers.map(async caller => caller.run(ending.signal));
		const [faults] = await Promise.all([injectFaults(system, plan), access?.disturb(accessDice(plan), plan.accessChanges)]);
		system.addDatabase(lastDatabase);
		await pause(timesMs.calm);
		ending.abort();
		await Promise.all(working);
		await checkConfiguration(system, report, access?.callerOf(1).key);
		await checkItems(system, callers, report, access?.callerOf(1).key);
		checkRuns(system, writes, report);
		checkPromotions(system, report);
		checkAcknowledged(system, writes, report);
		access?.check(report);
		return {
			findings, faults, answers: sumOf(callers), promotions: system.ordered.length, folder: findings.length > 0 ? system.folder : '',
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
};

/** Chains of faults have smaller numbers, so that a seed's faults are the same with organisations and without. */
const accessChain = 99;

function accessDice({seed}: ProcessPlan): Dice {
	return new Dice(new SeededRandom((seed * 100) + accessChain));
}

function startCallers(system: LineSystem, {plan, report, writes, access}: CallerParts): SoakCaller[] {
	const addresses = system.nodes.map(({plan: {host, callersPort}}) => ({host, port: callersPort}));
	return Array.from({length: plan.callers}, (_, index) => new SoakCaller({
		name: `c${index}`,
		random: new SeededRandom((plan.seed * 1000) + index),
		addresses,
		report,
		key: access?.callerOf(index).key,
		onSent(id, operation) {
			access?.noteSent(id, access.callerOf(index).organisation, operation);
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
		const dice = new Dice(new SeededRandom((seed * 100) + number));
		for (let count = 0; count < faults; count++) {
			const name = dice.pick(only);
			counts.set(name, (counts.get(name) ?? 0) + 1);
			await allFaults[name](system, dice);
			await pause(timesMs.pause);
		}
	};

	await Promise.all(Array.from({length: chains}, async (_, number) => chain(number)));
	// A node that two chains ended at one time is started once more.
	await Promise.all(system.nodes.map(async node => {
		if (!node.isRunning) {
			await node.start();
		}
	}));
	return counts;
}

/** After the last fault every item shows what was acknowledged, read at the primary. */
async function checkItems(system: LineSystem, callers: readonly SoakCaller[], report: (finding: Finding) => void, key: string | undefined): Promise<void> {
	for (const item of callers.flatMap(({items}) => items)) {
		const least = item.least(0);
		const shown = await readAtLast(system, item.name, key);
		if (shown === undefined) {
			report({promise: 'notRecovered', detail: `${item.name} could not be read after the last fault`});
			return;
		}

		if (shown < least) {
			report({promise: 'lost', detail: `${item.name}=${shown} at the end, ${least} had been acknowledged`});
		} else {
			item.check(shown, least, 'the last reader');
		}
	}
}

async function readAtLast(system: LineSystem, item: string, key: string | undefined): Promise<number | undefined> {
	for (let tries = 0; tries < recoveryTries; tries++) {
		const answer = await readOnce(system.nodes[tries % system.nodes.length], databases.primary, {id: `z-${item}`, item, key});
		if (answer) {
			return Number(answer.rows.at(0) ?? 0);
		}

		await pause(retryMs);
	}

	return undefined;
}

/** One read over a node in a session of its own; undefined where it is being started, refuses, or does not know the database. */
async function readOnce(
	{plan: {host, callersPort}}: NodeProcess,
	database: string,
	{id, item, key}: {readonly id: string; readonly item: string; readonly key: string | undefined},
): Promise<ClientAnswer | undefined> {
	try {
		const client = await LineClient.open(host, callersPort, database, key);
		const answer = await client.query(id, `READ ${item}`);
		client.close();
		return answer.code === '' ? answer : undefined;
	} catch {
		return undefined;
	}
}

/** A database that was added after the last fault is known to every node. */
async function checkConfiguration(system: LineSystem, report: (finding: Finding) => void, key: string | undefined): Promise<void> {
	for (const node of system.nodes) {
		const {name} = node.plan;
		let answer: ClientAnswer | undefined;
		for (let tries = 0; tries < configurationTries && !answer; tries++) {
			await pause(tries === 0 ? 0 : retryMs);
			answer = await readOnce(node, lastDatabase, {id: `k-${name}-${tries}`, item: 'k', key});
		}

		if (!answer) {
			report({promise: 'configurationLate', detail: `${name} does not serve a database that was added after the last fault`});
		}
	}
}

/** No write runs twice, and nothing runs that no caller sent. */
function checkRuns(system: LineSystem, writes: ReadonlyMap<string, boolean>, report: (finding: Finding) => void): void {
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

/** No epoch is used by two nodes, and none is lower than one that was used before. */
function checkPromotions({ordered}: LineSystem, report: (finding: Finding) => void): void {
	for (const [index, {epoch, holder}] of ordered.entries()) {
		const before = ordered[index - 1];
		if (before && (epoch < before.epoch || (epoch === before.epoch && holder !== before.holder))) {
			report({promise: 'falsePromotion', detail: `${holder} ordered with epoch ${epoch} after ${before.holder} with ${before.epoch}`});
		}
	}
}

/** No write is acknowledged that took effect at an old primary once a later term had begun. */
function checkAcknowledged({group}: LineSystem, writes: ReadonlyMap<string, boolean>, report: (finding: Finding) => void): void {
	for (const {id, instance, term, atMs} of group.commits) {
		const later = group.promotionEffects.find(start => start.term > term && start.atMs < atMs);
		if (later && writes.get(id) === true) {
			const lateMs = Math.round(atMs - later.atMs);
			report({promise: 'ackedAtOldPrimary', detail: `${id} took effect at ${instance} in term ${term}, ${lateMs} ms after ${later.instance} led term ${later.term}`});
		}
	}
}

function sumOf(callers: readonly SoakCaller[]): Map<string, number> {
	const sums = new Map<string, number>();
	for (const [what, count] of callers.flatMap(({counts}) => [...counts])) {
		sums.set(what, (sums.get(what) ?? 0) + count);
	}

	return sums;
}
