/**
 * When an answer may be passed on: its position is held by a majority of the group's
 * instances in its own term, and the freshness that was asked for is proved.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {LogPosition} from '../positions/log-position.js';
import {hasReached, zeroPosition} from '../positions/log-position.js';
import type {GroupMonitor} from '../services/services.js';
import type {Admission} from './admission.js';
import type {HomeContext, RunningRequest} from './types.js';

/** Instances of a group in which two are a majority. */
const largestGroupWithImpliedMajority = 3;

/** Decides over the answers of one endpoint. */
export class Acknowledgement {
	private readonly _context: HomeContext;
	private readonly _endpoint: string;
	private readonly _monitor: GroupMonitor;
	private readonly _admission: Admission;
	/** Everything up to here is held by a majority for good. */
	private _confirmedPosition: LogPosition = zeroPosition;

	constructor(context: HomeContext, endpoint: string, monitor: GroupMonitor, admission: Admission) {
		this._context = context;
		this._endpoint = endpoint;
		this._monitor = monitor;
		this._admission = admission;
	}

	/**
	 * Whether everything that a replica shows is held by a majority: itself and the primary
	 * that it came from. Larger groups need the confirmation of more instances.
	 */
	get isImpliedOnReplicas(): boolean {
		return this._monitor.view().instances.length <= largestGroupWithImpliedMajority;
	}

	/** The reason why what an unfinished answer holds so far must not be passed on. */
	async confirmPartial(run: RunningRequest): Promise<Refusal | undefined> {
		const result = await this.confirmCurrent(run);
		return result.isLeft() ? result.extract() : undefined;
	}

	/** Confirms everything that the endpoint has logged by now, and returns that position. */
	async confirmCurrent(run: RunningRequest): Promise<Either<Refusal, LogPosition>> {
		const state = await this._monitor.control(this._endpoint)?.readState();
		if (!state || state.isLeft()) {
			return Left(this._unconfirmedRefusal(run, 'no control connection'));
		}

		const position = state.map(({received}) => received).orDefault(zeroPosition);
		return this.confirm(run, position);
	}

	/** Confirms a position for an answer of the primary. */
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

	/** Waits for the proof that was asked for on arrival, if there is one. */
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

	/** A read that saw nothing new shows only what was confirmed before. */
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
