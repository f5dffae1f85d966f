/**
 * Options of homes and their defaults, in one table.
 */

/** Options of a home; times are in milliseconds, sizes in bytes. */
export type HomeOptions = {
	/**
	 * When a write is acknowledged: `confirmed` waits for a majority of instances, `commit`
	 * only for the primary's own commit. The latter can lose acknowledged writes; it exists to measure
	 * the cost of the confirmation.
	 */
	readonly acknowledgement: 'confirmed' | 'commit';
	/** Connections of the endpoint that are left unused, in addition to one control connection per instance of the group. */
	readonly spareConnections: number;

	/** Maximum time that a request waits for the home to attach to its endpoint. */
	readonly attachWaitMs: number;
	/** Initial and maximum delay between two attempts to attach. */
	readonly attachRetryMinimumMs: number;
	readonly attachRetryMaximumMs: number;
	/** Initial and maximum delay between two forced attaches, which interrupt the running work of the previous holder. */
	readonly forceRetryMinimumMs: number;
	readonly forceRetryMaximumMs: number;
	/** Time within which the node of another holder must answer a probe; otherwise the attach is forced. */
	readonly holderProbeMs: number;
	/** Time after which a holder that membership does not know is replaced by force; longer than the delay of host list updates. */
	readonly unknownHolderGraceMs: number;
	/** Time that a reachable holder has to hand the endpoint over; it goes on serving meanwhile. */
	readonly handOverTimeoutMs: number;
	/** Maximum time that this node takes to drain an endpoint on request; shorter than `handOverTimeoutMs`. */
	readonly handOverBoundMs: number;
	/** Time that open transactions have to finish when another node requests the endpoint. */
	readonly handOverTransactionMs: number;
	/** Share of the drain time that open transactions have to finish when this node shuts down. */
	readonly drainTransactionShare: number;
	/** Cooldown after a hand-over in which this node does not try to attach again. */
	readonly handedOverPauseMs: number;
	/** Time that an endpoint is still served after its home moved to another node, unless that node requests it earlier. */
	readonly movedGraceMs: number;

	/** Initial and maximum delay between two attempts to open a work connection. */
	readonly connectRetryMinimumMs: number;
	readonly connectRetryMaximumMs: number;
	/** Maximum time that a statement waits for a work connection. */
	readonly acquireTimeoutMs: number;
	/** Time that a closed connection still counts towards the limit, until the endpoint has noticed the close. */
	readonly closingGraceMs: number;

	/** Maximum number of statements that wait at one endpoint. */
	readonly queueLength: number;
	/** Maximum estimated wait with which a statement is admitted. */
	readonly maximumQueueWaitMs: number;
	/** Minimum time to the deadline, as a share of the average service time, with which a waiting statement still gets a slot; with less, it is refused. */
	readonly leastServiceShare: number;
	/** Minimum service time in milliseconds that a statement is charged with in fair sharing. */
	readonly minimumChargeMs: number;
	/** Weight of the newest sample in the average service time. */
	readonly serviceTimeWeight: number;
	/** Waiting time after which a statement may be served ahead of its turn. */
	readonly ageingMs: number;
	/** Interval, in served statements, at which the one that has waited longest is served ahead of its turn if it has waited for `ageingMs`. */
	readonly ageingInterval: number;
	/** Minimum and maximum retry delay that a refusal of the queue suggests. */
	readonly retryAfterMinimumMs: number;
	readonly retryAfterMaximumMs: number;

	/** Maximum time to wait for a replica to apply a position. */
	readonly positionWaitMs: number;
	/** Maximum number of missing log entries for which a request waits instead of being refused at once. */
	readonly positionWaitEntries: number;
	/** Maximum time to wait for a proof of the age of the data. */
	readonly ageProofTimeoutMs: number;
	/** Minimum time that a confirmation gets, even if the deadline is nearer. */
	readonly confirmMinimumMs: number;

	/** Time that an endpoint has to answer the cancellation that is sent at the deadline. */
	readonly cancelGraceMs: number;
	/** Time in which a replaced primary may still answer the requests that were sent to it. */
	readonly replacedGraceMs: number;
	/** Maximum time that an abandoned exchange without an answer keeps its slot. */
	readonly overdueExchangeMs: number;
	/** Maximum time to wait for the rollback of an abandoned transaction. */
	readonly rollbackTimeoutMs: number;
	/** Maximum number of ended transactions whose reason is kept, so that their sessions can be informed. */
	readonly endedTransactions: number;

	/** Size at which the buffered part of an answer is forwarded as a chunk. */
	readonly answerChunkBytes: number;
	/** Size at which the buffered part of one unconfirmed answer is confirmed and forwarded early. */
	readonly heldAnswerBytes: number;
	/** Total size of the buffered answers of one endpoint at which unconfirmed chunks are confirmed and forwarded early. */
	readonly heldTotalBytes: number;
};

/** Defaults of every option. */
export const defaultHomeOptions: HomeOptions = {
	acknowledgement: 'confirmed',
	spareConnections: 1,

	attachWaitMs: 300,
	attachRetryMinimumMs: 20,
	attachRetryMaximumMs: 1000,
	forceRetryMinimumMs: 1000,
	forceRetryMaximumMs: 30_000,
	holderProbeMs: 500,
	unknownHolderGraceMs: 8000,
	handOverTimeoutMs: 30_000,
	handOverBoundMs: 25_000,
	handOverTransactionMs: 2000,
	drainTransactionShare: 0.8,
	handedOverPauseMs: 5000,
	movedGraceMs: 3000,

	connectRetryMinimumMs: 20,
	connectRetryMaximumMs: 1000,
	acquireTimeoutMs: 1000,
	closingGraceMs: 50,

	queueLength: 512,
	maximumQueueWaitMs: 2000,
	leastServiceShare: 0.5,
	minimumChargeMs: 0.05,
	serviceTimeWeight: 0.1,
	ageingMs: 200,
	ageingInterval: 8,
	retryAfterMinimumMs: 20,
	retryAfterMaximumMs: 5000,

	positionWaitMs: 50,
	positionWaitEntries: 200,
	ageProofTimeoutMs: 200,
	confirmMinimumMs: 50,

	cancelGraceMs: 200,
	replacedGraceMs: 100,
	overdueExchangeMs: 10_000,
	rollbackTimeoutMs: 1000,
	endedTransactions: 1024,

	answerChunkBytes: 16_384,
	heldAnswerBytes: 1_048_576,
	heldTotalBytes: 33_554_432,
};

/** Number of open transactions that is always allowed, even if fewer connections than slots then stay available for other work. */
export const minimumHeldTransactions = 1;
