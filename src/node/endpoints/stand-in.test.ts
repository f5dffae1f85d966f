import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {serialize} from 'pg-protocol';
import {hasReached} from '../../common/positions/log-position.js';
import type {
	EndpointAddress, EndpointConnection, ExchangeEnd, InstanceControl,
} from '../../common/services/services.js';
import {Endpoint} from '../../../standins/endpoint/endpoint.js';
import {settingsSchema} from '../../../standins/endpoint/settings.js';
import {SystemClock} from '../system-clock.js';
import {PgEndpointConnector} from './pg-endpoint-connector.js';

const credentials = {user: 'app', password: 'secret'};
const connector = new PgEndpointConnector(new SystemClock(), credentials);
const endpoint = new Endpoint(settingsSchema.parse({
	...credentials, name: 'stock-1', group: 'stock', initialPrimary: 'stock-1', connectCostMs: 0, connections: 4, authentication: 'md5',
}));

function address(): EndpointAddress {
	return {
		name: 'stock-1', group: 'stock', availabilityZone: 'a', host: '127.0.0.1', port: endpoint.port,
	};
}

async function control(): Promise<InstanceControl> {
	const opened = await connector.connectControl(address(), 'node-a');
	return opened.unsafeCoerce();
}

async function run(connection: EndpointConnection, text: string): Promise<{end: ExchangeEnd; answer: string}> {
	let answer = '';
	const end = await connection.exchange(serialize.query(text), {
		push(frames) {
			answer += new TextDecoder('latin1').decode(frames);
		},
	});
	return {end: end.unsafeCoerce(), answer};
}

describe('PgEndpointConnector with the endpoint stand-in', () => {
	before(async () => endpoint.start());
	after(() => {
		endpoint.dispose();
	});

	it('refuses work of a home that is not attached', async () => {
		const opened = await connector.connectWork(address(), 'node-b');
		expect(opened.swap().unsafeCoerce().sqlState).toEqual('55006');
	});

	it('sends control commands, attaches, runs queries and reports positions', async () => {
		const observer = await control();
		const state = await observer.readState();
		expect(state.unsafeCoerce().role).toEqual('primary');
		const attached = await observer.attach('node-a', false);
		expect(attached.extract()).toEqual({isAttached: true, holder: 'node-a'});
		const opened = await connector.connectWork(address(), 'node-a');
		const work = opened.unsafeCoerce();
		const created = await run(work, 'CREATE TABLE items (id int PRIMARY KEY)');
		const written = await run(work, 'INSERT INTO items VALUES (7)');
		expect(hasReached(written.end.position, created.end.position)).toEqual(true);
		expect(written.end.position.offset > created.end.position.offset).toEqual(true);
		const read = await run(work, 'SELECT id FROM items');
		expect(read.answer.includes('SELECT 1')).toEqual(true);
		expect(read.answer.includes('quetzalstream.position')).toEqual(false);
		const begun = await run(work, 'BEGIN');
		expect(begun.end.transactionStatus).toEqual('open');
		const failed = await run(work, 'INSERT INTO items VALUES (7)');
		expect(failed.end).toEqual({...read.end, transactionStatus: 'failed', errorSqlState: '23505'});
		const claim = await observer.raiseTerm(9, 'claim');
		expect(claim.unsafeCoerce().state.promisedTerm).toEqual(9);
		work.dispose();
		observer.dispose();
	});

	it('reports the end of a work connection that a forced attach closed', async () => {
		const [first, second] = [await control(), await control()];
		await first.attach('node-a', false);
		const opened = await connector.connectWork(address(), 'node-a');
		const work = opened.unsafeCoerce();
		const closed = new Promise<void>(resolve => {
			work.onClose(resolve);
		});
		const refused = await second.attach('node-b', false);
		expect(refused.extract()).toEqual({isAttached: false, holder: 'node-a'});
		const forced = await second.attach('node-b', true);
		expect(forced.extract()).toEqual({isAttached: true, holder: 'node-b'});
		await closed;
		const detached = await second.detach('node-b');
		expect(detached.isRight()).toEqual(true);
		first.dispose();
		second.dispose();
	});
});
