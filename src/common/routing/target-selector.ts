/**
 * Chooses the endpoint of a request's next attempt: a replica for statements that are certain
 * to be reads, else the primary. Waits for a primary while the group has none.
 */
import {Refusal} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {EndpointDefinition, Random} from '../services/services.js';
import type {RequestProgress, Target} from './request-progress.js';
import {PrimaryFinder, type PrimaryFinderServices} from './primary-finder.js';
import {rankReplicas, type PrimaryReason} from './replica-ranking.js';

/** Services that the selector uses. */
export type TargetSelectorServices = PrimaryFinderServices & {readonly random: Random};

/** Chooses targets by the caller's policy, the cached views and the request's refusals so far. */
export class TargetSelector implements Disposable {
	private readonly _services: TargetSelectorServices;
	private readonly _finder: PrimaryFinder;

	constructor(services: TargetSelectorServices) {
		this._services = services;
		this._finder = new PrimaryFinder(services);
	}

	/** Resolves with the target of the next attempt; undefined when none is found in time. */
	async select(progress: RequestProgress): Promise<Target | undefined> {
		if (progress.cycle.access === 'read') {
			const target = this._chooseReadTarget(progress);
			if (target) {
				return target;
			}
		}

		return this._choosePrimary(progress);
	}

	dispose(): void {
		this._finder.dispose();
	}

	private _chooseReadTarget(progress: RequestProgress): Target | undefined {
		const {
			configuration, random, clock, views,
		} = this._services;
		const {session, policy} = progress;
		const isProofTried = progress.needsProof && progress.refusedBy.size > 0;
		if (policy.reads === 'primary' || isProofTried) {
			return undefined;
		}

		const ranked = rankReplicas({configuration, views, random}, {
			group: session.group,
			availabilityZone: session.caller.availabilityZone,
			minimumPosition: progress.minimumPosition,
			refusedBy: progress.refusedBy,
			nowMs: clock.nowMs(),
		});
		const best = ranked.at(0);
		return best && {endpoint: best.endpoint, reason: best.reason, isPrimary: false};
	}

	/** Resolves with the primary; waits for one while none is known. */
	private async _choosePrimary(progress: RequestProgress): Promise<Target | undefined> {
		const {group} = progress.session;
		if (!this._services.views.group(group).primary) {
			const isFound = await this._awaitPrimary(progress);
			if (!isFound) {
				return undefined;
			}
		}

		const endpoint = this._endpoint(group, this._services.views.group(group).primary);
		return endpoint && {endpoint, reason: primaryReason(progress), isPrimary: true};
	}

	private async _awaitPrimary(progress: RequestProgress): Promise<boolean> {
		const {clock, options} = this._services;
		if (!this._finder.hasWaiterCapacity) {
			progress.lastRefusal ??= new Refusal('noPrimary', 'too many requests wait for a primary');
			return false;
		}

		const timeLeftMs = progress.deadlineAtMs - clock.nowMs();
		const timeoutMs = Math.min(options.primaryWaitMs, timeLeftMs);
		return this._finder.waitForPrimary(progress.session.group, timeoutMs, progress.signal);
	}

	private _endpoint(group: string, name: string): EndpointDefinition | undefined {
		return this._services.configuration.group(group)?.endpoints.find(endpoint => endpoint.name === name);
	}
}

/** Why a request goes to the primary. */
function primaryReason({cycle, policy, refusedBy}: RequestProgress): PrimaryReason {
	if (cycle.access === 'write') {
		return 'primary';
	}

	if (policy.reads === 'primary') {
		return 'primaryByRule';
	}

	return refusedBy.size > 0 ? 'primaryBehind' : 'primaryNoReplica';
}
