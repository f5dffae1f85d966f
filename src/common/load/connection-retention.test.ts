import {describe, it} from 'node:test';
import {expect} from 'earl';
import {SeededRandom} from '../random/seeded-random.js';
import {ConnectionRetention} from './connection-retention.js';
import type {ConnectionOwner} from './connection-retention.js';
import {retentionDefaults} from './constants.js';

const {minimumIdle, growthIntervalMs, growthPauseMs} = retentionDefaults;
/** Connections and slots of an endpoint of the deployment for which this was built. */
const accepted = 56;
const slots = 4;
/** The most idle connections that a home of such an endpoint keeps: 0.35 of 56, less the slots. */
const mostIdle = 15;

function create(): ConnectionRetention {
	return new ConnectionRetention(retentionDefaults, 0);
}

describe('ConnectionRetention', () => {
	it('keeps few idle connections at first, and one more with each interval up to its share', () => {
		const retention = create();
		expect(retention.idleLimit(accepted, slots, 0)).toEqual(minimumIdle);
		expect(retention.idleLimit(accepted, slots, 2 * growthIntervalMs)).toEqual(minimumIdle + 2);
		expect(retention.idleLimit(accepted, slots, 60_000)).toEqual(mostIdle);
	});

	// Guards against homes that fill an endpoint which still counts the connections of dead hosts: 2,195
	// connections were refused in a day in which each home kept ten from its start on.
	it('falls to the minimum when the endpoint refuses a connection, and grows only after dead connections are gone', () => {
		const retention = create();
		retention.idleLimit(accepted, slots, 60_000);
		retention.noteRefused(60_000);
		expect(retention.idleLimit(accepted, slots, 60_000 + growthPauseMs)).toEqual(minimumIdle);
		expect(retention.idleLimit(accepted, slots, 60_000 + growthPauseMs + growthIntervalMs)).toEqual(minimumIdle + 1);
	});

	it('keeps the minimum where the limit of the endpoint is small or not known', () => {
		expect(create().idleLimit(23, slots, 60_000)).toEqual(minimumIdle);
		expect(create().idleLimit(Number.POSITIVE_INFINITY, slots, 60_000)).toEqual(minimumIdle);
	});

	// Guards against endpoints without room for homes that start again after all hosts have lost power.
	it('leaves room for twice the slots at each home while dead connections are still counted', () => {
		for (const [limit, count] of [[41, 3], [56, 4], [72, 4]]) {
			const open = create().idleLimit(limit, count, 60_000) + count;
			expect(limit - (2 * open) >= 2 * 2 * count).toEqual(true);
		}
	});

	it('closes the connection of the organisation that uses its connections least, whoever used one last', () => {
		const retention = create();
		for (let atMs = 0; atMs < 1000; atMs += 100) {
			retention.noteUse('large', atMs);
		}

		retention.noteUse('small', 1000);
		expect(retention.leastValuable(['large', 'small'], 1000)).toEqual(1);
		expect(retention.leastValuable(['new', 'large', 'small'], 1000)).toEqual(0);
		expect(retention.leastValuable([], 1000)).toEqual(-1);
	});

	it('lets an organisation keep several connections only as far as its use carries them', () => {
		const retention = create();
		for (const [owner, uses] of [['large', 6], ['small', 2]] as const) {
			for (let use = 0; use < uses; use++) {
				retention.noteUse(owner, 0);
			}
		}

		expect(retention.leastValuable(['large', 'large', 'small'], 0)).toEqual(2);
		expect(retention.leastValuable(['large', 'large', 'large', 'large', 'small'], 0)).toEqual(0);
	});

	it('opens at most two thirds of the connections that the least recently used order opens, with few large and many small organisations', () => {
		// Load: 40 organisations at one home, of which four send half of all statements.
		const random = new SeededRandom(3);
		const organisations = Array.from({length: 20_000}, () => random.next() < 0.5 ? Math.floor(random.next() * 4) : 4 + Math.floor(random.next() * 36));
		const opened = (choose: (owners: readonly ConnectionOwner[], nowMs: number) => number, noteUse: (owner: ConnectionOwner, nowMs: number) => void, limit: number): number => {
			const idle: string[] = [];
			let count = 0;
			for (const [index, number] of organisations.entries()) {
				const nowMs = index * 50;
				const owner = `org-${number}`;
				const known = idle.lastIndexOf(owner);
				if (known === -1) {
					count += 1;
				} else {
					idle.splice(known, 1);
				}

				noteUse(owner, nowMs);
				idle.push(owner);
				if (idle.length > limit) {
					idle.splice(choose(idle, nowMs), 1);
				}
			}

			return count;
		};

		const retention = create();
		const byUse = opened((owners, nowMs) => retention.leastValuable(owners, nowMs), (owner, nowMs) => {
			retention.noteUse(owner, nowMs);
		}, mostIdle);
		const byAge = opened(() => 0, () => {
			// The least recently used order needs no record of uses.
		}, minimumIdle);
		expect(byUse <= byAge * 2 / 3).toEqual(true);
	});
});
