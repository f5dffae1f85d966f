/**
 * Searches a parsed statement for anything that may make it a write, and for anything that a
 * shared connection cannot carry.
 */
import {sessionStateFunctions, readOnlyFunctions, builtInSamplingMethods} from './constants.js';
import {
	isSetAt, isTree, listAt, textAt, type Tree,
} from './tree-values.js';

/** Properties that were found in a statement. */
export type Findings = {
	/** Whether it may change data; true unless it certainly does not. */
	mayWrite: boolean;
	/** Whether it depends on statements that ran earlier on the same connection. */
	needsTransaction: boolean;
	/** Why a shared connection cannot carry it; undefined if it can. */
	refusal: string | undefined;
};

type Inspect = (node: Tree, findings: Findings) => void;

const writes: Inspect = (_node, findings) => {
	findings.mayWrite = true;
};

const inspectors: ReadonlyMap<string, Inspect> = new Map<string, Inspect>([
	['InsertStmt', writes],
	['UpdateStmt', writes],
	['DeleteStmt', writes],
	['MergeStmt', writes],
	['LockingClause', writes],
	['FuncCall', inspectCall],
	['RangeTableSample', inspectSample],
	['ExecuteStmt', inspectExecute],
	['RangeVar', inspectRelation],
	['relation', inspectRelation],
	['intoClause', inspectInto],
	['into', inspectInto],
]);

/** Walks the whole tree of a statement. */
export function inspectTree(root: unknown): Findings {
	const findings: Findings = {mayWrite: false, needsTransaction: false, refusal: undefined};
	// An explicit stack, since long expressions nest deeper than the call stack allows.
	const pending: unknown[] = [root];
	while (pending.length > 0) {
		const node = pending.pop();
		for (const [key, value] of Object.entries(isTree(node) ? node : {})) {
			if (isTree(value)) {
				inspectors.get(key)?.(value, findings);
				pending.push(value);
			}
		}
	}

	return findings;
}

/** Last part of a qualified name, and whether the name can refer to a built-in of the database. */
function readName(parts: readonly unknown[]): {readonly name: string; readonly isBuiltIn: boolean} {
	const names = parts.map(part => textAt(part, 'String', 'sval'));
	return {
		name: names.at(-1) ?? '',
		isBuiltIn: names.length === 1 || names[0] === 'pg_catalog',
	};
}

function inspectCall(node: Tree, findings: Findings): void {
	const {name, isBuiltIn} = readName(listAt(node, 'funcname'));
	findings.mayWrite ||= !isBuiltIn || !readOnlyFunctions.has(name);
	findings.needsTransaction ||= sessionStateFunctions.has(name);
	if (isSessionLock(name)) {
		findings.refusal = 'session-level advisory locks need a connection of their own; use pg_advisory_xact_lock in a transaction';
	}

	if (name === 'set_config' && !isSetAt(listAt(node, 'args')[2], 'A_Const', 'boolval', 'boolval')) {
		findings.refusal = 'set_config needs a connection of its own unless is_local is true';
	}
}

/** Whether a function acquires or releases advisory locks that outlive a transaction. */
function isSessionLock(name: string): boolean {
	return /^pg_(?:try_)?advisory_(?!xact_)/v.test(name);
}

function inspectSample(node: Tree, findings: Findings): void {
	const {name, isBuiltIn} = readName(listAt(node, 'method'));
	findings.mayWrite ||= !isBuiltIn || !builtInSamplingMethods.has(name);
}

function inspectExecute(_node: Tree, findings: Findings): void {
	findings.refusal = prepareReason;
}

function inspectRelation(node: Tree, findings: Findings): void {
	if (node.schemaname === 'pg_temp') {
		findings.refusal = temporaryReason;
	}
}

/** Why PREPARE and EXECUTE are refused. */
export const prepareReason = 'PREPARE and EXECUTE need a connection of their own; use the driver\'s prepared statements';

/** Why temporary relations are refused. */
export const temporaryReason = 'temporary relations need a connection of their own unless they are dropped on commit';

function inspectInto(node: Tree, findings: Findings): void {
	findings.mayWrite = true;
	if (isSessionTemporary(node.rel, node.onCommit)) {
		findings.refusal = temporaryReason;
	}
}

/** Whether a new relation is temporary and outlives the transaction. */
export function isSessionTemporary(relation: unknown, onCommit: unknown): boolean {
	return textAt(relation, 'relpersistence') === 't' && onCommit !== 'ONCOMMIT_DROP';
}
