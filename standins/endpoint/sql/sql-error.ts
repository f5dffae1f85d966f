/**
 * Errors that SQL statements fail with, each with its SQLSTATE.
 */

/** An error that is reported to the client. */
export class SqlError extends Error {
	readonly sqlState: string;

	constructor(sqlState: string, message: string) {
		super(message);
		this.name = 'SqlError';
		this.sqlState = sqlState;
	}
}

/** Creates the error for a feature that the stand-in does not implement. */
export function notSupported(what: string): SqlError {
	return new SqlError('0A000', `${what} is not supported by the endpoint stand-in`);
}
