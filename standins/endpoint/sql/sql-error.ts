/**
 * Errors of SQL statements, with their SQLSTATE.
 */

/** An error that a statement answers with. */
export class SqlError extends Error {
	readonly sqlState: string;

	constructor(sqlState: string, message: string) {
		super(message);
		this.name = 'SqlError';
		this.sqlState = sqlState;
	}
}

/** The stand-in knows what was asked but does not do it. */
export function notSupported(what: string): SqlError {
	return new SqlError('0A000', `${what} is not supported by the endpoint stand-in`);
}
