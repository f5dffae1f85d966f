/**
 * Waits for a condition that events may change, on the injected clock.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import type {Clock} from '../services/services.js';

/** What `waitUntil` waits for. */
export type WaitOptions = {
	readonly condition: () => boolean;
	/** Events after which the condition is checked again. */
	readonly events: ReadonlyArray<Event<unknown>>;
	/** Maximum wait in milliseconds; undefined waits without a timeout. */
	readonly timeoutMs?: number;
	readonly signal?: AbortSignal;
};

/** Waits until the condition holds, the timeout passes or the signal aborts; resolves with whether the condition holds then. */
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
	for (const subscription of subscriptions) {
		subscription.dispose();
	}

	return condition();
}
