/**
 * Decides after a refusal whether the request is attempted again, and what changes before that.
 */
import type {Refusal} from '../errors/error-kinds.js';
import type {Clock} from '../services/services.js';
import {pauseFor} from '../lifecycle/timing.js';
import type {RequestProgress, Target} from './request-progress.js';
import type {RoutingOptions} from './constants.js';
import type {GroupViewCache} from './group-view-cache.js';
import {nextStepByKind, type NextStep} from './refusal-steps.js';
import type {RetryBudget} from './retry-budget.js';

/** Services that the policy uses. */
export type RetryPolicyServices = {
	readonly clock: Clock;
	readonly views: GroupViewCache;
	readonly budget: RetryBudget;
	readonly options: RoutingOptions;
};

/** Decides whether a refused request is attempted again. */
export class RetryPolicy {
	private readonly _services: RetryPolicyServices;

	private readonly _stepHandlers: Record<NextStep, (progress: RequestProgress, target: Target) => boolean | Promise<boolean>> = {
		detour: async (progress, target) => this._applyHomeCorrection(progress, target),
		anotherEndpoint: async (progress, target) => this._excludeEndpoint(progress, target),
		anotherReplica: async (progress, target) => !target.isPrimary && this._excludeEndpoint(progress, target),
		findPrimary: async (progress, target) => this._rejectPrimary(progress, target),
		retry: (progress, target) => this._spendRetry(progress, target),
	};

	constructor(services: RetryPolicyServices) {
		this._services = services;
	}

	/** Resolves with whether the request is attempted again; if so, the next attempt has been prepared. */
	async prepareRetry(progress: RequestProgress, target: Target, refusal: Refusal): Promise<boolean> {
		if (progress.hasPushed || progress.signal.aborted) {
			return false;
		}

		const isKnownNotRun = refusal.answer.isProxyRetryable && refusal.answer.outcome === 'notRun';
		const isSafeToRepeat = progress.session.isIdempotent && refusal.answer.outcome === 'unknown';
		if (!isKnownNotRun && !isSafeToRepeat) {
			return false;
		}

		const step = nextStepByKind[refusal.kind] ?? 'retry';
		return this._stepHandlers[step](progress, target);
	}

	/** Counts a detour, which takes nothing from the retry budget; the first is taken immediately, later ones after a pause. */
	private async _takeDetour(progress: RequestProgress): Promise<boolean> {
		const {clock, options} = this._services;
		progress.detourCount += 1;
		const timeLeftMs = progress.deadlineAtMs - clock.nowMs();
		if (progress.detourCount > options.maximumDetours || timeLeftMs <= 0) {
			return false;
		}

		if (progress.detourCount > 1) {
			const pauseMs = Math.min(options.detourPauseMs * (2 ** (progress.detourCount - 2)), options.longestDetourPauseMs);
			await pauseFor(clock, Math.min(pauseMs, timeLeftMs));
		}

		return !progress.signal.aborted;
	}

	/** The node does not serve the endpoint: uses the home that its refusal names, or the rendezvous home if it names none. */
	private async _applyHomeCorrection(progress: RequestProgress, target: Target): Promise<boolean> {
		const view = this._services.views.endpoint(progress.session.group, target.endpoint.name);
		view.homeNode = progress.lastRefusal?.correction?.homeNode;
		if (!target.isPrimary && view.homeNode === undefined) {
			return this._excludeEndpoint(progress, target);
		}

		return this._takeDetour(progress);
	}

	/** The endpoint cannot serve this request but another one may: excludes it from the next attempts. */
	private async _excludeEndpoint(progress: RequestProgress, target: Target): Promise<boolean> {
		progress.refusedBy.add(target.endpoint.name);
		return target.isPrimary ? this._rejectPrimary(progress, target) : true;
	}

	/** The endpoint does not serve as primary: removes it from the cached view, so that the primary is searched for. */
	private async _rejectPrimary(progress: RequestProgress, target: Target): Promise<boolean> {
		const {primaryRejectionMs} = this._services.options;
		this._services.views.rejectPrimary(progress.session.group, target.endpoint.name, primaryRejectionMs);
		return this._takeDetour(progress);
	}

	/** The attempt failed for another reason: avoids the endpoint for a while and takes a retry from the budget. */
	private _spendRetry(progress: RequestProgress, target: Target): boolean {
		const {endpointPenaltyMs, primaryRejectionMs} = this._services.options;
		const {group} = progress.session;
		this._services.views.avoid(group, target.endpoint.name, endpointPenaltyMs);
		this._services.views.rejectPrimary(group, target.endpoint.name, primaryRejectionMs);
		progress.refusedBy.add(target.endpoint.name);
		progress.retryCount += 1;
		return progress.retryCount <= progress.policy.maximumRetries && this._services.budget.tryRetry();
	}
}
