import {describe, it} from 'node:test';
import {expect} from 'earl';
import {PrimaryHealth} from './primary-health.js';

const options = {crashRefusals: 2, silentAfterMs: 900};

describe('PrimaryHealth', () => {
	it('does not count time without requests as silence', () => {
		expect(new PrimaryHealth(options, 0).promotionReason(1_000_000)).toEqual(undefined);
	});

	it('counts silence from the first request without a response', () => {
		const health = new PrimaryHealth(options, 0);
		health.onFault('silent', 5000);
		health.onFault('silent', 5600);
		expect(health.promotionReason(5800)).toEqual(undefined);
		expect(health.promotionReason(5900)).toEqual('silent');
	});

	it('clears faults on the next response', () => {
		const health = new PrimaryHealth(options, 0);
		health.onFault('refused', 10);
		health.onHeard(20);
		health.onFault('refused', 30);
		expect(health.promotionReason(40)).toEqual(undefined);
		health.onFault('refused', 35);
		expect(health.promotionReason(40)).toEqual('crashed');
	});

	it('does not count time before the last response as failing', () => {
		const health = new PrimaryHealth(options, 0);
		health.onHeard(1000);
		health.onFault('silent', 200);
		expect(health.failingForMs(1300)).toEqual(300);
	});

	it('considers a primary that lost its log as lost, even while it responds', () => {
		const health = new PrimaryHealth(options, 0);
		health.onLogLost();
		health.onHeard(1000);
		expect(health.promotionReason(1000)).toEqual('emptied');
	});
});
