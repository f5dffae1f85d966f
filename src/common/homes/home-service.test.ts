import {describe, it} from 'node:test';
import {expect} from 'earl';
import {HomeBench} from './testing/home-bench.js';

describe('HomeService', () => {
	it('attaches, opens connections ahead of need and runs statements', async () => {
		const bench = await new HomeBench().ready();
		expect(bench.homes.served()).toEqual(['stock-1']);
		expect(bench.endpoint.connections.size).toEqual(3);
		expect(await bench.runNow('INSERT 1')).toEqual('ok');
		expect(await bench.runNow('SELECT 1')).toEqual('ok');
		bench.homes.dispose();
		await bench.clock.advance(100);
		expect(bench.clock.pendingTimers).toEqual(0);
	});
});
