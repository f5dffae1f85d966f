/**
 * A `pg` client that keeps the session token reported by a node, so that the session can
 * continue at another node.
 */
import {Client, type QueryResult, type QueryResultRow} from 'pg';
import {clientConnectTimeoutMs} from './constants.js';

/** Name of the parameter in which nodes report the session token. */
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
		// A running query fails when its connection is lost; for an idle connection, `isEnded` is checked before use.
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

	/** The last session token that was reported; undefined if there was none. */
	get token(): string | undefined {
		return this._token;
	}

	/** Whether the connection is known to have ended, so that nothing more can be sent on it. */
	get isEnded(): boolean {
		return this._isEnded;
	}

	async connect(): Promise<void> {
		await this._client.connect();
	}

	/** Continues the session to which a token belongs. */
	async continueSession(token: string): Promise<void> {
		await this._client.query(`SET ${tokenParameter} = '${token}'`);
	}

	async query<Row extends QueryResultRow>(text: string, values?: unknown[]): Promise<QueryResult<Row>> {
		return this._client.query<Row>(text, values);
	}

	/** Destroys the socket without a closing message, as a network failure does. */
	cut(): void {
		this._client.connection.stream.destroy();
	}

	async end(): Promise<void> {
		try {
			await this._client.end();
		} catch {
			// The connection had ended already.
		}
	}
}
