/**
 * A caller that writes items of its own and reads them over any node for the duration of a run.
 */
import {setTimeout as pause} from 'node:timers/promises';
import type {Random} from '../../src/common/services/services.js';
import type {Finding} from '../findings.js';
import {ConnectionLostError, LineClient} from '../../standins/line/processes/line-client.js';
import type {ClientAnswer} from '../../standins/line/processes/line-client.js';
import {databases, maximumAgeMs} from '../../standins/line/processes/line-system.js';
import {OwnedItem} from './owned-item.js';

/** Error codes which promise that nothing of a request takes effect. */
const notRunCodes: ReadonlySet<string> = new Set(['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'REDIRECT', 'TOOMANY', 'NODB', 'MALFORMED', 'NOSTMT']);

/** Pause between two operations, and before reconnecting after a lost connection, in milliseconds. */
const pausesMs = {operation: 5, reconnect: 50} as const;

/** Parameters and callbacks of a caller. */
export type CallerInputs = {
	readonly name: string;
	readonly random: Random;
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
type Operation = (kind: Kind, client: LineClient) => Promise<void>;

/** Runs operations one after the other, over one connection at a time. */
export class SoakCaller {
	readonly counts = new Map<string, number>();
	private readonly _inputs: CallerInputs;
	private readonly _retired: OwnedItem[] = [];
	private _item: OwnedItem;
	private _statements = 0;
	/** Value that this connection wrote last to the item and that was acknowledged; 0 if there is none. */
	private _lastWrittenValue = 0;
	private readonly _operations: Readonly<Record<string, Operation>> = {
		write: async (kind, client) => this._write(client),
		transaction: async (kind, client) => this._transaction(client),
		read: async (kind, client) => this._read(kind, client),
	};

	constructor(inputs: CallerInputs) {
		this._inputs = inputs;
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
		this._lastWrittenValue = 0;
		try {
			const operations = 5 + Math.floor(this._inputs.random.next() * 40);
			for (let count = 0; count < operations && !signal.aborted && client.isOpen; count++) {
				const name = kind === 'aged' ? 'read' : this._pick(['write', 'transaction', 'read', 'read', 'read'] as const);
				await this._operations[name](kind, client);
				await pause(pausesMs.operation);
			}
		} finally {
			client.close();
		}
	}

	private async _write(client: LineClient): Promise<void> {
		await this._attemptWrite(async (id, item, value) => this._query(client, {id, operation: id}, `WRITE ${item} ${value}`));
	}

	private async _transaction(client: LineClient): Promise<void> {
		await this._attemptWrite(async (id, item, value) => {
			const steps = ['BEGIN', `READ ${item}`, `WRITE ${item} ${value}`];
			for (const [index, text] of steps.entries()) {
				const answer = await this._query(client, {id: `${id}-${index}`, operation: id}, text);
				if (answer.code !== '') {
					// A transaction whose COMMIT was never sent has no effect.
					await client.query(`${id}-r`, 'ROLLBACK');
					return {...answer, code: 'ABORTED'};
				}
			}

			return this._query(client, {id, operation: id}, 'COMMIT');
		});
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

	private async _read(kind: Kind, client: LineClient): Promise<void> {
		const item = this._item;
		const acknowledged = item.minimumValue(kind === 'primary' ? 0 : maximumAgeMs);
		const id = this._nextId('r');
		const answer = await this._query(client, {id, operation: id}, `READ ${item.name}`);
		this._count(answer.code === '' ? 'read' : answer.code);
		if (answer.code === '') {
			const observed = Number(answer.rows.at(0) ?? 0);
			const minimum = kind === 'own' ? Math.max(acknowledged, this._lastWrittenValue) : acknowledged;
			const [instance] = answer.digest.split('|');
			item.check(observed, minimum, `${this._inputs.name} at ${databases[kind]}, served by ${instance},`);
		}
	}

	private async _query(client: LineClient, {id, operation}: {readonly id: string; readonly operation: string}, text: string): Promise<ClientAnswer> {
		this._inputs.onSent?.(id, operation);
		return client.query(id, text);
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
