/**
 * Runs statements on the session: transaction control, parameters, DISCARD and DEALLOCATE.
 */
/* eslint-disable @typescript-eslint/naming-convention -- keys are node kinds of the parse tree. */
import type {
	DeallocateStmt, DefElem, DiscardStmt, Node, TransactionStmt, VariableSetStmt, VariableShowStmt,
} from 'libpg-query';
import type {StatementResult} from './plan.js';
import type {ParsedStatement} from './planner.js';
import type {SessionTransaction} from './session-transaction.js';
import type {SessionSettings} from './settings.js';
import {SqlError, notSupported} from './sql-error.js';

/** The parts of a session that these statements work on. */
export type UtilityTarget = {
	readonly settings: SessionSettings;
	readonly transaction: SessionTransaction;
	/** Drops one prepared statement, or all without a name. */
	deallocate(name: string | undefined): void;
};

type Handler = (target: UtilityTarget, body: never) => StatementResult;

const handlers: Readonly<Record<string, Handler>> = {
	TransactionStmt: runTransaction,
	VariableSetStmt: runSet,
	VariableShowStmt: ({settings}, body: VariableShowStmt) => ({tag: 'SHOW', rows: [[settings.show(body.name ?? '')]]}),
	DiscardStmt: runDiscard,
	DeallocateStmt(target, body: DeallocateStmt) {
		target.deallocate(body.name);
		return {tag: body.name === undefined ? 'DEALLOCATE ALL' : 'DEALLOCATE'};
	},
};

/** Runs a statement on the session. */
export function runUtility(target: UtilityTarget, statement: ParsedStatement): StatementResult {
	const handler = handlers[statement.kind] as Handler | undefined;
	if (!handler) {
		throw notSupported(`a statement of kind ${statement.kind}`);
	}

	return handler(target, statement.body as never); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the kind decides the content's type.
}

/** Whether a statement is COMMIT or ROLLBACK, the only ones that a failed transaction accepts. */
export function endsTransaction(statement: ParsedStatement): boolean {
	const kind = 'TransactionStmt' in statement.node ? statement.node.TransactionStmt.kind : undefined;
	return kind === 'TRANS_STMT_COMMIT' || kind === 'TRANS_STMT_ROLLBACK';
}

type TransactionStep = (transaction: SessionTransaction, body: TransactionStmt) => string;

function begin(tag: string): TransactionStep {
	return (transaction, body) => {
		transaction.begin(readOnlyOption(body.options));
		return tag;
	};
}

const transactionSteps: Readonly<Record<string, TransactionStep>> = {
	TRANS_STMT_BEGIN: begin('BEGIN'),
	TRANS_STMT_START: begin('START TRANSACTION'),
	TRANS_STMT_COMMIT: transaction => transaction.commit(),
	TRANS_STMT_ROLLBACK: transaction => transaction.rollback(),
};

function runTransaction({transaction}: UtilityTarget, body: TransactionStmt): StatementResult {
	const step = transactionSteps[body.kind ?? ''] as TransactionStep | undefined;
	if (!step) {
		throw notSupported(`the transaction statement ${body.kind}`);
	}

	return {tag: step(transaction, body)};
}

function runSet({settings, transaction}: UtilityTarget, body: VariableSetStmt): StatementResult {
	const isReadOnly = body.kind === 'VAR_SET_MULTI' ? readOnlyOption(body.args) : undefined;
	if (body.kind !== 'VAR_SET_MULTI') {
		settings.apply(body);
	} else if (isReadOnly !== undefined && !(body.name === 'TRANSACTION' && transaction.setReadOnly(isReadOnly))) {
		settings.set('default_transaction_read_only', isReadOnly ? 'on' : 'off');
	}

	return {tag: body.kind?.startsWith('VAR_RESET') ? 'RESET' : 'SET'};
}

function runDiscard(target: UtilityTarget, body: DiscardStmt): StatementResult {
	if (target.transaction.status !== 'I') {
		throw new SqlError('25001', 'DISCARD ALL cannot run inside a transaction block');
	}

	if (body.target === 'DISCARD_ALL') {
		target.settings.reset();
		target.deallocate(undefined);
	}

	return {tag: `DISCARD ${body.target?.replace('DISCARD_', '') ?? 'ALL'}`};
}

function readOnlyOption(nodes: readonly Node[] | undefined): boolean | undefined {
	const options = (nodes ?? []).flatMap((node): DefElem[] => 'DefElem' in node ? [node.DefElem] : []);
	const option = options.find(({defname}) => defname === 'transaction_read_only');
	if (!option) {
		return undefined;
	}

	return option.arg && 'A_Const' in option.arg ? option.arg.A_Const.ival?.ival === 1 : false;
}
