/**
 * Start-up phase and authentication of one connection.
 */
import {
	PostgresConnection, hashMd5Password, type ClientParameters, type Credentials, type State,
} from 'pg-gateway';
import {type SqlError} from '../sql/sql-error.js';
import {asReadable, type ReadableBytes} from './bytes.js';
import {BackendMessageWriter} from './backend-message-writer.js';
import type {GatedSocket} from './gated-socket.js';

/** Settings and callbacks that the start-up phase needs from the server. */
export type StartUpHandler = {
	readonly user: string;
	readonly password: string | undefined;
	readonly authentication: 'md5' | 'cleartext';
	/** Admits or refuses a connection: resolves with an error to refuse it, or with undefined after the simulated cost of connecting. */
	admit(parameters: ClientParameters, gate: GatedSocket): Promise<SqlError | undefined>;
	/** Called when the connection is authenticated; from now on the server owns it. */
	onAuthenticated(parameters: ClientParameters, gate: GatedSocket): void;
	onCancel(processId: number, secret: number): void;
};

const cancelRequestCode = 80_877_102;
const cancelRequestSizeBytes = 16;

/** Runs the start-up phase; afterwards the server takes over the socket. */
class StartUp extends PostgresConnection {
	private readonly _gate: GatedSocket;
	private readonly _handler: StartUpHandler;

	constructor(gate: GatedSocket, host: StartUpHandler) {
		super(gate.socket, {
			authMode: authModeOf(host),
			onMessage: (data, state) => this._handleCancelRequest(asReadable(data), state),
			onStartup: async state => this._rejectIfNotAdmitted(state),
			validateCredentials: async credentials => areCredentialsValid(credentials, host),
		});
		this._gate = gate;
		this._handler = host;
	}

	begin(): void {
		this._gate.flow();
	}

	override sendData(data: Uint8Array): void {
		this._gate.write(data);
	}

	/** Passes the connection to the server instead of sending the responses of the library. */
	override async completeAuthentication(): Promise<void> {
		this.isAuthenticated = true;
		this.detach();
		this._handler.onAuthenticated(this.clientInfo?.parameters ?? {user: ''}, this._gate);
	}

	private async _rejectIfNotAdmitted({clientInfo}: State): Promise<boolean> {
		const error = await this._handler.admit(clientInfo?.parameters ?? {user: ''}, this._gate);
		if (error) {
			rejectConnection(this._gate, error);
		}

		return error !== undefined;
	}

	private _handleCancelRequest(data: ReadableBytes, {hasStarted}: State): boolean {
		if (hasStarted || data.length !== cancelRequestSizeBytes || data.readInt32BE(4) !== cancelRequestCode) {
			return false;
		}

		this._handler.onCancel(data.readInt32BE(8), data.readInt32BE(12));
		this._gate.end();
		return true;
	}
}

/** Begins the start-up phase of a connection. */
export function beginStartUp(gate: GatedSocket, host: StartUpHandler): void {
	new StartUp(gate, host).begin();
}

/** Sends a fatal error and ends the connection. */
export function rejectConnection(gate: GatedSocket, error: SqlError): void {
	const writer = new BackendMessageWriter();
	writer.error(error, 'FATAL');
	gate.write(writer.take());
	gate.end();
}

function authModeOf(host: StartUpHandler): 'none' | 'md5Password' | 'cleartextPassword' {
	if (host.password === undefined) {
		return 'none';
	}

	return host.authentication === 'md5' ? 'md5Password' : 'cleartextPassword';
}

async function areCredentialsValid(credentials: Credentials, {user, password = ''}: StartUpHandler): Promise<boolean> {
	if (credentials.user !== user) {
		return false;
	}

	if (credentials.authMode === 'cleartextPassword') {
		return credentials.password === password;
	}

	return credentials.hash === await hashMd5Password(user, password, credentials.salt);
}
