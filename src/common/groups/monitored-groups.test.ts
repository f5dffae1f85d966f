import {describe, it} from 'node:test';
import {expect} from 'earl';
import {MonitoredGroups} from './monitored-groups.js';
import {FakeWorld} from './testing/fake-world.js';

describe('MonitoredGroups', () => {
	it('keeps a monitor while its group is configured and this node is a home of the group or uses the monitor', async () => {
		const world = new FakeWorld(1);
		await world.start();
		let isConfigured = true;
		let isHome = true;
		const services = world.nodes[0].services();
		const groups = new MonitoredGroups({
			...services,
			configuration: {...world.configuration, group: name => isConfigured ? world.configuration.group(name) : undefined},
			membership: {...services.membership, homeOf: endpoint => isHome ? services.membership.homeOf(endpoint) : undefined},
		}, {unusedAfterMs: 3000});
		const monitor = groups.monitor('stock');
		expect(groups.monitor('stock')).toEqual(monitor);
		await world.clock.advance(10_000);
		expect(groups.existing('stock')).toEqual(monitor);

		isHome = false;
		monitor.control('stock-a');
		await world.clock.advance(2000);
		expect(groups.existing('stock')).toEqual(monitor);
		await world.clock.advance(4000);
		expect(groups.existing('stock')).toEqual(undefined);

		isHome = true;
		const again = groups.monitor('stock');
		const waiting = again.confirm({term: 1, offset: 999}, 60_000);
		isConfigured = false;
		world.announceConfiguration();
		expect(groups.existing('stock')).toEqual(undefined);
		const outcome = await waiting;
		expect(outcome.isLeft()).toEqual(true);
		groups.dispose();
		world.dispose();
	});

	it('leaves no timers pending when disposed', async () => {
		const world = new FakeWorld(2);
		await world.start();
		const groups = new MonitoredGroups(world.nodes[0].services());
		const monitor = groups.monitor('stock');
		void monitor.prove(5000);
		await world.clock.advance(700);
		expect(monitor.view().primary).toEqual('stock-a');
		groups.dispose();
		world.dispose();
		for (const instance of world.instances) {
			instance.crash();
		}

		await world.clock.advance(5000);
		expect(world.clock.pendingTimers).toEqual(0);
	});
});
