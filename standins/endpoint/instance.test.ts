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

/** Raises the term on the voters, then promotes an instance. */
function promote(group: InProcessGroup, term: number, name: string, voters: readonly string[]): void {
	for (const voter of voters) {
		expect(group.get(voter).raiseTerm(term, 'claim').isAccepted).toEqual(true);
	}

	expect(group.get(name).promote(term, 'claim').isAccepted).toEqual(true);
}

describe('Instance', () => {
	it('receives entries at once, and applies them in order after the lag', async () => {
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

	it('lags according to its distribution, also under load', async () => {
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

	it('accepts and refuses raiseTerm, promote and follow according to the promised term and claim', async () => {
		const group = await makeGroup();
		const b = group.get('b');
		const cases: ReadonlyArray<readonly [string, () => {isAccepted: boolean}, boolean]> = [
			['a term that is not higher', () => b.raiseTerm(1, 'x'), false],
			['promotion without a claim', () => b.promote(1, ''), false],
			['a higher term', () => b.raiseTerm(3, 'x'), true],
			['the same term with the same claim', () => b.raiseTerm(3, 'x'), true],
			['the same term with another claim', () => b.raiseTerm(3, 'y'), false],
			['following a lower term', () => b.follow(2, addressOf('a')), false],
			['promotion with another claim', () => b.promote(3, 'y'), false],
			['promotion in another term', () => b.promote(4, 'x'), false],
			['following in that term', () => b.follow(3, addressOf('c')), true],
			['promotion in a term that it follows', () => b.promote(3, 'x'), false],
			['a higher term again', () => b.raiseTerm(4, 'z'), true],
			['promotion', () => b.promote(4, 'z'), true],
			['repeated promotion', () => b.promote(4, 'z'), true],
			['following in its own term', () => b.follow(4, addressOf('c')), false],
			['following a higher term', () => b.follow(5, addressOf('c')), true],
		];
		for (const [name, act, isAccepted] of cases) {
			expect([name, act().isAccepted]).toEqual([name, isAccepted]);
		}

		expect(b.received.term).toEqual(4);
		group.dispose();
	});

	it('ends a stream from the primary once the follower promises a higher term, and fences the primary once it does', async () => {
		const group = await makeGroup();
		let stepDownCount = 0;
		group.get('a').onStepDown(() => {
			stepDownCount += 1;
		});
		group.get('b').raiseTerm(2, 'x');
		expect(group.get('a').append([putKey('kept')])?.term).toEqual(1);
		await group.clock.advance(20);
		expect([keysOf(group.get('b')), keysOf(group.get('c'))]).toEqual([[], ['kept']]);
		group.get('a').raiseTerm(2, 'x');
		expect([stepDownCount, group.get('a').append([putKey('refused')]), group.get('a').role]).toEqual([1, undefined, 'replica']);
		group.dispose();
	});

	it('truncates the entries of a previous primary that the new one does not have', async () => {
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

	it('is rebuilding after a restart and keeps its term promise', async () => {
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

	it('sends a snapshot to a follower that is too far behind', async () => {
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

	it('detects a silent primary, and opens the stream again', async () => {
		const group = await makeGroup({streamAliveMs: 100_000});
		await group.clock.advance(800);
		const streamingStates: boolean[] = [];
		group.get('b').onState(({isStreaming}) => {
			if (streamingStates.at(-1) !== isStreaming) {
				streamingStates.push(isStreaming);
			}
		});
		await group.clock.advance(2000);
		expect(new Set(streamingStates)).toEqual(new Set([true, false]));
		group.dispose();
	});
});

/** Runs random writes, follow commands, restarts and rule-conforming promotions; fails if a confirmed write is lost. Returns the number of confirmed writes. */
async function runRandomly(seed: number): Promise<number> {
	const random = makeRandom(seed);
	const group = await makeGroup({lag: {p50Ms: 3, p99Ms: 30}});
	const names = [...group.instances.keys()];
	const pick = <T>(items: readonly T[]): T => items[Math.floor(random.next() * items.length)];
	const written: Array<{readonly key: string; readonly position: LogPosition}> = [];
	const confirmed = new Map<string, LogPosition>();
	let term = 1;

	let election: {readonly term: number; readonly votes: Map<string, LogPosition>} | undefined;

	/** Requests one vote, so that other actions happen between the votes. With a majority, the voter with the most advanced position is promoted. */
	const requestVote = (): void => {
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

	const actions: ReadonlyArray<() => void> = [
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
				requestVote();
			}
		},
		() => {
			// With three instances, a majority tolerates only one at a time that has lost its memory.
			if (random.next() < 0.05 && [...group.instances.values()].every(({role}) => role !== 'rebuilding')) {
				group.restart(pick(names));
			}
		},
	];
	for (let step = 0; step < 600; step++) {
		pick(actions)();
		await group.clock.advance(random.next() * 8);
		for (const {key, position} of written) {
			if (!confirmed.has(key) && group.isConfirmed(position)) {
				confirmed.set(key, position);
			}
		}

		const primaries = [...group.instances.values()].filter(({isPrimary}) => isPrimary);
		const newest = primaries.toSorted((a, b) => b.received.term - a.received.term).at(0);
		const lost = newest ? [...confirmed].filter(([key, position]) => hasReached(newest.received, position) && !keysOf(newest).includes(key)) : [];
		expect([seed, step, lost]).toEqual([seed, step, []]);
	}

	group.dispose();
	return confirmed.size;
}

describe('A group of instances', () => {
	it('never loses a confirmed write, in any order of events', async () => {
		let confirmedCount = 0;
		for (let seed = 1; seed <= 20; seed++) {
			confirmedCount += await runRandomly(seed);
		}

		expect(confirmedCount).toBeGreaterThan(500);
	});
});
