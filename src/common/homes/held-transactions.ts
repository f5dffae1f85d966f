/**
 * Open transactions: each is pinned to its connection, and its session alone may use that.
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
	/** Whether the endpoint was the group's primary when it began. */
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
	/** Why the transactions of sessions ended that have not been told yet. */
	private readonly _endReasons = new Map<string, ErrorKind>();
	private readonly _onAbandoned = new Emitter<EndpointConnection>();
	private readonly _onChange = new Emitter<void>();

	constructor(context: TransactionContext, endpoint: string) {
		this._context = context;
		this._endpoint = endpoint;
	}

	/** A connection was freed with its transaction still open. */
	get onAbandoned(): Event<EndpointConnection> {
		return this._onAbandoned.event;
	}

	/** A transaction began or ended, or one of its statements did. */
	get onChange(): Event<void> {
		return this._onChange.event;
	}

	/** Open transactions. */
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

	/** Why a session has no transaction here any more; told once. */
	takeEndReason(sessionId: string): ErrorKind {
		const reason = this._endReasons.get(sessionId) ?? 'transactionLost';
		this._endReasons.delete(sessionId);
		return reason;
	}

	/** Whether a connection is pinned to some session. */
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

	/** A statement of the transaction begins. */
	begin(held: HeldTransaction): void {
		held.isBusy = true;
		held.idleTimer?.dispose();
	}

	/** A statement of the transaction ended and left it open. */
	pause(held: HeldTransaction, idleMs: number): void {
		held.isBusy = false;
		held.idleMs = idleMs;
		if (this._held.get(held.sessionId) === held) {
			this._startIdleTimer(held);
		}

		this._onChange.fire();
	}

	/** The transaction is over; its connection is free, or broken. */
	end(held: HeldTransaction): void {
		held.isBusy = false;
		held.idleTimer?.dispose();
		if (this._held.get(held.sessionId) === held) {
			this._held.delete(held.sessionId);
		}

		this._connections.delete(held.connection);

		this._notifyChanged();
	}

	/** Ends a session's transaction from outside; its connection is announced as abandoned. */
	abandon(sessionId: string, reason?: ErrorKind): void {
		const held = this._held.get(sessionId);
		if (!held) {
			return;
		}

		this._recordEndReason(sessionId, reason);
		const {isBusy} = held;
		this.end(held);
		this._context.log.event('transactionAbandoned', {endpoint: this._endpoint, sessionId, reason: reason ?? 'released'});
		// The statement in progress sees that its transaction is gone and frees the connection.
		if (!isBusy) {
			this._onAbandoned.fire(held.connection);
		}
	}

	/** Ends every transaction. */
	abandonAll(reason: ErrorKind): void {
		for (const sessionId of this._held.keys()) {
			this.abandon(sessionId, reason);
		}
	}

	/** A connection is gone, and with it the transaction that it held. */
	onConnectionLost(connection: EndpointConnection): void {
		const held = [...this._held.values()].find(other => other.connection === connection);
		// A statement in progress finds out by itself.
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
