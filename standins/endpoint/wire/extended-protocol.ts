/**
 * Prepared statements and portals of one connection.
 */
import type {Row, SqlValue} from '../types.js';
import type {StatementCache, ParsedStatement} from '../sql/planner.js';
import type {StatementDescription} from '../sql/session.js';
import {SqlError} from '../sql/sql-error.js';
import {typeOfOid, type SqlType} from '../sql/sql-types.js';
import {MessageReader} from './message-reader.js';
import {readParameter} from './parameters.js';

/** A prepared statement; `statement` is undefined for the empty query. */
export type PreparedStatement = {
	readonly statement: ParsedStatement | undefined;
	readonly declaredTypes: ReadonlyArray<SqlType | undefined>;
};

/** A bound statement, with its result and how many of the rows were sent; `rest` is undefined until it is executed. */
export type Portal = {
	readonly prepared: PreparedStatement;
	readonly parameters: readonly SqlValue[];
	rest: {readonly rows: readonly Row[]; readonly tag: string; sentCount: number} | undefined;
};

/** Content of Describe and Close: `S` for a statement or `P` for a portal, and its name. */
export type DescribeTarget = {
	readonly kind: string;
	readonly name: string;
};

/** Reads the body of a Describe or Close message. */
export function readDescribeTarget(body: Uint8Array): DescribeTarget {
	const reader = new MessageReader(body);
	return {kind: reader.byte(), name: reader.cString()};
}

/** Reads the body of an Execute message; a row limit of zero means no limit. */
export function readExecute(body: Uint8Array): {readonly name: string; readonly rowLimit: number} {
	const reader = new MessageReader(body);
	return {name: reader.cString(), rowLimit: reader.int32()};
}

/** Prepared statements and portals by name. */
export class ExtendedProtocol {
	private readonly _statements = new Map<string, PreparedStatement>();
	private readonly _portals = new Map<string, Portal>();
	private readonly _cache: StatementCache;

	constructor(cache: StatementCache) {
		this._cache = cache;
	}

	/** Handles the body of a Parse message. */
	parse(body: Uint8Array): PreparedStatement {
		const reader = new MessageReader(body);
		const name = reader.cString();
		const statements = this._cache.parse(reader.cString());
		const declaredTypes = Array.from({length: reader.int16()}, () => typeOfOid(reader.int32()));
		if (statements.length > 1) {
			throw new SqlError('42601', 'cannot insert multiple commands into a prepared statement');
		}

		if (name !== '' && this._statements.has(name)) {
			throw new SqlError('42P05', `prepared statement "${name}" already exists`);
		}

		const prepared: PreparedStatement = {statement: statements.at(0), declaredTypes};
		this._statements.set(name, prepared);
		return prepared;
	}

	/** Handles the body of a Bind message. */
	bind(body: Uint8Array, describe: (prepared: PreparedStatement) => StatementDescription): void {
		const reader = new MessageReader(body);
		const name = reader.cString();
		const prepared = this.statement(reader.cString());
		const formats = reader.int16List();
		const {parameterTypes, columns} = describe(prepared);
		const count = reader.int16();
		if (count !== parameterTypes.length) {
			throw new SqlError('08P01', `bind message supplies ${count} parameters, but the prepared statement requires ${parameterTypes.length}`);
		}

		const parameters = parameterTypes.map((type, index) => readValue(reader, type, (formats.length > 1 ? formats[index] : formats.at(0)) === 1));
		if (columns && reader.int16List().includes(1)) {
			throw new SqlError('0A000', 'binary results are not supported by the endpoint stand-in');
		}

		this._portals.set(name, {prepared, parameters, rest: undefined});
	}

	statement(name: string): PreparedStatement {
		const prepared = this._statements.get(name);
		if (!prepared) {
			throw new SqlError('26000', `prepared statement "${name}" does not exist`);
		}

		return prepared;
	}

	portal(name: string): Portal {
		const portal = this._portals.get(name);
		if (!portal) {
			throw new SqlError('34000', `portal "${name}" does not exist`);
		}

		return portal;
	}

	/** Handles the body of a Close message. */
	close(body: Uint8Array): void {
		const {kind, name} = readDescribeTarget(body);
		(kind === 'S' ? this._statements : this._portals).delete(name);
	}

	/** Drops one prepared statement, or all without a name. */
	deallocate(name: string | undefined): void {
		if (name === undefined) {
			this._statements.clear();
		} else if (!this._statements.delete(name)) {
			throw new SqlError('26000', `prepared statement "${name}" does not exist`);
		}
	}

	/** Drops all portals, since they end with their transaction. */
	dropPortals(): void {
		this._portals.clear();
	}
}

function readValue(reader: MessageReader, type: SqlType, isBinary: boolean): SqlValue {
	const sizeBytes = reader.int32();
	return sizeBytes === -1 ? undefined : readParameter(reader.bytes(sizeBytes), type, isBinary);
}
