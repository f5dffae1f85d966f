/** Types of classified statements. */

/** What a statement does to the transaction. */
export type TransactionControl
	= | {readonly kind: 'none'}
		| {readonly kind: 'begin'; readonly mode: 'default' | 'readOnly' | 'readWrite'}
		| {readonly kind: 'commit' | 'rollback'; readonly isChained: boolean}
		| {readonly kind: 'rollbackTo'};

/** A statement that the endpoint runs. */
export type RelayedStatement = {
	readonly kind: 'relayed';
	/** `read` only if the statement certainly changes nothing. */
	readonly access: 'read' | 'write';
	readonly transaction: TransactionControl;
	/** Whether it might turn a read-only transaction into one that writes. */
	readonly mayDisableReadOnly: boolean;
	/** Whether it depends on statements that ran earlier on the same connection. */
	readonly needsTransaction: boolean;
};

/** A command that the proxy carries out itself. */
export type LocalCommand = {
	readonly name: 'set' | 'show' | 'resetAll' | 'discardAll' | 'deallocate' | 'unlockAll' | 'nothing' | 'empty';
	/** The parameter, the prepared statement, or the tag to answer with. */
	readonly subject?: string;
	/** Value to set; undefined for the default. */
	readonly value?: string;
};

/** A statement that the proxy answers itself. */
export type LocalStatement = {
	readonly kind: 'local';
	readonly act: LocalCommand;
};

/** A statement that a shared connection cannot carry. */
export type RefusedStatement = {
	readonly kind: 'refused';
	/** Explanation for people; never contains statement text. */
	readonly reason: string;
};

export type Statement = RelayedStatement | LocalStatement | RefusedStatement;

/** The statements of one text, in order. */
export type ClassifiedText = readonly Statement[];

/** The transaction state that the proxy tracks. */
export type TransactionState = {
	readonly isOpen: boolean;
	/** Whether the open transaction was begun as read-only. */
	readonly isReadOnly: boolean;
};
