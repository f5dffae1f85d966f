/**
 * Writers that record how every write was answered.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {DatabaseError} from 'pg';
import type {ProxyClient} from '../proxy-client.js';

/** Outcome of a write as its caller knows it: a `refused` write did not run, an `unknown` one may have run. */
export type WriteOutcome = 'acknowledged' | 'refused' | 'unknown';

/** Outcome of a write that was answered with an error of its connection or statement. */
export function outcomeOf(error: unknown): WriteOutcome {
	const hint = error instanceof DatabaseError ? error.hint ?? '' : '';
	return /\boutcome=notRun\b/v.test(hint) ? 'refused' : 'unknown';
}

function textOf(error: unknown): string {
	return error instanceof DatabaseError ? `${error.code ?? ''} ${error.message} (${error.detail ?? ''}; ${error.hint ?? ''})` : String(error);
}

const pauseMs = 2;

/** The outcomes of many writes, each with a unique name, in a table without keys, so that a write that ran twice leaves two rows. */
export class Ledger {
	/** Outcome by the name of the write. */
	readonly outcomes = new Map<string, WriteOutcome>();
	/** Text of the error by the name of the write that it answered. */
	readonly errors = new Map<string, string>();
	private readonly _writers: Array<Promise<void>> = [];
	private _isOver = false;

	/** Adds a writer, which writes until `end` is called, and connects again when its connection has ended. */
	addWriter(name: string, connect: () => Promise<ProxyClient>): void {
		this._writers.push(this._write(name, connect));
	}

	/** Number of acknowledged writes. */
	get acknowledgedCount(): number {
		return this._namesOf('acknowledged').length;
	}

	/** Stops the writers; resolves once each has its last answer. */
	async end(): Promise<void> {
		this._isOver = true;
		await Promise.all(this._writers);
	}

	/** Describes each write whose number of rows contradicts its outcome. */
	contradictions(rows: ReadonlyArray<{readonly name: string}>): readonly string[] {
		const counts = new Map<string, number>();
		for (const {name} of rows) {
			counts.set(name, (counts.get(name) ?? 0) + 1);
		}

		const allowed: Record<WriteOutcome, readonly number[]> = {acknowledged: [1], refused: [0], unknown: [0, 1]};
		return [...this.outcomes]
			.map(([name, outcome]) => ({name, outcome, count: counts.get(name) ?? 0}))
			.filter(({outcome, count}) => !allowed[outcome].includes(count))
			.map(({name, outcome, count}) => `${name} was ${outcome} and is there ${count} times: ${this.errors.get(name) ?? 'no error'}`);
	}

	private async _write(writer: string, connect: () => Promise<ProxyClient>): Promise<void> {
		let client: ProxyClient | undefined;
		for (let number = 0; !this._isOver; number++) {
			try {
				client = client === undefined || client.isEnded ? await connect() : client;
			} catch {
				// The node is down or has not restarted yet.
				await pause(pauseMs);
				continue;
			}

			client = await this._writeOnce(client, `${writer}-${number}`);
			await pause(pauseMs);
		}
	}

	private async _writeOnce(client: ProxyClient, name: string): Promise<ProxyClient | undefined> {
		try {
			await client.query('INSERT INTO ledger VALUES ($1)', [name]);
			this.outcomes.set(name, 'acknowledged');
			return client;
		} catch (error) {
			this.outcomes.set(name, outcomeOf(error));
			this.errors.set(name, textOf(error));
			await client.end();
			return undefined;
		}
	}

	private _namesOf(wanted: WriteOutcome): readonly string[] {
		return [...this.outcomes].filter(([, outcome]) => outcome === wanted).map(([name]) => name);
	}
}
