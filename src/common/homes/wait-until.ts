/**
 * Waiting for events, on the injected clock.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import type {Clock} from '../services/services.js';

/** What `until` waits for. */
export type WaitOptions = {
	readonly condition: () => boolean;
	/** Events after which the condition is looked at again. */
	readonly events: ReadonlyArray<Event<unknown>>;
	/** Undefined waits without a bound. */
	readonly timeoutMs?: number;
	readonly signal?: AbortSignal;
};

/** Waits for a condition; resolves with whether it holds when the wait ends. */
export async function waitUntil(clock: Clock, options: WaitOptions): Promise<boolean> {
	const {condition, events, timeoutMs, signal} = options;
	if (condition() || signal?.aborted === true) {
		return condition();
	}

	const subscriptions: Disposable[] = [];
	const stop = await new Promise<() => void>(resolve => {
		const finish = () => {
			resolve(finish);
		};

		const check = () => {
			if (condition()) {
				finish();
			}
		};

		for (const event of events) {
			subscriptions.push(event(check));
		}

		if (timeoutMs !== undefined) {
			subscriptions.push(clock.setTimer(Math.max(0, timeoutMs), finish));
		}

		signal?.addEventListener('abort', finish, {once: true});
	});
	signal?.removeEventListener('abort', stop);
	for (const watch of subscriptions) {
		watch.dispose();
	}

	return condition();
}
