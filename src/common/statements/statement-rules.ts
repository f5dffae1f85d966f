/** The table from the kind of a parsed statement to how it is handled. */
import {isSessionParameter} from '../sessions/session-parameters.js';
import {
	inspectTree, isSessionTemporary, prepareReason, temporaryReason, type Findings,
} from './tree-inspector.js';
import {
	isSetAt, isTree, listAt, numberAt, readArguments, textAt, type Tree,
} from './tree-values.js';
import type {
	LocalCommand, RelayedStatement, Statement, TransactionControl,
} from './types.js';

type Rule = (node: Tree) => Statement;

const noTransactionControl: TransactionControl = {kind: 'none'};

function relay(access: 'read' | 'write', options: Partial<RelayedStatement> = {}): Statement {
	return {
		kind: 'relayed',
		access,
		transaction: options.transaction ?? noTransactionControl,
		mayDisableReadOnly: options.mayDisableReadOnly ?? false,
		needsTransaction: options.needsTransaction ?? false,
	};
}

function refuse(reason: string): Statement {
	return {kind: 'refused', reason};
}

function local(act: LocalCommand): Statement {
	return {kind: 'local', act};
}

const refuseNotification: Rule = () => refuse('LISTEN, NOTIFY and UNLISTEN need a connection of their own');
const refusePrepare: Rule = () => refuse(prepareReason);
const refuseTemporary = (key: string): Rule => node => isSessionTemporary(node[key], node.oncommit) ? refuse(temporaryReason) : classifyWrite(node);

const rules: ReadonlyMap<string, Rule> = new Map<string, Rule>([
	['SelectStmt', classifySelect],
	['ExplainStmt', classifyExplain],
	['TransactionStmt', classifyTransactionControl],
	['VariableSetStmt', classifySet],
	['VariableShowStmt', classifyShow],
	['CopyStmt', () => refuse('COPY is not relayed; use INSERT with several rows')],
	['ListenStmt', refuseNotification],
	['NotifyStmt', refuseNotification],
	['UnlistenStmt', node => node.conditionname === undefined ? local({name: 'nothing', subject: 'UNLISTEN'}) : refuseNotification(node)],
	['PrepareStmt', refusePrepare],
	['ExecuteStmt', refusePrepare],
	['DeallocateStmt', node => local(isSetAt(node, 'name') ? {name: 'deallocate', subject: textAt(node, 'name')} : {name: 'deallocate'})],
	['DiscardStmt', node => discards.get(textAt(node, 'target')) ?? refuse('DISCARD of this kind is not supported')],
	['LoadStmt', () => refuse('LOAD needs a connection of its own')],
	['DeclareCursorStmt', classifyCursor],
	['CreateStmt', refuseTemporary('relation')],
	['ViewStmt', refuseTemporary('view')],
	['CreateSeqStmt', refuseTemporary('sequence')],
	['DoStmt', () => relay('write', {mayDisableReadOnly: true})],
	['CallStmt', node => unlessRefused(node, () => relay('write', {mayDisableReadOnly: true}))],
]);

const discards: ReadonlyMap<string, Statement> = new Map([
	['DISCARD_ALL', local({name: 'discardAll'})],
	['DISCARD_TEMP', local({name: 'nothing', subject: 'DISCARD TEMP'})],
	['DISCARD_PLANS', local({name: 'nothing', subject: 'DISCARD PLANS'})],
	['DISCARD_SEQUENCES', local({name: 'nothing', subject: 'DISCARD SEQUENCES'})],
]);

/** Classifies one parsed statement, an object with its kind as only key. */
export function classifyStatement(statement: unknown): Statement {
	const [entry] = Object.entries(isTree(statement) ? statement : {});
	const node = entry?.[1];
	return (rules.get(entry?.[0] ?? '') ?? classifyWrite)(isTree(node) ? node : {});
}

function unlessRefused(node: Tree, onAllowed: (findings: Findings) => Statement): Statement {
	const findings = inspectTree(node);
	return findings.refusal === undefined ? onAllowed(findings) : refuse(findings.refusal);
}

function classifyWrite(node: Tree): Statement {
	return unlessRefused(node, ({needsTransaction}) => relay('write', {needsTransaction}));
}

function classifySelect(node: Tree): Statement {
	if (isUnlockAll(node)) {
		return local({name: 'unlockAll'});
	}

	return unlessRefused(node, ({mayWrite, needsTransaction}) => relay(mayWrite ? 'write' : 'read', {needsTransaction}));
}

/** Whether it is `SELECT pg_advisory_unlock_all()`, which connection pools send when a connection is released. */
function isUnlockAll(node: Tree): boolean {
	const [target, ...others] = listAt(node, 'targetList');
	const [name] = listAt(target, 'ResTarget', 'val', 'FuncCall', 'funcname');
	return others.length === 0 && !isSetAt(node, 'fromClause') && textAt(name, 'String', 'sval') === 'pg_advisory_unlock_all';
}

function classifyExplain(node: Tree): Statement {
	const isExecuted = listAt(node, 'options').some(option => textAt(option, 'DefElem', 'defname') === 'analyze');
	return unlessRefused(node, ({mayWrite, needsTransaction}) => relay(mayWrite || isExecuted ? 'write' : 'read', {needsTransaction}));
}

/** The read-only option of BEGIN or SET TRANSACTION. */
function readMode(options: readonly unknown[]): 'default' | 'readOnly' | 'readWrite' {
	const found = options.findLast(option => textAt(option, 'DefElem', 'defname') === 'transaction_read_only');
	if (found === undefined) {
		return 'default';
	}

	return numberAt(found, 'DefElem', 'arg', 'A_Const', 'ival', 'ival') === 1 ? 'readOnly' : 'readWrite';
}

const transactionRules: ReadonlyMap<string, Rule> = new Map<string, Rule>([
	['TRANS_STMT_BEGIN', classifyBegin],
	['TRANS_STMT_START', classifyBegin],
	['TRANS_STMT_COMMIT', node => relay('write', {transaction: {kind: 'commit', isChained: node.chain === true}})],
	['TRANS_STMT_ROLLBACK', node => relay('write', {transaction: {kind: 'rollback', isChained: node.chain === true}})],
	['TRANS_STMT_SAVEPOINT', () => relay('read')],
	['TRANS_STMT_RELEASE', () => relay('read')],
	['TRANS_STMT_ROLLBACK_TO', () => relay('read', {transaction: {kind: 'rollbackTo'}})],
]);

function classifyBegin(node: Tree): Statement {
	return relay('write', {transaction: {kind: 'begin', mode: readMode(listAt(node, 'options'))}});
}

function classifyTransactionControl(node: Tree): Statement {
	return transactionRules.get(textAt(node, 'kind'))?.(node) ?? refuse('two-phase commit is not relayed');
}

function classifySet(node: Tree): Statement {
	const name = textAt(node, 'name').toLowerCase();
	if (node.is_local === true || (node.kind === 'VAR_SET_MULTI' && name === 'transaction')) {
		const mayDisable = name === 'transaction_read_only' || (name === 'transaction' && readMode(listAt(node, 'args')) === 'readWrite');
		return relay('write', {mayDisableReadOnly: mayDisable});
	}

	if (node.kind === 'VAR_RESET_ALL') {
		return local({name: 'resetAll'});
	}

	if (name === 'transaction_read_only' || name === 'transaction_isolation') {
		return refuse('use BEGIN or SET TRANSACTION to choose how a transaction runs');
	}

	if (node.kind === 'VAR_SET_MULTI') {
		return refuse('SET SESSION CHARACTERISTICS needs a connection of its own; use BEGIN with options');
	}

	return local(node.kind === 'VAR_SET_VALUE' ? {name: 'set', subject: name, value: readArguments(node)} : {name: 'set', subject: name});
}

function classifyShow(node: Tree): Statement {
	const parameter = textAt(node, 'name').toLowerCase();
	return isSessionParameter(parameter) ? local({name: 'show', subject: parameter}) : relay('read');
}

/** The bit for WITH HOLD in the options of DECLARE. */
const holdOption = 0x20;

function classifyCursor(node: Tree): Statement {
	const isHeld = Math.floor(numberAt(node, 'options') / holdOption) % 2 === 1;
	return isHeld ? refuse('DECLARE WITH HOLD needs a connection of its own') : classifyWrite(node);
}
