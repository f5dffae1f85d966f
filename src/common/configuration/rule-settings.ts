/**
 * How each setting of a policy is read from the effect of a rule. Each setting is resolved on
 * its own: the first rule in order of precedence that applies and states it wins.
 */
import type {CallerPolicy, EndpointPolicy} from '../services/services.js';
import type {RuleEffect} from './schema.js';

/** Reads one setting from an effect; undefined when the effect does not state it. */
type Reader = (effect: RuleEffect) => unknown;

/** Readers for the settings of a caller's policy; `maximumAgeMs` may also read as 'unbounded'. */
export const callerSettings = {
	reads: effect => effect.kind === 'readRouting' ? effect.reads : undefined,
	maximumAgeMs: effect => effect.kind === 'readRouting' ? effect.maximumAgeMs : undefined,
	priority: effect => effect.kind === 'callerLimit' ? effect.priority : undefined,
	maximumInProgress: effect => effect.kind === 'callerLimit' ? effect.maximumInProgress : undefined,
	deadlineMs: effect => effect.kind === 'deadline' ? effect.deadlineMs : undefined,
	maximumRetries: effect => effect.kind === 'retryAllowance' ? effect.maximumRetries : undefined,
	transactionIdleMs: effect => effect.kind === 'transactionIdle' ? effect.transactionIdleMs : undefined,
} as const satisfies Record<keyof CallerPolicy, Reader>;

/** Readers for the settings of an endpoint's policy. */
export const endpointSettings = {
	isDraining: effect => effect.kind === 'drain' ? effect.isDraining : undefined,
	acceptsReads: effect => effect.kind === 'readAcceptance' ? effect.acceptsReads : undefined,
	primaryPreference: effect => effect.kind === 'primaryPreference' ? effect.weight : undefined,
	isOrderedPrimary: effect => effect.kind === 'orderPrimary' ? true : undefined,
} as const satisfies Record<keyof EndpointPolicy, Reader>;

/** Name of a setting of a caller's policy. */
export type CallerSetting = keyof typeof callerSettings;

/** Name of a setting of an endpoint's policy. */
export type EndpointSetting = keyof typeof endpointSettings;
