import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	assert, constantFrom, integer, oneof, property, record, string,
} from 'fast-check';
import {batchSortKey, recordKey} from './audit-keys.js';
import type {AuditRecord} from './types.js';

const anyNode = oneof(constantFrom('n', 'n#', 'n#000000000001', '#', ''), string({unit: 'binary', maxLength: 6}));
const anyEntry = record({atMs: integer({min: 0, max: 5}), node: anyNode, sequence: integer({min: 1, max: 5})});

function recordOf(entry: Pick<AuditRecord, 'atMs' | 'node' | 'sequence'>): AuditRecord {
	return {
		...entry, actor: 'a', act: 'promote', subject: 's', basis: 'b', outcome: 'done',
	};
}

describe('keys of the audit trail', () => {
	// Guards against a batch that replaces that of another node, and against pages that leave entries out. Both ends of a key have a fixed length.
	it('are equal only for the same time, node and number, whatever the names of nodes hold', () => {
		assert(property(anyEntry, anyEntry, (one, other) => {
			const isSame = one.atMs === other.atMs && one.node === other.node && one.sequence === other.sequence;
			expect(recordKey(recordOf(one)) === recordKey(recordOf(other))).toEqual(isSame);
			expect(batchSortKey(one.atMs, recordOf(one)) === batchSortKey(other.atMs, recordOf(other))).toEqual(isSame);
		}), {seed: 58, numRuns: 500});
	});
});
