import {describe, it} from 'node:test';
import {expect} from 'earl';
import {MemoryPlatform} from '../../../standins/platform/memory-platform.js';
import {InvariantChecks} from '../invariants/invariant-checks.js';
import {SeededRandom} from '../random/seeded-random.js';
import {VirtualClock} from '../testing/virtual-clock.js';
import {ChangeHistory} from './change-history.js';
import {ConfigurationLog} from './configuration-log.js';
import {toDocument} from './model.js';
import type {Operation} from './schema.js';
import {
	labelChange, RecordedAudit, sampleOperations, silentLog, silentMetrics,
} from './testing/fixtures.js';
import {Undo} from './undo.js';

function drainRule(name: string, selector: Record<string, unknown>): Operation {
	return {
		op: 'put', kind: 'rule', value: {
			name, order: 0, selector, effect: {kind: 'drain', isDraining: true},
		},
	};
}

function zoneDrain(zone: string): Operation {
	return drainRule(`drain-${zone}`, {zones: [zone]});
}

function makeNode(platform: MemoryPlatform, clock: VirtualClock, primary?: string, author = 'ann') {
	const {table, objects, faults} = platform.connect();
	const history = new ChangeHistory(new InvariantChecks(silentLog, silentMetrics, {isFatal: true}), silentLog);
	const audit = new RecordedAudit();
	const changeLog = new ConfigurationLog({
		table, objects, history, audit, clock, log: silentLog, metrics: silentMetrics,
		currentPrimary: group => group === 'stock' ? primary : undefined,
	}, {snapshotInterval: 4});
	return {
		history, audit, changeLog, faults, undo: new Undo(changeLog, history),
		async propose(changeId: string, basedOn: number, operations: readonly Operation[], acknowledged: readonly string[] = []) {
			return clock.advanceUntil(changeLog.propose({
				changeId, author, basedOn, operations, acknowledged,
			}));
		},
	};
}

async function setUp(primary?: string) {
	const clock = new VirtualClock();
	const platform = new MemoryPlatform(clock, new SeededRandom(1));
	const node = makeNode(platform, clock, primary);
	await node.propose('first-change', 0, sampleOperations());
	return {
		clock, platform, node, other: makeNode(platform, clock, primary),
	};
}

describe('ConfigurationLog', () => {
	it('refuses the second of two concurrent proposals with the change that was accepted', async () => {
		const {node, other} = await setUp();
		const [one, two] = await Promise.all([
			node.propose('from-ann-1', 1, [zoneDrain('zone-a')]),
			other.propose('from-bob-1', 1, [zoneDrain('zone-b')]),
		]);
		const [winner, loser] = one.isRight() ? [one, two] : [two, one];
		const conflict = loser.swap().unsafeCoerce();
		expect(conflict).toEqual({kind: 'conflict', version: 2, changes: [winner.unsafeCoerce()]});
		const redone = await other.propose('from-bob-2', 2, [zoneDrain('zone-b')]);
		expect(redone.unsafeCoerce().number).toEqual(3);
	});

	it('applies a proposal that is sent repeatedly once, also on another node and after later changes', async () => {
		const {node, other} = await setUp();
		const [first, second] = await Promise.all([
			node.propose('tapped-twice', 1, [zoneDrain('zone-a')]),
			other.propose('tapped-twice', 1, [zoneDrain('zone-a')]),
		]);
		await node.propose('another-one', 2, [zoneDrain('zone-b')]);
		const third = await other.propose('tapped-twice', 1, [zoneDrain('zone-a')]);
		expect([first, second, third].map(result => result.unsafeCoerce().number)).toEqual([2, 2, 2]);
		expect(node.history.version).toEqual(3);
	});

	// Guards against an operator who is told that a change was accepted which nobody applied, and against nodes with different configurations.
	it('refuses a proposal that has the identifier of another author\'s change', async () => {
		const {clock, platform, node} = await setUp();
		const other = makeNode(platform, clock, undefined, 'bob');
		await other.changeLog.catchUp();
		const [ann, bob] = await Promise.all([
			node.propose('same-change', 1, [zoneDrain('zone-a')]),
			other.propose('same-change', 1, [zoneDrain('zone-b')]),
		]);
		const later = await other.propose('same-change', 1, [zoneDrain('zone-b')]);
		expect([ann.isRight(), bob.isRight(), later.isRight()]).toEqual([true, false, false]);
		expect(bob.swap().unsafeCoerce().kind).toEqual('conflict');
		await node.changeLog.catchUp();
		await other.changeLog.catchUp();
		expect(toDocument(other.history.model)).toEqual(toDocument(node.history.model));
	});

	it('finds the outcome of a write whose answer was lost by writing the same item again', async () => {
		const {node} = await setUp();
		node.faults.lostAnswers = 1;
		const result = await node.propose('lost-answer', 1, [zoneDrain('zone-a')]);
		expect(result.unsafeCoerce().number).toEqual(2);
		node.faults.lostAnswers = 100;
		const unknown = await node.propose('all-lost-1', 2, [zoneDrain('zone-b')]);
		expect(unknown.swap().unsafeCoerce().kind).toEqual('unknown');
		node.faults.lostAnswers = 0;
		const again = await node.propose('all-lost-1', 2, [zoneDrain('zone-b')]);
		expect(again.unsafeCoerce().number).toEqual(3);
	});

	it('refuses proposals while the table is unavailable, and says when to retry', async () => {
		const {node} = await setUp();
		node.faults.outage = 'refused';
		const refused = await node.propose('while-down', 1, [zoneDrain('zone-a')]);
		const refusal = refused.swap().unsafeCoerce();
		expect(refusal.kind).toEqual('unavailable');
		expect('retryAfterMs' in refusal && refusal.retryAfterMs > 0).toEqual(true);
		node.faults.outage = 'none';
		const accepted = await node.propose('while-down', 1, [zoneDrain('zone-a')]);
		expect(accepted.isRight()).toEqual(true);
		expect(node.audit.entries.map(({outcome}) => outcome)).toEqual(['accepted', 'unavailable', 'accepted']);
	});

	const losses: ReadonlyArray<[title: string, operations: readonly Operation[], warnings: readonly string[]]> = [
		['one zone of three', [zoneDrain('zone-b')], []],
		['the current primary', [zoneDrain('zone-a')], ['primaryLeaves:stock']],
		['everything', [drainRule('all', {})], ['noPrimaryCandidate:orders', 'noPrimaryCandidate:stock']],
		['every endpoint of a group', ['a', 'b', 'c'].map(zone => ({op: 'remove', kind: 'endpoint', name: `stock-${zone}`})), ['noEndpoint:stock']],
		[
			'every reader',
			[{
				op: 'put', kind: 'rule', value: {
					name: 'x', order: 0, selector: {groups: [{label: 'name', operator: 'equals', value: 'orders'}]}, effect: {kind: 'readAcceptance', acceptsReads: false},
				},
			}],
			['noReader:orders'],
		],
	];
	for (const [title, operations, warnings] of losses) {
		it(`asks to acknowledge the loss of ${title} (${warnings.length} warnings)`, async () => {
			const {node} = await setUp('stock-a');
			const result = await node.propose('loss-change', 1, operations);
			if (warnings.length > 0) {
				const refusal = result.swap().unsafeCoerce();
				expect(refusal.kind === 'unacknowledged' && refusal.preview.warnings.map(({id}) => id).toSorted()).toEqual([...warnings]);
				expect(node.history.version).toEqual(1);
			}

			const acknowledged = await node.propose('loss-change', 1, operations, warnings);
			expect(acknowledged.isRight()).toEqual(true);
		});
	}

	it('restores the exact configuration on undo, including the rank of rules, and warns of later changes to the same entries', async () => {
		const {clock, node} = await setUp();
		await node.propose('two-rules-1', 1, [zoneDrain('zone-a')]);
		await node.propose('two-rules-2', 2, [zoneDrain('zone-b')]);
		const before = toDocument(node.history.model);
		await node.propose('edit-and-drop', 3, [
			{
				op: 'put', kind: 'rule', value: {
					name: 'drain-zone-a', order: 7, selector: {zones: ['zone-c']}, effect: {kind: 'drain', isDraining: true},
				},
			},
			{op: 'remove', kind: 'rule', name: 'drain-zone-b'},
		]);
		const undone = await clock.advanceUntil(node.undo.propose(4, {changeId: 'undo-of-four', author: 'ann', basedOn: 4}));
		expect(undone.unsafeCoerce().undoOf).toEqual(4);
		expect(toDocument(node.history.model)).toEqual(before);
		const risky = await clock.advanceUntil(node.undo.propose(2, {changeId: 'undo-of-two', author: 'ann', basedOn: 5}));
		const refusal = risky.swap().unsafeCoerce();
		expect(refusal.kind === 'unacknowledged' && refusal.preview.warnings.map(({id}) => id)).toEqual(['overwritesLater:4', 'overwritesLater:5']);
	});

	it('loads the snapshot and the changes after it on a new node', async () => {
		const {node, other, clock} = await setUp();
		for (let number = 1; number < 6; number++) {
			await node.propose(`numbered-${number}`, number, [{op: 'put', kind: 'service', value: {name: 'shop', labels: {edit: String(number)}}}]);
		}

		const caughtUp = await clock.advanceUntil(other.changeLog.catchUp());
		expect(caughtUp.unsafeCoerce()).toEqual(6);
		expect(toDocument(other.history.model)).toEqual(toDocument(node.history.model));
		expect(other.history.keptChangesAfter(0)).toEqual(undefined);
		expect(other.history.keptChangesAfter(4)?.length).toEqual(2);
	});
});

describe('ChangeHistory', () => {
	it('never goes back, regardless of the changes and snapshots it is given', () => {
		const history = new ChangeHistory(new InvariantChecks(silentLog, silentMetrics, {isFatal: true}), silentLog, {recentChanges: 2});
		const versions: number[] = [];
		history.onChange(version => {
			versions.push(version);
		});
		history.applyChanges([labelChange(1), labelChange(2), labelChange(2)]);
		const old = history.snapshotText();
		history.applyChanges([labelChange(1), labelChange(4)]);
		history.applyChanges([labelChange(3), 'not JSON', labelChange(4)]);
		history.applySnapshot(old);
		history.applySnapshot('{"number":9}');
		expect(versions).toEqual([2, 3]);
		expect(history.changesAfter(1)).toEqual({version: 3, changes: [labelChange(2), labelChange(3)]});
		expect(history.changesAfter(0).snapshot).toEqual(history.snapshotText());
		expect(history.changesAfter(3)).toEqual({version: 3, changes: []});
	});
});
