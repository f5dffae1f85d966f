/**
 * An event that happens once, such as the end of a connection.
 */
import {Emitter, type Event} from '../../common/lifecycle/emitter.js';

/** Fires once; a listener that comes later is called soon after it subscribed. */
export class OnceEmitter {
	private readonly _emitter = new Emitter<void>();
	private _hasFired = false;

	/** The subscriber's side. */
	readonly event: Event<void> = listener => {
		if (this._hasFired) {
			queueMicrotask(() => {
				listener();
			});
		}

		return this._emitter.event(listener);
	};

	/** Whether the event has happened. */
	get hasFired(): boolean {
		return this._hasFired;
	}

	/** Calls the listeners the first time only. */
	fire(): void {
		if (!this._hasFired) {
			this._hasFired = true;
			this._emitter.fire();
		}
	}
}
