/** Plans a sequence of statements: how it accesses data and how it changes the transaction state. */
import type {TransactionStep} from '../services/services.js';
import type {RelayedStatement, TransactionState} from './types.js';

/** What a sequence of statements requires, and how it changes the transaction. */
export type TransactionPlan = {
	readonly access: 'read' | 'write';
	readonly step: TransactionStep;
	/** Whether a transaction that is open afterwards is certain to be read-only. */
	readonly isReadOnlyAfter: boolean;
	/** Why the sequence cannot be relayed; undefined if it can. */
	readonly refusal: string | undefined;
};

type PlanState = {
	isOpen: boolean;
	isReadOnly: boolean;
	isRead: boolean;
	refusal: string | undefined;
	/** Whether a statement precedes this one, so that at least an implicit transaction is open. */
	hasPrecedingStatement: boolean;
	hasCommitted: boolean;
	hasRolledBack: boolean;
	hasBegunWriting: boolean;
};

type Transition = (progress: PlanState, statement: RelayedStatement) => void;

const transitions: Readonly<Record<RelayedStatement['transaction']['kind'], Transition>> = {
	none: applyStatement,
	rollbackTo: applyStatement,
	begin: applyBegin,
	commit(progress, statement) {
		progress.hasCommitted = true;
		applyEnd(progress, statement);
	},
	rollback(progress, statement) {
		progress.hasRolledBack = true;
		applyEnd(progress, statement);
	},
};

/** Read-only transactions may run on replicas, so routing relies on them staying read-only. */
const disableReadOnlyReason = 'a read-only transaction cannot be turned into one that writes';

function applyStatement(progress: PlanState, statement: RelayedStatement): void {
	if (statement.needsTransaction && !progress.isOpen && !progress.hasPrecedingStatement) {
		progress.refusal = 'the value belongs to a connection; use RETURNING, or read it in the transaction that produced it';
	}

	if (progress.isOpen && progress.isReadOnly) {
		progress.refusal ??= statement.mayDisableReadOnly ? disableReadOnlyReason : undefined;
		return;
	}

	progress.isRead &&= !progress.isOpen && statement.access === 'read';
}

function applyBegin(progress: PlanState, statement: RelayedStatement): void {
	const mode = statement.transaction.kind === 'begin' ? statement.transaction.mode : 'default';
	if (progress.isOpen) {
		// A BEGIN inside a transaction only gives a warning, but its options apply.
		progress.isRead &&= progress.isReadOnly;
		progress.refusal ??= progress.isReadOnly && mode === 'readWrite' ? disableReadOnlyReason : undefined;
		return;
	}

	progress.isOpen = true;
	progress.isReadOnly = mode === 'readOnly';
	progress.isRead &&= progress.isReadOnly;
	progress.hasBegunWriting ||= !progress.isReadOnly;
}

function applyEnd(progress: PlanState, statement: RelayedStatement): void {
	progress.isRead &&= progress.isOpen && progress.isReadOnly;
	const {transaction} = statement;
	progress.isOpen &&= 'isChained' in transaction && transaction.isChained;
}

function singleStatementPlan(access: 'read' | 'write'): TransactionPlan {
	return {
		access, step: 'none', isReadOnlyAfter: false, refusal: undefined,
	};
}

const singleStatementPlans = {read: singleStatementPlan('read'), write: singleStatementPlan('write')} as const;

/** Plans statements that run one after another, starting from the transaction state `before`. */
export function planTransaction(statements: readonly RelayedStatement[], before: TransactionState): TransactionPlan {
	const [first] = statements;
	if (first && statements.length === 1 && !before.isOpen && first.transaction.kind === 'none' && !first.needsTransaction) {
		// Most requests are a single statement outside a transaction, whose plan depends only on its access.
		return singleStatementPlans[first.access];
	}

	const progress: PlanState = {
		...before,
		isRead: true,
		refusal: undefined,
		hasPrecedingStatement: false,
		hasCommitted: false,
		hasRolledBack: false,
		hasBegunWriting: false,
	};
	for (const statement of statements) {
		transitions[statement.transaction.kind](progress, statement);
		progress.hasPrecedingStatement = true;
	}

	return {
		access: progress.isRead ? 'read' : 'write',
		step: stepOf(before.isOpen, progress),
		// If a statement fails, any transaction of the sequence may stay open, so all must be read-only.
		isReadOnlyAfter: (!before.isOpen || before.isReadOnly) && progress.isReadOnly && !progress.hasBegunWriting,
		refusal: progress.refusal,
	};
}

function stepOf(wasOpen: boolean, progress: PlanState): TransactionStep {
	if (!wasOpen) {
		return progress.isOpen ? 'begin' : 'none';
	}

	if (progress.hasCommitted) {
		return 'commit';
	}

	return progress.hasRolledBack ? 'rollback' : 'none';
}
