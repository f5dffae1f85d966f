import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {Refusal} from '../../src/common/errors/error-kinds.js';
import {LineSession} from '../../src/common/line-sessions/line-session.js';
import {StatementRunner} from '../../src/common/line-sessions/statement-runner.js';
import type {Answer, RunnableStatement} from '../../src/common/line-sessions/types.js';
import {AccessControl} from '../../src/common/organisations/access-control.js';
import {databases, LineTestCluster} from './line-test-cluster.js';
import {LineTestSession} from './line-test-session.js';

/** Records the goals of statements, and refuses them until it is told to answer. */
class RecordingRunner extends StatementRunner {
	readonly goalsAtMs: Array<number | undefined> = [];
	isRefusing = true;

	override async run({goalAtMs}: RunnableStatement): Promise<Answer> {
		this.goalsAtMs.push(goalAtMs);
		return this.isRefusing
			? {text: '', position: undefined, refusal: new Refusal('deadlineUnreachable', '', {retryAfterMs: 40})}
			: {text: '', position: undefined};
	}
}

describe('a session whose route has a goal', () => {
	let cluster: LineTestCluster;

	afterEach(() => {
		cluster.dispose();
	});

	// Guards against retries that take the place of statements which can still be answered in time.
	it('counts the goal of a retry from the first attempt, and that of the next request anew', async () => {
		cluster = new LineTestCluster();
		cluster.responseGoalMs = 100;
		await cluster.start(1);
		const {clock, nodes: [node]} = cluster;
		const runner = new RecordingRunner(node.sessionServices);
		const credential = new AccessControl(node.catalog).createCredential('caller');
		const session = new LineTestSession(new LineSession(databases.primary, credential, node.sessionServices, runner), clock);
		const startedAtMs = clock.nowMs();
		await session.send('READ x');
		await clock.advance(40);
		runner.isRefusing = false;
		await session.send('READ x');
		await session.send('READ x');
		expect(runner.goalsAtMs).toEqual([startedAtMs + 100, startedAtMs + 100, startedAtMs + 140]);
	});
});
