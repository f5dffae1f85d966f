/**
 * Options of homes and their defaults, in one table.
 */

/** What a home may be told; times in milliseconds, sizes in bytes. */
export type HomeOptions = {
	/**
	 * When a write is acknowledged: `confirmed` waits for a majority of instances, `commit`
	 * only for the primary's own commit. The latter loses writes; it exists to measure the cost.
	 */
	readonly acknowledgement: 'confirmed' | 'commit';
	/** Connections left free beside one control connection per instance of the group. */
	readonly spareConnections: number;

	/** Longest wait of a request for the attach to its endpoint. */
	readonly attachWaitMs: number;
	/** First and longest delay between two tries to attach. */
	readonly attachRetryMinimumMs: number;
	readonly attachRetryMaximumMs: number;
	/** First and longest delay between two forced attaches; they cut running work short. */
	readonly forceRetryMinimumMs: number;
	readonly forceRetryMaximumMs: number;
	/** Time within which another holder's node must answer, or it is replaced by force. */
	readonly holderProbeMs: number;
	/** Time after which a holder that membership does not know is forced; above the host list's lag. */
	readonly unknownHolderGraceMs: number;
	/** Time that a holder that answers is given to let go; it goes on serving meanwhile. */
	readonly handOverTimeoutMs: number;
	/** Time that this node takes at most to let go when asked; below the former. */
	readonly handOverBoundMs: number;
	/** Time that open transactions are given when this node is asked to let go. */
	readonly handOverTransactionMs: number;
	/** Share of the bound that open transactions are given when this node shuts down. */
	readonly drainTransactionShare: number;
	/** Time after letting go in which this node does not try to attach again. */
	readonly handedOverPauseMs: number;
	/** Time that an endpoint is still served after its home moved, unless asked to let go. */
	readonly movedGraceMs: number;

	/** First and longest delay between two tries to open a work connection. */
	readonly connectRetryMinimumMs: number;
	readonly connectRetryMaximumMs: number;
	/** Longest wait of a statement for a work connection. */
	readonly acquireTimeoutMs: number;
	/** Time that a closed connection still counts, until the endpoint has noticed. */
	readonly closingGraceMs: number;

	/** Statements that may wait at one endpoint. */
	readonly queueLength: number;
	/** Longest estimated wait that a statement is admitted with. */
	readonly maximumQueueWaitMs: number;
	/** Share of the average service time that a statement must have left when its turn comes. */
	readonly leastServiceShare: number;
	/** Service time in milliseconds that every statement is charged at least, when shares are compared. */
	readonly minimumChargeMs: number;
	/** Weight of the newest sample in the average service time. */
	readonly serviceTimeWeight: number;
	/** Wait after which a statement may be served out of turn. */
	readonly ageingMs: number;
	/** One in so many statements is served out of turn, when one has waited long enough. */
	readonly ageingInterval: number;
	/** Smallest and largest time to come back after a refusal of the queue. */
	readonly retryAfterMinimumMs: number;
	readonly retryAfterMaximumMs: number;

	/** Longest wait for a replica to apply a position. */
	readonly positionWaitMs: number;
	/** Largest number of missing entries that is worth the wait. */
	readonly positionWaitEntries: number;
	/** Longest wait for a proof of the data's age. */
	readonly ageProofTimeoutMs: number;
	/** Least time given to a confirmation, also when the deadline is near. */
	readonly confirmMinimumMs: number;

	/** Time that an endpoint has to answer a cancellation after the deadline. */
	readonly cancelGraceMs: number;
	/** Time in which a replaced primary may itself answer what it was sent. */
	readonly replacedGraceMs: number;
	/** Longest time that an exchange without an answer keeps its slot after it was given up. */
	readonly overdueExchangeMs: number;
	/** Longest wait for the rollback of an abandoned transaction. */
	readonly rollbackTimeoutMs: number;
	/** Ended transactions that are remembered, so that their sessions learn why. */
	readonly endedTransactions: number;

	/** Bytes of an answer gathered before it is passed on in pieces. */
	readonly answerChunkBytes: number;
	/** Bytes of one unconfirmed answer that are held back. */
	readonly heldAnswerBytes: number;
	/** Bytes of all unconfirmed answers of one endpoint that are held back. */
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

/** Bounds on the number of held transactions that keep some connections for other work. */
export const minimumHeldTransactions = 1;
