import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {UsageLimit} from '../services/services.js';
import {VirtualClock} from '../testing/virtual-clock.js';
import {usageDefaults} from './constants.js';
import {UsageBudgets} from './usage-budgets.js';
import type {KeeperRole} from './usage-budgets.js';

const rule = {windowS: 5, overshootShare: 0.1, slack: 20};

describe('UsageBudgets', () => {
	function budgetsOf(limit: UsageLimit | undefined): {budgets: UsageBudgets; clock: VirtualClock; setLimit: (limit: UsageLimit | undefined) => void} {
		const clock = new VirtualClock(0);
		let current = limit;
		return {
			clock,
			budgets: new UsageBudgets({
				clock, rule, limitOf: () => current, zones: 2, options: usageDefaults,
			}),
			setLimit(next) {
				current = next;
			},
		};
	}

	function takeAll(budgets: UsageBudgets, role: KeeperRole): number {
		let taken = 0;
		while ((budgets.take('shop', role)?.operations ?? 0) > 0) {
			taken += 1;
		}

		return taken;
	}

	it('give nothing out for an organisation without a limit', () => {
		expect(budgetsOf(undefined).budgets.take('shop', 'firstChoice')).toEqual(undefined);
	});

	it('begin with three quarters as the first choice', () => {
		// Zone capacity: (20 + 0.7 x (0.1 x (100 + 20) + 20)) / 2 = 21.2.
		const {budgets} = budgetsOf({perS: 20, burst: 20});
		expect(takeAll(budgets, 'firstChoice')).toEqual(15);
	});

	it('give nothing out as a stand-in before a cut-off node would have noticed, then begin empty', async () => {
		const {budgets, clock} = budgetsOf({perS: 20, burst: 20});
		expect(budgets.take('shop', 'standIn')).toEqual({operations: 0, retryAfterMs: usageDefaults.standInAfterMs});
		await clock.advance(usageDefaults.standInAfterMs);
		expect(takeAll(budgets, 'standIn')).toEqual(0);
		await clock.advance(1000);
		expect(takeAll(budgets, 'standIn')).toEqual(10);
	});

	it('wait anew once a stand-in was not asked for a while, and once a first choice takes over again', async () => {
		const {budgets, clock} = budgetsOf({perS: 20, burst: 20});
		budgets.take('shop', 'standIn');
		await clock.advance(usageDefaults.standInKeptMs + 1);
		expect(budgets.take('shop', 'standIn')?.retryAfterMs).toEqual(usageDefaults.standInAfterMs);
		expect(takeAll(budgets, 'firstChoice') > 0).toEqual(true);
		expect(budgets.take('shop', 'standIn')?.operations).toEqual(0);
	});

	it('follow a lower limit at once', () => {
		const {budgets, setLimit} = budgetsOf({perS: 100, burst: 100});
		budgets.take('shop', 'firstChoice');
		setLimit({perS: 1, burst: 1});
		// Zone capacity: (1 + 0.7 x (0.1 x 6 + 20)) / 2 = 7.7.
		expect(takeAll(budgets, 'firstChoice')).toEqual(7);
	});

	it('lend half of what is left, and nothing of an empty budget', () => {
		const {budgets} = budgetsOf({perS: 20, burst: 20});
		expect(budgets.lend('shop', 'firstChoice')?.operations).toEqual(7);
		takeAll(budgets, 'firstChoice');
		expect(budgets.lend('shop', 'firstChoice')).toEqual({operations: 0, retryAfterMs: usageDefaults.loanRetryMs});
	});

	it('tell nobody to come back later than a while, whatever the limit', () => {
		const {budgets} = budgetsOf({perS: 0, burst: 0});
		takeAll(budgets, 'firstChoice');
		expect(budgets.take('shop', 'firstChoice')).toEqual({operations: 0, retryAfterMs: 5000});
	});
});
