/**
 * The metrics of every decision. Names carry their unit as a suffix; they are exported
 * in snake case behind the prefix `quetzalstream_`.
 */

type Metric = {
	readonly kind: 'counter' | 'gauge' | 'histogram';
	readonly help: string;
	readonly labels?: readonly string[];
};

/** Every metric the program keeps. */
export const metrics = {
	// Process
	invariantViolationsTotal: {kind: 'counter', help: 'Invariants that did not hold', labels: ['invariant']},
	// Callers
	// Endpoints and homes
	// Peers and membership
	// Groups and promotion
	// Configuration
	// Platform
	// Operators and audit
	// Routing
	routedRequestsTotal: {kind: 'counter', help: 'Attempts, by the reason that chose the endpoint', labels: ['access', 'reason']},
	answeredRequestsTotal: {kind: 'counter', help: 'Requests answered by an endpoint, by its role', labels: ['access', 'role']},
	refusedRequestsTotal: {kind: 'counter', help: 'Requests refused, by kind', labels: ['access', 'kind']},
} as const satisfies Record<string, Metric>;
