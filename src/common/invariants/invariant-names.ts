/**
 * The invariants that the program checks at run time, one for each guarantee to callers.
 */

/** The invariants by name, with what each guarantees. */
export const invariants = {
	readYourWrites: 'a read is answered from a position at or after the session\'s own writes',
	fencedAcknowledgement: 'a write is acknowledged only in the term that a majority still follows',
	transactionIsolation: 'a held connection serves only the session that holds it',
	answerMatching: 'an answer is delivered whole, to the request it belongs to',
	refusalTruth: 'a request refused as not run was never sent',
	atMostOnce: 'a request that may not be repeated is sent at most once',
	leavingEndpoint: 'a leaving endpoint is given no new work after the grace time',
	gracefulShutdown: 'a graceful shutdown ends no request in progress',
	configurationForward: 'the configuration in force never goes back to an older number',
	slotLimit: 'an endpoint never runs more statements than it has slots',
	connectionLimit: 'a home never opens more connections than the endpoint allows',
} as const satisfies Record<string, string>;
