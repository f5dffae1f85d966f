import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, boolean, constantFrom, integer, property, record,
} from 'fast-check';
import type {Ejection} from './outlier-detector.js';
import {OutlierDetector} from './outlier-detector.js';

const healthy = {serviceMs: 10, failedShare: 0, measured: 16};

function detectorWithPeers(): OutlierDetector {
	const detector = new OutlierDetector(() => 0);
	detector.note('i-1', healthy, false, 0);
	detector.note('i-2', healthy, true, 0);
	return detector;
}

/** Lets an endpoint's ejection pass, including the statements that go elsewhere. */
function passOver(detector: OutlierDetector, id: string): void {
	for (let count = 0; count < 24; count++) {
		detector.notePassedOver(id);
	}
}

describe('OutlierDetector', () => {
	const cases = [
		{name: 'an ordinary endpoint', figures: healthy, reason: undefined},
		{name: 'one that is four times slower', figures: {...healthy, serviceMs: 40}, reason: undefined},
		{name: 'one that is slower by more than four times', figures: {...healthy, serviceMs: 41}, reason: 'slow'},
		{name: 'one that fails a fifth', figures: {...healthy, failedShare: 0.2}, reason: undefined},
		{name: 'one that fails more than a fifth', figures: {...healthy, failedShare: 0.21}, reason: 'failing'},
		// A few failures by chance must not cost a replica its work.
		{name: 'one of fewer than eight statements', figures: {serviceMs: 900, failedShare: 1, measured: 7}, reason: undefined},
	] as const;
	for (const {name, figures, reason} of cases) {
		it(`${reason ? 'ejects' : 'admits'} ${name}`, () => {
			const detector = detectorWithPeers();
			expect(detector.note('i-3', figures, true, 0)?.reason).toEqual(reason);
			expect(detector.standing('i-3', 0)).toEqual(reason ? 'ejected' : 'admitted');
		});
	}

	it('never ejects an endpoint that may not be', () => {
		const detector = detectorWithPeers();
		expect(detector.note('i-3', {serviceMs: 900, failedShare: 1, measured: 16}, false, 0)).toEqual(undefined);
		expect(detector.standing('i-3', 0)).toEqual('admitted');
	});

	it('compares no times without recent figures of a peer', () => {
		const detector = detectorWithPeers();
		expect(detector.note('i-3', {...healthy, serviceMs: 900}, true, 2001)).toEqual(undefined);
		expect(new OutlierDetector(() => 0).note('i-3', {...healthy, serviceMs: 900}, true, 0)).toEqual(undefined);
	});

	it('gives an ejected endpoint one trial at a time, and admits it after one that succeeds', () => {
		const detector = detectorWithPeers();
		detector.note('i-3', {...healthy, failedShare: 0.5}, true, 0);
		passOver(detector, 'i-3');
		expect([detector.standing('i-3', 999), detector.standing('i-3', 1000)]).toEqual(['ejected', 'trial']);
		detector.beginTrial('i-3', 1000);
		expect(detector.standing('i-3', 1010)).toEqual('ejected');
		detector.abandonTrial('i-3');
		expect(detector.standing('i-3', 1010)).toEqual('trial');
		detector.beginTrial('i-3', 1010);
		expect(detector.endTrial('i-3', {isFailed: false, serviceMs: 12}, 1020)).toEqual(undefined);
		expect(detector.standing('i-3', 1020)).toEqual('admitted');
	});

	it('ejects for 1, 2 and 4 s while trials fail or are slow, and for 1 s again after a long time without', () => {
		const detector = detectorWithPeers();
		const ejections: Array<Ejection | undefined> = [detector.note('i-3', {...healthy, failedShare: 0.5}, true, 0)];
		let nowMs = 0;
		for (const outcome of [{isFailed: true, serviceMs: 5}, {isFailed: false, serviceMs: 90}, {isFailed: true, serviceMs: 5}]) {
			nowMs += ejections.at(-1)!.forMs;
			detector.note('i-1', healthy, false, nowMs);
			detector.beginTrial('i-3', nowMs);
			ejections.push(detector.endTrial('i-3', outcome, nowMs));
		}

		expect(ejections.map(ejection => `${ejection?.reason} ${ejection?.forMs}`)).toEqual(['failing 1000', 'failing 2000', 'slow 4000', 'failing 4000']);
		nowMs += 4000;
		detector.endTrial('i-3', {isFailed: false, serviceMs: 5}, nowMs);
		expect(detector.note('i-3', {...healthy, failedShare: 0.5}, true, nowMs + 10_000)?.forMs).toEqual(1000);
	});

	// One trial a second from each of many nodes would keep a slow endpoint busy with trials.
	it('waits for 24 statements that went elsewhere, but at most 4 s more, before a trial', () => {
		const detector = detectorWithPeers();
		detector.note('i-3', {...healthy, failedShare: 0.5}, true, 0);
		expect([detector.standing('i-3', 1000), detector.standing('i-3', 4999), detector.standing('i-3', 5000)]).toEqual(['ejected', 'ejected', 'trial']);
	});

	it('prolongs ejections by up to a half, so that the trials of many nodes do not arrive together', () => {
		for (const [random, forMs] of [[0, 1000], [0.5, 1250], [0.999, 1499.5]] as const) {
			const detector = new OutlierDetector(() => random);
			expect(detector.note('i-3', {...healthy, failedShare: 0.5}, true, 0)?.forMs).toEqual(forMs);
		}
	});

	it('has at most one trial at a time, and ejects for 1 s to 6 s', () => {
		const step = record({
			afterMs: integer({min: 0, max: 2000}), id: constantFrom('i-1', 'i-2', 'i-3'), serviceMs: integer({min: 1, max: 500}), isFailed: boolean(), measured: integer({min: 0, max: 16}),
		});
		assert(property(array(step, {maxLength: 80}), integer({min: 0, max: 99}), (steps, random) => {
			const detector = new OutlierDetector(() => random / 100);
			const trials = new Map<string, number>();
			let nowMs = 0;
			for (const {afterMs, id, serviceMs, isFailed, measured} of steps) {
				nowMs += afterMs;
				const standing = detector.standing(id, nowMs);
				const since = trials.get(id);
				let ejection: Ejection | undefined;
				if (standing === 'trial') {
					expect(since === undefined || nowMs - since >= 4000).toEqual(true);
					detector.beginTrial(id, nowMs);
					trials.set(id, nowMs);
				} else if (since === undefined) {
					ejection = detector.note(id, {serviceMs, failedShare: isFailed ? 0.5 : 0, measured}, true, nowMs);
					detector.notePassedOver(id);
				} else {
					ejection = detector.endTrial(id, {serviceMs, isFailed}, nowMs);
					trials.delete(id);
				}

				expect(ejection === undefined || (ejection.forMs >= 1000 && ejection.forMs <= 6000 && detector.standing(id, nowMs) === 'ejected')).toEqual(true);
			}
		}), {seed: 15, numRuns: 300});
	});
});
