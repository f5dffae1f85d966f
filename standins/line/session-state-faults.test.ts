import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {poolDefaults} from '../../src/common/pools/constants.js';
import type {LineInstance} from './line-group.js';
import type {LineInstanceSession} from './line-instance-session.js';
import type {LineTestSession} from './line-test-session.js';
import {answerStartsWith} from './line-test-session.js';
import {databases, LineTestCluster} from './line-test-cluster.js';

/** Has an instance answer statements of a kind with BUSY, on every connection, without running them. */
function refuse(instance: LineInstance, word: string): void {
	const refuseOn = (session: LineInstanceSession): void => {
		const query = session.query.bind(session);
		session.query = (id, text) => text.startsWith(`${word} `) || text === word
			? query('-', 'NONE')!.replace('ERROR MALFORMED', 'ERROR BUSY')
			: query(id, text);
	};

	const open = instance.open.bind(instance);
	instance.open = (...fields) => {
		const opened = open(...fields);
		if (typeof opened !== 'string') {
			refuseOn(opened);
		}

		return opened;
	};

	for (const session of instance.sessions) {
		refuseOn(session);
	}
}

describe('a connection whose session state is not what the node believes', () => {
	let cluster: LineTestCluster;
	let primary: LineInstance;
	let session: LineTestSession;

	/** Has the primary lose the prepared statements of every connection. */
	function forgetPrepared(): void {
		for (const {prepared} of primary.sessions) {
			prepared.clear();
		}
	}

	/** Executes as many prepared statements on the session's connection as it may hold. */
	async function fillNames(): Promise<void> {
		for (let index = 0; index < poolDefaults.preparedNames; index++) {
			await session.send(`PREPARE f${index} READ f${index}`);
			await session.send(`EXECUTE f${index} x`);
		}
	}

	/** Makes the next statement need one of these before it; returns that statement. */
	const statementsThatNeed = {
		async PREPARE() {
			await session.send('PREPARE s WRITE q');
			return 'EXECUTE s y 1';
		},
		async SET() {
			await session.send('SET size 2');
			return 'WRITE y 1';
		},
		async DISCARD() {
			await fillNames();
			await session.send('PREPARE last READ last');
			return 'EXECUTE last x';
		},
	};

	async function checkRefusedInTransaction(word: keyof typeof statementsThatNeed): Promise<void> {
		await session.send('BEGIN');
		await session.send('WRITE x 1');
		const statement = await statementsThatNeed[word]();
		refuse(primary, word);
		const opened = [...primary.sessions];
		const answer = await session.send(statement);
		expect(answer.startsWith('ERROR ABORTED')).toEqual(true);
		expect(answer.endsWith('READY E -')).toEqual(true);
		expect(opened.filter(connection => !primary.sessions.has(connection)).length).toEqual(1);
		expect(await answerStartsWith(session.send('COMMIT'), 'ERROR ABORTED')).toEqual(true);
		expect(primary.log.length).toEqual(0);
	}

	beforeEach(async () => {
		cluster = new LineTestCluster();
		await cluster.start(1);
		primary = cluster.group.instance('i-1');
		session = cluster.nodes[0].session(databases.primary);
	});

	afterEach(() => {
		cluster.dispose();
	});

	it('is closed when the endpoint lacks a prepared statement, which is prepared on another one', async () => {
		await session.send('PREPARE s WRITE q');
		await session.send('EXECUTE s x 1');
		forgetPrepared();
		expect(await session.send('EXECUTE s x 2')).toEqual('COMPLETE i-1||READY I 1.2');
	});

	it('ends the transaction when the endpoint lacks a prepared statement', async () => {
		await session.send('PREPARE s WRITE q');
		await session.send('BEGIN');
		await session.send('EXECUTE s x 1');
		forgetPrepared();
		const answer = await session.send('EXECUTE s y 1');
		expect(answer.startsWith('ERROR ABORTED')).toEqual(true);
		expect(answer.endsWith('READY E -')).toEqual(true);
		expect(await answerStartsWith(session.send('COMMIT'), 'ERROR ABORTED')).toEqual(true);
		await cluster.clock.advance(10);
		expect(await session.send('EXECUTE s x 2')).toEqual('COMPLETE i-1||READY I 1.1');
	});

	it('is closed when the endpoint refuses a value, and a write on it has an unknown outcome', async () => {
		refuse(primary, 'SET');
		await session.send('SET colour red');
		const before = [...primary.sessions];
		expect(await answerStartsWith(session.send('WRITE x 1', 'w'), 'ERROR INDOUBT')).toEqual(true);
		expect(before.filter(opened => !primary.sessions.has(opened)).length).toEqual(1);
		// The endpoint has run the write: it follows the refused statement on the connection at once.
		expect(primary.ran.filter(id => id === 'w').length).toEqual(1);
	});

	it('is closed when the endpoint refuses a value, and a read on it is not answered from it', async () => {
		refuse(primary, 'SET');
		await session.send('SET colour red');
		expect(await answerStartsWith(session.send('READ x'), 'ERROR BUSY')).toEqual(true);
	});

	for (const word of ['PREPARE', 'SET', 'DISCARD'] as const) {
		it(`is closed, and its transaction is reported as rolled back, when the endpoint refuses ${word} in it`, async () => checkRefusedInTransaction(word));
	}

	it('makes a commit\'s outcome unknown when the endpoint refuses a value before it', async () => {
		await session.send('BEGIN');
		await session.send('WRITE x 1');
		await session.send('SET size 2');
		refuse(primary, 'SET');
		expect(await answerStartsWith(session.send('COMMIT'), 'ERROR INDOUBT')).toEqual(true);
	});

	it('keeps the transaction and the values when it holds too many prepared statements', async () => {
		await session.send('SET size 2');
		await session.send('BEGIN');
		await session.send('WRITE x 1');
		await fillNames();
		await session.send('PREPARE last WRITE last');
		expect(await session.send('EXECUTE last y 1', 'last')).toEqual('COMPLETE i-1|size=2|READY T 1.0');
		expect(primary.executions.get('last')).toEqual({isWrite: true, shape: 'last', parameters: 'y 1'});
		expect(Math.max(...[...primary.sessions].map(({prepared}) => prepared.size)) <= poolDefaults.preparedNames).toEqual(true);
		expect(await session.send('COMMIT')).toEqual('COMPLETE i-1|size=2|READY I 1.1');
		expect(primary.log.length).toEqual(1);
	});
});
