import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {VirtualClock} from '../../common/testing/virtual-clock.js';
import {readinessTimes} from './constants.js';
import {Readiness} from './readiness.js';

describe('Readiness', () => {
	const clock = new VirtualClock();
	let readiness: Readiness;

	/**
	 * Starts the readiness checks of a node that has just lost all its groups; the store answers probes only if it is reachable.
	 * With `hasFailures`, attempts to reach a primary have failed. Returns counters of the probes and of the calls of `onCutOff`.
	 */
	function start({isStoreReachable, hasFailures = false, isStoreSettled = () => true}: {
		isStoreReachable: boolean; hasFailures?: boolean; isStoreSettled?: () => boolean;
	}): {probes: () => number; closed: () => number} {
		const unreachableSinceMs = clock.nowMs();
		let isStoreUnavailable = false;
		let probes = 0;
		let closed = 0;
		readiness = new Readiness({
			clock,
			log: {
				event() {
					// These tests do not check the log.
				},
			},
			isLoaded: () => true,
			isStoreSettled,
			unreachableForMs: () => clock.nowMs() - unreachableSinceMs,
			hasUnreachablePrimary: () => hasFailures,
			isStoreUnavailable: () => isStoreUnavailable,
			probeStore() {
				probes += 1;
				isStoreUnavailable = !isStoreReachable;
			},
			onCutOff() {
				closed += 1;
			},
		});
		readiness.start();
		return {probes: () => probes, closed: () => closed};
	}

	afterEach(() => {
		readiness.dispose();
	});

	it('is not ready before a restored store has settled, and stays ready afterwards', async () => {
		let isSettled = false;
		start({isStoreReachable: true, isStoreSettled: () => isSettled});
		await clock.advance(500);
		expect(readiness.isReady).toEqual(false);
		isSettled = true;
		await clock.advance(500);
		expect(readiness.isReady).toEqual(true);
		isSettled = false;
		await clock.advance(500);
		expect(readiness.isReady).toEqual(true);
	});

	it('stops being ready soon after it lost every group and the store', async () => {
		const {closed} = start({isStoreReachable: false});
		await clock.advance(readinessTimes.cutOffAfterMs - readinessTimes.checkEveryMs);
		expect(readiness.reason).toEqual('ready');
		await clock.advance(2 * readinessTimes.checkEveryMs);
		expect([readiness.reason, closed()]).toEqual(['cutOff', 0]);
		await clock.advance(readinessTimes.cutOffNoticeMs + readinessTimes.checkEveryMs);
		expect(closed() > 0).toEqual(true);
	});

	it('stops being ready sooner if attempts failed and the store has not answered either', async () => {
		start({isStoreReachable: false, hasFailures: true});
		await clock.advance(readinessTimes.cutOffAfterFailuresMs + (2 * readinessTimes.checkEveryMs));
		expect(readiness.reason).toEqual('cutOff');
	});

	it('stays ready after failures while the store answers', async () => {
		start({isStoreReachable: true, hasFailures: true});
		await clock.advance(10_000);
		expect(readiness.reason).toEqual('ready');
	});

	it('stays ready while the store answers, even if no group is reached', async () => {
		const {probes} = start({isStoreReachable: true});
		await clock.advance(readinessTimes.probeAfterMs - readinessTimes.checkEveryMs);
		expect(probes()).toEqual(0);
		await clock.advance(10_000);
		expect(readiness.reason).toEqual('ready');
		expect(probes() <= 10_000 / readinessTimes.probeEveryMs).toEqual(true);
	});

	it('is not ready once the node leaves', async () => {
		start({isStoreReachable: true});
		await clock.advance(readinessTimes.checkEveryMs);
		readiness.leave();
		expect([readiness.isReady, readiness.reason]).toEqual([false, 'leaving']);
	});
});
