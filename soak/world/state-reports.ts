/**
 * Spontaneous reports of an instance's state.
 */
import {toDisposable, type Disposable} from '../../src/common/lifecycle/disposable.js';
import type {Clock} from '../../src/common/services/services.js';
import type {Instance} from '../../standins/endpoint/instance.js';
import type {Connection} from '../../standins/endpoint/wire/connection.js';

/** Time in which changes are gathered into one report. */
const coalesceMs = 2;

const heartbeatMs = 500;

/** Reports on a control connection as the wire server does: on change, coalesced, and as a heartbeat. */
export function reportState(connection: Connection, instance: Instance, clock: Clock): Disposable {
	let pending: Disposable | undefined;
	let isDone = false;
	const report = () => {
		pending?.dispose();
		pending = undefined;
		connection.reportState();
	};

	const change = instance.onState(() => {
		pending ??= clock.setTimer(coalesceMs, report);
	});
	const beat = () => {
		if (!isDone) {
			report();
			clock.setTimer(heartbeatMs, beat);
		}
	};

	clock.setTimer(heartbeatMs, beat);
	return toDisposable(() => {
		isDone = true;
		change.dispose();
		pending?.dispose();
	});
}
