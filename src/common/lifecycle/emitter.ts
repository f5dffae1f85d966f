/**
 * Typed events, by which an owner publishes changes of its private state through `onX` properties.
 */
import type {Disposable} from './disposable.js';

/** Subscribes a listener; the returned disposable ends the subscription. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** The owner's side of an event. */
export class Emitter<T> implements Disposable {
	private readonly _listeners = new Set<(value: T) => void>();

	/** The subscriber's side. */
	readonly event: Event<T> = listener => {
		this._listeners.add(listener);
		return {
			dispose: () => {
				this._listeners.delete(listener);
			},
		};
	};

	/** Calls every listener, in the order of subscription. */
	fire(value: T): void {
		for (const listener of this._listeners) {
			listener(value);
		}
	}

	dispose(): void {
		this._listeners.clear();
	}
}
