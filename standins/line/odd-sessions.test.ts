import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import {CallerRecord} from './caller-record.js';
import type {SessionStatement} from './caller-record.js';
import {databases, LineTestCluster} from './line-test-cluster.js';
import type {LineTestNode} from './line-test-cluster.js';
import {LinkModel} from './links/link-model.js';
import {OddStatements} from './odd-statements.js';
import {describeViolation, RanAsSent} from './ran-as-sent.js';

/** Sessions of one node, and statements of a session; a share of them leave, also in the middle of a transaction. */
const sessionsPerNode = 4;
const statementsPerSession = 150;
const leaveShare = 0.01;

/** Share of the statements that run and whose answers are lost, with the connection. */
const lostShare = 0.01;

/** Fast links between nodes, which encode and decode what they send. */
const linkBytesPerMs = 125_000;

/** Seeds that are always run. A seed that has failed stays. */
const seeds = [1, 2, 3];

describe('sessions with odd texts that share connections', () => {
	let cluster: LineTestCluster;
	/** Ids of executions that were answered as unknown although the preparing was acknowledged; no instance gets these. */
	const unknown: string[] = [];

	/** One caller: sends statements one after the other, in a new session after it has left one or one has failed. */
	async function runCaller(name: string, node: LineTestNode, {seed, checks}: {readonly seed: number; readonly checks: RanAsSent}): Promise<void> {
		const random = new SeededRandom(seed);
		const odd = new OddStatements(random);
		const database = [databases.primary, databases.own, databases.aged][seed % 3];
		const open = (count: number) => ({session: node.session(database), record: new CallerRecord(`${name}.${count}`, checks)});
		let {session, record} = open(0);
		let isFailed = false;
		for (let count = 1; count <= statementsPerSession; count++) {
			if ((isFailed && !record.isInTransaction) || random.next() < leaveShare) {
				session.session.dispose();
				({session, record} = open(count));
			}

			const statement: SessionStatement = isFailed && record.isInTransaction ? {kind: 'rollback'} : odd.next(record, database !== databases.aged);
			if (random.next() < lostShare) {
				for (const {lostAnswers} of cluster.group.instances) {
					lostAnswers.add(`${name}.${count}`);
				}
			}

			const answer = await session.start(record.send(`${name}.${count}`, statement), `${name}.${count}`);
			if (statement.kind === 'execute' && record.prepared.has(statement.name) && answer.startsWith('ERROR NOSTMT')) {
				unknown.push(`${name}.${count}`);
			}

			isFailed = !answer.includes('COMPLETE ');
			record.noteAnswer(statement, !isFailed);
		}
	}

	async function runCallers(nodes: number, seed: number, hasLinks: boolean): Promise<RanAsSent> {
		cluster = new LineTestCluster();
		cluster.links = hasLinks ? new LinkModel(cluster.clock, () => linkBytesPerMs) : undefined;
		await cluster.start(nodes);
		const checks = new RanAsSent();
		cluster.group.runListener = run => {
			checks.recordRun(run);
		};

		const callers = cluster.nodes.flatMap((node, index) => Array.from({length: sessionsPerNode}, async (_, caller) =>
			runCaller(`c${index}.${caller}`, node, {seed: (seed * 1000) + (index * 10) + caller, checks})));
		await cluster.clock.advanceUntil(Promise.all(callers));
		return checks;
	}

	afterEach(() => {
		cluster.dispose();
		unknown.length = 0;
	});

	const cases = [
		...seeds.map(seed => ({seed, nodes: 1, hasLinks: false})),
		...seeds.map(seed => ({seed, nodes: 4, hasLinks: false})),
		// In a fleet of this size, nodes send statements to each other.
		{seed: 1, nodes: 18, hasLinks: true},
	];
	for (const {seed, nodes, hasLinks} of cases) {
		it(`run as they were sent, with ${nodes} nodes and seed ${seed}`, async () => {
			const checks = await runCallers(nodes, seed, hasLinks);
			expect(checks.violations().map(violation => `${violation.rule} ${describeViolation(violation)}`)).toEqual([]);
			expect(unknown).toEqual([]);
			expect(checks.runs > nodes * sessionsPerNode * statementsPerSession / 4).toEqual(true);
		});
	}
});
