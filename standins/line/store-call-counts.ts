/**
 * Counts the calls of the nodes to the store. A call counts when it is sent, whether it is answered or not.
 */

/** Part of a node that calls the store. */
export type StoreCallPurpose = 'following' | 'keyProofs' | 'registration' | 'primacy';

/** A call to the store. */
export type StoreCall = {
	readonly node: string;
	readonly purpose: StoreCallPurpose;
	readonly table: string;
	readonly kind: 'read' | 'follow' | 'write';
};

/** Calls by what they are for, and by node. */
export class StoreCallCounts {
	private readonly _byRow = new Map<string, number>();
	private readonly _byNode = new Map<string, number>();
	private _total = 0;

	/** Number of calls. */
	get total(): number {
		return this._total;
	}

	/** Number of calls by purpose, table and kind, the most frequent first. */
	get rows(): ReadonlyArray<readonly [string, number]> {
		return [...this._byRow].toSorted(([, a], [, b]) => b - a);
	}

	record({node, purpose, table, kind}: StoreCall): void {
		const row = `${purpose} ${table} ${kind}`;
		this._byRow.set(row, this.ofRow(row) + 1);
		this._byNode.set(node, this.ofNode(node) + 1);
		this._total += 1;
	}

	/** Number of calls of a purpose, table and kind, as in `rows`. */
	ofRow(row: string): number {
		return this._byRow.get(row) ?? 0;
	}

	/** Number of calls of a node. */
	ofNode(name: string): number {
		return this._byNode.get(name) ?? 0;
	}

	clear(): void {
		this._byRow.clear();
		this._byNode.clear();
		this._total = 0;
	}
}
