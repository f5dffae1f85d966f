import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Left, Right} from 'purify-ts';
import {pauseFor} from '../lifecycle/timing.js';
import type {StoredRows} from '../services/services.js';
import {silentMetrics} from '../testing/observers.js';
import {VirtualClock} from '../testing/virtual-clock.js';
import {ProofRenewal} from './proof-renewal.js';

const options = {timeoutMs: 100, maximumAgeMs: 3000};

function answer(provedAfterMs: number | undefined, isHistoryGone = false): StoredRows {
	return {
		rows: [], version: 7, storeNowMs: 0, isHistoryGone, provedAfterMs,
	};
}

type PeerBehaviour = {readonly found?: StoredRows; readonly delayMs?: number; readonly isReceiving?: boolean; readonly isStoreDown?: boolean};

/** Renews one proof; resolves to the source of the answer and the number of calls to the store. */
async function renew({found, delayMs = 1, isReceiving = false, isStoreDown = false}: PeerBehaviour): Promise<{answered: unknown; storeCalls: number}> {
	const clock = new VirtualClock();
	let storeCalls = 0;
	const fromStore = answer(0);
	const renewal = new ProofRenewal({
		...options,
		clock,
		metrics: silentMetrics,
		store: {
			async follow() {
				storeCalls += 1;
				return isStoreDown ? Left({kind: 'unavailable', detail: 'down'}) : Right(fromStore);
			},
		},
		peers: {
			async askPeers() {
				await pauseFor(clock, delayMs);
				return found;
			},
			isReceiving: () => isReceiving,
		},
	});
	const result = await clock.advanceUntil(renewal.follow('t', 5, 0));
	const rows = result.toMaybe().extract();
	const source = rows === fromStore ? 'store' : 'peer';
	return {answered: rows && source, storeCalls};
}

describe('ProofRenewal', () => {
	it('does not call the store if another node has a proof that is new enough', async () => {
		// Guards against a read of a changed row of 300 KB from the store by every node of the fleet.
		expect(await renew({found: answer(-2900)})).toEqual({answered: 'peer', storeCalls: 0});
	});

	it('calls the store if no other node has one, or none that says how old it is', async () => {
		for (const found of [undefined, answer(-3100), answer(undefined), answer(-10, true)]) {
			expect(await renew({found})).toEqual({answered: 'store', storeCalls: 1});
		}
	});

	it('calls the store if the other node does not answer soon', async () => {
		expect(await renew({found: answer(0), delayMs: 150})).toEqual({answered: 'store', storeCalls: 1});
	});

	it('waits for rows that another node is sending, and does not call the store for them', async () => {
		expect(await renew({found: answer(Number.NEGATIVE_INFINITY), delayMs: 1500, isReceiving: true})).toEqual({answered: 'peer', storeCalls: 0});
		expect(await renew({found: undefined, delayMs: 1500, isReceiving: true})).toEqual({answered: 'store', storeCalls: 1});
	});

	it('uses an older proof of another node if the store does not answer', async () => {
		expect(await renew({found: answer(-4000), isStoreDown: true})).toEqual({answered: 'peer', storeCalls: 1});
		expect(await renew({isStoreDown: true})).toEqual({answered: undefined, storeCalls: 1});
	});
});
