/**
 * Cache of the compressed form of rows that a node sends to others.
 *
 * Load condition: a change of a large row is requested by all nodes of a zone at the same moment.
 * Compressing 300 KB for each of 29 requesters would take the coordinator 29 times 5 ms.
 */

/** Identity of a row: with the same key and version, its value is the same on this node. */
type RowIdentity = {readonly key: string; readonly version: number};

/** Keeps the compressed form of the most recently used answers, one for each set of row versions. */
export class PackedRowsCache {
	private readonly _maximumEntries: number;
	/** Compressed forms, least recently used first. */
	private readonly _packed = new Map<string, Uint8Array>();

	constructor(maximumEntries: number) {
		this._maximumEntries = maximumEntries;
	}

	/** Returns the compressed form of rows of a table; calls `pack` if it is not known. */
	get(table: string, rows: readonly RowIdentity[], pack: () => Uint8Array): Uint8Array {
		const identity = JSON.stringify([table, ...rows.map(({key, version}) => [key, version])]);
		const packed = this._packed.get(identity) ?? pack();
		this._packed.delete(identity);
		this._packed.set(identity, packed);
		if (this._packed.size > this._maximumEntries) {
			const [oldest] = this._packed.keys();
			this._packed.delete(oldest);
		}

		return packed;
	}
}
