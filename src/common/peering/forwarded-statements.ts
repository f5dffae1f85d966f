/**
 * Runs statements for other nodes that have no connection to an endpoint themselves, and holds their
 * transactions.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import type {EndpointRegistry} from '../catalog/endpoint-registry.js';
import {Refusal} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import {pauseFor} from '../lifecycle/timing.js';
import type {PoolSet} from '../pools/pool-set.js';
import type {
	EndpointStatement, HeldTransaction, ReportedStatus, StatementFault, TimedAnswer,
} from '../pools/types.js';
import type {
	Clock, EndManner, EndpointAnswer, ForwardedBegin, HeldTransactionId, Log, Metrics, RegisteredEndpoint,
} from '../services/services.js';
import type {HomeLoadReports} from './home-load-reports.js';

type ForwardingServices = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	/** Incarnation of this node, which its numbers of held transactions belong to. */
	readonly incarnation: string;
	/** Load reports that are given with every answer. */
	readonly reports: HomeLoadReports;
	readonly registry: EndpointRegistry;
	readonly pools: PoolSet;
	/** Idle time in milliseconds after which a held transaction is rolled back. */
	readonly heldTimeoutMs: () => number;
};

type HeldEntry = {
	readonly held: HeldTransaction;
	readonly endpoint: RegisteredEndpoint;
	/** Id of the statement with which the transaction began. */
	readonly begunBy: string;
	timer: Disposable;
	isRunning: boolean;
};

/** Why a statement of a held transaction is refused. */
type HeldRefusalReason = 'otherIncarnation' | 'notHeld' | 'running';

const heldRefusalDetails: Record<HeldRefusalReason, string> = {
	otherIncarnation: 'the transaction was held by an earlier process of this node',
	notHeld: 'this node does not hold the transaction any more',
	running: 'a statement of the transaction is still running',
};

/** Interval at which a node that stops checks whether it is idle. */
const idleCheckMs = 20;

/** Detail of a refusal by a node that stops. */
const stoppingDetail = 'this node is stopping';

/** Timeout of the rollback of a held transaction. */
const rollbackTimeoutMs = 1000;

/** Serves other nodes over this node's own connections to endpoints. */
export class ForwardedStatements implements Disposable {
	private readonly _services: ForwardingServices;
	/** Held transactions by their numbers in this incarnation. */
	private readonly _entries = new Map<number, HeldEntry>();
	private _lastNumber = 0;
	private _inFlight = 0;
	private _refusesWork = false;

	constructor(services: ForwardingServices) {
		this._services = services;
	}

	/** Whether this node has no in-flight statement and no held transaction of another node. */
	get isIdle(): boolean {
		return this._inFlight === 0 && this._entries.size === 0;
	}

	/** Waits until this node is idle, or a timeout in milliseconds is over. */
	async awaitIdle(timeoutMs: number): Promise<void> {
		const {clock} = this._services;
		const endMs = clock.nowMs() + timeoutMs;
		while (!this.isIdle && clock.nowMs() < endMs) {
			await pauseFor(clock, idleCheckMs);
		}
	}

	/** Refuses statements from now on, since this node stops, and rolls each transaction back as soon as nothing runs in it. */
	refuseWork(): void {
		this._refusesWork = true;
		for (const [number, {isRunning}] of this._entries) {
			if (!isRunning) {
				this._abandon(number, stoppingDetail);
			}
		}
	}

	/** Requests the status of an endpoint. */
	async status(endpointId: string, timeoutMs: number): Promise<Either<StatementFault, ReportedStatus>> {
		const {registry, pools, reports} = this._services;
		const endpoint = registry.endpoint(endpointId);
		if (!endpoint) {
			return Left(notRun('the endpoint is not registered here'));
		}

		const result = await pools.pool(endpoint).control({kind: 'status'}, timeoutMs);
		return result.ifRight(({applied}) => {
			reports.noteApplied(endpoint, applied);
		});
	}

	async run(endpointId: string, statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>> {
		const endpoint = this._services.registry.endpoint(endpointId);
		if (!endpoint) {
			return this._withReport(undefined, Left(notRun('the endpoint is not registered here')), endpointId, statement);
		}

		if (this._isBehind(endpoint, statement)) {
			return this._withReport(endpoint, Right({answer: behindAnswer(endpointId), sentAtMs: this._services.clock.nowMs()}), endpointId, statement);
		}

		const result = await this._runUnlessStopping(async () => this._services.pools.pool(endpoint).run(statement));
		this._noteApplied(endpoint, result);
		return this._withReport(endpoint, result, endpointId, statement);
	}

	async begin(endpointId: string, statement: EndpointStatement, isReadOnly: boolean): Promise<Either<StatementFault, ForwardedBegin>> {
		const endpoint = this._services.registry.endpoint(endpointId);
		if (!endpoint) {
			return Left(notRun('the endpoint is not registered here'));
		}

		if (this._isBehind(endpoint, statement)) {
			return this._withReport(endpoint, Right({answer: behindAnswer(endpointId)}), endpointId, statement);
		}

		const begun = await this._runUnlessStopping(async () => this._services.pools.pool(endpoint).begin(statement, isReadOnly));
		const forwarded = begun.map((result): ForwardedBegin => 'held' in result ? {heldId: this._addHeld(endpoint, result.held, statement.id)} : {answer: result.answer});
		return this._withReport(endpoint, forwarded, endpointId, statement);
	}

	async runHeld(heldId: HeldTransactionId, statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>> {
		if (this._isOfOtherIncarnation(heldId)) {
			return this._refuseHeld(heldId, statement, 'otherIncarnation');
		}

		const {number} = heldId;
		const entry = this._entries.get(number);
		if (!entry || entry.isRunning) {
			return this._refuseHeld(heldId, statement, entry ? 'running' : 'notHeld');
		}

		this._services.log.event('heldStatementStarted', {
			endpoint: entry.endpoint.id, heldId: number, request: statement.id, begunBy: entry.begunBy,
		});
		entry.timer.dispose();
		entry.isRunning = true;
		const result = await entry.held.run(statement);
		entry.isRunning = false;
		entry.timer = this._startIdleTimer(number);
		if (this._refusesWork && result.map(({answer}) => answer.status === 'open').orDefault(false)) {
			this._abandon(number, stoppingDetail);
		}

		this._noteApplied(entry.endpoint, result);
		return this._withReport(entry.endpoint, result, entry.endpoint.id, statement);
	}

	async end(heldId: HeldTransactionId, manner: EndManner): Promise<void> {
		if (!this._isOfOtherIncarnation(heldId)) {
			await this._end(heldId.number, manner);
		}
	}

	dispose(): void {
		if (!this.isIdle) {
			const entries = [...this._entries.values()];
			this._services.log.event('forwardedWorkCut', {
				statements: this._inFlight + entries.filter(({isRunning}) => isRunning).length, transactions: entries.length,
			});
		}

		for (const {held, timer} of this._entries.values()) {
			timer.dispose();
			held.close();
		}

		this._entries.clear();
	}

	private async _end(number: number, manner: EndManner): Promise<void> {
		const entry = this._entries.get(number);
		if (!entry) {
			return;
		}

		this._entries.delete(number);
		entry.timer.dispose();
		const endings: Record<EndManner, () => void | Promise<void>> = {
			release() {
				entry.held.release();
			},
			rollBack: async () => entry.held.rollBack(rollbackTimeoutMs),
			close() {
				entry.held.close();
			},
		};
		// Nothing may follow a statement that is still running on the connection, so the connection is closed.
		await (entry.isRunning ? endings.close() : endings[manner]());
	}

	private async _runUnlessStopping<T>(work: () => Promise<Either<StatementFault, T>>): Promise<Either<StatementFault, T>> {
		if (this._refusesWork) {
			return Left(notRun(stoppingDetail));
		}

		this._inFlight += 1;
		try {
			return await work();
		} finally {
			this._inFlight -= 1;
		}
	}

	/** Whether a read needs a position that the replica probably lacks, so that asking it would only occupy a slot. */
	private _isBehind(endpoint: RegisteredEndpoint, {floor}: EndpointStatement): boolean {
		const isBehind = floor !== undefined && this._services.reports.isBehind(endpoint, floor);
		if (isBehind) {
			this._services.metrics.count('behindAtHomeTotal', {endpoint: endpoint.id});
		}

		return isBehind;
	}

	private _noteApplied(endpoint: RegisteredEndpoint, result: Either<StatementFault, TimedAnswer>): void {
		result.ifRight(({answer}) => {
			this._services.reports.noteApplied(endpoint, answer.position);
		});
	}

	/** Adds the load of the endpoint to an answer or a fault, and logs a fault. */
	private _withReport<T>(
		endpoint: RegisteredEndpoint | undefined,
		result: Either<StatementFault, T>,
		endpointId: string,
		statement: EndpointStatement,
	): Either<StatementFault, T> {
		result.ifLeft(fault => {
			this._logFault(endpointId, statement, fault);
		});
		const {reports, pools} = this._services;
		const load = endpoint && reports.report(endpoint, pools.pool(endpoint));
		return load ? result.bimap(fault => ({...fault, load}), answer => ({...answer, load})) : result;
	}

	private _logFault(endpointId: string, {id}: EndpointStatement, {refusal, isSent, cause}: StatementFault): void {
		const {log, registry, pools} = this._services;
		const endpoint = registry.endpoint(endpointId);
		log.event('forwardedRefused', {
			request: id, endpoint: endpointId, kind: refusal.kind, detail: refusal.detail, cause, isSent, load: endpoint && pools.pool(endpoint).load,
		});
	}

	/**
	 * Whether a transaction was held by an earlier process of this node, whose numbers now belong to other
	 * transactions. Without an incarnation, only the number identifies it.
	 */
	private _isOfOtherIncarnation({incarnation}: HeldTransactionId): boolean {
		return incarnation !== undefined && incarnation !== this._services.incarnation;
	}

	private _addHeld(endpoint: RegisteredEndpoint, held: HeldTransaction, begunBy: string): HeldTransactionId {
		const {log, incarnation} = this._services;
		this._lastNumber += 1;
		const number = this._lastNumber;
		this._entries.set(number, {
			held, endpoint, begunBy, timer: this._startIdleTimer(number), isRunning: false,
		});
		log.event('transactionHeld', {endpoint: endpoint.id, heldId: number, request: begunBy});
		if (this._refusesWork) {
			this._abandon(number, stoppingDetail);
		}

		return {number, incarnation};
	}

	private _refuseHeld({number, incarnation}: HeldTransactionId, {id}: EndpointStatement, reason: HeldRefusalReason): Either<StatementFault, TimedAnswer> {
		const {log, metrics} = this._services;
		log.event('heldStatementRefused', {
			heldId: number, incarnation, request: id, reason,
		});
		metrics.count('heldStatementsRefusedTotal', {reason});
		return Left(notRun(heldRefusalDetails[reason]));
	}

	private _startIdleTimer(number: number): Disposable {
		const {clock, heldTimeoutMs} = this._services;
		return clock.setTimer(heldTimeoutMs(), () => {
			this._abandon(number, 'its node sent nothing more');
		});
	}

	private _abandon(number: number, reason: string): void {
		this._services.log.event('transactionAbandoned', {heldId: number, reason});
		void this._end(number, 'rollBack');
	}
}

/** The answer that the endpoint itself would give; nothing has run. */
function behindAnswer(endpointId: string): EndpointAnswer {
	return {
		text: '', rows: [], status: 'idle', position: undefined, error: {kind: 'behind', text: `${endpointId} lags behind`},
	};
}

function notRun(detail: string): StatementFault {
	return {isSent: false, refusal: new Refusal('peerUnavailable', detail)};
}
