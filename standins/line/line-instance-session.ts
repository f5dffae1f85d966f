/**
 * One connection to an instance of the stand-in, with its transaction, session values and prepared
 * statements. It runs the statements of the platform's line protocol.
 */
import type {LineInstance} from './line-group.js';

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
	readonly values = new Map<string, string>();
	readonly prepared = new Map<string, {isWrite: boolean; shape: string}>();
	private _transaction: Transaction | undefined;
	private _onEnd: (() => void) | undefined;
	/** Id of the statement in progress. */
	private _id = '';

	private readonly _handlers: Readonly<Record<string, (rest: string, floor: string | undefined) => string>> = {
		BEGIN: (rest, minimumPosition) => this._begin(rest === 'READ', minimumPosition),
		COMMIT: () => this._commit(),
		ROLLBACK: () => this._rollBack(),
		READ: (rest, minimumPosition) => this._read(rest, minimumPosition),
		WRITE: rest => this._write(rest),
		SET: rest => this._set(rest),
		PREPARE: rest => this._prepare(rest),
		EXECUTE: (rest, minimumPosition) => this._execute(rest, minimumPosition),
		DEALLOC: rest => this._deallocate(rest),
		DISCARD: () => this._discard(),
		STATUS: () => this._statusResponse(),
		PAUSE: rest => this._fence(Number(rest)),
		RESUME: () => this._resume(),
		STEPDOWN: rest => this._stepDown(Number(rest)),
	};

	constructor(instance: LineInstance, user: string) {
		this.instance = instance;
		this.user = user;
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
		const {floor, statement} = splitMinimumPosition(text);
		const [word, rest] = splitWord(statement);
		const handler = Object.hasOwn(this._handlers, word) ? this._handlers[word] : undefined;
		const isRun = id !== '-';
		if (isRun) {
			this.instance.recordRun(id, this.user);
		}

		this._id = id;

		const body = handler ? handler(rest, floor) : 'ERROR MALFORMED unknown statement\r\n';
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

		this._transaction = {
			isReadOnly, items: new Map(), term: this.instance.term, isFailed: false,
		};
		return complete('-');
	}

	private _commit(): string {
		const transaction = this._transaction;
		this._transaction = undefined;
		if (!transaction || transaction.isFailed) {
			return 'ERROR MALFORMED no transaction\r\n';
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

	private _write(rest: string): string {
		if (!this.instance.isPrimary || this._transaction?.isReadOnly === true || this._wasDemoted()) {
			return this._failTransaction();
		}

		const [item, data] = splitWord(rest);
		if (this._transaction) {
			this._transaction.items.set(item, data);
		} else {
			this.instance.append(this._id, new Map([[item, data]]));
		}

		return complete(this._digest());
	}

	private _set(rest: string): string {
		const [name, value] = splitWord(rest);
		this.values.set(name, value);
		return complete('-');
	}

	private _prepare(rest: string): string {
		const [name, described] = splitWord(rest);
		const [kind, shape] = splitWord(described);
		this.prepared.set(name, {isWrite: kind === 'WRITE', shape});
		return complete('-');
	}

	private _execute(rest: string, minimumPosition: string | undefined): string {
		const [name, parameters] = splitWord(rest);
		const prepared = this.prepared.get(name);
		if (!prepared) {
			return `ERROR NOSTMT ${name}\r\n`;
		}

		this.instance.executions.set(this._id, {...prepared, parameters});
		return prepared.isWrite ? this._write(parameters) : this._read(parameters, minimumPosition);
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

function splitMinimumPosition(text: string): {floor: string | undefined; statement: string} {
	const [word, rest] = splitWord(text);
	if (word !== 'AFTERLSN') {
		return {floor: undefined, statement: text};
	}

	const [floor, statement] = splitWord(rest);
	return {floor, statement};
}

function splitWord(text: string): [string, string] {
	const end = text.indexOf(' ');
	return end === -1 ? [text, ''] : [text.slice(0, end), text.slice(end + 1)];
}
