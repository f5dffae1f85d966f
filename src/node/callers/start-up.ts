/**
 * Start-up of a caller's connection: TLS, start-up message and authentication.
 *
 * `pg-gateway` parses the start-up message and carries out the authentication exchange. It
 * is given one whole message of limited length at a time, because it does not limit their
 * length by itself. TLS is set up here, because the library creates a secure context for
 * each connection and does not handle failed handshakes.
 */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {TLSSocket, type SecureContext} from 'node:tls';
import {PostgresConnection} from 'pg-gateway';
import {Refusal} from '../../common/errors/error-kinds.js';
import {
	headerBytes, makeFrame, readText, readUint16, readUint32, writeUint32,
} from '../../common/statements/frames.js';
import {
	maximumStartUpBytes, passwordCode, protocolMajor, requestCodes,
} from './constants.js';
import {checkSaltedHash, checkPassword} from './credentials.js';
import {FrameReader} from './frame-reader.js';
import type {ReceiveBudget} from './receive-budget.js';
import {isWellFormedStartUp, readRequestCode} from './start-up-parameters.js';
import type {CallerOptions, CallerUser} from './types.js';

/** A caller that was authenticated. */
export type AuthenticatedCaller = {
	readonly kind: 'started';
	/** The socket, or the TLS socket over it. */
	readonly socket: Socket;
	readonly reader: FrameReader;
	readonly user: string;
	readonly labels: Readonly<Record<string, string>>;
	readonly parameters: Readonly<Record<string, string>>;
};

/** Outcome of the start-up of a connection. */
export type StartUpResult
	= | AuthenticatedCaller
		| {readonly kind: 'cancel'; readonly processId: number; readonly secretKey: number}
		| {readonly kind: 'refused'; readonly refusal: Refusal; readonly socket: Socket}
		| {readonly kind: 'ended'};

/** What start-up needs. */
export type StartUpContext = {
	readonly options: CallerOptions;
	readonly users: ReadonlyMap<string, CallerUser>;
	readonly secureContext: SecureContext | undefined;
	readonly budget: ReceiveBudget;
	/** Whether the node has reached its maximum number of callers. */
	readonly isAtCallerLimit: boolean;
};

type Step = (message: Uint8Array) => Promise<StartUpResult | undefined>;

const ended: StartUpResult = {kind: 'ended'};
const accepted = Buffer.from('S');
const declined = Buffer.from('N');
const negotiateCode = 0x76;

/** Runs the start-up of one connection. */
export class StartUp {
	private readonly _context: StartUpContext;
	private readonly _gateway: PostgresConnection;
	private readonly _steps: ReadonlyMap<number, Step>;
	private _socket: Socket;
	private _reader: FrameReader;

	constructor(socket: Socket, context: StartUpContext) {
		this._context = context;
		this._socket = socket;
		this._reader = new FrameReader(socket, maximumStartUpBytes, context.budget);
		this._gateway = new PostgresConnection(socket, {
			authMode: context.options.authentication,
			// If passwords are used, the library goes on and requests one.
			onStartup: () => context.options.authentication === 'none',
		});
		this._gateway.removeSocketHandlers(socket);
		this._steps = new Map<number, Step>([
			[requestCodes.ssl, async () => this._upgradeToTls()],
			[requestCodes.gss, async () => this._decline()],
			[requestCodes.cancel, async message => this._readCancel(message)],
		]);
	}

	async run(): Promise<StartUpResult> {
		for (;;) {
			const message = await this._reader.next(0);
			if (!message) {
				return this._endOfInput();
			}

			const step = this._steps.get(message.length < 8 ? 0 : readRequestCode(message));
			if (!step) {
				return this._start(message);
			}

			const end = await step(message);
			if (end) {
				return end;
			}
		}
	}

	private _endOfInput(): StartUpResult {
		return this._reader.fault ? this._refuse(this._reader.fault) : ended;
	}

	private _refuse(refusal: Refusal): StartUpResult {
		return {kind: 'refused', refusal, socket: this._socket};
	}

	private _decline(): StartUpResult | undefined {
		this._socket.write(declined);
		return undefined;
	}

	private _readCancel(message: Uint8Array): StartUpResult {
		return message.length === 16
			? {kind: 'cancel', processId: readUint32(message, 8), secretKey: readUint32(message, 12)}
			: ended;
	}

	private async _upgradeToTls(): Promise<StartUpResult | undefined> {
		const {secureContext} = this._context;
		if (!secureContext || this._socket instanceof TLSSocket) {
			return this._decline();
		}

		// Bytes received before the handshake are unencrypted, so a third party could have injected them.
		if (!this._reader.isEmpty) {
			return this._refuse(new Refusal('malformedMessage', 'data before the TLS handshake'));
		}

		this._reader.dispose();
		this._socket.write(accepted);
		const secured = await openTls(this._socket, secureContext);
		if (!secured) {
			return ended;
		}

		this._socket = secured;
		this._gateway.socket = secured;
		this._reader = new FrameReader(secured, maximumStartUpBytes, this._context.budget);
		return undefined;
	}

	private async _start(message: Uint8Array): Promise<StartUpResult> {
		if (!isWellFormedStartUp(message) || readUint16(message, 4) !== protocolMajor) {
			return this._refuse(new Refusal('malformedMessage', 'not a start-up message of protocol 3'));
		}

		if (this._context.options.isTlsRequired && !(this._socket instanceof TLSSocket)) {
			return this._refuse(new Refusal('authenticationFailed', 'TLS is required'));
		}

		if (this._context.isAtCallerLimit) {
			return this._refuse(new Refusal('tooManyCallers'));
		}

		this._negotiate(message);
		await this._gateway.handleMessage(Buffer.from(message));
		const parameters = this._gateway.clientInfo?.parameters;
		if (!parameters) {
			// The library has already sent the caller the reason.
			return ended;
		}

		return this._authenticate(parameters);
	}

	/** Offers minor version 0 to a caller that asks for a later one. */
	private _negotiate(message: Uint8Array): void {
		if (readUint16(message, 6) === 0) {
			return;
		}

		message.fill(0, 6, 8);
		const body = new Uint8Array(8);
		writeUint32(body, 0, protocolMajor * 0x1_00_00);
		this._socket.write(makeFrame(negotiateCode, body));
	}

	private async _authenticate(parameters: Readonly<Record<string, string>>): Promise<StartUpResult> {
		const name = parameters.user ?? '';
		const user = this._context.users.get(name);
		if (this._context.options.authentication !== 'none') {
			const message = await this._reader.next();
			if (!message) {
				return this._endOfInput();
			}

			if (!await this._isRightPassword(message, user)) {
				return this._refuse(new Refusal('authenticationFailed'));
			}
		}

		this._reader.maximumBytes = this._context.options.maximumMessageBytes;
		return {
			kind: 'started',
			socket: this._socket,
			reader: this._reader,
			user: name,
			labels: user?.labels ?? {},
			parameters,
		};
	}

	private async _isRightPassword(message: Uint8Array, user: CallerUser | undefined): Promise<boolean> {
		const given = message[0] === passwordCode ? readText(message, headerBytes)?.text : undefined;
		if (given === undefined) {
			return false;
		}

		return this._context.options.authentication === 'md5Password'
			? checkSaltedHash(user, given, this._gateway.md5Salt)
			: checkPassword(user, given);
	}
}

/** Resolves with the TLS socket once the handshake is done; undefined if it failed. */
async function openTls(socket: Socket, secureContext: SecureContext): Promise<TLSSocket | undefined> {
	const secured = new TLSSocket(socket, {isServer: true, secureContext});
	return new Promise(resolve => {
		secured.once('secure', () => {
			resolve(secured);
		});
		secured.once('error', () => {
			resolve(undefined);
		});
		secured.once('close', () => {
			resolve(undefined);
		});
	});
}

/** AuthenticationOk, the first frame after a successful authentication. */
export const authenticationOk = makeFrame(0x52, new Uint8Array(4));

/** BackendKeyData, which tells the caller what to send in a cancel request. */
export function backendKeyData(processId: number, secretKey: number): Uint8Array {
	const body = new Uint8Array(8);
	writeUint32(body, 0, processId);
	writeUint32(body, 4, secretKey);
	return makeFrame(0x4B, body);
}

