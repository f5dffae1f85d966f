/**
 * Answers an endpoint's authentication requests: none, cleartext password, MD5 and SCRAM-SHA-256.
 */
import {createHash} from 'node:crypto';
import sasl, {type SaslSession} from 'pg/lib/crypto/sasl.js';
import {serialize} from 'pg-protocol';
import {int32At, textAt} from './bytes.js';
import {ProtocolError} from './protocol-error.js';

/** User and password that this program presents to endpoints. */
export type Credentials = {
	readonly user: string;
	readonly password: string;
};

/** Answers a request; `data` is what follows its code. Returns undefined if nothing is to be sent. */
type AuthenticationRequestHandler = (authentication: Authentication, data: Uint8Array) => Uint8Array | void | Promise<Uint8Array>;

/** Handlers by request code. */
const handlers = new Map<number, AuthenticationRequestHandler>([
	[0, authentication => {
		authentication.accept();
	}],
	[3, authentication => serialize.password(authentication.credentials.password)],
	[5, ({credentials}, salt) => serialize.password(md5Answer(credentials, salt))],
	[10, (authentication, mechanisms) => authentication.startSasl(textOf(mechanisms).split('\0'))],
	[11, async (authentication, data) => authentication.continueSasl(textOf(data))],
	[12, (authentication, data) => {
		authentication.finishSasl(textOf(data));
	}],
]);

/** Authentication state of one connection. */
export class Authentication {
	readonly credentials: Credentials;
	private _sasl: SaslSession | undefined;
	private _isServerVerified = false;

	constructor(credentials: Credentials) {
		this.credentials = credentials;
	}

	/** Answers the body of an authentication request; undefined if nothing is to be sent. Throws if it is invalid. */
	async answer(body: Uint8Array): Promise<Uint8Array | undefined> {
		const code = body.length < 4 ? -1 : int32At(body, 0);
		const handler = handlers.get(code);
		if (!handler) {
			throw new ProtocolError(`authentication method ${code} is not supported`);
		}

		const answer = await handler(this, body.subarray(4));
		return answer ?? undefined;
	}

	/** Handles AuthenticationOk; an endpoint that started SCRAM must have proved before that it knows the password. */
	accept(): void {
		if (this._sasl && !this._isServerVerified) {
			throw new ProtocolError('authentication ended without the endpoint\'s SCRAM signature');
		}
	}

	startSasl(mechanisms: readonly string[]): Uint8Array {
		this._sasl = sasl.startSession(mechanisms);
		return serialize.sendSASLInitialResponseMessage(this._sasl.mechanism, this._sasl.response);
	}

	async continueSasl(data: string): Promise<Uint8Array> {
		const session = this._saslInProgress();
		await sasl.continueSession(session, this.credentials.password, data);
		return serialize.sendSCRAMClientFinalMessage(session.response);
	}

	finishSasl(data: string): void {
		sasl.finalizeSession(this._saslInProgress(), data);
		this._isServerVerified = true;
	}

	private _saslInProgress(): SaslSession {
		if (!this._sasl) {
			throw new ProtocolError('authentication messages are out of order');
		}

		return this._sasl;
	}
}

/** Computes the answer to an MD5 request; the PostgreSQL protocol prescribes MD5 for it. */
function md5Answer({user, password}: Credentials, salt: Uint8Array): string {
	const inner = createHash('md5').update(password + user).digest('hex');
	const outer = createHash('md5').update(inner).update(salt).digest('hex');
	return `md5${outer}`;
}

function textOf(data: Uint8Array): string {
	return textAt(data, 0, data.length);
}
