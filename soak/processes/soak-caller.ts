/**
 * A caller that writes items of its own and reads them over any node for the duration of a run, and
 * sends statements with odd texts between.
 */
import {setTimeout as pause} from 'node:timers/promises';
import type {Random} from '../../src/common/services/services.js';
import type {Finding} from '../findings.js';
import {CallerRecord} from '../../standins/line/caller-record.js';
import type {SessionStatement} from '../../standins/line/caller-record.js';
import {OddStatements} from '../../standins/line/odd-statements.js';
import type {RanAsSent} from '../../standins/line/ran-as-sent.js';
import {ConnectionLostError, LineClient} from '../../standins/line/processes/line-client.js';
import type {ClientAnswer} from '../../standins/line/processes/line-client.js';
import {databases, maximumAgeMs} from '../../standins/line/processes/line-system.js';
import {OwnedItem} from './owned-item.js';

/** Error codes which promise that nothing of a request takes effect. */
const notRunCodes: ReadonlySet<string> = new Set(['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'REDIRECT', 'TOOMANY', 'NODB', 'MALFORMED', 'NOSTMT']);

/** Pause between two operations, and before reconnecting after a lost connection, in milliseconds. */
const pausesMs = {operation: 5, reconnect: 50} as const;

/** Share of the odd transactions' statements before which the caller leaves, and of statements that use a prepared one if there is any. */
const shares = {leave: 0.05, prepared: 0.4} as const;

/** Statements after whose error a caller closes its session. */
const sessionStatements: ReadonlySet<SessionStatement['kind']> = new Set(['set', 'prepare', 'deallocate']);

/** Parameters and callbacks of a caller. */
export type CallerInputs = {
	readonly name: string;
	readonly random: Random;
	/** Chooses the odd statements, so that a seed's other choices stay the same. */
	readonly oddRandom: Random;
	/** Compares what the caller sends with what runs. */
	readonly checks: RanAsSent;
	/** Addresses at which nodes accept callers. */
	readonly addresses: ReadonlyArray<{readonly host: string; readonly port: number}>;
	readonly report: (finding: Finding) => void;
	/** Called with the id of each write when it is sent, and again when it is acknowledged. */
	readonly onWrite: (id: string, isAcknowledged: boolean) => void;
	/** API key that the caller presents; undefined where callers need none. */
	readonly key?: string;
	/** Called with the id of each statement when it is sent, and with the operation that it is part of. */
	readonly onSent?: (id: string, operation: string) => void;
	/** Whether faults kept a write that took effect from reaching any replica, so that it may be lost with its primary. */
	readonly mayBeLost: (id: string) => boolean;
};

type Kind = keyof typeof databases;
type Operation = (kind: Kind, session: Session) => Promise<void>;

/** A session with a node, and what was sent in it. */
type Session = {readonly client: LineClient; readonly record: CallerRecord};

type StatementIds = {readonly id: string; readonly operation: string};

/** Runs operations one after the other, over one connection at a time. */
export class SoakCaller {
	readonly counts = new Map<string, number>();
	private readonly _inputs: CallerInputs;
	private readonly _retired: OwnedItem[] = [];
	private _item: OwnedItem;
	private readonly _odd: OddStatements;
	private _statements = 0;
	private _sessions = 0;
	/** Value that this connection wrote last to the item and that was acknowledged; 0 if there is none. */
	private _lastWrittenValue = 0;
	private readonly _operations: Readonly<Record<string, Operation>> = {
		write: async (kind, session) => this._write(session),
		transaction: async (kind, session) => this._transaction(session),
		read: async (kind, session) => this._read(kind, session),
	};

	constructor(inputs: CallerInputs) {
		this._inputs = inputs;
		this._odd = new OddStatements(inputs.oddRandom);
		this._item = this._newItem();
	}

	/** Every item of this caller, including retired ones. */
	get items(): readonly OwnedItem[] {
		return [...this._retired, this._item];
	}

	/** Runs sessions until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const kind = this._pick(['primary', 'aged', 'own'] as const);
			try {
				await this._runSession(kind, signal);
			} catch (error) {
				if (!(error instanceof ConnectionLostError)) {
					throw error;
				}

				this._count('connection lost');
				await pause(pausesMs.reconnect);
			}
		}
	}

	private async _runSession(kind: Kind, signal: AbortSignal): Promise<void> {
		const {host, port} = this._pick(this._inputs.addresses);
		const client = await LineClient.open(host, port, databases[kind], this._inputs.key);
		this._sessions += 1;
		const session = {client, record: new CallerRecord(`${this._inputs.name}.${this._sessions}`, this._inputs.checks)};
		this._lastWrittenValue = 0;
		try {
			const operations = 5 + Math.floor(this._inputs.random.next() * 40);
			for (let count = 0; count < operations && !signal.aborted && client.isOpen; count++) {
				const name = kind === 'aged' ? 'read' : this._pick(['write', 'transaction', 'read', 'read', 'read'] as const);
				await this._operations[name](kind, session);
				await this._runOdd(kind, session);
				await pause(pausesMs.operation);
			}
		} finally {
			client.close();
		}
	}

	private async _write(session: Session): Promise<void> {
		await this._attemptWrite(async (id, item, value) => this._query(session, {id, operation: id}, this._writeOf(session, item, value)));
	}

	private async _transaction(session: Session): Promise<void> {
		await this._attemptWrite(async (id, item, value) => {
			const steps: readonly SessionStatement[] = [{kind: 'begin', isReadOnly: false}, this._readOf(session, item), this._writeOf(session, item, value)];
			for (const [index, statement] of steps.entries()) {
				const answer = await this._query(session, {id: `${id}-${index}`, operation: id}, statement);
				if (answer.code !== '') {
					// A transaction whose COMMIT was never sent has no effect.
					await this._query(session, {id: `${id}-r`, operation: id}, {kind: 'rollback'});
					return {...answer, code: 'ABORTED'};
				}
			}

			return this._query(session, {id, operation: id}, {kind: 'commit'});
		});
	}

	/** Sends one odd statement, or a transaction of them, in the middle of which the caller may leave. */
	private async _runOdd(kind: Kind, session: Session): Promise<void> {
		const {client, record} = session;
		const operation = this._nextId('o');
		do {
			if (record.isInTransaction && this._inputs.oddRandom.next() < shares.leave) {
				this._count('left in a transaction');
				client.close();
				return;
			}

			const statement = this._odd.next(record, kind !== 'aged');
			const id = this._nextId('o');
			this._inputs.onWrite(id, false);
			const {code} = await this._query(session, {id, operation}, statement);
			this._count(code === '' ? `odd ${statement.kind}` : code);
			if (code === '') {
				this._inputs.onWrite(id, true);
			} else if (record.isInTransaction) {
				await this._query(session, {id: `${id}-r`, operation}, {kind: 'rollback'});
			} else if (sessionStatements.has(statement.kind)) {
				client.close();
			}
		} while (record.isInTransaction);
	}

	/** Writes the next value once. The caller never retries: without an answer the outcome counts as unknown. */
	private async _attemptWrite(work: (id: string, item: string, value: number) => Promise<ClientAnswer>): Promise<void> {
		const item = this._item;
		const attempt = item.begin();
		const id = this._nextId('w');
		this._inputs.onWrite(id, false);
		try {
			const {code} = await work(id, item.name, attempt.value);
			this._count(code === '' ? 'written' : code);
			if (code === '') {
				this._inputs.onWrite(id, true);
			}

			// A write that no replica confirmed may be lost when its primary is replaced, as the documentation says: its outcome counts as unknown.
			item.end(attempt, code === '' && this._inputs.mayBeLost(id) ? 'unknown' : outcomeOf(code));
		} catch (error) {
			item.end(attempt, 'unknown');
			this._retireItem();
			throw error;
		}

		if (attempt.outcome === 'acknowledged') {
			this._lastWrittenValue = attempt.value;
		} else if (attempt.outcome === 'unknown') {
			this._retireItem();
		}
	}

	private async _read(kind: Kind, session: Session): Promise<void> {
		const item = this._item;
		const acknowledged = item.minimumValue(kind === 'primary' ? 0 : maximumAgeMs);
		const id = this._nextId('r');
		const answer = await this._query(session, {id, operation: id}, this._readOf(session, item.name));
		this._count(answer.code === '' ? 'read' : answer.code);
		if (answer.code === '') {
			const observed = Number(answer.rows.at(0) ?? 0);
			const minimum = kind === 'own' ? Math.max(acknowledged, this._lastWrittenValue) : acknowledged;
			const [instance] = answer.digest.split('|');
			item.check(observed, minimum, `${this._inputs.name} at ${databases[kind]}, served by ${instance},`);
		}
	}

	private async _query({client, record}: Session, {id, operation}: StatementIds, statement: SessionStatement): Promise<ClientAnswer> {
		this._inputs.onSent?.(id, operation);
		const answer = await client.query(id, record.send(id, statement));
		record.noteAnswer(statement, answer.code === '');
		return answer;
	}

	private _readOf(session: Session, item: string): SessionStatement {
		return this._executeOf(session, false, item) ?? {kind: 'read', item};
	}

	private _writeOf(session: Session, item: string, value: number): SessionStatement {
		return this._executeOf(session, true, `${item} ${value}`) ?? {kind: 'write', item, data: String(value)};
	}

	/** An EXECUTE of a prepared statement of the session; undefined if there is none or at times. */
	private _executeOf({record}: Session, isWrite: boolean, parameters: string): SessionStatement | undefined {
		const [name] = [...record.prepared].find(([, prepared]) => prepared.isWrite === isWrite) ?? [];
		return name !== undefined && this._inputs.oddRandom.next() < shares.prepared ? {kind: 'execute', name, parameters} : undefined;
	}

	/** Starts a new item after a write with an unknown outcome: its late effect could overwrite a later write. */
	private _retireItem(): void {
		this._retired.push(this._item);
		this._item = this._newItem();
	}

	private _newItem(): OwnedItem {
		this._lastWrittenValue = 0;
		return new OwnedItem(`${this._inputs.name}-${this._retired.length}`, this._inputs.report);
	}

	private _nextId(kind: string): string {
		this._statements += 1;
		return `${kind}-${this._inputs.name}-${this._statements}`;
	}

	private _pick<T>(choices: readonly T[]): T {
		return choices[Math.floor(this._inputs.random.next() * choices.length)];
	}

	private _count(what: string): void {
		this.counts.set(what, (this.counts.get(what) ?? 0) + 1);
	}
}

function outcomeOf(code: string): 'acknowledged' | 'notRun' | 'unknown' {
	if (code === '') {
		return 'acknowledged';
	}

	return notRunCodes.has(code) ? 'notRun' : 'unknown';
}
