/**
 * Scalar functions.
 */
/* eslint-disable @typescript-eslint/naming-convention -- keys are node kinds of the parse tree and names of the protocol. */
import type {SqlValue} from '../types.js';
import {
	coerce, resolveUnknownType, type Evaluation, type Expression,
} from './expression.js';
import {SqlError} from './sql-error.js';
import {
	formatTimestamp, formatValue, sqlTypes, type SqlType,
} from './sql-types.js';

type NonNullValue = Exclude<SqlValue, undefined>;

type SqlFunction = {
	readonly minimum: number;
	readonly maximum: number;
	/** Type of the result; by default the type of the first argument. */
	readonly type?: SqlType;
	/** Type that the arguments are converted to; by default they keep their types. */
	readonly argument?: SqlType;
	readonly apply: (values: NonNullValue[], evaluation: Evaluation) => SqlValue;
	/** Whether NULL arguments are skipped; by default the result is NULL if any argument is. */
	readonly skipsNull?: boolean;
};

const {text, int4, float8, timestamptz, bool, int8} = sqlTypes;

function textFunction(count: number, apply: (...values: string[]) => SqlValue, type: SqlType = text): SqlFunction {
	return {
		minimum: count, maximum: count, type, apply: values => apply(...values.map(value => formatValue(value))),
	};
}

function numberFunction(apply: (value: number) => number): SqlFunction {
	return {minimum: 1, maximum: 1, apply: ([value]) => apply(Number(value))};
}

function sessionFunction(type: SqlType, apply: (evaluation: Evaluation) => SqlValue): SqlFunction {
	return {
		minimum: 0, maximum: 0, type, apply: (_values, evaluation) => apply(evaluation),
	};
}

function roundTo(value: number, digits: number): number {
	const scale = 10 ** digits;
	return Math.sign(value) * Math.round(Math.abs(value) * scale) / scale;
}

function substring(value: string, start: number, length: number): string {
	return value.slice(Math.max(0, start - 1), Math.max(0, start - 1 + length));
}

const transactionTime = sessionFunction(timestamptz, ({facts}) => formatTimestamp(facts.transactionTimeMs, true));

/** Functions by name. */
const functions: Readonly<Record<string, SqlFunction>> = {
	lower: textFunction(1, value => value.toLowerCase()),
	upper: textFunction(1, value => value.toUpperCase()),
	length: textFunction(1, value => value.length, int4),
	char_length: textFunction(1, value => value.length, int4),
	btrim: textFunction(1, value => value.trim()),
	ltrim: textFunction(1, value => value.trimStart()),
	rtrim: textFunction(1, value => value.trimEnd()),
	replace: textFunction(3, (value, from, to) => value.replaceAll(from, to)),
	repeat: textFunction(2, (value, count) => value.repeat(Math.max(0, Number(count)))),
	left: textFunction(2, (value, count) => value.slice(0, Number(count))),
	right: textFunction(2, (value, count) => Number(count) === 0 ? '' : value.slice(-Number(count))),
	substring: {
		minimum: 2, maximum: 3, type: text, apply: ([value, start, length]) => substring(formatValue(value), Number(start), Number(length ?? Number.MAX_SAFE_INTEGER)),
	},
	concat: {
		minimum: 1, maximum: 100, type: text, skipsNull: true, apply: values => values.map(value => formatValue(value)).join(''),
	},
	abs: numberFunction(value => Math.abs(value)),
	ceil: numberFunction(value => Math.ceil(value)),
	floor: numberFunction(value => Math.floor(value)),
	round: {minimum: 1, maximum: 2, apply: ([value, digits]) => roundTo(Number(value), Number(digits ?? 0))},
	mod: {minimum: 2, maximum: 2, apply: ([a, b]) => Number(a) % Number(b)},
	random: sessionFunction(float8, ({facts}) => facts.random()),
	now: transactionTime,
	transaction_timestamp: transactionTime,
	statement_timestamp: transactionTime,
	clock_timestamp: sessionFunction(timestamptz, ({facts}) => formatTimestamp(facts.wallClockMs(), true)),
	version: sessionFunction(text, () => 'PostgreSQL 16.0 (endpoint stand-in)'),
	current_database: sessionFunction(text, ({facts}) => facts.database),
	pg_backend_pid: sessionFunction(int4, ({facts}) => facts.processId),
	pg_is_in_recovery: sessionFunction(bool, ({facts}) => facts.isReplica),
	current_setting: {
		minimum: 1, maximum: 2, type: text, argument: text, apply: ([name], {facts}) => facts.setting(String(name)),
	},
	gen_random_uuid: sessionFunction(sqlTypes.uuid, ({facts}) => randomUuid(facts)),
	txid_current: sessionFunction(int8, () => 0),
};

function randomUuid(facts: {random(): number}): string {
	return 'xxxxxxxx-xxxx-4xxx-8xxx-xxxxxxxxxxxx'.replaceAll('x', () => Math.floor(facts.random() * 16).toString(16));
}

const aliases: Readonly<Record<string, string>> = {
	substr: 'substring', ceiling: 'ceil', character_length: 'char_length', trim: 'btrim',
};

/** Compiles a call of a function. */
export function callFunction(name: string, rawArguments: readonly Expression[]): Expression {
	const definition = functions[aliases[name] ?? name] as SqlFunction | undefined;
	if (!definition || rawArguments.length < definition.minimum || rawArguments.length > definition.maximum) {
		throw new SqlError('42883', `function ${name}(${rawArguments.map(argument => argument.type.name).join(', ')}) does not exist`);
	}

	const parts = rawArguments.map(argument => definition.argument ? coerce(argument, definition.argument) : resolveUnknownType(argument));
	return {
		type: definition.type ?? parts[0].type,
		readsRow: parts.some(argument => argument.readsRow),
		evaluate(evaluation) {
			const values = parts.map(argument => argument.evaluate(evaluation));
			const present = values.filter(value => value !== undefined);
			return present.length < values.length && !definition.skipsNull ? undefined : definition.apply(present, evaluation);
		},
	};
}
