/**
 * HTTP Basic authentication of operators.
 */
import {Buffer} from 'node:buffer';
import {createHmac, randomBytes} from 'node:crypto';
import {Left, Right, type Either} from 'purify-ts';
import type {Clock} from '../../common/services/services.js';
import {authenticationDefaults} from './constants.js';
import {FailureLimiter} from './failure-limiter.js';
import {checkPassword, hashPassword, isHashed} from './password-check.js';
import type {OperatorCredentials} from './types.js';

/** Why an operator was refused. */
export type AuthenticationRefusal
	= | {readonly kind: 'unauthorized'}
		| {readonly kind: 'tooManyFailures'; readonly retryAfterMs: number};

/** Reads the user and password of a Basic header. */
export function parseBasic(header: string | undefined): OperatorCredentials | undefined {
	const encoded = /^Basic +(?<encoded>[A-Za-z0-9+\/]{1,1000}=*)$/iv.exec(header ?? '')?.groups?.encoded;
	if (encoded === undefined) {
		return undefined;
	}

	const text = Buffer.from(encoded, 'base64').toString('utf8');
	const colon = text.indexOf(':');
	return colon === -1 ? undefined : {user: text.slice(0, colon), password: text.slice(colon + 1)};
}

/** Authenticates operators. */
export class OperatorAuthentication {
	private readonly _clock: Clock;
	private readonly _options: typeof authenticationDefaults;
	private readonly _passwords: ReadonlyMap<string, string>;
	private readonly _limiter: FailureLimiter;
	/** Cache of accepted credentials by their digest under a key of this process, with the time when they expire. */
	private readonly _accepted = new Map<string, {readonly user: string; readonly untilMs: number}>();
	private readonly _digestKey = randomBytes(32);
	/** Password that is checked for unknown users, so that the check takes as long as for known ones. */
	private readonly _dummyPassword: Promise<string>;
	/** Checks in progress by digest, shared by concurrent requests, since a page loads several files at one time. */
	private readonly _checks = new Map<string, Promise<boolean>>();

	constructor(clock: Clock, credentials: readonly OperatorCredentials[], options: Partial<typeof authenticationDefaults> = {}) {
		this._clock = clock;
		this._options = {...authenticationDefaults, ...options};
		this._passwords = new Map(credentials.map(({user, password}) => [user, password]));
		this._limiter = new FailureLimiter(clock, this._options);
		const secret = randomBytes(16).toString('base64');
		this._dummyPassword = credentials.some(({password}) => isHashed(password)) ? hashPassword(secret) : Promise.resolve(secret);
	}

	/** Resolves with the operator's name. Cached credentials are accepted even while their address has to wait because of failures. */
	async authenticate(header: string | undefined, address: string): Promise<Either<AuthenticationRefusal, string>> {
		const given = parseBasic(header);
		if (given === undefined) {
			return Left({kind: 'unauthorized'});
		}

		const digest = createHmac('sha256', this._digestKey).update(`${given.user}:${given.password}`).digest('base64');
		const accepted = this._accepted.get(digest);
		if (accepted !== undefined && accepted.untilMs > this._clock.nowMs()) {
			return Right(accepted.user);
		}

		const isBusy = this._checks.size >= this._options.checksAtOnce && !this._checks.has(digest);
		const retryAfterMs = isBusy ? this._options.busyRetryMs : this._limiter.remainingWaitMs(address);
		return retryAfterMs > 0
			? Left({kind: 'tooManyFailures', retryAfterMs})
			: this._check(given, digest, address);
	}

	private async _check(given: OperatorCredentials, digest: string, address: string): Promise<Either<AuthenticationRefusal, string>> {
		const check = this._checks.get(digest) ?? this._startCheck(given, digest);
		if (!await check) {
			this._limiter.note(address);
			return Left({kind: 'unauthorized'});
		}

		this._remember(digest, given.user);
		return Right(given.user);
	}

	private async _startCheck({user, password}: OperatorCredentials, digest: string): Promise<boolean> {
		const stored = this._passwords.get(user);
		const check = this._dummyPassword.then(async dummyPassword => {
			const isMatch = await checkPassword(password, stored ?? dummyPassword);
			return isMatch && stored !== undefined;
		}).finally(() => {
			this._checks.delete(digest);
		});
		this._checks.set(digest, check);
		return check;
	}

	private _remember(digest: string, user: string): void {
		this._accepted.delete(digest);
		this._accepted.set(digest, {user, untilMs: this._clock.nowMs() + this._options.acceptedKeepMs});
		if (this._accepted.size > this._options.acceptedRemembered) {
			const [oldest = ''] = this._accepted.keys();
			this._accepted.delete(oldest);
		}
	}
}
