/**
 * Run-time parameters of one session, for SHOW and SET.
 */
/* eslint-disable @typescript-eslint/naming-convention -- keys are node kinds of the parse tree and names of the protocol. */
import type {VariableSetStmt} from 'libpg-query';
import {SqlError} from './sql-error.js';

/** Name of the encoding in the spelling of the protocol. */
const encoding = 'UTF8'; // eslint-disable-line unicorn/text-encoding-identifier-case -- the protocol's own spelling.

const defaults: Readonly<Record<string, string>> = {
	server_version: '16.0',
	server_encoding: encoding,
	client_encoding: encoding,
	datestyle: 'ISO, MDY',
	timezone: 'UTC',
	integer_datetimes: 'on',
	standard_conforming_strings: 'on',
	transaction_isolation: 'read committed',
	default_transaction_read_only: 'off',
	statement_timeout: '0',
	lock_timeout: '0',
	search_path: 'public',
	application_name: '',
};

/** Values of the run-time parameters: defaults, and what the session has set. */
export class SessionSettings {
	private readonly _overrides = new Map<string, string>();

	/** Value of a parameter; undefined if it does not exist. */
	value(name: string): string | undefined {
		return this._overrides.get(name.toLowerCase()) ?? defaults[name.toLowerCase()];
	}

	/** Value of a parameter; throws if it does not exist. */
	show(name: string): string {
		const value = this.value(name);
		if (value === undefined) {
			throw new SqlError('42704', `unrecognized configuration parameter "${name}"`);
		}

		return value;
	}

	/** Applies SET or RESET; any name is accepted. */
	apply(statement: VariableSetStmt): void {
		const name = (statement.name ?? '').toLowerCase();
		if (statement.kind === 'VAR_RESET_ALL') {
			this.reset();
		} else if (statement.kind === 'VAR_SET_VALUE') {
			this._overrides.set(name, argumentTexts(statement).join(', '));
		} else {
			this._overrides.delete(name);
		}
	}

	set(name: string, value: string): void {
		this._overrides.set(name, value);
	}

	reset(): void {
		this._overrides.clear();
	}
}

function argumentTexts(statement: VariableSetStmt): string[] {
	return (statement.args ?? []).map(node => {
		const constant = 'A_Const' in node ? node.A_Const : {};
		return constant.sval?.sval ?? constant.fval?.fval ?? String(constant.boolval?.boolval ?? constant.ival?.ival ?? 0);
	});
}
