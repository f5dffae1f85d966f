/**
 * Types of columns and expressions: their OIDs in the protocol and their text format.
 */
import type {SqlValue} from '../types.js';
import {SqlError} from './sql-error.js';

/** Categories of types; only values of one category can be compared. */
export type TypeCategory = 'number' | 'text' | 'boolean' | 'time' | 'void' | 'unknown' | 'array';

/** One type. */
export type SqlType = {
	readonly name: string;
	readonly oid: number;
	/** Size that RowDescription reports; -1 for variable, -2 for a zero-terminated string. */
	readonly size: number;
	readonly category: TypeCategory;
	/** Parses a value in text format; throws a SqlError if it is invalid. */
	readonly read: (text: string) => SqlValue;
};

function invalidText(type: string, text: string): SqlError {
	return new SqlError('22P02', `invalid input syntax for type ${type}: "${text}"`);
}

function integerReader(name: string, minimum: number, maximum: number): (text: string) => number {
	return text => {
		const value = Number(text);
		if (!/^\s*[+\-]?\d+\s*$/v.test(text)) {
			throw invalidText(name, text);
		}

		if (value < minimum || value > maximum) {
			throw new SqlError('22003', `value "${text}" is out of range for type ${name}`);
		}

		return value;
	};
}

function numberReader(name: string): (text: string) => number {
	return text => {
		const value = Number(text);
		if (text.trim() === '' || (Number.isNaN(value) && text.trim().toLowerCase() !== 'nan')) {
			throw invalidText(name, text);
		}

		return value;
	};
}

const booleanTexts: ReadonlyMap<string, boolean> = new Map([
	...['t', 'true', 'y', 'yes', 'on', '1'].map(text => [text, true] as const),
	...['f', 'false', 'n', 'no', 'off', '0'].map(text => [text, false] as const),
]);

function readBoolean(text: string): boolean {
	const value = booleanTexts.get(text.trim().toLowerCase());
	if (value === undefined) {
		throw invalidText('boolean', text);
	}

	return value;
}

/** Formats a time in canonical form: in UTC with milliseconds, so that the order of the texts is the order of the times. */
export function formatTimestamp(wallClockMs: number, hasZone: boolean): string {
	const text = new Date(wallClockMs).toISOString().replace('T', ' ').replace('Z', '');
	return hasZone ? `${text}+00` : text;
}

function timeReader(name: string, hasZone: boolean): (text: string) => string {
	return text => {
		const trimmed = text.trim();
		const isZoned = /(?:Z|[+\-]\d{2}(?::?\d{2})?)$/v.test(trimmed) && trimmed.includes(':');
		const normal = trimmed.replace(' ', 'T').replace(/([+\-]\d{2})$/v, '$1:00');
		const timeMs = Date.parse(isZoned && hasZone ? normal : `${normal.replace(/(?:Z|[+\-]\d{2}:\d{2})$/v, '')}${normal.includes('T') ? 'Z' : ''}`);
		if (Number.isNaN(timeMs)) {
			throw new SqlError('22007', `invalid input syntax for type ${name}: "${text}"`);
		}

		return formatTimestamp(timeMs, hasZone);
	};
}

function readDate(text: string): string {
	const timeMs = Date.parse(text.trim().slice(0, 10));
	if (Number.isNaN(timeMs)) {
		throw new SqlError('22007', `invalid input syntax for type date: "${text}"`);
	}

	return formatTimestamp(timeMs, false).slice(0, 10);
}

const readText = (text: string): string => text;

/** Every supported type by its internal name. */
export const sqlTypes = {
	bool: {
		name: 'bool', oid: 16, size: 1, category: 'boolean', read: readBoolean,
	},
	bytea: {
		name: 'bytea', oid: 17, size: -1, category: 'text', read: readText,
	},
	int8: {
		name: 'int8', oid: 20, size: 8, category: 'number', read: integerReader('bigint', Number.MIN_SAFE_INTEGER, Number.MAX_SAFE_INTEGER),
	},
	int2: {
		name: 'int2', oid: 21, size: 2, category: 'number', read: integerReader('smallint', -32_768, 32_767),
	},
	int4: {
		name: 'int4', oid: 23, size: 4, category: 'number', read: integerReader('integer', -2_147_483_648, 2_147_483_647),
	},
	text: {
		name: 'text', oid: 25, size: -1, category: 'text', read: readText,
	},
	json: {
		name: 'json', oid: 114, size: -1, category: 'text', read: readText,
	},
	float4: {
		name: 'float4', oid: 700, size: 4, category: 'number', read: numberReader('real'),
	},
	float8: {
		name: 'float8', oid: 701, size: 8, category: 'number', read: numberReader('double precision'),
	},
	unknown: {
		name: 'unknown', oid: 705, size: -2, category: 'unknown', read: readText,
	},
	bpchar: {
		name: 'bpchar', oid: 1042, size: -1, category: 'text', read: readText,
	},
	varchar: {
		name: 'varchar', oid: 1043, size: -1, category: 'text', read: readText,
	},
	date: {
		name: 'date', oid: 1082, size: 4, category: 'time', read: readDate,
	},
	timestamp: {
		name: 'timestamp', oid: 1114, size: 8, category: 'time', read: timeReader('timestamp', false),
	},
	timestamptz: {
		name: 'timestamptz', oid: 1184, size: 8, category: 'time', read: timeReader('timestamp with time zone', true),
	},
	numeric: {
		name: 'numeric', oid: 1700, size: -1, category: 'number', read: numberReader('numeric'),
	},
	void: {
		name: 'void', oid: 2278, size: 4, category: 'void', read: readText,
	},
	uuid: {
		name: 'uuid', oid: 2950, size: 16, category: 'text', read: text => text.toLowerCase(),
	},
	jsonb: {
		name: 'jsonb', oid: 3802, size: -1, category: 'text', read: readText,
	},
} as const satisfies Record<string, SqlType>;

const typesByName: ReadonlyMap<string, SqlType> = new Map<string, SqlType>(Object.values(sqlTypes).map(type => [type.name, type]));
const typesByOid: ReadonlyMap<number, SqlType> = new Map<number, SqlType>(Object.values(sqlTypes).map(type => [type.oid, type]));

/** Serial types by name, with the integer type of their values. */
export const serialTypes: ReadonlyMap<string, SqlType> = new Map<string, SqlType>([
	['smallserial', sqlTypes.int2],
	['serial', sqlTypes.int4],
	['serial4', sqlTypes.int4],
	['bigserial', sqlTypes.int8],
	['serial8', sqlTypes.int8],
]);

/** Finds a type by its internal name; throws if there is none. */
export function typeNamed(name: string): SqlType {
	const type = typesByName.get(name);
	if (!type) {
		throw new SqlError('42704', `type "${name}" does not exist`);
	}

	return type;
}

/** Finds a type by its OID; undefined if the client leaves the type unspecified. */
export function typeOfOid(oid: number): SqlType | undefined {
	if (oid === 0 || oid === sqlTypes.unknown.oid) {
		return undefined;
	}

	const type = typesByOid.get(oid);
	if (!type) {
		throw new SqlError('0A000', `parameters of type ${oid} are not supported by the endpoint stand-in`);
	}

	return type;
}

/** Formats a value that is not NULL as text. */
export function formatValue(value: string | number | boolean): string {
	if (typeof value === 'string') {
		return value;
	}

	return typeof value === 'boolean' ? (value ? 't' : 'f') : formatNumber(value);
}

function formatNumber(value: number): string {
	return Number.isFinite(value) ? String(value) : String(value).replace('Infinity', 'Infinity');
}

const integerRanges: ReadonlyMap<string, number> = new Map([['int2', 32_767], ['int4', 2_147_483_647], ['int8', Number.MAX_SAFE_INTEGER]]);

/** Converts a value from one type to another, as an assignment or a cast does. */
export function convertValue(value: SqlValue, from: SqlType, to: SqlType): SqlValue {
	if (value === undefined || (from.name === to.name && typeof value !== 'number')) {
		return value;
	}

	if (to.category === 'number' && typeof value === 'number') {
		return fitNumber(value, to);
	}

	if (to.category === 'boolean' && typeof value === 'number') {
		return value !== 0;
	}

	if (to.category === 'number' && typeof value === 'boolean') {
		return value ? 1 : 0;
	}

	if (to.name === 'text' && typeof value === 'boolean') {
		return value ? 'true' : 'false';
	}

	return to.read(formatValue(value));
}

function fitNumber(value: number, to: SqlType): number {
	const limit = integerRanges.get(to.name);
	if (limit === undefined) {
		return value;
	}

	const rounded = Math.round(value);
	if (Math.abs(rounded) > limit + (to.name === 'int8' ? 0 : 1) || rounded > limit) {
		throw new SqlError('22003', `${to.name === 'int4' ? 'integer' : (to.name === 'int2' ? 'smallint' : 'bigint')} out of range`);
	}

	return rounded;
}
