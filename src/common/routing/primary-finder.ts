/**
 * Finds the primary of a group on demand, by polling the homes of the group's endpoints.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {DisposableStore} from '../lifecycle/disposable.js';
import type {
	Clock, Configuration, GroupView, Groups, Host, Membership, Peers,
} from '../services/services.js';
import {pauseFor} from '../lifecycle/timing.js';
import type {RoutingOptions} from './constants.js';
import type {GroupViewCache} from './group-view-cache.js';

/** Services that the finder uses. */
export type PrimaryFinderServices = {
	readonly clock: Clock;
	readonly configuration: Configuration;
	readonly membership: Membership;
	readonly peers: Peers;
	readonly groups: Groups;
	readonly views: GroupViewCache;
	readonly options: RoutingOptions;
};

/** Waits until a group's primary is known and polls the group's homes meanwhile, in one search per group. */
export class PrimaryFinder implements Disposable {
	private readonly _services: PrimaryFinderServices;
	private readonly _disposables = new DisposableStore();
	private readonly _searches = new Map<string, Promise<void>>();
	private _waiterCount = 0;

	constructor(services: PrimaryFinderServices) {
		this._services = services;
	}

	/** Whether another request may wait for a primary. */
	get hasWaiterCapacity(): boolean {
		return this._waiterCount < this._services.options.maximumPrimaryWaiters;
	}

	/**
	 * Resolves with true once a primary is known, with false when the timeout has passed or
	 * the request was cancelled.
	 */
	async waitForPrimary(group: string, timeoutMs: number, signal: AbortSignal): Promise<boolean> {
		if (this._services.views.group(group).primary) {
			return true;
		}

		this._waiterCount += 1;
		const untilMs = this._services.clock.nowMs() + timeoutMs;
		this._search(group, untilMs);
		const isFound = await this._nextPrimary(group, timeoutMs, signal);
		this._waiterCount -= 1;
		return isFound;
	}

	dispose(): void {
		this._disposables.dispose();
	}

	private async _nextPrimary(group: string, timeoutMs: number, signal: AbortSignal): Promise<boolean> {
		const {clock, views} = this._services;
		const waiting = new DisposableStore();
		const isFound = await new Promise<boolean>(resolve => {
			waiting.register(clock.setTimer(timeoutMs, () => {
				resolve(false);
			}));
			waiting.register(views.onPrimary(changed => {
				if (changed === group) {
					resolve(true);
				}
			}));
			const onAbort = () => {
				resolve(false);
			};

			signal.addEventListener('abort', onAbort, {once: true});
			waiting.register({
				dispose() {
					signal.removeEventListener('abort', onAbort);
				},
			});
		});
		waiting.dispose();
		return isFound;
	}

	/** Starts a search unless one is in progress; it continues when the request that started it has ended. */
	private _search(group: string, untilMs: number): void {
		if (this._searches.has(group)) {
			return;
		}

		const search = this._pollUntilFound(group, untilMs).finally(() => {
			this._searches.delete(group);
		});
		this._searches.set(group, search);
	}

	private async _pollUntilFound(group: string, untilMs: number): Promise<void> {
		const {clock, views, options} = this._services;
		let pauseMs = options.primaryPollMs;
		while (!this._disposables.isDisposed && clock.nowMs() < untilMs) {
			// Each round polls all homes of the group concurrently.
			await this._pollHomes(group);
			if (views.group(group).primary) {
				return;
			}

			await pauseFor(clock, pauseMs);
			pauseMs = Math.min(pauseMs * 2, options.maximumPrimaryPollMs);
		}
	}

	private async _pollHomes(group: string): Promise<void> {
		const {configuration, membership, views} = this._services;
		const homes = new Map<string, Host>();
		for (const endpoint of configuration.group(group)?.endpoints ?? []) {
			const home = membership.homeOf(endpoint);
			if (home) {
				homes.set(home.name, home);
			}
		}

		await Promise.all([...homes.values()].map(async home => {
			const view = await this._viewOf(home, group);
			if (view) {
				views.learnView(view);
			}
		}));
	}

	private async _viewOf(home: Host, group: string): Promise<GroupView | undefined> {
		const {membership, peers, groups, options} = this._services;
		if (home.name === membership.self.name) {
			return groups.existing(group)?.view();
		}

		const answer = await peers.groupView(home, group, options.viewTimeoutMs);
		return answer.toMaybe().extract();
	}
}
