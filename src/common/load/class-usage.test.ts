import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ClassUsage} from './class-usage.js';

const options = {usageWindowMs: 200, workWeight: 0.1};

describe('ClassUsage', () => {
	it('learns the work of each class and kind by itself', () => {
		const usage = new ClassUsage(options);
		expect(usage.workMs(0, 'read')).toEqual(undefined);
		usage.note(0, 'read', 4, 0);
		usage.note(2, 'read', 22, 0);
		usage.note(0, 'read', 14, 0);
		expect([usage.workMs(0, 'read'), usage.workMs(2, 'read'), usage.workMs(0, 'write')]).toEqual([5, 22, undefined]);
	});

	it('measures the share of the slots that more urgent classes use', () => {
		const usage = new ClassUsage(options);
		// Class 0 keeps two of four slots busy, and class 2 one.
		for (let atMs = 0; atMs < 2000; atMs += 5) {
			usage.note(0, 'read', 10, atMs);
			usage.note(2, 'read', 5, atMs);
		}

		expect(usage.urgentShare(0, 4, 2000)).toEqual(0);
		expect(usage.urgentShare(2, 4, 2000)).toBeGreaterThan(0.47);
		expect(usage.urgentShare(2, 4, 2000)).toBeLessThan(0.53);
		expect(usage.urgentShare(3, 4, 2000)).toBeGreaterThan(0.7);
	});

	it('forgets a burst of a more urgent class', () => {
		const usage = new ClassUsage(options);
		usage.note(0, 'read', 5000, 0);
		expect(usage.urgentShare(1, 4, 0)).toEqual(1);
		expect(usage.urgentShare(1, 4, 1500)).toBeLessThan(0.01);
	});
});
