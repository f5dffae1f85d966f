/**
 * Asks the store whether somebody has begun to replace the primary of a group, when a proof
 * waits for its word: at a node's start, for a new term, after a gap in the proofs, after a
 * notice that a promotion is on its way. Callers share one look at a time.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {WakeableSleep} from '../lifecycle/timing.js';
import type {DutyChanges} from './duty-changes.js';
import type {ReplacementState} from './promotion-duty.js';
import type {GroupServices, KnownReplacement} from './types.js';

/** What waits for the store's word. */
export type CheckedGroup = {
	readonly service: string;
	/** Whether a proof waits. */
	readonly isCheckDue: boolean;
	/** What the store said at a version, to this node or to a peer; undefined where neither is known. */
	readonly knownReplacement: KnownReplacement | undefined;
	/** Takes in the store's word of a moment. */
	noteReplacement(state: ReplacementState, checkedAtMs: number): void;
	/** Takes in that what was known held at a moment, by the store's word, and its version then. */
	noteUnchanged(known: KnownReplacement, checkedAtMs: number): void;
};

/** Looks for one group. */
export class ReplacementChecks implements Disposable {
	private readonly _group: CheckedGroup;
	private readonly _services: GroupServices;
	private readonly _changes: DutyChanges;
	private readonly _sleep: WakeableSleep;
	private _isRunning = false;
	/** Whether a look was asked for that has not begun. */
	private _isRequested = false;
	private _isDisposed = false;
	private _lastCheckAtMs = Number.NEGATIVE_INFINITY;

	constructor(group: CheckedGroup, changes: DutyChanges, services: GroupServices) {
		this._group = group;
		this._changes = changes;
		this._services = services;
		this._sleep = new WakeableSleep(services.clock);
	}

	/** When the last look began. */
	get lastCheckAtMs(): number {
		return this._lastCheckAtMs;
	}

	/** Looks now, and again until no proof waits. Without a registration no look would count. */
	checkNow(): void {
		this._isRequested = true;
		if (this._isRunning) {
			this._sleep.wake();
		} else if (this._services.peers.registeredAtMs !== undefined) {
			void this._run();
		}
	}

	/** Looks now, unless a look is under way or waits for its time. */
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

	/** Whether the store says that what is known of this group holds; asked so where many nodes look at one time. */
	private async _isUnchanged(checkedAtMs: number): Promise<boolean> {
		const known = this._group.knownReplacement;
		if (!known || !this._services.sharing.isCoordinatorOnly) {
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
