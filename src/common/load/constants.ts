/**
 * Limits of the decisions under load.
 */

/** Limits of the transfer of rows between nodes. Times are in milliseconds. */
export const rowTransferDefaults = {
	/** Encoded size from which on rows are compressed and sent in parts. */
	packFromBytes: 4096,
	/** Maximum size of a part: 5 ms on a link of 7 Mbit/s, so that an answer to a statement that follows it is not late. */
	partBytes: 4096,
	/**
	 * Number of parts of one transfer that are sent beyond the acknowledged ones. Without a bound, the
	 * operating system buffers whole rows, and other answers and probes wait behind them.
	 */
	unacknowledgedParts: 2,
	/**
	 * Number of transfers that a node sends at the same time. With two unacknowledged parts each,
	 * 64 KiB are in transit: 262 ms on a link of 2 Mbit/s, within the 500 ms in which a peer that
	 * answers nothing counts as lost.
	 */
	concurrentTransfers: 8,
	/** Interval at which requesters that wait for their turn are told that the answer is known. */
	waitNoticeMs: 200,
	/** Timeout of a transfer, counted from the last part or notice received. */
	partTimeoutMs: 1000,
	/** Time without an acknowledgement after which the sending node drops a transfer, so that others get their turn. */
	acknowledgementTimeoutMs: 1000,
	/** Number of compressed answers that are kept: one for each followed table and one for nodes that lag behind. */
	keptPacked: 6,
	/** Maximum size of an answer after decompression; a peer that sends more is not believed. */
	maximumRowsBytes: 16_000_000,
} as const;
