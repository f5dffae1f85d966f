/**
 * Deliberate breakages of promises, each with a plan with which a run finds it.
 */
import type {FaultName} from '../faults/fault-actions.js';
import type {Finding} from '../findings.js';
import type {RunPlan} from '../run.js';
import type {NetworkDelays} from '../world/simulated-network.js';
import type {WorldPlan} from '../world/world-plan.js';
import {
	answersSwapped, changesHidden, drainsIgnored, numbersOverwritten, sessionsConfused, unknownReportedNotRun, fenceSkipped,
} from './adjustments.js';

/** A breakage and what a run with it must find. */
export type Breakage = {
	readonly name: string;
	/** Promises of which at least one must be found broken. */
	readonly expected: ReadonlyArray<Finding['promise']>;
	/** Changes to the plan, also for the run without the breakage. */
	readonly circumstances: Partial<RunPlan> & {readonly delays?: NetworkDelays};
	readonly breakIt: (plan: RunPlan) => RunPlan;
};

/** Zones so far apart that many messages are in flight at any time. */
const farZones: NetworkDelays = {withinZoneMs: 0.2, betweenZonesMs: 10, spreadMs: 0.5};

const writing = {writeShare: 0.8, transactionShare: 0, pauseMs: 20} as const;

function withWorld(changes: (world: WorldPlan) => Partial<WorldPlan>): Breakage['breakIt'] {
	return plan => ({...plan, world: {...plan.world, ...changes(plan.world)}});
}

function withFaults(...faultNames: FaultName[]): Pick<RunPlan, 'faultNames'> {
	return {faultNames};
}

/** All breakages. */
export const breakages: readonly Breakage[] = [
	{
		name: 'the token is ignored',
		expected: ['stale', 'wentBack'],
		circumstances: {faultPauseMs: 0},
		breakIt: plan => ({...plan, sabotage: {isTokenIgnored: true}}),
	},
	{
		name: 'the maximum age of a read is ignored',
		expected: ['tooOld'],
		circumstances: {
			...withFaults('lagSpike'), agedReadShare: 0.6, maximumAgeMs: 200, pauseMs: 60,
		},
		breakIt: plan => ({...plan, sabotage: {isAgeIgnored: true}}),
	},
	{
		name: 'writes are acknowledged at commit',
		expected: ['lost'],
		circumstances: {...writing, ...withFaults('isolatePrimary')},
		breakIt: withWorld(() => ({nodeOptions: {homes: {acknowledgement: 'commit'}}})),
	},
	{
		name: 'promotion without a fence',
		expected: ['lost', 'fencedAcknowledgement'],
		circumstances: {
			...writing, ...withFaults('orderPrimary'), faultChains: 4, delays: farZones,
		},
		breakIt: withWorld(() => ({adjustments: fenceSkipped})),
	},
	{
		name: 'sessions share a transaction\'s connection',
		expected: ['mixed', 'transactionIsolation'],
		circumstances: {transactionShare: 0.5, pauseMs: 50, faultPauseMs: 0},
		breakIt: withWorld(() => ({adjustments: sessionsConfused})),
	},
	{
		name: 'statements of a transaction are sent outside of it',
		expected: ['mixed'],
		circumstances: {...withFaults('crashEndpoint', 'killNode'), transactionShare: 0.6, pauseMs: 40},
		breakIt: plan => ({...plan, sabotage: {isTransactionSplit: true}}),
	},
	{
		name: 'answers go to another request',
		expected: ['foreignAnswer'],
		circumstances: {faultPauseMs: 0},
		breakIt: withWorld(() => ({adjustments: answersSwapped()})),
	},
	{
		name: 'an unknown outcome is reported as not run',
		expected: ['ranAfterNotRun'],
		circumstances: {...writing, ...withFaults('crashPrimary', 'killNode'), delays: farZones},
		breakIt: withWorld(() => ({adjustments: unknownReportedNotRun})),
	},
	{
		name: 'a statement that may have run is retried',
		expected: ['doubled'],
		circumstances: {...writing, ...withFaults('crashPrimary', 'killNode'), delays: farZones},
		breakIt: plan => ({...plan, sabotage: {isEverythingIdempotent: true}}),
	},
	{
		name: 'a drained endpoint gets new work',
		expected: ['leavingServed'],
		circumstances: withFaults('drainEndpoint'),
		breakIt: withWorld(() => ({adjustments: drainsIgnored})),
	},
	{
		name: 'a node ends without waiting for its requests',
		expected: ['drainCut'],
		circumstances: {...withFaults('drainNode'), pauseMs: 20},
		breakIt: plan => ({...plan, drain: {noticeMs: 0, boundMs: 0, linksMs: 0}}),
	},
	{
		name: 'two changes get the same number',
		expected: ['configurationAltered'],
		circumstances: withFaults('operatorRace'),
		breakIt: withWorld(() => ({adjustments: numbersOverwritten})),
	},
	{
		name: 'nodes do not learn of changes',
		expected: ['configurationLate'],
		circumstances: withFaults('operatorRace'),
		breakIt: withWorld(() => ({adjustments: changesHidden})),
	},
];
