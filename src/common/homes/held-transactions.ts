/**
 * Open transactions: each is pinned to its connection, which only the transaction's own session may use.
 */
import type {ErrorKind} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {EndpointConnection} from '../services/services.js';
import type {HomeContext} from './types.js';

/** An open transaction and the connection that it holds. */
export type HeldTransaction = {
	readonly sessionId: string;
	readonly connection: EndpointConnection;
	/** Whether the endpoint was the group's primary when the transaction began. */
	readonly isOnPrimary: boolean;
	idleMs: number;
	/** Whether one of its statements is in progress. */
	isBusy: boolean;
	idleTimer: Disposable | undefined;
};

type TransactionContext = Pick<HomeContext, 'clock' | 'log' | 'metrics' | 'options'>;

/** The open transactions of one endpoint. */
export class HeldTransactions implements Disposable {
	private readonly _context: TransactionContext;
	private readonly _endpoint: string;
	private readonly _held = new Map<string, HeldTransaction>();
	private readonly _connections = new Set<EndpointConnection>();
	/** Why transactions ended, by session, until the session has been informed. */
	private readonly _endReasons = new Map<string, ErrorKind>();
	private readonly _onAbandoned = new Emitter<EndpointConnection>();
	private readonly _onChange = new Emitter<void>();

	constructor(context: TransactionContext, endpoint: string) {
		this._context = context;
		this._endpoint = endpoint;
	}

	/** Fires with a connection that was freed while its transaction is still open at the endpoint. */
	get onAbandoned(): Event<EndpointConnection> {
		return this._onAbandoned.event;
	}

	/** Fires when a transaction begins or ends, or when one of its statements ends. */
	get onChange(): Event<void> {
		return this._onChange.event;
	}

	/** Number of open transactions. */
	get count(): number {
		return this._held.size;
	}

	get(sessionId: string): HeldTransaction | undefined {
		return this._held.get(sessionId);
	}

	/** Sessions whose ids begin with a prefix. */
	sessionsOf(prefix: string): string[] {
		return [...this._held.keys()].filter(sessionId => sessionId.startsWith(prefix));
	}

	/** Returns why the session's transaction ended and removes the reason; `transactionLost` if none is known. */
	takeEndReason(sessionId: string): ErrorKind {
		const reason = this._endReasons.get(sessionId) ?? 'transactionLost';
		this._endReasons.delete(sessionId);
		return reason;
	}

	/** Whether a connection is pinned to a session. */
	isPinned(connection: EndpointConnection): boolean {
		return this._connections.has(connection);
	}

	/** Pins a connection to a session. */
	hold(transaction: Pick<HeldTransaction, 'sessionId' | 'connection' | 'isOnPrimary' | 'idleMs'>): void {
		const held: HeldTransaction = {...transaction, isBusy: false, idleTimer: undefined};
		this._endReasons.delete(held.sessionId);
		this._held.set(held.sessionId, held);
		this._connections.add(held.connection);
		this._startIdleTimer(held);
		this._notifyChanged();
	}

	/** Marks the transaction as busy with a statement and stops its idle timer. */
	begin(held: HeldTransaction): void {
		held.isBusy = true;
		held.idleTimer?.dispose();
	}

	/** Marks the end of a statement that left the transaction open, and starts the idle timer. */
	pause(held: HeldTransaction, idleMs: number): void {
		held.isBusy = false;
		held.idleMs = idleMs;
		if (this._held.get(held.sessionId) === held) {
			this._startIdleTimer(held);
		}

		this._onChange.fire();
	}

	/** Removes a transaction that has ended and unpins its connection, which is free or broken. */
	end(held: HeldTransaction): void {
		held.isBusy = false;
		held.idleTimer?.dispose();
		if (this._held.get(held.sessionId) === held) {
			this._held.delete(held.sessionId);
		}

		this._connections.delete(held.connection);

		this._notifyChanged();
	}

	/** Ends a session's open transaction, if any, and keeps the reason for the session; `onAbandoned` fires with its connection unless a statement of it runs. */
	abandon(sessionId: string, reason?: ErrorKind): void {
		const held = this._held.get(sessionId);
		if (!held) {
			return;
		}

		this._recordEndReason(sessionId, reason);
		const {isBusy} = held;
		this.end(held);
		this._context.log.event('transactionAbandoned', {endpoint: this._endpoint, sessionId, reason: reason ?? 'released'});
		// A statement in progress finds its transaction removed when it ends, and frees the connection itself.
		if (!isBusy) {
			this._onAbandoned.fire(held.connection);
		}
	}

	/** Abandons every transaction for the given reason. */
	abandonAll(reason: ErrorKind): void {
		for (const sessionId of this._held.keys()) {
			this.abandon(sessionId, reason);
		}
	}

	/** Removes the transaction, if any, whose connection was lost. */
	onConnectionLost(connection: EndpointConnection): void {
		const held = [...this._held.values()].find(other => other.connection === connection);
		// A statement in progress detects the loss through its own exchange.
		if (held && !held.isBusy) {
			this._recordEndReason(held.sessionId, 'transactionLost');
			this.end(held);
		}
	}

	dispose(): void {
		for (const held of this._held.values()) {
			held.idleTimer?.dispose();
		}

		this._held.clear();
		this._onAbandoned.dispose();
		this._onChange.dispose();
	}

	private _startIdleTimer(held: HeldTransaction): void {
		held.idleTimer = this._context.clock.setTimer(held.idleMs, () => {
			this.abandon(held.sessionId, 'transactionTooLong');
		});
	}

	private _recordEndReason(sessionId: string, reason: ErrorKind | undefined): void {
		if (!reason) {
			return;
		}

		this._endReasons.set(sessionId, reason);
		if (this._endReasons.size > this._context.options.endedTransactions) {
			const [oldest] = this._endReasons.keys();
			this._endReasons.delete(oldest);
		}
	}

	private _notifyChanged(): void {
		this._context.metrics.gauge('homeTransactionsHeld', this._held.size, {endpoint: this._endpoint});
		this._onChange.fire();
	}
}
