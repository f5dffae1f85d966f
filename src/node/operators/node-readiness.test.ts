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
	it('is not ready before a configuration is in force, nor while the node drains', () => {
		const {world, readiness} = build();
		world.isConfigured = false;
		expect(readiness.current.isReady).toEqual(false);
		world.isConfigured = true;
		expect(readiness.current).toEqual({isReady: true, reason: 'serving'});
		world.self = {...world.self, isLeaving: true};
		expect(readiness.current).toEqual({isReady: false, reason: 'draining'});
	});

	it('is not ready after a time without a reachable endpoint or node, and becomes ready again', async () => {
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

	it('stays ready if there is no other node to take its place', async () => {
		const {world, readiness} = build();
		world.hearsAnyInstance = false;
		world.others = [];
		for (let check = 0; check < 5; check++) {
			await readiness.checkConnectivity();
		}

		expect(readiness.current.isReady).toEqual(true);
	});
});
