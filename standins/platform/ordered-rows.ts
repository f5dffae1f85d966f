/**
 * Rows of a table in partitions, ordered by sort key within a partition.
 */

type Partition<T> = {
	readonly sorts: string[];
	readonly rows: Map<string, T>;
};

/** Returns the index of the first key that is not below `sort`. */
function lowerBound(sorts: readonly string[], sort: string): number {
	let low = 0;
	let high = sorts.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (sorts[middle] < sort) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}

/** Holds rows by partition and sort key. */
export class OrderedRows<T> {
	private readonly _partitions = new Map<string, Partition<T>>();

	get(partition: string, sort: string): T | undefined {
		return this._partitions.get(partition)?.rows.get(sort);
	}

	set(partition: string, sort: string, row: T): void {
		let found = this._partitions.get(partition);
		if (!found) {
			found = {sorts: [], rows: new Map()};
			this._partitions.set(partition, found);
		}

		if (!found.rows.has(sort)) {
			found.sorts.splice(lowerBound(found.sorts, sort), 0, sort);
		}

		found.rows.set(sort, row);
	}

	delete(partition: string, sort: string): void {
		const found = this._partitions.get(partition);
		if (found?.rows.delete(sort)) {
			found.sorts.splice(lowerBound(found.sorts, sort), 1);
		}
	}

	/** Yields the rows of a partition whose sort keys are above `afterSort`, in order. */
	* after(partition: string, afterSort: string): Generator<T> {
		const found = this._partitions.get(partition);
		if (!found) {
			return;
		}

		let index = lowerBound(found.sorts, afterSort);
		if (found.sorts[index] === afterSort) {
			index++;
		}

		for (const sort of found.sorts.slice(index)) {
			yield found.rows.get(sort)!;
		}
	}
}
