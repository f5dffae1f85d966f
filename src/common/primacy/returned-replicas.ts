/**
 * Replicas that restarted, or whose registrations returned. A promotion may have begun without
 * fencing them, or they may have lost its fence, so their reports prove no term until the store shows
 * that no replacement of it has begun. A promoter that begins later reads the registrations after it
 * acquired the duty, and so fences them.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {pauseFor} from '../lifecycle/timing.js';
import type {EndpointReports} from './endpoint-reports.js';
import type {GroupServices, Primary} from './types.js';

/** State of the group that the checks need. */
type ReturningGroup = {
	readonly service: string;
	readonly primary: Primary | undefined;
	readonly mayPollEndpoints: boolean;
	/** Polls and checks the group at once. */
	wake(): void;
};

/** Clears the returned replicas of one group. */
export class ReturnedReplicas implements Disposable {
	private readonly _group: ReturningGroup;
	private readonly _reports: EndpointReports;
	private readonly _services: GroupServices;
	private _isDisposed = false;

	constructor(group: ReturningGroup, reports: EndpointReports, services: GroupServices) {
		this._group = group;
		this._reports = reports;
		this._services = services;
	}

	/**
	 * Repeats the check until the replica's proofs are accepted again, or the replica has returned
	 * once more or is gone.
	 */
	async clearWhenSafe(endpointId: string): Promise<void> {
		const {clock, options} = this._services;
		const returnCount = this._reports.returnCount(endpointId);
		let pauseMs = options.returnLookMs;
		while (this._isStillReturned(endpointId, returnCount)) {
			if (this._group.mayPollEndpoints && await this._isTermUncontested()) {
				this._reports.clearMissedFence(endpointId, returnCount);
				this._group.wake();
				return;
			}

			await pauseFor(clock, pauseMs);
			pauseMs = Math.min(pauseMs * 2, options.longestReturnLookMs);
		}
	}

	dispose(): void {
		this._isDisposed = true;
	}

	private _isStillReturned(endpointId: string, returnCount: number): boolean {
		return !this._isDisposed && this._reports.returnCount(endpointId) === returnCount && this._services.registry.endpoint(endpointId) !== undefined;
	}

	/** Whether no replacement of the known term's primary has begun. */
	private async _isTermUncontested(): Promise<boolean> {
		const term = this._group.primary?.term;
		const state = await this._services.duties.state(this._group.service);
		return term !== undefined && term === this._group.primary?.term && state.map(({begunTerm}) => begunTerm < term).orDefault(false);
	}
}
