/**
 * One connection to an instance of the stand-in, with its transaction, session values and prepared
 * statements. It runs the statements of the platform's line protocol.
 */
import {dispatch, type HandlersOf} from '../../src/common/dispatch.js';
import type {InstanceStatement} from './instance-grammar.js';
import {readQuery, readWriteParameters} from './instance-grammar.js';
import type {Execution, LineInstance} from './line-group.js';

/** Id of the statements that a node issues itself. */
const ownId = '-';

/** Statements that a node may only send for a caller, under the caller's id. */
const callerStatements: ReadonlySet<InstanceStatement['kind']> = new Set(['read', 'write', 'execute', 'commit']);

const malformedError = 'ERROR MALFORMED unknown statement\r\n';

/** A transaction that has begun and has not ended; its writes take effect at the commit. */
type Transaction = {
	readonly isReadOnly: boolean;
	readonly items: Map<string, string>;
	/** Term of the instance at the beginning of the transaction. */
	readonly term: number;
	isFailed: boolean;
};

/** State of one connection at an instance. */
export class LineInstanceSession {
	readonly instance: LineInstance;
	/** User that the connection was opened for. */
	readonly user: string;
	/** Name of the connection, unique in its group. */
	readonly connection: string;
	readonly values = new Map<string, string>();
	readonly prepared = new Map<string, {isWrite: boolean; shape: string}>();
	private _transaction: Transaction | undefined;
	private _onEnd: (() => void) | undefined;
	/** Id of the statement in progress. */
	private _id = '';

	/** Number of transactions that have begun. */
	private _transactionCount = 0;
	/** What the EXECUTE in progress runs; undefined if its name is not known. */
	private _execution: Execution | undefined;

	private readonly _handlers: HandlersOf<InstanceStatement, string, [string | undefined]> = {
		begin: ({isReadOnly}, minimumPosition) => this._begin(isReadOnly, minimumPosition),
		commit: () => this._commit(),
		rollback: () => this._rollBack(),
		read: ({item}, minimumPosition) => this._read(item, minimumPosition),
		write: statement => this._write(statement),
		set: statement => this._set(statement),
		prepare: statement => this._prepare(statement),
		execute: (statement, minimumPosition) => this._execute(statement, minimumPosition),
		deallocate: ({name}) => this._deallocate(name),
		discard: () => this._discard(),
		status: () => this._statusResponse(),
		pause: ({term}) => this._fence(term),
		resume: () => this._resume(),
		stepDown: ({term}) => this._stepDown(term),
		malformed: () => malformedError,
	};

	constructor(instance: LineInstance, user: string) {
		this.instance = instance;
		this.user = user;
		this.connection = `${instance.id}#${instance.openedConnections}`;
	}

	/** Sets the listener that is called when the instance ends the connection. */
	onEnd(listener: () => void): void {
		this._onEnd = listener;
	}

	/** Ends the connection because its instance has ended. */
	end(): void {
		this.instance.close(this);
		this._onEnd?.();
	}

	/** Runs one statement and returns its answer, each line with its terminator; undefined if a test had the answer lost. */
	query(id: string, text: string): string | undefined {
		const {position, statement, text: ownText} = readQuery(text);
		if (id !== ownId) {
			this.instance.recordRun(id, this.user);
		}

		this._id = id;
		this._execution = undefined;
		const transaction = this._transaction && this._transactionCount;
		const body = dispatch(this._handlers, statement, position);
		if (id !== ownId || callerStatements.has(statement.kind)) {
			this.instance.group.runListener?.({
				id,
				text: ownText,
				transaction,
				connection: this.connection,
				execution: this._execution,
				values: new Map(this.values),
				code: /^ERROR (?<code>\S+)/v.exec(body)?.groups?.code ?? '',
			});
		}

		return this.instance.lostAnswers.delete(id) ? undefined : `${body}READY ${this._state} ${this.instance.position}\r\n`;
	}

	private get _state(): string {
		if (!this._transaction) {
			return 'I';
		}

		return this._transaction.isFailed ? 'E' : 'T';
	}

	private _begin(isReadOnly: boolean, minimumPosition: string | undefined): string {
		if (minimumPosition !== undefined && !this.instance.hasApplied(minimumPosition)) {
			return `ERROR LAGGING ${this.instance.id}\r\n`;
		}

		if (!isReadOnly && !this.instance.isPrimary) {
			return this._readOnlyError();
		}

		this._transactionCount += 1;
		this._transaction = {
			isReadOnly, items: new Map(), term: this.instance.term, isFailed: false,
		};
		return complete('-');
	}

	private _commit(): string {
		const transaction = this._transaction;
		this._transaction = undefined;
		if (!transaction || transaction.isFailed) {
			return malformedError;
		}

		if (transaction.items.size === 0) {
			return complete(this._digest());
		}

		if (!this.instance.isPrimary || this.instance.term !== transaction.term) {
			return this._readOnlyError();
		}

		this.instance.append(this._id, transaction.items);
		return complete(this._digest());
	}

	private _rollBack(): string {
		this._transaction = undefined;
		return complete('-');
	}

	private _read(item: string, minimumPosition: string | undefined): string {
		if (minimumPosition !== undefined && !this.instance.hasApplied(minimumPosition)) {
			return `ERROR LAGGING ${this.instance.id}\r\n`;
		}

		if (this._wasDemoted()) {
			return this._failTransaction();
		}

		const value = this._transaction?.items.get(item) ?? this.instance.read(item);
		return `${value === undefined ? '' : `DATAROW ${value}\r\n`}${complete(this._digest())}`;
	}

	private _write({item, data}: {readonly item: string; readonly data: string}): string {
		if (!this.instance.isPrimary || this._transaction?.isReadOnly === true || this._wasDemoted()) {
			return this._failTransaction();
		}

		if (this._transaction) {
			this._transaction.items.set(item, data);
		} else {
			this.instance.append(this._id, new Map([[item, data]]));
		}

		return complete(this._digest());
	}

	private _set({name, value}: Extract<InstanceStatement, {kind: 'set'}>): string {
		this.values.set(name, value);
		return complete('-');
	}

	private _prepare({name, isWrite, shape}: Extract<InstanceStatement, {kind: 'prepare'}>): string {
		this.prepared.set(name, {isWrite, shape});
		return complete('-');
	}

	private _execute({name, parameters}: Extract<InstanceStatement, {kind: 'execute'}>, minimumPosition: string | undefined): string {
		const prepared = this.prepared.get(name);
		if (!prepared) {
			return `ERROR NOSTMT ${name}\r\n`;
		}

		this._execution = {...prepared, parameters};
		this.instance.executions.set(this._id, this._execution);
		if (!prepared.isWrite) {
			return this._read(parameters, minimumPosition);
		}

		return minimumPosition === undefined ? this._write(readWriteParameters(parameters)) : malformedError;
	}

	private _deallocate(name: string): string {
		this.prepared.delete(name);
		return complete('-');
	}

	private _discard(): string {
		this.values.clear();
		this.prepared.clear();
		return complete('-');
	}

	private _statusResponse(): string {
		this.instance.statusRequests += 1;
		return `DATAROW ${this.instance.statusRow()}\r\n${complete('-')}`;
	}

	private _fence(term: number): string {
		if (!this.instance.isPrimary && term > this.instance.term) {
			this.instance.fencedForTerm = term;
		}

		return this._statusResponse();
	}

	private _resume(): string {
		this.instance.fencedForTerm = 0;
		return this._statusResponse();
	}

	private _stepDown(term: number): string {
		if (this.instance.isPrimary && term > this.instance.term) {
			this.instance.isPrimary = false;
		}

		return this._statusResponse();
	}

	private _wasDemoted(): boolean {
		const transaction = this._transaction;
		return transaction !== undefined && !transaction.isReadOnly && (!this.instance.isPrimary || this.instance.term !== transaction.term);
	}

	private _failTransaction(): string {
		if (this._transaction) {
			this._transaction.isFailed = true;
		}

		return this._readOnlyError();
	}

	private _readOnlyError(): string {
		return `ERROR READONLY ${this.instance.id}\r\n`;
	}

	/** Returns the text of a success: the instance and the session values that the statement ran with, so that tests can check them. */
	private _digest(): string {
		return `${this.instance.id}|${[...this.values].map(([name, value]) => `${name}=${value}`).toSorted().join(',')}`;
	}
}

function complete(digest: string): string {
	return `COMPLETE ${digest}\r\n`;
}
