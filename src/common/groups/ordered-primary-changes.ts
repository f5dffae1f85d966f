/**
 * Changes of the primary that operators order: a given endpoint is to become primary, or the
 * primary's endpoint is to be drained.
 */
import {Left, Right, type Either} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {Backoff} from '../homes/backoff.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {GroupView} from '../services/services.js';
import {WakeableSleep, withTimeout} from '../lifecycle/timing.js';
import {rankCandidates} from './candidates.js';
import type {InstanceWatch} from './instance-watch.js';
import type {GroupState} from './group-state.js';
import type {Promoter} from './promoter.js';
import {lagEntries} from './quorum.js';
import type {GroupOptions, GroupServices, PromotionReason} from './types.js';

/** A change that the current configuration asks for. */
type WantedChange = {readonly reason: PromotionReason; readonly endpoint: string | undefined; readonly responsibleEndpoint: string};

/** Carries out ordered changes, normally on the home of the endpoint concerned. */
export class OrderedPrimaryChanges implements Disposable {
	private readonly _group: GroupState;
	private readonly _promoter: Promoter;
	private readonly _services: GroupServices;
	private readonly _options: GroupOptions;
	private readonly _sleep: WakeableSleep;
	private readonly _backoff: Backoff;
	private _wantedSinceMs: number | undefined;
	private _isDisposed = false;

	constructor(group: GroupState, promoter: Promoter, services: GroupServices, options: GroupOptions) {
		this._group = group;
		this._promoter = promoter;
		this._services = services;
		this._options = options;
		this._sleep = new WakeableSleep(services.clock);
		this._backoff = promoter.newBackoff();
	}

	/** Runs the task that carries out the changes that the configuration asks for; resolves once disposed. */
	async run(): Promise<void> {
		while (!this._isDisposed) {
			const isWanted = this._wantedSinceMs !== undefined;
			await this._sleep.wait(isWanted ? this._options.wantedTickMs : this._options.unwantedTickMs);
			const change = this._wantedChange();
			const isDue = change && this._isResponsible(change) && this._isNearlyCaughtUp(this._wantedWatch(change.endpoint));
			if (!isDue || this._isDisposed || this._backoff.remainingMs > 0) {
				continue;
			}

			const outcome = await this.movePrimary(change.reason, change.endpoint);
			if (outcome.isRight()) {
				this._backoff.reset();
			} else {
				this._backoff.fail();
			}
		}
	}

	/** Checks for an ordered change at once. */
	wake(): void {
		this._sleep.wake();
	}

	/** Makes an endpoint primary, or the best replica if none is given; refused if it cannot be reached, is too stale or does not become primary. */
	async movePrimary(reason: PromotionReason, endpoint: string | undefined): Promise<Either<Refusal, GroupView>> {
		const wanted = this._wantedWatch(endpoint);
		if (!wanted?.isReachable) {
			return Left(new Refusal('endpointUnavailable', endpoint ?? 'no replica can be reached'));
		}

		if (wanted.name === this._group.primary && this._group.isPrimaryLeading()) {
			return Right(this._group.view());
		}

		if (this._group.isPrimaryLeading() && !await this._waitForCatchUp(wanted)) {
			return Left(new Refusal('tooStale', `${wanted.name} is too far behind the primary`));
		}

		const outcome = await this._promoter.promote({
			reason,
			sinceMs: this._services.clock.nowMs(),
			term: this._group.term,
			suspect: undefined,
			wanted: wanted.name,
		});
		return outcome.chain(view => view.primary === wanted.name
			? Right(view)
			: Left(new Refusal('noPrimary', `${view.primary} was more advanced than ${wanted.name} and leads term ${view.term}`)));
	}

	dispose(): void {
		this._isDisposed = true;
		this._sleep.dispose();
	}

	/** Waits, while the primary keeps writing, until the replica has nearly caught up; false after `catchUpTimeoutMs`. */
	private async _waitForCatchUp(wanted: InstanceWatch): Promise<boolean> {
		let subscription: Disposable | undefined;
		const caughtUp = new Promise<true>(resolve => {
			const check = (): void => {
				if (this._isNearlyCaughtUp(wanted)) {
					resolve(true);
				}
			};

			subscription = this._group.onReport(check);
			check();
		});
		const isCaughtUp = await withTimeout(this._services.clock, caughtUp, this._options.catchUpTimeoutMs);
		subscription?.dispose();
		return isCaughtUp ?? false;
	}

	private _isNearlyCaughtUp(replica: InstanceWatch | undefined): boolean {
		const target = this._group.primaryWatch?.state?.received;
		const reached = replica?.state?.received;
		return target !== undefined && reached !== undefined && lagEntries(reached, target) <= this._options.closeLagEntries;
	}

	private _wantedWatch(endpoint: string | undefined): InstanceWatch | undefined {
		return endpoint === undefined ? this._bestReplica() : this._group.watch(endpoint);
	}

	private _wantedChange(): WantedChange | undefined {
		const {configuration} = this._services;
		const policies = this._group.watches.map(({name}) => ({name, ...configuration.endpointPolicy(name)}));
		const [ordered] = policies
			.filter(({isOrderedPrimary, isDraining}) => isOrderedPrimary && !isDraining)
			.toSorted((a, b) => b.primaryPreference - a.primaryPreference || a.name.localeCompare(b.name, 'en'));
		const change = this._changeTo(ordered?.name, policies.find(({name}) => name === this._group.primary)?.isDraining ?? false);
		this._wantedSinceMs = change && (this._wantedSinceMs ?? this._services.clock.nowMs());
		return change;
	}

	private _changeTo(ordered: string | undefined, isPrimaryDraining: boolean): WantedChange | undefined {
		if (this._group.term === 0) {
			return undefined;
		}

		if (ordered !== undefined) {
			const isDone = ordered === this._group.primary;
			return isDone ? undefined : {reason: 'ordered', endpoint: ordered, responsibleEndpoint: ordered};
		}

		return isPrimaryDraining ? {reason: 'draining', endpoint: undefined, responsibleEndpoint: this._group.primary} : undefined;
	}

	/** Whether this node is to carry out the change: the home of the endpoint does, and any other monitor after `orderedTakeoverMs`. */
	private _isResponsible({responsibleEndpoint}: WantedChange): boolean {
		const {clock, membership} = this._services;
		const endpoint = this._group.watch(responsibleEndpoint)?.endpoint;
		const isHome = endpoint !== undefined && membership.homeOf(endpoint)?.name === membership.self.name;
		return isHome || clock.nowMs() - (this._wantedSinceMs ?? clock.nowMs()) >= this._options.orderedTakeoverMs;
	}

	private _bestReplica(): InstanceWatch | undefined {
		const candidates = this._group.reachable.flatMap(({name, endpoint, state}) => {
			const isCandidate = name !== this._group.primary && state?.role === 'replica'
				&& !this._services.configuration.endpointPolicy(name).isDraining;
			return isCandidate ? [{endpoint, state}] : [];
		});
		const preferences = {wanted: undefined, availabilityZone: this._group.primaryWatch?.endpoint.availabilityZone};
		const [best] = rankCandidates(candidates, preferences, this._services);
		return best && this._group.watch(best.endpoint.name);
	}
}
