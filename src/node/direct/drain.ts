/**
 * The stop of a node: it asks for no more callers, finishes what is in progress, and ends within its
 * grace time.
 */
import {pauseFor} from '../../common/lifecycle/timing.js';
import type {Clock, Log} from '../../common/services/services.js';
import type {LineServer} from '../line/line-server.js';
import {drainTimes} from './constants.js';

/** What a drain ends. */
export type DrainServices = {
	readonly clock: Clock;
	readonly log: Log;
	/** Time in milliseconds within which the process has to stop. */
	readonly graceMs: number;
	readonly callers: LineServer;
	/** Tells callers and other nodes that this one leaves. */
	leave(): void;
	/** Refuses statements of other nodes, and rolls their transactions back as soon as nothing runs in them. */
	refuseForwarded(): void;
	/** Waits until nothing of other nodes is in progress here, or the timeout in milliseconds is over. */
	awaitPeersIdle(timeoutMs: number): Promise<void>;
};

/** Drains one node; to be used once. */
export class Drain {
	private readonly _services: DrainServices;

	constructor(services: DrainServices) {
		this._services = services;
	}

	/** Resolves when the process may end. */
	async run(): Promise<void> {
		const {clock, log, graceMs, callers} = this._services;
		const {noticeMs, closeIdleMs, transactionShare, forwardedShare, marginMs, exitMs} = drainTimes;
		const startedAtMs = clock.nowMs();
		const endMs = startedAtMs + graceMs - marginMs;
		const transactionsEndMs = startedAtMs + (graceMs * transactionShare);
		log.event('processDraining', {graceMs, connections: callers.connections});
		this._services.leave();
		const forwardedTimer = clock.setTimer(graceMs * forwardedShare, () => {
			this._services.refuseForwarded();
		});
		await pauseFor(clock, noticeMs);
		await callers.closeIdleGradually(closeIdleMs);
		callers.refuseNewWork();
		await callers.closeAllWhenIdle(transactionsEndMs - clock.nowMs());
		callers.abortTransactions();
		await callers.closeAllWhenIdle(endMs - clock.nowMs());
		callers.interruptAll();
		await this._services.awaitPeersIdle(endMs - clock.nowMs());
		forwardedTimer.dispose();
		await callers.awaitSent(startedAtMs + graceMs - exitMs - clock.nowMs());
		log.event('processStopped', {connections: callers.connections});
	}
}
