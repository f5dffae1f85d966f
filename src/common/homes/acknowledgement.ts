/**
 * Decides when an answer may be forwarded: a majority of the group's instances must hold its
 * position in that position's own term, and the requested freshness must be proved.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {LogPosition} from '../positions/log-position.js';
import {hasReached, zeroPosition} from '../positions/log-position.js';
import type {GroupMonitor} from '../services/services.js';
import type {Admission} from './admission.js';
import type {HomeContext, RunningRequest} from './types.js';

/** Largest number of instances of which two are a majority. */
const largestGroupWithImpliedMajority = 3;

/** Confirms the answers of one endpoint. */
export class Acknowledgement {
	private readonly _context: HomeContext;
	private readonly _endpoint: string;
	private readonly _monitor: GroupMonitor;
	private readonly _admission: Admission;
	/** Position up to which a majority permanently holds all entries. */
	private _confirmedPosition: LogPosition = zeroPosition;

	constructor(context: HomeContext, endpoint: string, monitor: GroupMonitor, admission: Admission) {
		this._context = context;
		this._endpoint = endpoint;
		this._monitor = monitor;
		this._admission = admission;
	}

	/**
	 * Whether everything that a replica returns is necessarily held by a majority: by the replica
	 * itself and by the primary that sent it. Larger groups need the confirmation of more instances.
	 */
	get isImpliedOnReplicas(): boolean {
		return this._monitor.view().instances.length <= largestGroupWithImpliedMajority;
	}

	/** Returns why the part of an unfinished answer received so far must not be forwarded; undefined if it may be. */
	async confirmPartial(run: RunningRequest): Promise<Refusal | undefined> {
		const result = await this.confirmCurrent(run);
		return result.isLeft() ? result.extract() : undefined;
	}

	/** Confirms the position that the endpoint's log has reached by now, and returns it, or the refusal if that fails. */
	async confirmCurrent(run: RunningRequest): Promise<Either<Refusal, LogPosition>> {
		const state = await this._monitor.control(this._endpoint)?.readState();
		if (!state || state.isLeft()) {
			return Left(this._unconfirmedRefusal(run, 'no control connection'));
		}

		const position = state.map(({received}) => received).orDefault(zeroPosition);
		return this.confirm(run, position);
	}

	/** Waits until a majority holds the position of an answer of the primary; returns it, or the refusal if that fails in time. */
	async confirm(run: RunningRequest, position: LogPosition): Promise<Either<Refusal, LogPosition>> {
		const {clock, metrics, options} = this._context;
		if (this._needsNoConfirmation(run, position)) {
			return Right(position);
		}

		const startedAtMs = clock.nowMs();
		const timeoutMs = Math.max(options.confirmMinimumMs, run.deadlineMs - startedAtMs);
		const result = await this._monitor.confirm(position, timeoutMs);
		metrics.observe('homeConfirmationMs', clock.nowMs() - startedAtMs, {endpoint: this._endpoint, access: run.request.access});
		if (result.isLeft()) {
			return Left(this._unconfirmedRefusal(run, result.extract().detail));
		}

		this._confirmedPosition = hasReached(this._confirmedPosition, position) ? this._confirmedPosition : position;
		return Right(position);
	}

	/** Waits for the freshness proof requested on arrival, if any; returns a refusal if it fails or the endpoint is no longer the primary in the proved term. */
	async awaitProof(run: RunningRequest): Promise<Refusal | undefined> {
		const result = await run.proof;
		if (!result) {
			return undefined;
		}

		if (result.isLeft()) {
			return result.extract();
		}

		const proved = result.orDefault(zeroPosition);
		const {term, primary} = this._monitor.view();
		const isStillPrimary = primary === this._endpoint && term === proved.term;
		return isStillPrimary ? undefined : new Refusal('notPrimary', this._endpoint, {correction: this._admission.correction()});
	}

	/** Whether no confirmation is needed: a read at a position that is already confirmed returns only confirmed data. */
	private _needsNoConfirmation(run: RunningRequest, position: LogPosition): boolean {
		if (this._context.options.acknowledgement === 'commit') {
			return true;
		}

		const {access, isInTransaction} = run.request;
		return access === 'read' && !isInTransaction && hasReached(this._confirmedPosition, position) && this._confirmedPosition.term === position.term;
	}

	private _unconfirmedRefusal(run: RunningRequest, detail: string): Refusal {
		const correction = this._admission.correction();
		const {access, isInTransaction} = run.request;
		if (access === 'write' || isInTransaction) {
			return new Refusal('outcomeUnknown', detail, {correction});
		}

		const isReplaced = this._monitor.view().primary !== this._endpoint;
		return new Refusal(isReplaced ? 'notPrimary' : 'endpointUnavailable', detail, {correction});
	}
}
