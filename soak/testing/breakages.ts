/**
 * One deliberate breakage for each promise, with a plan in which it shows.
 */
import type {FaultName} from '../faults/fault-actions.js';
import type {Finding} from '../findings.js';
import type {RunPlan} from '../run.js';
import type {NetworkDelays} from '../world/simulated-network.js';
import type {WorldPlan} from '../world/world-plan.js';
import {
	answersSwapped, changesUnheard, drainsIgnored, numbersOverwritten, sessionsConfused, unknownSaidNotRun, withoutFence,
} from './adjustments.js';

/** A breakage and what a run with it must find. */
export type Breakage = {
	readonly name: string;
	/** Any one of these shows that the promise is broken. */
	readonly expected: ReadonlyArray<Finding['promise']>;
	/** Circumstances, also of the run without the breakage. */
	readonly circumstances: Partial<RunPlan> & {readonly delays?: NetworkDelays};
	readonly breakIt: (plan: RunPlan) => RunPlan;
};

/** Zones so far apart that much is on its way at any moment. */
const farZones: NetworkDelays = {withinZoneMs: 0.2, betweenZonesMs: 10, spreadMs: 0.5};

const writing = {writeShare: 0.8, transactionShare: 0, pauseMs: 20} as const;

function withWorld(changes: (world: WorldPlan) => Partial<WorldPlan>): Breakage['breakIt'] {
	return plan => ({...plan, world: {...plan.world, ...changes(plan.world)}});
}

function withFaults(...faultNames: FaultName[]): Pick<RunPlan, 'faultNames'> {
	return {faultNames};
}

/** Every breakage. */
export const breakages: readonly Breakage[] = [
	{
		name: 'the token is ignored',
		expected: ['stale', 'wentBack'],
		circumstances: {faultPauseMs: 0},
		breakIt: plan => ({...plan, sabotage: {isTokenIgnored: true}}),
	},
	{
		name: 'the stated age is ignored',
		expected: ['tooOld'],
		circumstances: {
			...withFaults('lagSpike'), agedReadShare: 0.6, maximumAgeMs: 200, pauseMs: 60,
		},
		breakIt: plan => ({...plan, sabotage: {isAgeIgnored: true}}),
	},
	{
		name: 'writes are answered at commit',
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
		breakIt: withWorld(() => ({adjustments: withoutFence})),
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
		name: 'what is unknown is said not to have run',
		expected: ['ranAfterNotRun'],
		circumstances: {...writing, ...withFaults('crashPrimary', 'killNode'), delays: farZones},
		breakIt: withWorld(() => ({adjustments: unknownSaidNotRun})),
	},
	{
		name: 'what may have run is sent again',
		expected: ['doubled'],
		circumstances: {...writing, ...withFaults('crashPrimary', 'killNode'), delays: farZones},
		breakIt: plan => ({...plan, sabotage: {isEverythingIdempotent: true}}),
	},
	{
		name: 'a leaving endpoint goes on',
		expected: ['leavingServed'],
		circumstances: withFaults('drainEndpoint'),
		breakIt: withWorld(() => ({adjustments: drainsIgnored})),
	},
	{
		name: 'a node ends without finishing',
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
		name: 'changes are not heard of',
		expected: ['configurationLate'],
		circumstances: withFaults('operatorRace'),
		breakIt: withWorld(() => ({adjustments: changesUnheard})),
	},
];
