import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {z} from 'zod';
import {VirtualClock} from '../../common/testing/virtual-clock.js';
import {RateLimitedLog} from './rate-limited-log.js';
import {ConsolaLog} from './consola-log.js';

const lineSchema = z.object({name: z.string()});

describe('RateLimitedLog', () => {
	let rateLimited: RateLimitedLog;
	let lines: string[];

	function start(linesPerS: number): VirtualClock {
		lines = [];
		const clock = new VirtualClock();
		rateLimited = new RateLimitedLog(new ConsolaLog({
			node: 'n1',
			level: 'info',
			write(line) {
				lines.push(line);
			},
		}), clock, linesPerS);
		return clock;
	}

	function names(): string[] {
		return lines.map(line => lineSchema.parse(JSON.parse(line)).name);
	}

	afterEach(() => {
		rateLimited.dispose();
	});

	it('drops events above the limit, logs how many, and always writes promotions', async () => {
		const clock = start(1);
		rateLimited.event('leaseStarted');
		rateLimited.event('leaseStarted');
		rateLimited.event('promotionOrdered');
		await clock.advance(1000);
		expect(names()).toEqual(['leaseStarted', 'promotionOrdered', 'logLinesDropped']);
	});

	it('does not count events below the level of the log', async () => {
		const clock = start(1);
		for (let count = 0; count < 5; count++) {
			rateLimited.event('writeAcknowledged');
		}

		rateLimited.event('leaseStarted');
		await clock.advance(1000);
		expect(names()).toEqual(['leaseStarted']);
	});
});
