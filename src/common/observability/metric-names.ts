/**
 * The metrics of the program. A name carries the unit, if there is one, as its suffix; names are
 * exported in snake case with the prefix `quetzalstream_`.
 */

type Metric = {
	readonly kind: 'counter' | 'gauge' | 'histogram';
	readonly help: string;
	readonly labels?: readonly string[];
};

/** Every metric that the program records. */
export const metrics = {
	// Process
	invariantViolationsTotal: {kind: 'counter', help: 'Invariants that did not hold', labels: ['invariant']},
	// Callers
	callerConnections: {kind: 'gauge', help: 'Connections of callers'},
	callerRefusalsTotal: {kind: 'counter', help: 'Requests refused by this node, by kind of error', labels: ['kind']},
	callerRequestMs: {kind: 'histogram', help: 'Time from a whole request to the end of its answer', labels: ['access']},
	sessionsCutTotal: {kind: 'counter', help: 'Sessions closed while their callers waited for an answer (statement) or had a transaction open (transaction)', labels: ['during']},
	usageDecisionsTotal: {kind: 'counter', help: 'Operations checked against the usage limit of their organisation, by outcome', labels: ['outcome']},
	// Endpoints and homes
	homeQueueTimeMs: {kind: 'histogram', help: 'Time that statements waited for a slot', labels: ['endpoint', 'lane']},
	homeQueueLength: {kind: 'gauge', help: 'Statements that wait for a slot', labels: ['endpoint']},
	homeSlotsInUse: {kind: 'gauge', help: 'Statements that run', labels: ['endpoint']},
	homeConnections: {kind: 'gauge', help: 'Open work connections', labels: ['endpoint']},
	homeTransactionsHeld: {kind: 'gauge', help: 'Open transactions', labels: ['endpoint']},
	homeRefusalsTotal: {kind: 'counter', help: 'Requests refused by a home', labels: ['endpoint', 'kind']},
	homeConfirmationMs: {kind: 'histogram', help: 'Time that answers waited for confirmation by a majority', labels: ['endpoint', 'access']},
	homeAttachesTotal: {kind: 'counter', help: 'Attempts to attach to an endpoint', labels: ['endpoint', 'manner', 'outcome']},
	poolEvictionsTotal: {kind: 'counter', help: 'Idle connections closed to make room for another organisation'},
	endpointEjectionsTotal: {kind: 'counter', help: 'Endpoints ejected because they are slow or failing compared with their group', labels: ['reason']},
	replicasPassedOverTotal: {kind: 'counter', help: 'Times that a read did not consider a replica that is probably behind, or that is ejected', labels: ['reason']},
	behindAtHomeTotal: {kind: 'counter', help: 'Statements that a home did not send to a replica that is probably behind', labels: ['endpoint']},
	heldStatementsRefusedTotal: {kind: 'counter', help: 'Statements of other nodes that were refused because their transaction is not held here, or is busy', labels: ['reason']},
	poolConnectsTotal: {kind: 'counter', help: 'Connections opened to endpoints, by outcome', labels: ['outcome']},
	// Peers and membership
	peerLinksOpen: {kind: 'gauge', help: 'Links to peers'},
	peerAnswersDroppedTotal: {kind: 'counter', help: 'Answers of peers to requests that are no longer pending', labels: ['reason']},
	peerRequestsUnansweredTotal: {kind: 'counter', help: 'Requests to peers that were abandoned without an answer', labels: ['cause', 'progress']},
	peerAnnouncementsDroppedTotal: {kind: 'counter', help: 'Announcements dropped because a link was slow'},
	peerSilencesTotal: {kind: 'counter', help: 'Links closed because the peer was silent'},
	hostsKnown: {kind: 'gauge', help: 'Hosts that are believed to exist'},
	hostsSuspected: {kind: 'gauge', help: 'Hosts treated as unreachable because they do not answer'},
	hostListReadsTotal: {kind: 'counter', help: 'Reads of the host list, by outcome', labels: ['outcome']},
	rowTransfersTotal: {kind: 'counter', help: 'Transfers of rows in parts between nodes, by outcome', labels: ['direction', 'outcome']},
	rowTransferBytesTotal: {kind: 'counter', help: 'Compressed bytes of rows sent in parts'},
	rowTransferMs: {kind: 'histogram', help: 'Time from the first to the last part of received rows'},
	proofRenewalsTotal: {kind: 'counter', help: 'Renewed proofs that the API keys are current, by source', labels: ['source']},
	// Groups and promotion
	confirmationsTotal: {kind: 'counter', help: 'Writes that waited for a majority, by outcome', labels: ['outcome']},
	confirmationWaitMs: {kind: 'histogram', help: 'Time that writes waited for a majority'},
	proofRoundsTotal: {kind: 'counter', help: 'Rounds of freshness proofs, by outcome', labels: ['outcome']},
	suspicionsTotal: {kind: 'counter', help: 'Times that a primary was suspected because it could not be reached'},
	majorityMissesTotal: {kind: 'counter', help: 'Promotions not started because no majority answered'},
	promotionsTotal: {kind: 'counter', help: 'Promotions by this node, by reason and outcome', labels: ['reason', 'outcome']},
	failoverGapMs: {kind: 'histogram', help: 'Time from the last contact with a primary to the next primary', labels: ['reason']},
	redirectionsTotal: {kind: 'counter', help: 'Commands to instances to follow the primary, by outcome', labels: ['outcome']},
	groupTerm: {kind: 'gauge', help: 'Highest term with a known primary', labels: ['group']},
	// Configuration
	configurationVersion: {kind: 'gauge', help: 'Number of the last change in force on this node'},
	configurationProposalsTotal: {kind: 'counter', help: 'Proposed changes by outcome', labels: ['outcome']},
	configurationSyncMessagesTotal: {kind: 'counter', help: 'Messages that spread the configuration', labels: ['kind']},
	storeEra: {kind: 'gauge', help: 'Times that the platform\'s store was restored from an older snapshot'},
	// Platform
	platformRequestsTotal: {kind: 'counter', help: 'Requests to the platform, by outcome', labels: ['service', 'operation', 'outcome']},
	platformRequestDurationMs: {kind: 'histogram', help: 'Duration of requests to the platform', labels: ['service']},
	platformIsAvailable: {kind: 'gauge', help: 'Whether the service answered the last request', labels: ['service']},
	termRecordsTotal: {kind: 'counter', help: 'Terms recorded in the table, by outcome', labels: ['outcome']},
	// Operators and audit
	operatorRequestsTotal: {kind: 'counter', help: 'Answered requests of operators, by status', labels: ['status']},
	auditEntriesTotal: {kind: 'counter', help: 'Entries of the audit trail, by outcome', labels: ['outcome']},
	auditBufferedEntries: {kind: 'gauge', help: 'Entries of the audit trail that are not yet confirmed as written'},
	// Routing
	routedRequestsTotal: {kind: 'counter', help: 'Attempts, by the reason that chose the endpoint', labels: ['access', 'reason']},
	answeredRequestsTotal: {kind: 'counter', help: 'Requests answered by an endpoint, by its role', labels: ['access', 'role']},
	goalDecisionsTotal: {kind: 'counter', help: 'Statements with a response-time goal that found no free slot, by the decision on their admission', labels: ['endpoint', 'priority', 'outcome']},
	returnAfterMs: {kind: 'histogram', help: 'Return times given to refused callers, by cause', labels: ['cause']},
	refusedRequestsTotal: {kind: 'counter', help: 'Requests refused, by kind', labels: ['access', 'kind']},
} as const satisfies Record<string, Metric>;
