/**
 * Limits the bytes that all callers together have sent and that are not yet handled. The
 * length of each message is limited too, but thousands of callers could each send a long one.
 */

/** Counts bytes against one limit. */
export class ReceiveBudget {
	private readonly _limitBytes: number;
	private _reservedBytes = 0;

	constructor(limitBytes: number) {
		this._limitBytes = limitBytes;
	}

	/** Bytes that are reserved. */
	get reservedBytes(): number {
		return this._reservedBytes;
	}

	/** Reserves bytes; false when there is no room for them. */
	reserve(bytes: number): boolean {
		if (this._reservedBytes + bytes > this._limitBytes) {
			return false;
		}

		this._reservedBytes += bytes;
		return true;
	}

	release(bytes: number): void {
		this._reservedBytes -= bytes;
	}
}
