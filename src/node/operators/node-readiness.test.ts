import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../../common/errors/error-kinds.js';
import {listedHost} from '../../common/membership/testing/hosts.js';
import {SeededRandom} from '../../common/random/seeded-random.js';
import type {Host} from '../../common/services/services.js';
import {VirtualClock} from '../../common/testing/virtual-clock.js';
import {NodeReadiness} from './node-readiness.js';

function build() {
	const clock = new VirtualClock();
	const world = {
		self: listedHost('h1'), others: [listedHost('h2'), listedHost('h3')], isConfigured: true, hearsAnyInstance: true, answering: new Set(['h2', 'h3']), probes: 0,
	};
	const readiness = new NodeReadiness({
		membership: {
			get self() {
				return world.self;
			},
			hosts: () => [world.self, ...world.others],
		},
		peers: {
			async probe(host: Host) {
				world.probes++;
				return world.answering.has(host.name) ? Right({host, configurationVersion: 1}) : Left(new Refusal('peerUnavailable'));
			},
		},
		clock,
		random: new SeededRandom(1),
		isConfigured: () => world.isConfigured,
		hasReachableInstance: () => world.hearsAnyInstance,
	});
	return {clock, world, readiness};
}

describe('NodeReadiness', () => {
	it('waits for a configuration, and ends with the drain', () => {
		const {world, readiness} = build();
		world.isConfigured = false;
		expect(readiness.current.isReady).toEqual(false);
		world.isConfigured = true;
		expect(readiness.current).toEqual({isReady: true, reason: 'serving'});
		world.self = {...world.self, isLeaving: true};
		expect(readiness.current).toEqual({isReady: false, reason: 'draining'});
	});

	it('ends when neither an endpoint nor a node can be reached for a while, and comes back', async () => {
		const {clock, world, readiness} = build();
		void readiness.run();
		await clock.advance(5000);
		expect([readiness.current.isReady, world.probes]).toEqual([true, 0]);
		world.hearsAnyInstance = false;
		await clock.advance(5000);
		expect([readiness.current.isReady, world.probes > 0]).toEqual([true, true]);
		world.answering.clear();
		await clock.advance(2000);
		expect(readiness.current.isReady).toEqual(true);
		await clock.advance(2000);
		expect(readiness.current.isReady).toEqual(false);
		world.hearsAnyInstance = true;
		await clock.advance(1000);
		expect(readiness.current.isReady).toEqual(true);
		readiness.dispose();
		expect(clock.pendingTimers).toEqual(0);
	});

	it('stays ready when there is no other node to take its place', async () => {
		const {world, readiness} = build();
		world.hearsAnyInstance = false;
		world.others = [];
		for (let look = 0; look < 5; look++) {
			await readiness.checkConnectivity();
		}

		expect(readiness.current.isReady).toEqual(true);
	});
});
