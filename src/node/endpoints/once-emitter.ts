/**
 * An event that happens once, such as the end of a connection.
 */
import {Emitter, type Event} from '../../common/lifecycle/emitter.js';

/** Fires once; a listener that subscribes after that is called in a microtask. */
export class OnceEmitter {
	private readonly _emitter = new Emitter<void>();
	private _hasFired = false;

	/** The event to subscribe to. */
	readonly event: Event<void> = listener => {
		if (this._hasFired) {
			queueMicrotask(() => {
				listener();
			});
		}

		return this._emitter.event(listener);
	};

	/** Whether the event has fired. */
	get hasFired(): boolean {
		return this._hasFired;
	}

	/** Calls the listeners; further calls have no effect. */
	fire(): void {
		if (!this._hasFired) {
			this._hasFired = true;
			this._emitter.fire();
		}
	}
}
