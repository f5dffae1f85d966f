/**
 * A `pg` client that keeps the session token which a node reports, so that the session can
 * go on at another node.
 */
import {Client, type QueryResult, type QueryResultRow} from 'pg';
import {clientConnectTimeoutMs} from './constants.js';

/** Reported parameter that carries the token. */
const tokenParameter = 'quetzalstream.token';

type StatusMessage = {readonly parameterName: string; readonly parameterValue: string};

/** One connection to a node, or to an endpoint for comparison. */
export class ProxyClient {
	private readonly _client: Client;
	private _token: string | undefined;
	private _isEnded = false;

	constructor(
		address: {readonly host: string; readonly port: number},
		group: string,
		credentials: {readonly user: string; readonly password: string},
	) {
		this._client = new Client({
			...address,
			database: group,
			user: credentials.user,
			password: credentials.password,
			connectionTimeoutMillis: clientConnectTimeoutMs,
		});
		// The loss of a connection shows in the query that is running; an idle one is looked at before it is used.
		for (const event of ['error', 'end'] as const) {
			this._client.on(event, () => {
				this._isEnded = true;
			});
		}

		this._client.connection.on('parameterStatus', ({parameterName, parameterValue}: StatusMessage) => {
			if (parameterName === tokenParameter) {
				this._token = parameterValue;
			}
		});
	}

	/** Last token that was reported; undefined when none was. */
	get token(): string | undefined {
		return this._token;
	}

	/** Whether the connection is known to be over, so that nothing more can be sent on it. */
	get isEnded(): boolean {
		return this._isEnded;
	}

	async connect(): Promise<void> {
		await this._client.connect();
	}

	/** Goes on with the session that a token belongs to. */
	async adopt(token: string): Promise<void> {
		await this._client.query(`SET ${tokenParameter} = '${token}'`);
	}

	async query<Row extends QueryResultRow>(text: string, values?: unknown[]): Promise<QueryResult<Row>> {
		return this._client.query<Row>(text, values);
	}

	/** Cuts the connection as a lost network would. */
	cut(): void {
		this._client.connection.stream.destroy();
	}

	async end(): Promise<void> {
		try {
			await this._client.end();
		} catch {
			// It had ended already.
		}
	}
}
