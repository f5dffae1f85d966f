/**
 * The groups that this node follows: those that its routes lead to.
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

/** Keeps what is followed in step with routes and registrations. */
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

	/** Fires with a group whose primary could not be reached or did not answer. */
	get onPrimaryFault(): Event<PrimaryTracker> {
		return this._onPrimaryFault.event;
	}

	/** What this node knows of one group, or of all with an empty name. */
	overviews(service: string): readonly GroupOverview[] {
		const groups = [...this._groups.values()].map(({primacy}) => primacy);
		const asked = groups.filter(group => service === '' || group.service === service);
		for (const group of asked) {
			group.noteUse();
		}

		return asked.flatMap(group => group.overview() ?? []);
	}

	/** What this node knows of one group, after a look whether its primary answers. */
	async opinion(service: string): Promise<readonly GroupOverview[]> {
		await this.existing(service)?.checkPrimary();
		return this.overviews(service);
	}

	/** The group of a service; followed from now on. */
	group(service: string): PrimaryTracker {
		return this._track(service).primacy;
	}

	/** The group of a service if it is followed. */
	existing(service: string): PrimaryTracker | undefined {
		return this._groups.get(service)?.primacy;
	}

	/** Time for which all groups have been out of this node's reach; zero where none is known. */
	get unreachableForMs(): number {
		const times = [...this._groups.values()].map(({primacy}) => primacy.unreachableForMs);
		return times.length === 0 ? 0 : Math.min(...times);
	}

	/** Whether attempts to reach a primary failed, and every other group has not been proved for as long as a lease lasts. */
	get hasUnreachablePrimary(): boolean {
		const groups = [...this._groups.values()].map(({primacy}) => primacy);
		return groups.some(({isFailing}) => isFailing) && groups.every(({isFailing, isLeased}) => isFailing || !isLeased);
	}

	/** Looks at all groups at once. */
	wake(): void {
		for (const {primacy} of this._groups.values()) {
			primacy.wake();
		}
	}

	/**
	 * Asks the store for all groups whether their primaries are being replaced: now that it holds
	 * this node's registration, or, at a node that asks for others, so that what it tells them is
	 * still within the store's history.
	 */
	async checkReplacements(): Promise<void> {
		const {sharing} = this._services;
		if (sharing.isCoordinatorOnly) {
			// What the asking node was told spares a read of each group's row.
			await sharing.refresh();
		}

		for (const {primacy} of this._groups.values()) {
			// A node that may not ask learns the primary with what the store said, and then asks for changes.
			if (primacy.mayPollEndpoints || primacy.primary) {
				primacy.checkReplacement();
			}
		}
	}

	/** Follows the groups of these services. */
	follow(services: readonly string[]): void {
		for (const service of services) {
			this._track(service);
		}
	}

	/** Takes in another node's notice about a primary. */
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

	/** Until the store's word counts again: a promotion may take effect, or its promoter die, meanwhile. */
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
