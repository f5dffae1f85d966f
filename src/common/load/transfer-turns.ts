/**
 * Decides which of the pending transfers may send.
 *
 * Load condition: 29 nodes of a zone request a large row from one node at the same moment. Sent to all
 * at once over 2 Mbit/s, each gets a part so rarely that it takes the sending node for lost, and none
 * is finished before the last.
 */

/** Grants turns to a limited number of transfers, in the order in which they were added. */
export class TransferTurns<Transfer> {
	private readonly _concurrent: number;
	/** Transfers in the order in which they were added; the first ones have their turn. */
	private readonly _transfers = new Set<Transfer>();

	constructor(concurrent: number) {
		this._concurrent = concurrent;
	}

	/** Transfers whose turn it is. */
	get active(): readonly Transfer[] {
		return [...this._transfers].slice(0, this._concurrent);
	}

	/** Transfers that wait for their turn. */
	get waiting(): readonly Transfer[] {
		return [...this._transfers].slice(this._concurrent);
	}

	add(transfer: Transfer): void {
		this._transfers.add(transfer);
	}

	/** Removes a transfer that is done or dropped; a waiting one gets its turn. */
	remove(transfer: Transfer): void {
		this._transfers.delete(transfer);
	}
}
