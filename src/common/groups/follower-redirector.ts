/**
 * Makes instances that follow an old primary follow the current one.
 */
import {DisposableStore, type Disposable} from '../lifecycle/disposable.js';
import type {InstanceState} from '../services/services.js';
import type {InstanceWatch} from './instance-watch.js';
import type {GroupState} from './group-state.js';
import type {GroupOptions, GroupServices} from './types.js';

/** When an instance was first seen off course, and when it was last told. */
type PendingRedirect = {sinceMs: number; lastOrderedMs: number | undefined; isOrderInFlight: boolean};

/**
 * Orders instances to follow. Any monitor may: the order names the term, and an instance
 * that promised a higher one refuses it.
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

	/** Tells every instance that is connected, at once: this node has just promoted. */
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

	/** Tells an instance that has been off course for a while; others may have told it by then. */
	private _examine(watch: InstanceWatch): void {
		if (!watch.control || !this._needsRedirect(watch)) {
			this._pendingRedirects.delete(watch);
			return;
		}

		const deviation = this._pendingRedirectOf(watch);
		const dueMs = deviation.lastOrderedMs === undefined
			? deviation.sinceMs + this._options.redirectAfterMs
			: deviation.lastOrderedMs + this._options.redirectAgainMs;
		if (this._services.clock.nowMs() < dueMs) {
			this._examineLater();
		} else if (!deviation.isOrderInFlight && this._group.isPrimaryLeading()) {
			void this._redirect(watch, deviation);
		}
	}

	private _examineLater(): void {
		if (this._timer !== undefined || this._scope.isDisposed) {
			return;
		}

		const delayMs = this._options.redirectAfterMs * (1 + this._services.random.next());
		this._timer = this._services.clock.setTimer(delayMs, () => {
			this._timer = undefined;
			this._examineAll();
		});
	}

	private async _redirect(watch: InstanceWatch, deviation: PendingRedirect): Promise<void> {
		const {term} = this._group;
		const primary = this._group.primaryWatch;
		if (!primary || primary === watch) {
			return;
		}

		deviation.isOrderInFlight = true;
		const answer = await watch.order(async control => control.follow(term, primary.endpoint));
		deviation.isOrderInFlight = false;
		deviation.lastOrderedMs = this._services.clock.nowMs();
		this._services.log.event('instanceRedirected', {
			group: this._group.name, endpoint: watch.name, term, primary: primary.name, isAccepted: answer?.isAccepted ?? false,
		});
		this._services.metrics.count('redirectionsTotal', {outcome: outcomeOf(answer)});
		if (!this._scope.isDisposed) {
			this._examine(watch);
		}
	}

	private _pendingRedirectOf(watch: InstanceWatch): PendingRedirect {
		let deviation = this._pendingRedirects.get(watch);
		if (!deviation) {
			deviation = {sinceMs: this._services.clock.nowMs(), lastOrderedMs: undefined, isOrderInFlight: false};
			this._pendingRedirects.set(watch, deviation);
		}

		return deviation;
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
