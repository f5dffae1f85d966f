import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {VirtualClock} from '../../common/testing/virtual-clock.js';
import {readinessTimes} from './constants.js';
import {Readiness} from './readiness.js';

describe('Readiness', () => {
	const clock = new VirtualClock();
	let readiness: Readiness;

	/** A node that reached its groups until now; the store answers probes while it is there. */
	function start({isStoreThere, hasFailures = false, isStoreSettled = () => true}: {
		isStoreThere: boolean; hasFailures?: boolean; isStoreSettled?: () => boolean;
	}): {probes: () => number; closed: () => number} {
		const lostAtMs = clock.nowMs();
		let isStoreAway = false;
		let probes = 0;
		let closed = 0;
		readiness = new Readiness({
			clock,
			log: {
				event() {
					// Not looked at.
				},
			},
			isLoaded: () => true,
			isStoreSettled,
			outOfReachForMs: () => clock.nowMs() - lostAtMs,
			hasFailures: () => hasFailures,
			isStoreAway: () => isStoreAway,
			probeStore() {
				probes += 1;
				isStoreAway = !isStoreThere;
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

	it('is not ready before a restored store has had time to hold again what it lost, and stays so after', async () => {
		let isSettled = false;
		start({isStoreThere: true, isStoreSettled: () => isSettled});
		await clock.advance(500);
		expect(readiness.isReady).toEqual(false);
		isSettled = true;
		await clock.advance(500);
		expect(readiness.isReady).toEqual(true);
		isSettled = false;
		await clock.advance(500);
		expect(readiness.isReady).toEqual(true);
	});

	it('asks for no callers soon after it lost every group and the store', async () => {
		const {closed} = start({isStoreThere: false});
		await clock.advance(readinessTimes.cutOffAfterMs - readinessTimes.checkEveryMs);
		expect(readiness.reason).toEqual('ready');
		await clock.advance(2 * readinessTimes.checkEveryMs);
		expect([readiness.reason, closed()]).toEqual(['cutOff', 0]);
		await clock.advance(readinessTimes.cutOffNoticeMs + readinessTimes.checkEveryMs);
		expect(closed() > 0).toEqual(true);
	});

	it('asks for no callers sooner where attempts failed, once the store has not answered either', async () => {
		start({isStoreThere: false, hasFailures: true});
		await clock.advance(readinessTimes.cutOffAfterFailuresMs + (2 * readinessTimes.checkEveryMs));
		expect(readiness.reason).toEqual('cutOff');
	});

	it('goes on asking for callers after failures while the store answers', async () => {
		start({isStoreThere: true, hasFailures: true});
		await clock.advance(10_000);
		expect(readiness.reason).toEqual('ready');
	});

	it('goes on asking for callers while the store answers, whatever the groups do', async () => {
		const {probes} = start({isStoreThere: true});
		await clock.advance(readinessTimes.probeAfterMs - readinessTimes.checkEveryMs);
		expect(probes()).toEqual(0);
		await clock.advance(10_000);
		expect(readiness.reason).toEqual('ready');
		expect(probes() <= 10_000 / readinessTimes.probeEveryMs).toEqual(true);
	});

	it('asks for none once it leaves', async () => {
		start({isStoreThere: true});
		await clock.advance(readinessTimes.checkEveryMs);
		readiness.leave();
		expect([readiness.isReady, readiness.reason]).toEqual([false, 'leaving']);
	});
});
