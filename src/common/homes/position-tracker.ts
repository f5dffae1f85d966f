/**
 * Tracks the position up to which an endpoint has applied the log, which its reads see.
 *
 * A known position is valid only while the control connection and the promised term last. A
 * replica that follows a new primary may truncate the end of its log, so reports from before
 * then prove nothing.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {LogPosition} from '../positions/log-position.js';
import {comparePositions, hasReached, laterPosition} from '../positions/log-position.js';
import type {InstanceState} from '../services/services.js';

/** Tracks the applied position of one endpoint. */
export class PositionTracker implements Disposable {
	private _knownPosition: LogPosition | undefined;
	private _state: InstanceState | undefined;
	private _epoch = 0;
	private readonly _onChange = new Emitter<void>();

	/** Fires when a state or position has been reported, or the knowledge was reset. */
	get onChange(): Event<void> {
		return this._onChange.event;
	}

	/** Last state that the instance reported on the current control connection. */
	get state(): InstanceState | undefined {
		return this._state;
	}

	/** Number of the current epoch; it changes whenever older reports become invalid. */
	get epoch(): number {
		return this._epoch;
	}

	/** Whether reads are known to see everything up to a position. */
	hasApplied(position: LogPosition): boolean {
		if (position.term === 0) {
			return true;
		}

		return this._knownPosition !== undefined && hasReached(this._knownPosition, position);
	}

	/** Whether a missing position is at most `maximumEntries` entries away on a streaming replica, so that a short wait may suffice. */
	isClose(position: LogPosition, maximumEntries: number): boolean {
		if (!this._knownPosition || !this._state?.isStreaming) {
			return false;
		}

		return position.offset - this._knownPosition.offset <= maximumEntries;
	}

	/** Applies a state report of the control connection; reports must be passed in order. */
	observeState(state: InstanceState): void {
		const previous = this._state;
		const isSameRole = previous?.promisedTerm === state.promisedTerm && previous.role === state.role;
		const isTruncated = previous !== undefined && comparePositions(state.received, previous.received) < 0;
		if (!isSameRole || isTruncated) {
			this._epoch += 1;
			this._knownPosition = undefined;
		}

		this._state = state;
		this._knownPosition = this._knownPosition ? laterPosition(this._knownPosition, state.applied) : state.applied;
		this._onChange.fire();
	}

	/** Applies a position that a work connection reported, if its request was sent in the current epoch. */
	observeExchange(position: LogPosition, epoch: number): void {
		if (epoch !== this._epoch || !this._knownPosition) {
			return;
		}

		this._knownPosition = laterPosition(this._knownPosition, position);
		this._onChange.fire();
	}

	/** Discards all knowledge after the control connection was lost. */
	reset(): void {
		this._epoch += 1;
		this._knownPosition = undefined;
		this._state = undefined;
		this._onChange.fire();
	}

	dispose(): void {
		this._onChange.dispose();
	}
}
