/**
 * The answer to one request for rows while its parts arrive.
 */
import {rowTransferDefaults} from '../../common/load/constants.js';
import {IncomingParts} from '../../common/load/incoming-parts.js';
import type {RowsAnswer, RowsPart} from '../peers/generated/quetzalstream/direct.js';
import {unpackRows} from './conversion.js';

/** Collects the parts of one answer, and returns nothing of it before it is complete. */
export class RowsReceipt {
	private readonly _parts = new IncomingParts(rowTransferDefaults.maximumRowsBytes);
	private _head: RowsAnswer | undefined;

	/** Number of parts received. */
	get received(): number {
		return this._parts.received;
	}

	/** Whether all parts have arrived. */
	get isComplete(): boolean {
		return this._head !== undefined && this._parts.isComplete;
	}

	/** Adds a part; returns false if the answer cannot be completed any more. */
	add(part: RowsPart): boolean {
		this._head ??= part.head;
		return this._parts.add(part);
	}

	/** Returns the complete answer; undefined if it cannot be read. */
	answer(): RowsAnswer | undefined {
		return this._head && unpackRows(this._head, this._parts.message(), rowTransferDefaults.maximumRowsBytes);
	}
}
