/**
 * The groups that this node follows: those that its routes lead to.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {Failover} from './failover.js';
import {GroupPrimacy} from './group-primacy.js';
import type {Primary, PrimacyServices} from './types.js';

type FollowedGroup = {
	readonly primacy: GroupPrimacy;
	readonly failover: Failover;
};

/** Keeps what is followed in step with routes and registrations. */
export class GroupPrimacies implements Disposable {
	private readonly _services: PrimacyServices;
	private readonly _groups = new Map<string, FollowedGroup>();
	private readonly _watch: Disposable;

	constructor(services: PrimacyServices) {
		this._services = services;
		this._watch = services.registry.onChange(service => {
			services.pools.retain(service, services.registry.ofService(service));
			this._groups.get(service)?.primacy.wake();
		});
	}

	/** The group of a service; followed from now on. */
	group(service: string): GroupPrimacy {
		return this._followed(service).primacy;
	}

	/** The group of a service if it is followed. */
	existing(service: string): GroupPrimacy | undefined {
		return this._groups.get(service)?.primacy;
	}

	/** Whether all groups are out of this node's reach. */
	get isCutOff(): boolean {
		const groups = [...this._groups.values()];
		return groups.length > 0 && groups.every(({primacy}) => primacy.isOutOfReach);
	}

	/** Follows the groups of these services. */
	follow(services: readonly string[]): void {
		for (const service of services) {
			this._followed(service);
		}
	}

	/** Takes in what another node says about a primary. */
	learnPrimary(service: string, primary: Primary): void {
		this._groups.get(service)?.primacy.learnPrimary(primary);
	}

	dispose(): void {
		this._watch.dispose();
		for (const {primacy, failover} of this._groups.values()) {
			failover.dispose();
			primacy.dispose();
		}
	}

	private _followed(service: string): FollowedGroup {
		let followed = this._groups.get(service);
		if (!followed) {
			const primacy = new GroupPrimacy(service, this._services);
			const failover = new Failover(primacy, this._services);
			followed = {primacy, failover};
			this._groups.set(service, followed);
			primacy.start();
			failover.start();
		}

		return followed;
	}
}
