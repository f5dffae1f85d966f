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

/** Stores a session's marks, and encodes them as a token. */
export class TokenSessionMarks implements SessionMarks {
	private readonly _codec: SessionTokenCodec;
	private readonly _group: string;
	private readonly _tokenlessReads: TokenlessReads;
	private readonly _positions = new Map<string, LogPosition>();
	private _hasToken = false;
	private _isTruncated = false;
	private _isMarkMissing = false;
	private _hasChanged = false;

	/** `group` is the group that the session's statements are sent to. */
	constructor(codec: SessionTokenCodec, group: string, tokenlessReads: TokenlessReads) {
		this._codec = codec;
		this._group = group;
		this._tokenlessReads = tokenlessReads;
	}

	/**
	 * Whether the marks cover everything that the caller may have seen or written in the group.
	 * A session without a token may have written through another connection, and a truncated
	 * token may have left out this group.
	 */
	get isComplete(): boolean {
		return this._hasToken ? !this._isMarkMissing : this._tokenlessReads === 'sessionOnly';
	}

	/** The token for the current marks. */
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

		// Deleted and inserted again, so that the map stays in the order of the last advance.
		this._positions.delete(group);
		this._positions.set(group, laterPosition(current, position));
		this._hasChanged = true;
	}

	/** Merges a token that the caller sent into the marks; marks only move forward. */
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

	/** Returns the token if it has changed since the last call. */
	takeChangedToken(): string | undefined {
		if (!this._hasChanged) {
			return undefined;
		}

		this._hasChanged = false;
		return this.token;
	}

	/** Limits the number of marks, which would otherwise grow with every token that the caller sends. */
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
