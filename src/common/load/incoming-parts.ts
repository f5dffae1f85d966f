/**
 * Joins the parts of a message.
 *
 * Load condition: large rows arrive in parts over slow links, and a peer may be lost between two of
 * them. Nothing of a message is returned before all of it has arrived.
 */

/** A part as it was received. */
type IncomingPart = {
	/** Number of the part, counted from zero. */
	readonly index: number;
	/** Number of all parts. */
	readonly count: number;
	readonly data: Uint8Array;
};

/** Collects the parts of one message in their order. */
export class IncomingParts {
	private readonly _maximumBytes: number;
	private readonly _parts: Uint8Array[] = [];
	private _bytes = 0;
	private _count: number | undefined;

	constructor(maximumBytes: number) {
		this._maximumBytes = maximumBytes;
	}

	/** Number of parts received. */
	get received(): number {
		return this._parts.length;
	}

	/** Whether all parts have arrived. */
	get isComplete(): boolean {
		return this._parts.length === this._count;
	}

	/** Adds the next part; returns false if it is not the next one or the message is too large, and the message is then void. */
	add({index, count, data}: IncomingPart): boolean {
		this._count ??= count;
		if (index !== this._parts.length || count !== this._count || index >= count || this._bytes + data.length > this._maximumBytes) {
			return false;
		}

		this._bytes += data.length;
		this._parts.push(data);
		return true;
	}

	/** Returns the message once it is complete. */
	message(): Uint8Array {
		const whole = new Uint8Array(this._bytes);
		let offset = 0;
		for (const part of this._parts) {
			whole.set(part, offset);
			offset += part.length;
		}

		return whole;
	}
}
