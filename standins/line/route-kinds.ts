/**
 * Kinds of the routes of stand-in deployments, in the operators' words.
 */

/** Kinds by the name of the route's database. */
export const routeKinds = {primary: 'primary', aged: 'bounded_staleness', own: 'read_your_writes'} as const;
