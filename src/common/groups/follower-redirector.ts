/**
 * Redirects instances that do not follow the current primary to it.
 */
import {DisposableStore, type Disposable} from '../lifecycle/disposable.js';
import type {InstanceState} from '../services/services.js';
import type {InstanceWatch} from './instance-watch.js';
import type {GroupState} from './group-state.js';
import type {GroupOptions, GroupServices} from './types.js';

/** When an instance was first seen to need a redirect, and when it was last sent a follow command. */
type PendingRedirect = {sinceMs: number; lastOrderedMs: number | undefined; isOrderInFlight: boolean};

/**
 * Sends follow commands to instances. Any monitor may do so at any time: the command names
 * its term, and an instance that promised a higher one refuses it.
 */
export class FollowerRedirector implements Disposable {
	private readonly _group: GroupState;
	private readonly _services: GroupServices;
	private readonly _options: GroupOptions;
	private readonly _scope = new DisposableStore();
	private readonly _pendingRedirects = new Map<InstanceWatch, PendingRedirect>();
	private _timer: Disposable | undefined;

	constructor(group: GroupState, services: GroupServices, options: GroupOptions) {
		this._group = group;
		this._services = services;
		this._options = options;
		this._scope.register(group.onReport(watch => {
			this._examine(watch);
		}));
		this._scope.register(group.onPrimary(() => {
			this._examineAll();
		}));
	}

	/** Redirects every connected instance that needs it at once, after this node has promoted a primary. */
	redirectAll(): void {
		for (const watch of this._group.watches) {
			if (watch.control && this._needsRedirect(watch)) {
				void this._redirect(watch, this._pendingRedirectOf(watch));
			}
		}
	}

	dispose(): void {
		this._scope.dispose();
		this._timer?.dispose();
	}

	private _examineAll(): void {
		for (const watch of this._group.watches) {
			this._examine(watch);
		}
	}

	/** Redirects an instance that has needed it for `redirectAfterMs`; by then another monitor may have redirected it. */
	private _examine(watch: InstanceWatch): void {
		if (!watch.control || !this._needsRedirect(watch)) {
			this._pendingRedirects.delete(watch);
			return;
		}

		const pendingRedirect = this._pendingRedirectOf(watch);
		const dueMs = pendingRedirect.lastOrderedMs === undefined
			? pendingRedirect.sinceMs + this._options.redirectAfterMs
			: pendingRedirect.lastOrderedMs + this._options.redirectAgainMs;
		if (this._services.clock.nowMs() < dueMs) {
			this._scheduleExamination();
		} else if (!pendingRedirect.isOrderInFlight && this._group.isPrimaryLeading()) {
			void this._redirect(watch, pendingRedirect);
		}
	}

	private _scheduleExamination(): void {
		if (this._timer !== undefined || this._scope.isDisposed) {
			return;
		}

		const delayMs = this._options.redirectAfterMs * (1 + this._services.random.next());
		this._timer = this._services.clock.setTimer(delayMs, () => {
			this._timer = undefined;
			this._examineAll();
		});
	}

	private async _redirect(watch: InstanceWatch, pendingRedirect: PendingRedirect): Promise<void> {
		const {term} = this._group;
		const primary = this._group.primaryWatch;
		if (!primary || primary === watch) {
			return;
		}

		pendingRedirect.isOrderInFlight = true;
		const answer = await watch.order(async control => control.follow(term, primary.endpoint));
		pendingRedirect.isOrderInFlight = false;
		pendingRedirect.lastOrderedMs = this._services.clock.nowMs();
		this._services.log.event('instanceRedirected', {
			group: this._group.name, endpoint: watch.name, term, primary: primary.name, isAccepted: answer?.isAccepted ?? false,
		});
		this._services.metrics.count('redirectionsTotal', {outcome: outcomeOf(answer)});
		if (!this._scope.isDisposed) {
			this._examine(watch);
		}
	}

	private _pendingRedirectOf(watch: InstanceWatch): PendingRedirect {
		let pendingRedirect = this._pendingRedirects.get(watch);
		if (!pendingRedirect) {
			pendingRedirect = {sinceMs: this._services.clock.nowMs(), lastOrderedMs: undefined, isOrderInFlight: false};
			this._pendingRedirects.set(watch, pendingRedirect);
		}

		return pendingRedirect;
	}

	private _needsRedirect(watch: InstanceWatch): boolean {
		const {term} = this._group;
		if (!watch.state || term === 0 || watch.name === this._group.primary) {
			return false;
		}

		return watch.state.promisedTerm <= term && !isFollowing(watch.state, term);
	}
}

function isFollowing({role, promisedTerm, isStreaming}: InstanceState, term: number): boolean {
	return promisedTerm === term && role !== 'primary' && isStreaming;
}

function outcomeOf(answer: {readonly isAccepted: boolean} | undefined): string {
	if (!answer) {
		return 'unanswered';
	}

	return answer.isAccepted ? 'accepted' : 'refused';
}
