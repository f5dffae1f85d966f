import {describe, it} from 'node:test';
import {expect} from 'earl';
import {FakeWorld} from './testing/fake-world.js';

async function startedWorld(seed = 1): Promise<FakeWorld> {
	const world = new FakeWorld(seed);
	await world.start();
	return world;
}

describe('MonitoredGroup', () => {
	it('adopts the existing primary, confirms writes, proves positions and bounds the age of replicas', async () => {
		const world = await startedWorld();
		for (const {monitor} of world.nodes) {
			const {term, primary} = monitor.view();
			expect({term, primary}).toEqual({term: 1, primary: 'stock-a'});
		}

		const written = await world.clock.advanceUntil(world.write(1));
		expect(written.isRight()).toEqual(true);
		const [, node] = world.nodes;
		const proved = await world.clock.advanceUntil(node.monitor.prove(1000));
		expect(proved.extract()).toEqual({term: 1, offset: 2});
		await world.clock.advance(500);
		expect(node.monitor.ageMs('stock-c')!).toBeLessThan(130);
		world.dispose();
	});

	it('replaces a primary that crashed', async () => {
		const world = await startedWorld();
		world.instance('stock-a').crash();
		await world.clock.advanceWhile(() => !world.primary, 1500);
		expect(world.primary?.promisedTerm).toEqual(2);
		await world.clock.advance(500);
		for (const {monitor} of world.nodes) {
			expect(monitor.view().term).toEqual(2);
		}

		const written = await world.clock.advanceUntil(world.write(2));
		expect(written.isRight()).toEqual(true);
		world.dispose();
	});
});
