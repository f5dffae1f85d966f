/**
 * The groups that this node tracks, which are those that its routes lead to.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {Event} from '../lifecycle/emitter.js';
import {WakeableSleep} from '../lifecycle/timing.js';
import type {GroupOverview} from '../services/services.js';
import {DutyChanges} from './duty-changes.js';
import {Failover} from './failover.js';
import {PrimaryTracker} from './primary-tracker.js';
import {PromotionDuties} from './promotion-duty.js';
import type {GroupServices, Primary, PrimacyServices} from './types.js';

type TrackedGroup = {
	readonly primacy: PrimaryTracker;
	readonly failover: Failover;
};

/** Tracks the primaries of all groups, and forwards registration changes and store restores to them. */
export class PrimaryTrackers implements Disposable {
	private readonly _services: GroupServices;
	private readonly _groups = new Map<string, TrackedGroup>();
	private readonly _dutyChanges: DutyChanges;
	private readonly _onPrimaryFault = new Emitter<PrimaryTracker>();
	private readonly _registrationListener: Disposable;
	private readonly _returnListener: Disposable;
	private readonly _restoreListener: Disposable;
	private readonly _sleep: WakeableSleep;
	private _isRewriting = false;
	private _isDisposed = false;

	constructor(services: PrimacyServices) {
		this._services = {...services, duties: new PromotionDuties(services, services.options.dutyLeaseMs)};
		this._sleep = new WakeableSleep(services.clock);
		this._dutyChanges = new DutyChanges(services.store);
		this._registrationListener = services.registry.onChange(service => {
			services.pools.disposeUnregistered(service, services.registry.ofService(service));
			this._groups.get(service)?.primacy.wake();
		});
		this._returnListener = services.registry.onReturn(({id, service}) => {
			this._groups.get(service)?.primacy.noteReturn(id);
		});
		this._restoreListener = services.restores.onRestore(() => {
			void this._rewriteLostDuties();
		});
	}

	/** Fires with a group whose primary could not be reached or did not respond. */
	get onPrimaryFault(): Event<PrimaryTracker> {
		return this._onPrimaryFault.event;
	}

	/** Returns this node's overview of one group, or of all groups if the name is empty. */
	overviews(service: string): readonly GroupOverview[] {
		const groups = [...this._groups.values()].map(({primacy}) => primacy);
		const asked = groups.filter(group => service === '' || group.service === service);
		for (const group of asked) {
			group.noteUse();
		}

		return asked.flatMap(group => group.overview() ?? []);
	}

	/**
	 * Returns this node's overview of one group after polling its primary, unless the primary was
	 * heard from recently.
	 */
	async opinion(service: string): Promise<readonly GroupOverview[]> {
		await this.existing(service)?.checkPrimary();
		return this.overviews(service);
	}

	/** Returns the tracker of a service's group, and starts tracking the group if needed. */
	group(service: string): PrimaryTracker {
		return this._track(service).primacy;
	}

	/** Returns the tracker of a service's group; undefined if the group is not tracked. */
	existing(service: string): PrimaryTracker | undefined {
		return this._groups.get(service)?.primacy;
	}

	/** Time in milliseconds for which all groups have been unreachable from this node; zero if no group is tracked. */
	get unreachableForMs(): number {
		const times = [...this._groups.values()].map(({primacy}) => primacy.unreachableForMs);
		return times.length === 0 ? 0 : Math.min(...times);
	}

	/** Whether attempts to reach some primary are failing, and every other group has no valid lease. */
	get hasUnreachablePrimary(): boolean {
		const groups = [...this._groups.values()].map(({primacy}) => primacy);
		return groups.some(({isFailing}) => isFailing) && groups.every(({isFailing, isLeased}) => isFailing || !isLeased);
	}

	/** Polls and checks all groups at once. */
	wake(): void {
		for (const {primacy} of this._groups.values()) {
			primacy.wake();
		}
	}

	/**
	 * Checks in the store for all groups whether their primaries are being replaced. Called once the
	 * store holds this node's registration; a coordinator also calls it so that the versions that it
	 * passes on stay within the store's history.
	 */
	async checkReplacements(): Promise<void> {
		const {proofSource} = this._services;
		if (proofSource.isCoordinatorOnly) {
			// The coordinator's overviews make a read of each group's row unnecessary.
			await proofSource.refresh();
		}

		for (const {primacy} of this._groups.values()) {
			// A node that may not poll endpoints learns the primary together with the replacement
			// state, and from then on only requests changes.
			if (primacy.mayPollEndpoints || primacy.primary) {
				primacy.checkReplacement();
			}
		}
	}

	/** Starts tracking the groups of these services. */
	follow(services: readonly string[]): void {
		for (const service of services) {
			this._track(service);
		}
	}

	/** Applies another node's announcement of a primary; ignored if the group is not tracked. */
	learnPrimary(service: string, primary: Primary): void {
		this._groups.get(service)?.primacy.learnPrimary(primary, 'notice');
	}

	dispose(): void {
		this._isDisposed = true;
		this._sleep.dispose();
		this._registrationListener.dispose();
		this._returnListener.dispose();
		this._restoreListener.dispose();
		for (const {primacy, failover} of this._groups.values()) {
			failover.dispose();
			primacy.dispose();
		}
	}

	/**
	 * Rewrites lost promotion records repeatedly until the store has settled after a restore: a
	 * promotion may take effect, or its promoter crash, in the meantime.
	 */
	private async _rewriteLostDuties(): Promise<void> {
		if (this._isRewriting) {
			return;
		}

		this._isRewriting = true;
		const {restores} = this._services;
		while (!this._isDisposed && !restores.isSettled) {
			await Promise.all([...this._groups.values()].map(async ({primacy}) => primacy.rewriteLostDuty()));
			await this._sleep.wait(restores.options.putBackEveryMs);
		}

		this._isRewriting = false;
	}

	private _track(service: string): TrackedGroup {
		let tracked = this._groups.get(service);
		if (!tracked) {
			const primacy = new PrimaryTracker(service, this._services, this._dutyChanges);
			const failover = new Failover(primacy, this._services);
			tracked = {primacy, failover};
			this._groups.set(service, tracked);
			primacy.onPrimaryFault(() => {
				this._onPrimaryFault.fire(primacy);
			});
			primacy.start();
			failover.start();
		}

		return tracked;
	}
}
