import {describe, it} from 'node:test';
import {expect} from 'earl';
import {hasReached, type LogPosition} from '../../src/common/positions/log-position.js';
import {makeRandom} from './make-random.js';
import type {Instance} from './instance.js';
import {
	InProcessGroup, keysTable, linkDelayMs, putKey,
} from './testing/in-process-group.js';

async function makeGroup(options: ConstructorParameters<typeof InProcessGroup>[1] = {}): Promise<InProcessGroup> {
	const group = new InProcessGroup(['a', 'b', 'c'], options);
	group.get('a').append([{kind: 'createTable', definition: keysTable}]);
	await group.clock.advance(20);
	return group;
}

function keysOf(instance: Instance): string[] {
	return [...instance.database.tables.get(keysTable.name)?.rows.keys() ?? []];
}

function addressOf(name: string): {host: string; port: number} {
	return {host: name, port: 0};
}

/** Promotes an instance with the votes of others. */
function promote(group: InProcessGroup, term: number, name: string, voters: readonly string[]): void {
	for (const voter of voters) {
		expect(group.get(voter).raiseTerm(term, 'claim').isAccepted).toEqual(true);
	}

	expect(group.get(name).promote(term, 'claim').isAccepted).toEqual(true);
}

describe('Instance', () => {
	it('gives what it receives on at once, and applies it after the lag, in order', async () => {
		const group = await makeGroup({lag: {p50Ms: 50, p99Ms: 50}});
		await group.clock.advance(100);
		group.get('a').append([putKey('x')]);
		await group.clock.advance(3);
		const {received, applied} = group.get('b').state;
		expect([received.offset, applied.offset]).toEqual([3, 2]);
		await group.clock.advance(50);
		expect(keysOf(group.get('b'))).toEqual(['x']);
		group.dispose();
		await group.clock.advance(linkDelayMs);
		expect(group.clock.pendingTimers).toEqual(0);
	});

	it('lags as its distribution says, also when it is busy', async () => {
		const group = await makeGroup({lag: {p50Ms: 10, p99Ms: 100}});
		const lags: number[] = [];
		for (let step = 0; step < 10_000; step++) {
			group.get('a').append([]);
			await group.clock.advance(2);
			lags.push((group.get('b').received.offset - group.get('b').applied.offset) * 2);
		}

		lags.sort((a, b) => a - b);
		expect(lags[5000]).toBeGreaterThan(5);
		expect(lags[5000]).toBeLessThan(30);
		expect(lags[9900]).toBeGreaterThan(50);
		expect(lags[9900]).toBeLessThan(250);
		group.dispose();
	});

	it('takes term orders by the rules', async () => {
		const group = await makeGroup();
		const b = group.get('b');
		const cases: ReadonlyArray<readonly [string, () => {isAccepted: boolean}, boolean]> = [
			['a term that is not higher', () => b.raiseTerm(1, 'x'), false],
			['promotion without a claim', () => b.promote(1, ''), false],
			['a higher term', () => b.raiseTerm(3, 'x'), true],
			['the same with the same claim', () => b.raiseTerm(3, 'x'), true],
			['the same with another claim', () => b.raiseTerm(3, 'y'), false],
			['following a lower term', () => b.follow(2, addressOf('a')), false],
			['promotion with another claim', () => b.promote(3, 'y'), false],
			['promotion in another term', () => b.promote(4, 'x'), false],
			['following that term', () => b.follow(3, addressOf('c')), true],
			['promotion in a term that it follows', () => b.promote(3, 'x'), false],
			['a higher term again', () => b.raiseTerm(4, 'z'), true],
			['promotion', () => b.promote(4, 'z'), true],
			['promotion once more', () => b.promote(4, 'z'), true],
			['following in its own term', () => b.follow(4, addressOf('c')), false],
			['following a higher term', () => b.follow(5, addressOf('c')), true],
		];
		for (const [name, act, isAccepted] of cases) {
			expect([name, act().isAccepted]).toEqual([name, isAccepted]);
		}

		expect(b.received.term).toEqual(4);
		group.dispose();
	});

	it('fences a primary of a lower term, and its followers hear no more of it', async () => {
		const group = await makeGroup();
		let steps = 0;
		group.get('a').onStepDown(() => {
			steps += 1;
		});
		group.get('b').raiseTerm(2, 'x');
		expect(group.get('a').append([putKey('kept')])?.term).toEqual(1);
		await group.clock.advance(20);
		expect([keysOf(group.get('b')), keysOf(group.get('c'))]).toEqual([[], ['kept']]);
		group.get('a').raiseTerm(2, 'x');
		expect([steps, group.get('a').append([putKey('refused')]), group.get('a').role]).toEqual([1, undefined, 'replica']);
		group.dispose();
	});

	it('drops the part of a former primary that the new one does not have', async () => {
		const group = await makeGroup();
		group.get('a').append([putKey('shared')]);
		await group.clock.advance(20);
		promote(group, 2, 'b', ['b', 'c']);
		group.get('a').append([putKey('lost')]);
		group.get('a').append([{kind: 'remove', table: keysTable.name, key: 'shared'}]);
		group.get('b').append([putKey('new')]);
		for (const name of ['a', 'c']) {
			expect(group.get(name).follow(2, addressOf('b')).isAccepted).toEqual(true);
		}

		await group.clock.advance(20);
		for (const name of ['a', 'b', 'c']) {
			expect([name, keysOf(group.get(name)), group.get(name).received]).toEqual([name, ['shared', 'new'], {term: 2, offset: 5}]);
		}

		group.dispose();
	});

	it('comes up rebuilding after a restart and keeps its promise', async () => {
		const group = await makeGroup({lag: {p50Ms: 5, p99Ms: 5}});
		group.get('c').raiseTerm(2, 'x');
		const restarted = group.restart('c');
		expect(restarted.state).toLooseEqual({
			role: 'rebuilding', promisedTerm: 2, claimId: 'x', received: {term: 0, offset: 0}, applied: {term: 0, offset: 0}, isStreaming: false,
		});
		expect([restarted.raiseTerm(3, 'y'), restarted.promote(2, 'x'), restarted.follow(1, addressOf('a'))].map(({isAccepted}) => isAccepted)).toEqual([false, false, false]);
		promote(group, 3, 'a', ['a', 'b']);
		restarted.follow(3, addressOf('a'));
		await group.clock.advance(20);
		expect([restarted.role, restarted.received, restarted.state.isStreaming]).toEqual(['replica', {term: 3, offset: 3}, true]);
		expect(restarted.raiseTerm(4, 'y').isAccepted).toEqual(true);
		group.dispose();
	});

	it('brings a follower that is too far behind up by a snapshot', async () => {
		const group = await makeGroup({logEntriesKept: 4});
		group.get('c').raiseTerm(2, 'x');
		for (let number = 0; number < 40; number++) {
			group.get('a').append([putKey(`k${number}`)]);
		}

		promote(group, 3, 'a', ['a', 'b']);
		group.get('c').follow(3, addressOf('a'));
		await group.clock.advance(20);
		expect(keysOf(group.get('c'))).toEqual(keysOf(group.get('a')));
		expect(group.get('c').received).toEqual(group.get('a').received);
		group.dispose();
	});

	it('notices a primary that has fallen silent, and follows it again later', async () => {
		const group = await makeGroup({streamAliveMs: 100_000});
		await group.clock.advance(800);
		const seen: boolean[] = [];
		group.get('b').onState(({isStreaming}) => {
			if (seen.at(-1) !== isStreaming) {
				seen.push(isStreaming);
			}
		});
		await group.clock.advance(2000);
		expect(new Set(seen)).toEqual(new Set([true, false]));
		group.dispose();
	});
});

/** Random writes, cuts, restarts and promotions by the rules; fails when a confirmed write is lost. */
async function runRandomly(seed: number): Promise<number> {
	const random = makeRandom(seed);
	const group = await makeGroup({lag: {p50Ms: 3, p99Ms: 30}});
	const names = [...group.instances.keys()];
	const pick = <T>(items: readonly T[]): T => items[Math.floor(random.next() * items.length)];
	const written: Array<{readonly key: string; readonly position: LogPosition}> = [];
	const confirmed = new Map<string, LogPosition>();
	let term = 1;

	let election: {readonly term: number; readonly votes: Map<string, LogPosition>} | undefined;

	/** One vote at a time, so that other things happen in between; the most advanced voter is promoted. */
	const elect = (): void => {
		if (!election || random.next() < 0.1) {
			term += 1;
			election = {term, votes: new Map()};
		}

		const voter = group.get(pick(names));
		const {isAccepted, state} = voter.raiseTerm(election.term, `claim${election.term}`);
		if (isAccepted) {
			election.votes.set(voter.name, state.received);
		}

		if (election.votes.size * 2 > names.length) {
			const [[best]] = [...election.votes].toSorted(([, a], [, b]) => hasReached(a, b) ? -1 : 1);
			group.get(best).promote(election.term, `claim${election.term}`);
			election = undefined;
		}
	};

	const acts: ReadonlyArray<() => void> = [
		() => {
			const key = `k${written.length}`;
			const position = pick([...[...group.instances.values()].filter(({isPrimary}) => isPrimary), group.get('a')]).append([putKey(key)]);
			if (position) {
				written.push({key, position});
			}
		},
		() => {
			const [primary] = [...group.instances.values()].filter(({isPrimary}) => isPrimary).toSorted((a, b) => b.received.term - a.received.term);
			if (primary) {
				group.get(pick(names)).follow(primary.received.term, addressOf(primary.name));
			}
		},
		() => {
			if (random.next() < 0.3) {
				elect();
			}
		},
		() => {
			// One lost memory at a time is what a majority of three can stand.
			if (random.next() < 0.05 && [...group.instances.values()].every(({role}) => role !== 'rebuilding')) {
				group.restart(pick(names));
			}
		},
	];
	for (let step = 0; step < 600; step++) {
		pick(acts)();
		await group.clock.advance(random.next() * 8);
		for (const {key, position} of written) {
			if (!confirmed.has(key) && group.isConfirmed(position)) {
				confirmed.set(key, position);
			}
		}

		const holders = [...group.instances.values()].filter(({isPrimary}) => isPrimary);
		const newest = holders.toSorted((a, b) => b.received.term - a.received.term).at(0);
		const lost = newest ? [...confirmed].filter(([key, position]) => hasReached(newest.received, position) && !keysOf(newest).includes(key)) : [];
		expect([seed, step, lost]).toEqual([seed, step, []]);
	}

	group.dispose();
	return confirmed.size;
}

describe('A group of instances', () => {
	it('never loses a confirmed write, whatever order things happen in', async () => {
		let confirmedCount = 0;
		for (let seed = 1; seed <= 20; seed++) {
			confirmedCount += await runRandomly(seed);
		}

		expect(confirmedCount).toBeGreaterThan(500);
	});
});
