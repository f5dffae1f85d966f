/** The marks of one session: the positions that its answers must include. */
import type {Either} from 'purify-ts';
import type {Refusal} from '../errors/error-kinds.js';
import {
	hasReached, laterPosition, zeroPosition, type LogPosition,
} from '../positions/log-position.js';
import type {SessionMarks} from '../services/services.js';
import {maximumTokenGroups} from './constants.js';
import type {SessionTokenCodec} from './session-token.js';
import type {TokenlessReads} from './types.js';

/** Keeps a session's marks and the token that carries them. */
export class TokenSessionMarks implements SessionMarks {
	private readonly _codec: SessionTokenCodec;
	private readonly _group: string;
	private readonly _tokenlessReads: TokenlessReads;
	private readonly _positions = new Map<string, LogPosition>();
	private _hasToken = false;
	private _isTruncated = false;
	private _isMarkMissing = false;
	private _hasChanged = false;

	/** `group` is the one that the session's statements go to. */
	constructor(codec: SessionTokenCodec, group: string, tokenlessReads: TokenlessReads) {
		this._codec = codec;
		this._group = group;
		this._tokenlessReads = tokenlessReads;
	}

	/**
	 * A session without a token may have written through another connection, and a token
	 * that had to leave groups out may have left out this one.
	 */
	get isComplete(): boolean {
		return this._hasToken ? !this._isMarkMissing : this._tokenlessReads === 'sessionOnly';
	}

	/** The token for the marks as they are now. */
	get token(): string {
		return this._codec.encode({positions: this._positions, isTruncated: this._isTruncated});
	}

	mark(group: string): LogPosition {
		return this._positions.get(group) ?? zeroPosition;
	}

	advance(group: string, position: LogPosition): void {
		const current = this.mark(group);
		if (hasReached(current, position)) {
			return;
		}

		// Inserted anew, so that the map stays in the order of the last advance.
		this._positions.delete(group);
		this._positions.set(group, laterPosition(current, position));
		this._hasChanged = true;
	}

	/** Takes in a token that the caller brought; marks only move forward. */
	mergeToken(text: string): Either<Refusal, void> {
		return this._codec.decode(text).ifRight(content => {
			for (const [group, position] of content.positions) {
				this.advance(group, position);
			}

			this._hasToken = true;
			this._hasChanged = true;
			this._isTruncated ||= content.isTruncated;
			this._isMarkMissing ||= content.isTruncated && !content.positions.has(this._group);
			this._dropOldest();
		}).map(() => undefined);
	}

	/** The token if it changed since the last call. */
	takeChangedToken(): string | undefined {
		if (!this._hasChanged) {
			return undefined;
		}

		this._hasChanged = false;
		return this.token;
	}

	/** Tokens brought one after another must not grow the marks without bound. */
	private _dropOldest(): void {
		for (const group of this._positions.keys()) {
			if (this._positions.size <= maximumTokenGroups) {
				return;
			}

			if (group !== this._group) {
				this._positions.delete(group);
				this._isTruncated = true;
			}
		}
	}
}
