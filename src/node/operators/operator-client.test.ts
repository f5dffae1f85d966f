import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {OperatorClient} from './operator-client.js';
import {makeOperatorServer} from './testing/operator-fixtures.js';

const drain = {op: 'put', kind: 'rule', value: {name: 'drain.zone.zone-a', selector: {zones: ['zone-a']}, effect: {kind: 'drain'}}} as const;

describe('OperatorClient', () => {
	it('previews, proposes and undoes a change', async () => {
		const {operatorServer} = await makeOperatorServer();
		const port = await operatorServer.listen('127.0.0.1', 0);
		const client = new OperatorClient({url: `http://127.0.0.1:${port}`, user: 'ann', password: 'plain'});
		const {version, document} = (await client.configuration()).unsafeCoerce(); // eslint-disable-line unicorn/no-await-expression-member
		const desiredChange = {document: {...document, rules: [drain.value]}};
		const preview = await client.preview(desiredChange);
		const {warnings} = preview.unsafeCoerce();
		expect(warnings.map(({id}) => id)).toEqual(['primaryLeaves:orders', 'primaryLeaves:stock']);
		const refused = await client.propose(desiredChange, {basedOn: version});
		expect(refused.swap().unsafeCoerce().kind).toEqual('unacknowledged');
		const accepted = await client.propose(desiredChange, {basedOn: version, acknowledged: warnings.map(({id}) => id)});
		expect(accepted.unsafeCoerce().operations.map(({op, kind}) => [op, kind])).toEqual([['put', 'rule']]);
		const conflict = await client.orderPrimary('stock', 'stock-b', {basedOn: version});
		expect(conflict.swap().unsafeCoerce()).toLooseEqual({kind: 'conflict', version: 2, changes: [accepted.unsafeCoerce()]});
		const undone = await client.undo(2, {basedOn: 2});
		expect(undone.unsafeCoerce().undoOf).toEqual(2);
		const [status, reach, explanation, log, audit] = await Promise.all([
			client.status(), client.reach(3), client.explain({user: 'web', group: 'stock'}), client.changes(1), client.audit(),
		]);
		expect(status.unsafeCoerce().degraded.map(({subject}) => subject)).toEqual(['zone-c']);
		const {inForceCount, nodeCount} = reach.unsafeCoerce();
		expect([inForceCount, nodeCount]).toEqual([1, 3]);
		expect(explanation.unsafeCoerce().endpoints.map(({endpoint}) => endpoint)).toEqual(['stock-a', 'stock-b', 'stock-c']);
		expect(log.unsafeCoerce().changes.map(({number}) => number)).toEqual([3]);
		expect(audit.unsafeCoerce().records[0]?.act).toEqual('configuration.undo');
		operatorServer.dispose();
	});

	it('resends a proposal without a response under the same change identifier', async () => {
		const identities: string[] = [];
		const server = createServer((request, response) => {
			request.setEncoding('utf8');
			request.on('data', (text: string) => {
				identities.push(/"changeId":"(?<id>[^"]+)"/v.exec(text)?.groups?.id ?? '');
				response.destroy();
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- it listens on TCP.
		const client = new OperatorClient({
			url: `http://127.0.0.1:${port}`, user: 'ann', password: 'plain', retryPauseMs: 0,
		});
		const result = await client.propose({operations: [drain]}, {basedOn: 1});
		expect(result.swap().unsafeCoerce().kind).toEqual('noAnswer');
		expect([identities.length, new Set(identities).size]).toEqual([3, 1]);
		server.close();
	});
});
