import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {databases, LineTestCluster} from './line-test-cluster.js';

/** Number of nodes of a large fleet. */
const nodeCount = 24;

/** Timeout of a statement of every route of the cluster. */
const timeoutMs = 800;

describe('a burst of statements with a response-time goal in a large fleet', () => {
	let cluster: LineTestCluster;

	afterEach(() => {
		cluster.dispose();
	});

	// Guards against statements that run after their callers were told that they did not, and against
	// return times past the deadline.
	it('is answered within the timeout, and what is refused never runs', async () => {
		cluster = new LineTestCluster();
		cluster.responseGoalMs = 100;
		await cluster.start(nodeCount);
		const {clock, nodes, group} = cluster;
		await Promise.all(nodes.map(async node => clock.advanceUntil(node.session(databases.primary).start('WRITE x 1'))));
		const sentAtMs = clock.nowMs();
		const answers = new Map<string, string>();
		const sent = Array.from({length: 3000}, async (_, index) => {
			const id = `burst-${index}`;
			answers.set(id, await nodes[index % nodeCount].session(databases.primary).start(`WRITE x${index} 1`, id));
		});
		await clock.advanceUntil(Promise.all(sent));
		// The acknowledgement of a write may wait another 40 ms for a replica, and a lease.
		expect(clock.nowMs() - sentAtMs <= timeoutMs + 540).toEqual(true);
		await clock.advance(5000);
		const ran = new Set(group.instances.flatMap(instance => instance.ran));
		const refused = [...answers].filter(([, answer]) => answer.includes('retry-after-ms='));
		const answered = [...answers].filter(([, answer]) => answer.startsWith('COMPLETE'));
		expect(nodes.some(({events}) => events.some(({name}) => name === 'goalAdmissionRefused'))).toEqual(true);
		expect(refused.length > 0 && answered.length > 0).toEqual(true);
		expect(refused.filter(([id]) => ran.has(id))).toEqual([]);
		expect(answered.filter(([id]) => !ran.has(id))).toEqual([]);
		// Guards against asking the home of the primary again after it refused: each attempt takes a place in the schedule.
		const refusalsById = new Map<unknown, number>();
		for (const {name, fields} of nodes.flatMap(({events}) => events)) {
			if (name === 'statementTurnedAway' && fields.kind === 'deadlineUnreachable') {
				refusalsById.set(fields.request, (refusalsById.get(fields.request) ?? 0) + 1);
			}
		}

		expect(refusalsById.size > 0 && [...refusalsById.values()].every(count => count === 1)).toEqual(true);
		for (const [, answer] of refused) {
			const [, retryAfterMs] = /retry-after-ms=(\d+)/v.exec(answer)!;
			expect(Number(retryAfterMs) <= timeoutMs).toEqual(true);
		}
	});
});
