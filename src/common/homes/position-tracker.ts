/**
 * What is known about the position that an endpoint's reads see.
 *
 * Knowledge lasts as long as the control connection and the promised term: a replica that
 * follows a new primary may drop the end of its log, so older reports prove nothing then.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {LogPosition} from '../positions/log-position.js';
import {comparePositions, hasReached, laterPosition} from '../positions/log-position.js';
import type {InstanceState} from '../services/services.js';

/** Follows the applied position of one endpoint. */
export class PositionTracker implements Disposable {
	private _knownPosition: LogPosition | undefined;
	private _state: InstanceState | undefined;
	private _epoch = 0;
	private readonly _onChange = new Emitter<void>();

	/** The known position or state has changed. */
	get onChange(): Event<void> {
		return this._onChange.event;
	}

	/** The instance's last state, on the control connection that lasts. */
	get state(): InstanceState | undefined {
		return this._state;
	}

	/** Changes when older reports stop to count. */
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

	/** Whether a position that is missing may well arrive within a short wait. */
	isClose(position: LogPosition, maximumEntries: number): boolean {
		if (!this._knownPosition || !this._state?.isStreaming) {
			return false;
		}

		return position.offset - this._knownPosition.offset <= maximumEntries;
	}

	/** Takes in a report of the control connection; those come in order. */
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

	/** Takes in what a work connection reported, if it was sent within the current epoch. */
	observeExchange(position: LogPosition, epoch: number): void {
		if (epoch !== this._epoch || !this._knownPosition) {
			return;
		}

		this._knownPosition = laterPosition(this._knownPosition, position);
		this._onChange.fire();
	}

	/** The control connection is gone: nothing is known. */
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
