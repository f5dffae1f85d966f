/**
 * Decodes the values of bound parameters, in text or binary format.
 */
import type {SqlValue} from '../types.js';
import {SqlError} from '../sql/sql-error.js';
import type {SqlType} from '../sql/sql-types.js';
import {asReadable, type ReadableBytes} from './bytes.js';

const binaryReaders: Readonly<Record<string, (bytes: ReadableBytes) => SqlValue>> = {
	bool: bytes => bytes[0] !== 0,
	int2: bytes => bytes.readInt16BE(0),
	int4: bytes => bytes.readInt32BE(0),
	int8: bytes => Number(bytes.readBigInt64BE(0)),
	float4: bytes => bytes.readFloatBE(0),
	float8: bytes => bytes.readDoubleBE(0),
	text: bytes => bytes.toString('utf8'),
	varchar: bytes => bytes.toString('utf8'),
	bpchar: bytes => bytes.toString('utf8'),
	json: bytes => bytes.toString('utf8'),
};

/** Decodes one parameter that is not NULL. */
export function readParameter(bytes: Uint8Array, type: SqlType, isBinary: boolean): SqlValue {
	if (!isBinary) {
		return type.read(asReadable(bytes).toString('utf8'));
	}

	const reader = binaryReaders[type.name] as ((bytes: ReadableBytes) => SqlValue) | undefined;
	if (!reader) {
		throw new SqlError('0A000', `binary parameters of type ${type.name} are not supported by the endpoint stand-in`);
	}

	return reader(asReadable(bytes));
}
