import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {UsageLimit} from '../services/services.js';
import {VirtualClock} from '../testing/virtual-clock.js';
import {usageDefaults} from './constants.js';
import {UsageBudgets} from './usage-budgets.js';
import type {HolderRole} from './usage-budgets.js';

const rule = {windowS: 5, overshootShare: 0.1, slack: 20};

describe('UsageBudgets', () => {
	function budgetsOf(limit: UsageLimit | undefined, stableForMs = 60_000): {
		budgets: UsageBudgets; clock: VirtualClock; setLimit: (limit: UsageLimit | undefined) => void; changeMembership: () => void; endGapInContact: () => void;
	} {
		const clock = new VirtualClock(stableForMs);
		let changedAtMs = 0;
		let inContactSinceMs = 0;
		let current = limit;
		return {
			clock,
			budgets: new UsageBudgets({
				clock, rule, limitOf: () => current, zones: 2, membershipChangedAtMs: () => changedAtMs, inContactSinceMs: () => inContactSinceMs, options: usageDefaults,
			}),
			changeMembership() {
				changedAtMs = clock.nowMs();
			},
			endGapInContact() {
				inContactSinceMs = clock.nowMs();
			},
			setLimit(next) {
				current = next;
			},
		};
	}

	function takeAll(budgets: UsageBudgets, role: HolderRole): number {
		let taken = 0;
		while ((budgets.take('shop', role)?.operations ?? 0) > 0) {
			taken += 1;
		}

		return taken;
	}

	it('have no budget for an organisation without a limit', () => {
		expect(budgetsOf(undefined).budgets.take('shop', 'firstChoice')).toEqual(undefined);
	});

	it('begin full at the first-choice holder if the membership has been stable for long', () => {
		// Zone capacity: (20 + 0.7 x (0.1 x (100 + 20) + 20)) / 2 = 21.2.
		const {budgets} = budgetsOf({perS: 20, burst: 20});
		expect(takeAll(budgets, 'firstChoice')).toEqual(21);
	});

	it('begin with what was added since the membership changed, and with at least one operation', async () => {
		// Guards against over-granting in a rolling restart: if each new first-choice holder began with three
		// quarters of a zone's budget, 417 operations ran in 5 s where 416 were allowed.
		expect(takeAll(budgetsOf({perS: 20, burst: 20}, 500).budgets, 'firstChoice')).toEqual(5);
		expect(takeAll(budgetsOf({perS: 20, burst: 20}, 0).budgets, 'firstChoice')).toEqual(1);
	});

	it('expire at the first-choice holder after a time without requests in which the membership changed', async () => {
		const {budgets, clock, changeMembership} = budgetsOf({perS: 20, burst: 20});
		takeAll(budgets, 'firstChoice');
		await clock.advance(usageDefaults.standInKeptMs);
		changeMembership();
		await clock.advance(100);
		expect(takeAll(budgets, 'firstChoice')).toEqual(1);
	});

	it('grant nothing as a stand-in until a partitioned node would have noticed the partition, then begin empty', async () => {
		const {budgets, clock} = budgetsOf({perS: 20, burst: 20});
		expect(budgets.take('shop', 'standIn')).toEqual({operations: 0, retryAfterMs: usageDefaults.standInAfterMs});
		await clock.advance(usageDefaults.standInAfterMs);
		expect(takeAll(budgets, 'standIn')).toEqual(0);
		await clock.advance(1000);
		expect(takeAll(budgets, 'standIn')).toEqual(10);
	});

	it('make a stand-in wait again after a time without requests, and after the first choice has taken over', async () => {
		const {budgets, clock} = budgetsOf({perS: 20, burst: 20});
		budgets.take('shop', 'standIn');
		await clock.advance(usageDefaults.standInKeptMs + 1);
		expect(budgets.take('shop', 'standIn')?.retryAfterMs).toEqual(usageDefaults.standInAfterMs);
		expect(takeAll(budgets, 'firstChoice') > 0).toEqual(true);
		expect(budgets.take('shop', 'standIn')?.operations).toEqual(0);
	});

	it('are not refilled for a gap in which the holder had no contact to other nodes', async () => {
		// Guards against a budget that is handed out twice: by a stand-in during the gap, and by the holder after it.
		const {budgets, clock, endGapInContact} = budgetsOf({perS: 20, burst: 20});
		takeAll(budgets, 'firstChoice');
		await clock.advance(1500);
		endGapInContact();
		await clock.advance(500);
		expect(takeAll(budgets, 'firstChoice')).toEqual(5);
	});

	it('apply a lower limit at once', () => {
		const {budgets, setLimit} = budgetsOf({perS: 100, burst: 100});
		budgets.take('shop', 'firstChoice');
		setLimit({perS: 1, burst: 1});
		// Zone capacity: (1 + 0.7 x (0.1 x 6 + 20)) / 2 = 7.7.
		expect(takeAll(budgets, 'firstChoice')).toEqual(7);
	});

	it('lend half of the remaining operations, and nothing from an empty budget', () => {
		const {budgets} = budgetsOf({perS: 20, burst: 20});
		expect(budgets.lend('shop', 'firstChoice')?.operations).toEqual(10);
		takeAll(budgets, 'firstChoice');
		expect(budgets.lend('shop', 'firstChoice')).toEqual({operations: 0, retryAfterMs: usageDefaults.loanRetryMs});
	});

	it('bound the reported retry delay for every limit', () => {
		const {budgets} = budgetsOf({perS: 0, burst: 0});
		takeAll(budgets, 'firstChoice');
		expect(budgets.take('shop', 'firstChoice')).toEqual({operations: 0, retryAfterMs: 5000});
	});
});
