/**
 * Unsolicited reports of an instance's state.
 */
import {toDisposable, type Disposable} from '../../src/common/lifecycle/disposable.js';
import type {Clock} from '../../src/common/services/services.js';
import type {Instance} from '../../standins/endpoint/instance.js';
import type {Connection} from '../../standins/endpoint/wire/connection.js';

/** Time for which changes are coalesced into one report, in milliseconds. */
const coalesceMs = 2;

const heartbeatMs = 500;

/** Reports the state on a control connection as the wire server does: after changes, coalesced, and as a heartbeat; dispose to stop. */
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
	const sendHeartbeat = () => {
		if (!isDone) {
			report();
			clock.setTimer(heartbeatMs, sendHeartbeat);
		}
	};

	clock.setTimer(heartbeatMs, sendHeartbeat);
	return toDisposable(() => {
		isDone = true;
		change.dispose();
		pending?.dispose();
	});
}
