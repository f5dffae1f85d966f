/**
 * Polls the coordinator's overviews of groups, so that only the coordinator polls replicas and
 * primaries. The time of an observation is computed as the time when the request was sent, less the
 * age that the coordinator states. So an observation never counts as newer than it is, whatever the
 * clocks of both nodes show.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {WakeableSleep} from '../lifecycle/timing.js';
import type {PrimaryTrackers} from '../primacy/primary-trackers.js';
import type {PeerNode} from '../services/services.js';
import type {Fleet} from './fleet.js';
import type {PeerDirectory} from './peer-directory.js';
import type {PeeringServices} from './types.js';

type PollerParts = {
	readonly directory: PeerDirectory;
	readonly fleet: Fleet;
	readonly trackers: PrimaryTrackers;
	readonly contactGapMs: number;
};

/** Polls the coordinator, unless this node is the coordinator. */
export class OverviewPoller implements Disposable {
	private readonly _services: PeeringServices;
	private readonly _directory: PeerDirectory;
	private readonly _fleet: Fleet;
	private readonly _trackers: PrimaryTrackers;
	private readonly _sleep: WakeableSleep;
	private readonly _contactGapMs: number;
	private _pendingPoll: Promise<void> | undefined;
	private _isCoordinating = false;
	private _checksRenewedAtMs = Number.NEGATIVE_INFINITY;
	private _lastContactAtMs = Number.NEGATIVE_INFINITY;
	private _inContactSinceMs = Number.POSITIVE_INFINITY;
	private _isDisposed = false;

	/** `contactGapMs` is the time without any contact after which a new period of contact begins. */
	constructor(services: PeeringServices, {directory, fleet, trackers, contactGapMs}: PollerParts) {
		this._contactGapMs = contactGapMs;
		this._services = services;
		this._directory = directory;
		this._fleet = fleet;
		this._trackers = trackers;
		this._sleep = new WakeableSleep(services.clock);
	}

	/** Time in milliseconds since another node answered this one or polled it; infinite before. */
	get heardAgoMs(): number {
		return this._services.clock.nowMs() - this._lastContactAtMs;
	}

	/**
	 * When the present period began in which this node has been in contact with another one without a gap
	 * of more than `contactGapMs`, on its own clock; infinite before the first contact.
	 */
	get inContactSinceMs(): number {
		return this._inContactSinceMs;
	}

	/** Records that another node polled this one. */
	recordIncomingPoll(): void {
		this._recordContact(this._services.clock.nowMs());
	}

	/** Polls until disposed. */
	async run(): Promise<void> {
		const {options} = this._services;
		while (!this._isDisposed) {
			await this.refresh();
			this._updateRole();
			this._renewChecks();
			await this._sleep.wait(options.shareEveryMs);
		}
	}

	/** Polls the coordinator now, unless that is this node; concurrent callers share one request. */
	async refresh(): Promise<void> {
		const coordinator = this._fleet.coordinator();
		if (coordinator.name === this._services.self.name) {
			return;
		}

		this._pendingPoll ??= this._poll(coordinator).finally(() => {
			this._pendingPoll = undefined;
		});
		await this._pendingPoll;
	}

	dispose(): void {
		this._isDisposed = true;
		this._sleep.dispose();
	}

	/** Wakes the trackers of all groups when this node becomes coordinator: until then it relied on another node's overviews. */
	private _updateRole(): void {
		const isCoordinating = this._fleet.isCoordinatorOnly && this._fleet.isCoordinator;
		if (isCoordinating && !this._isCoordinating) {
			this._trackers.wake();
		}

		this._isCoordinating = isCoordinating;
	}

	/**
	 * Reads the state of replacements from the store again, if this node is coordinator and the interval
	 * is over. A node that starts takes that state from the coordinator and asks the store only for the
	 * changes since then.
	 */
	private _renewChecks(): void {
		const {clock, options} = this._services;
		if (this._isCoordinating && clock.nowMs() - this._checksRenewedAtMs >= options.renewChecksMs) {
			this._checksRenewedAtMs = clock.nowMs();
			void this._trackers.checkReplacements();
		}
	}

	private _recordContact(atMs: number): void {
		if (atMs - this._lastContactAtMs > this._contactGapMs) {
			this._inContactSinceMs = this._services.clock.nowMs();
		}

		this._lastContactAtMs = Math.max(this._lastContactAtMs, atMs);
	}

	private async _poll(coordinator: PeerNode): Promise<void> {
		const {clock, calls, options} = this._services;
		const sentAtMs = clock.nowMs();
		const answer = await calls.overview(coordinator, '', options.overviewTimeoutMs);
		this._directory.reportReachability(coordinator.name, answer.isRight());
		this._updateRole();
		answer.ifRight(overviews => {
			this._recordContact(sentAtMs);
			for (const overview of overviews) {
				this._trackers.existing(overview.service)?.noteOverview(overview, sentAtMs, coordinator.name);
			}
		});
	}
}
