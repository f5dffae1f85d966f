/**
 * Checks in the store whether a replacement of a group's primary has begun, when a proof is pending
 * on that: at a node's start, for a new term, after a gap in the proofs, and after a notice that a
 * promotion is in progress. Callers share one check at a time.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {WakeableSleep} from '../lifecycle/timing.js';
import type {DutyChanges} from './duty-changes.js';
import type {ReplacementState} from './promotion-duty.js';
import type {GroupServices, KnownReplacement} from './types.js';

/** The group for which the store is checked. */
export type CheckedGroup = {
	readonly service: string;
	/** Whether a proof is pending on a check. */
	readonly isCheckDue: boolean;
	/** Replacement state and the store version at which this node or a peer read it; undefined if unknown. */
	readonly knownReplacement: KnownReplacement | undefined;
	/** Applies a state that the store returned to a request sent at the given time. */
	noteReplacement(state: ReplacementState, checkedAtMs: number): void;
	/** Applies that the known state was unchanged when the store was asked, with the store's version then. */
	noteUnchanged(known: KnownReplacement, checkedAtMs: number): void;
};

/** Runs the checks of one group. */
export class ReplacementChecks implements Disposable {
	private readonly _group: CheckedGroup;
	private readonly _services: GroupServices;
	private readonly _changes: DutyChanges;
	private readonly _sleep: WakeableSleep;
	private _isRunning = false;
	/** Whether a check was requested that has not begun. */
	private _isRequested = false;
	private _isDisposed = false;
	private _lastCheckAtMs = Number.NEGATIVE_INFINITY;

	constructor(group: CheckedGroup, changes: DutyChanges, services: GroupServices) {
		this._group = group;
		this._changes = changes;
		this._services = services;
		this._sleep = new WakeableSleep(services.clock);
	}

	/** When the last check began. */
	get lastCheckAtMs(): number {
		return this._lastCheckAtMs;
	}

	/**
	 * Checks now, and repeats until no proof is pending. Does nothing before this node is registered,
	 * since no check would count.
	 */
	checkNow(): void {
		this._isRequested = true;
		if (this._isRunning) {
			this._sleep.wake();
		} else if (this._services.peers.registeredAtMs !== undefined) {
			void this._run();
		}
	}

	/** Checks now, unless a check is running or scheduled. */
	checkUnlessRunning(): void {
		if (!this._isRunning) {
			this.checkNow();
		}
	}

	dispose(): void {
		this._isDisposed = true;
		this._sleep.dispose();
	}

	private async _run(): Promise<void> {
		const {options} = this._services;
		this._isRunning = true;
		let pauseMs: number = options.replacementLookMs;
		while (!this._isDisposed && (this._isRequested || this._group.isCheckDue)) {
			await this._checkOnce();
			if (this._group.isCheckDue) {
				await this._sleep.wait(pauseMs);
				pauseMs = Math.min(pauseMs * 2, options.longestReplacementLookMs);
			}
		}

		this._isRunning = false;
	}

	private async _checkOnce(): Promise<void> {
		this._isRequested = false;
		const checkedAtMs = this._services.clock.nowMs();
		this._lastCheckAtMs = checkedAtMs;
		if (await this._isUnchanged(checkedAtMs)) {
			return;
		}

		const state = await this._services.duties.state(this._group.service);
		if (this._isDisposed) {
			return;
		}

		state.ifRight(found => {
			this._group.noteReplacement(found, checkedAtMs);
		});
	}

	/**
	 * Whether the store confirms that the known state is unchanged. Used only where a coordinator
	 * polls for all nodes, since many nodes then check at the same time and can share one request per
	 * node.
	 */
	private async _isUnchanged(checkedAtMs: number): Promise<boolean> {
		const known = this._group.knownReplacement;
		if (!known || !this._services.proofSource.isCoordinatorOnly) {
			return false;
		}

		const version = await this._changes.unchangedSince(known.version);
		if (version === undefined || this._isDisposed) {
			return false;
		}

		this._group.noteUnchanged({begunTerm: known.begunTerm, version}, checkedAtMs);
		return true;
	}
}
