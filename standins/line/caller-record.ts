/**
 * What one session of a caller sent and what was acknowledged to it, for the comparison with what ran.
 */
import type {HandlersOf} from '../../src/common/dispatch.js';
import {dispatch} from '../../src/common/dispatch.js';
import type {RanAsSent, SentStatement} from './ran-as-sent.js';

/** A statement, as its caller means it. */
export type SessionStatement
	= | {readonly kind: 'begin'; readonly isReadOnly: boolean}
		| {readonly kind: 'commit' | 'rollback'}
		| {readonly kind: 'read'; readonly item: string}
		| {readonly kind: 'write'; readonly item: string; readonly data: string}
		| {readonly kind: 'set'; readonly name: string; readonly value: string}
		| {readonly kind: 'prepare'; readonly name: string; readonly isWrite: boolean; readonly shape: string}
		| {readonly kind: 'execute'; readonly name: string; readonly parameters: string}
		| {readonly kind: 'deallocate'; readonly name: string};

type PreparedStatement = NonNullable<SentStatement['prepared']>;

const texts: HandlersOf<SessionStatement, string> = {
	begin: ({isReadOnly}) => isReadOnly ? 'BEGIN READ' : 'BEGIN',
	commit: () => 'COMMIT',
	rollback: () => 'ROLLBACK',
	read: ({item}) => `READ ${item}`,
	write: ({item, data}) => `WRITE ${item} ${data}`,
	set: ({name, value}) => `SET ${name} ${value}`,
	prepare: ({name, isWrite, shape}) => `PREPARE ${name} ${isWrite ? 'WRITE' : 'READ'} ${shape}`,
	execute: ({name, parameters}) => `EXECUTE ${name} ${parameters}`,
	deallocate: ({name}) => `DEALLOC ${name}`,
};

/** Records the statements of one session, which are sent one after the other. */
export class CallerRecord {
	private readonly _session: string;
	private readonly _checks: RanAsSent;
	private readonly _values = new Map<string, string>();
	private readonly _prepared = new Map<string, PreparedStatement>();
	private _transactionCount = 0;
	private _isInTransaction = false;

	private readonly _acknowledged: HandlersOf<SessionStatement, void> = {
		begin: () => {
			this._transactionCount += 1;
			this._isInTransaction = true;
		},
		commit() {
			// Its transaction has ended, whatever the answer is.
		},
		rollback() {
			// The same.
		},
		read() {
			// The session stays as it is.
		},
		write() {
			// The same.
		},
		execute() {
			// The same.
		},
		set: ({name, value}) => {
			this._values.set(name, value);
		},
		prepare: ({name, isWrite, shape}) => {
			this._prepared.set(name, {isWrite, shape});
		},
		deallocate: ({name}) => {
			this._prepared.delete(name);
		},
	};

	/** Creates the record of a session whose name is unique in the run. */
	constructor(session: string, checks: RanAsSent) {
		this._session = session;
		this._checks = checks;
	}

	get isInTransaction(): boolean {
		return this._isInTransaction;
	}

	/** Prepared statements that were acknowledged, by name. */
	get prepared(): ReadonlyMap<string, PreparedStatement> {
		return this._prepared;
	}

	/** Records that a statement is sent now; returns its text. */
	send(id: string, statement: SessionStatement): string {
		const text = dispatch(texts, statement);
		this._checks.recordSent({
			id,
			text,
			session: this._session,
			parameters: statement.kind === 'execute' ? statement.parameters : undefined,
			prepared: statement.kind === 'execute' ? this._prepared.get(statement.name) : undefined,
			values: new Map(this._values),
			transaction: this._isInTransaction ? `${this._session}/${this._transactionCount}` : undefined,
		});
		return text;
	}

	/** Records that a statement was answered. */
	noteAnswer(statement: SessionStatement, isSuccess: boolean): void {
		if (statement.kind === 'commit' || statement.kind === 'rollback') {
			this._isInTransaction = false;
		}

		if (isSuccess) {
			dispatch(this._acknowledged, statement);
		}
	}
}
