/**
 * Errors of DynamoDB's JSON API.
 */

/** An error answer with its type, its HTTP status and the fields of its body besides the message. */
export class DynamoError extends Error {
	readonly type: string;
	readonly statusCode: number;
	readonly fields: Readonly<Record<string, unknown>>;

	constructor(type: string, message: string, options: {statusCode?: number; fields?: Readonly<Record<string, unknown>>} = {}) {
		super(message);
		this.type = type;
		this.statusCode = options.statusCode ?? 400;
		this.fields = options.fields ?? {};
	}
}
