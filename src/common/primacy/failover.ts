/**
 * Decides when a group's primary is replaced: this node has lost contact with it, no other node hears
 * from it, and it is this node's turn by rank.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {WakeableSleep} from '../lifecycle/timing.js';
import type {PrimaryTracker} from './primary-tracker.js';
import {Promoter} from './promoter.js';
import type {GroupServices, PromotionReason, Primary} from './types.js';

/** Time between two checks of a group whose primary shows any sign of trouble. */
const checkIntervalMs = 50;

/**
 * Time between two checks of a healthy group. Every event that may change its health wakes the loop
 * at once, so only what becomes true by the passing of time is detected later. With the short
 * interval, a coordinator of 14 groups made 280 checks per second.
 */
const quietCheckIntervalMs = 500;

/** Reasons that the endpoints or the store themselves have shown, so that other nodes need not confirm them. */
const lossesWithoutPeerCheck: ReadonlySet<PromotionReason> = new Set(['draining', 'vacant', 'emptied', 'ordered', 'abandoned']);

/** Watches one group and has its primary replaced when it is lost. */
export class Failover implements Disposable {
	private readonly _services: GroupServices;
	private readonly _group: PrimaryTracker;
	private readonly _promoter: Promoter;
	/** Waits within a replacement; they are not cut short by events. */
	private readonly _sleep: WakeableSleep;
	/** Wait between two checks. */
	private readonly _checkSleep: WakeableSleep;
	private readonly _wakeListener: Disposable;
	private _isQuiet = false;
	private _fencesSinceMs = new Map<string, number>();
	private _isDisposed = false;

	constructor(group: PrimaryTracker, services: GroupServices) {
		this._services = services;
		this._group = group;
		this._promoter = new Promoter(group, services);
		this._sleep = new WakeableSleep(services.clock);
		this._checkSleep = new WakeableSleep(services.clock);
		this._wakeListener = group.onWake(() => {
			if (this._isQuiet) {
				this._isQuiet = false;
				this._checkSleep.wake();
			}
		});
	}

	/** Starts the checks, which run until disposal. */
	start(): void {
		void this._run();
	}

	dispose(): void {
		this._isDisposed = true;
		this._wakeListener.dispose();
		this._sleep.dispose();
		this._checkSleep.dispose();
	}

	private async _run(): Promise<void> {
		while (!this._isDisposed) {
			this._isQuiet = !this._group.mayPollEndpoints || !(this._group.isUnhealthy || this._group.promotionReason !== undefined);
			await this._checkSleep.wait(this._isQuiet ? quietCheckIntervalMs : checkIntervalMs);
			if (!this._isDisposed && this._group.mayPollEndpoints) {
				await this._check();
			}
		}
	}

	private async _check(): Promise<void> {
		const reason = this._group.promotionReason;
		if (reason) {
			await this._replace(reason);
		}

		await this._removeOrphanedFences();
	}

	private async _replace(reason: PromotionReason): Promise<void> {
		const {clock, peers, options} = this._services;
		const {service, primary} = this._group;
		const rank = peers.rank(service, this._group.primaryEndpoint?.availabilityZone);
		await this._sleep.wait(rank * options.staggerMs);
		if (this._group.promotionReason !== reason || this._group.primary?.term !== primary?.term) {
			return;
		}

		if (primary && !lossesWithoutPeerCheck.has(reason) && !await this._isLostEverywhere(primary, reason)) {
			await this._sleep.wait(options.promotionRetryMs);
			return;
		}

		const outcome = await this._promoter.promote(reason);
		if (outcome !== 'done') {
			await this._sleep.wait(options.promotionRetryMs * (1 + this._services.random.next()));
		}

		this._fencesSinceMs = new Map([...this._fencesSinceMs.keys()].map(id => [id, clock.nowMs()]));
	}

	/** Whether no other node hears from the primary, and a majority of them could be asked. */
	private async _isLostEverywhere(primary: Primary, reason: PromotionReason): Promise<boolean> {
		const {peers, log} = this._services;
		const {service} = this._group;
		const opinions = await peers.opinions(service, primary);
		for (const later of opinions.later) {
			this._group.learnPrimary(later, 'peer');
		}

		const {answered, asked} = opinions;
		const hasEnoughAnswers = answered * 2 > asked || this._group.silentForMs >= this._services.options.silentAloneAfterMs;
		const isLost = opinions.heard.length === 0 && opinions.later.length === 0 && hasEnoughAnswers;
		if (!isLost) {
			log.event('promotionDeferred', {
				group: service,
				reason,
				term: primary.term,
				answered,
				asked,
				heard: opinions.heard.length,
				replicas: this._group.replicas().map(({id}) => this._group.status(id)?.status),
			});
		}

		return isLost;
	}

	/** Removes fences left by a promoter that stopped half-way; a fenced replica receives nothing. */
	private async _removeOrphanedFences(): Promise<void> {
		const {clock, pools, options, log} = this._services;
		for (const endpoint of this._group.endpoints()) {
			const isFenced = (this._group.status(endpoint.id)?.status.fencedForTerm ?? 0) > 0;
			if (!isFenced) {
				this._fencesSinceMs.delete(endpoint.id);
				continue;
			}

			const sinceMs = this._fencesSinceMs.get(endpoint.id) ?? clock.nowMs();
			this._fencesSinceMs.set(endpoint.id, sinceMs);
			if (clock.nowMs() - sinceMs >= options.orphanedFenceMs) {
				this._fencesSinceMs.delete(endpoint.id);
				log.event('orphanedFenceRemoved', {
					group: this._group.service, endpoint: endpoint.id, seenForMs: Math.round(clock.nowMs() - sinceMs),
				});
				await pools.pool(endpoint).control({kind: 'resume'}, options.statusTimeoutMs);
				await this._group.refreshStatus(endpoint);
			}
		}
	}
}
