/**
 * Runs statements outside of transactions: selects an endpoint, sends the statement there, and
 * decides what a failure means and whether another endpoint may be tried.
 */
import {Refusal} from '../errors/error-kinds.js';
import type {ErrorKind} from '../errors/error-kinds.js';
import type {StatementFault, EndpointStatement, TimedAnswer} from '../pools/types.js';
import type {PrimaryTracker} from '../primacy/primary-tracker.js';
import type {LogPosition} from '../positions/log-position.js';
import {RetryBudget} from '../routing/retry-budget.js';
import type {EndpointAnswer, EndpointErrorKind} from '../services/services.js';
import {PrimaryReturnTimes} from './primary-return-times.js';
import type {StatementTarget} from './statement-target-selector.js';
import {StatementTargetSelector} from './statement-target-selector.js';
import type {Answer, LineSessionServices, RunnableStatement} from './types.js';

/** Errors by which an endpoint states that it ran nothing, so that a retry is safe. */
export const notRunErrors: ReadonlySet<EndpointErrorKind> = new Set(['busy', 'unknownStatement', 'behind', 'readOnly']);

/** One statement and the attempts that were made to run it. */
type Progress = {
	readonly statement: RunnableStatement;
	readonly group: PrimaryTracker;
	readonly refusedBy: Set<string>;
	/** How often it was sent and may have run. */
	attempts: number;
	/** How often an attempt failed, whether the statement was turned away or got no answer. */
	detours: number;
	lastRefusal: Refusal | undefined;
};

/** What the use of a primary depends on. */
type PrimaryUse = Pick<RunnableStatement, 'organisation' | 'deadlineMs' | 'goalAtMs'>;

/** Outcome of one attempt: an answer, or undefined if another endpoint may be tried. */
type AttemptResult = Answer | undefined;

/** Runs statements outside of transactions; all sessions of a node share one instance. */
export class StatementRunner {
	readonly targets: StatementTargetSelector;
	private readonly _services: LineSessionServices;
	/** Limits how many reads are retried because no answer arrived. */
	private readonly _readRetries: RetryBudget;
	private readonly _returnTimes: PrimaryReturnTimes;

	constructor(services: LineSessionServices) {
		this._services = services;
		this._readRetries = new RetryBudget(services.options.repeatShare, services.options.repeatBurst);
		this._returnTimes = new PrimaryReturnTimes(services);
		this.targets = new StatementTargetSelector(services);
	}

	/** Runs a statement; never rejects. */
	async run(statement: RunnableStatement): Promise<Answer> {
		const group = this._services.trackers.group(statement.route.service);
		group.noteUse();
		const progress: Progress = {
			statement, group, refusedBy: new Set(), attempts: 0, detours: 0, lastRefusal: undefined,
		};
		return statement.access === 'write' ? this._write(progress) : this._read(progress);
	}

	/** Resolves to the primary as a target once a lease on its term is held, otherwise to the refusal that says why there is none. */
	async ensurePrimaryTarget(group: PrimaryTracker, statement: PrimaryUse): Promise<StatementTarget | Refusal> {
		const target = await this._findPrimaryTarget(group, statement);
		if (!target) {
			return this._noPrimary(group, statement);
		}

		this._returnTimes.noteFound(group);
		return target;
	}

	/**
	 * Whether a commit of the primary may be acknowledged: only if its term had not been replaced
	 * when it committed. This waits a short time for a replica to report that it has received the
	 * commit, so that the commit survives the loss of the primary. If none does, the commit is
	 * acknowledged all the same, and survives only as long as the primary does.
	 */
	async mayAcknowledge(statement: RunnableStatement, group: PrimaryTracker, term: number, position: LogPosition | undefined): Promise<boolean> {
		const {clock, metrics} = this._services;
		if (group.primary?.term !== term) {
			return false;
		}

		const isConfirmed = position !== undefined && await group.confirm(position);
		metrics.count('confirmationsTotal', {outcome: isConfirmed ? 'received' : 'unconfirmed'});
		if (!isConfirmed) {
			this._services.log.event('writeUnconfirmed', {
				request: statement.id, group: group.service, term, position, proof: group.proof,
			});
		}

		const {acknowledgementWaitMs, leaseWaitMs} = group.options;
		const leftMs = Math.max(leaseWaitMs, statement.deadlineMs - clock.nowMs());
		const isLeased = await group.ensureLease(Math.min(acknowledgementWaitMs, leftMs));
		const mayAcknowledge = isLeased && group.primary?.term === term;
		if (mayAcknowledge) {
			this._services.log.event('writeAcknowledged', {
				request: statement.id, group: group.service, term, position, isConfirmed, proof: group.proof,
			});
		}

		return mayAcknowledge;
	}

	/** Converts a session's statement into the form that pools run; `floor` is the position that the endpoint must have reached. */
	endpointStatement(statement: RunnableStatement, floor?: LogPosition): EndpointStatement {
		const {id, text, call, session, caller, organisation, access, deadlineMs, goalAtMs} = statement;
		return {
			id, text, call, session, caller, organisation, access, floor, deadlineMs, goalAtMs, priority: statement.route.priority,
		};
	}

	/** Records what an answer reveals about its endpoint; returns whether the answer is valid. */
	noteAnswer(group: PrimaryTracker, endpointId: string, {answer, sentAtMs}: TimedAnswer): boolean {
		const isAnswerValid = group.noteAnswer(endpointId, answer.position, sentAtMs);
		if (answer.error?.kind === 'readOnly') {
			group.noteNotPrimary(endpointId);
		}

		return isAnswerValid;
	}

	/** Records that an endpoint, or the node that relays to it, gave no answer. */
	noteFault(group: PrimaryTracker, endpointId: string, fault: StatementFault): void {
		if (fault.refusal.kind === 'peerUnavailable') {
			this._services.relays.dropRelay(group.service);
		}

		if (fault.cause) {
			group.noteFault(endpointId, fault.cause, fault.sentAtMs);
		}
	}

	private async _findPrimaryTarget(group: PrimaryTracker, {organisation, deadlineMs}: PrimaryUse): Promise<StatementTarget | undefined> {
		const target = this.targets.primary(group, organisation);
		if (target && group.isLeased) {
			return target;
		}

		// A node that has just started learns the primary of a group within about 100 ms. Refusing
		// meanwhile would turn away statements that can still be answered before their deadline.
		const isKnown = group.primary !== undefined || group.hasEndpointReport;
		if (!target && isKnown) {
			return undefined;
		}

		const {leaseWaitMs} = group.options;
		const isLeased = await group.ensureLease(Math.min(leaseWaitMs, deadlineMs - this._services.clock.nowMs()));
		const current = this.targets.primary(group, organisation);
		return isLeased ? current : undefined;
	}

	private async _write(progress: Progress): Promise<Answer> {
		const {statement, group} = progress;
		while (this._mayTry(progress)) {
			const target = await this.ensurePrimaryTarget(group, statement);
			if (target instanceof Refusal) {
				return this._refuse(progress, target);
			}

			if (this._turnAwayIfTooLate(progress, target)) {
				continue;
			}

			const term = group.primary?.term ?? 0;
			const result = await target.pool.run(this.endpointStatement(statement));
			const answer = result.isLeft()
				? this._onWriteFault(progress, target, result.extract())
				: await this._onWriteAnswer(progress, target, result.unsafeCoerce(), term);
			if (answer) {
				return answer;
			}
		}

		return this._refuse(progress, progress.lastRefusal ?? new Refusal('overloaded'));
	}

	private async _onWriteAnswer(progress: Progress, target: StatementTarget, timed: TimedAnswer, term: number): Promise<AttemptResult> {
		const {statement, group} = progress;
		const {answer} = timed;
		const isAnswerValid = this.noteAnswer(group, target.pool.endpoint.id, timed);
		if (answer.error) {
			return this._onError(progress, target, answer);
		}

		if (!isAnswerValid) {
			return this._refuse(progress, new Refusal('outcomeUnknown', lostLogDetail(target.pool.endpoint.id)));
		}

		if (!await this.mayAcknowledge(statement, group, term, answer.position)) {
			return this._refuse(progress, new Refusal('outcomeUnknown', `committed in term ${term}, which is no longer proved to stand`));
		}

		return {text: answer.text, position: answer.position, mark: answer.position};
	}

	private _onWriteFault(progress: Progress, target: StatementTarget, fault: StatementFault): AttemptResult {
		this.noteFault(progress.group, target.pool.endpoint.id, fault);
		if (fault.isSent) {
			return this._refuse(progress, new Refusal('outcomeUnknown', fault.refusal.detail));
		}

		return this._onNotRun(progress, target, fault);
	}

	private async _read(progress: Progress): Promise<Answer> {
		this._readRetries.onRequest();
		while (this._mayTry(progress)) {
			const target = await this._readTarget(progress);
			if (target instanceof Refusal) {
				return this._refuse(progress, target);
			}

			if (this._turnAwayIfTooLate(progress, target)) {
				continue;
			}

			const {statement} = progress;
			const silenceMs = this._silenceMs(progress, target);
			const result = await target.pool.run({...this.endpointStatement(statement, target.floor), silenceMs});
			const answer = result.isLeft()
				? this._onReadFault(progress, target, result.extract())
				: this._onReadAnswer(progress, target, result.unsafeCoerce());
			if (answer) {
				return answer;
			}
		}

		return this._refuse(progress, progress.lastRefusal ?? new Refusal('overloaded'));
	}

	private async _readTarget(progress: Progress): Promise<StatementTarget | Refusal> {
		const {statement, group, refusedBy} = progress;
		if (statement.route.kind === 'primary') {
			return this.ensurePrimaryTarget(group, statement);
		}

		const target = this.targets.read(group, {...statement, refusedBy});
		if (target) {
			return target;
		}

		const primary = await this.ensurePrimaryTarget(group, statement);
		if (!(primary instanceof Refusal) && refusedBy.has(primary.pool.endpoint.id)) {
			return progress.lastRefusal ?? new Refusal('overloaded');
		}

		return primary;
	}

	private _onReadAnswer(progress: Progress, target: StatementTarget, timed: TimedAnswer): AttemptResult {
		const {answer} = timed;
		if (!this.noteAnswer(progress.group, target.pool.endpoint.id, timed)) {
			return this._noteTurnedAway(progress, target, new Refusal('noPrimary', lostLogDetail(target.pool.endpoint.id)));
		}

		if (answer.error) {
			return this._onError(progress, target, answer);
		}

		this._services.metrics.count('answeredRequestsTotal', {access: 'read', role: target.isPrimary ? 'primary' : 'replica'});
		return {text: answer.text, position: answer.position};
	}

	/** Turns a statement away if its home reported a moment ago that it cannot start before its deadline: the home would refuse it, a round trip later. */
	private _turnAwayIfTooLate(progress: Progress, target: StatementTarget): boolean {
		const {statement} = progress;
		const waitMs = target.pool.reportedWaitMs?.(statement.route.priority) ?? 0;
		const isTooLate = waitMs > statement.deadlineMs - this._services.clock.nowMs();
		if (isTooLate) {
			const refusal = new Refusal('deadlineUnreachable', `about ${Math.ceil(waitMs)} ms of work ahead at ${target.pool.endpoint.id}`, {retryAfterMs: Math.ceil(waitMs)});
			this._noteTurnedAway(progress, target, refusal);
		}

		return isTooLate;
	}

	/** Handles a read that got no answer; it is safe to retry, because reads change nothing. */
	private _onReadFault(progress: Progress, target: StatementTarget, fault: StatementFault): AttemptResult {
		this.noteFault(progress.group, target.pool.endpoint.id, fault);
		if (fault.isSent) {
			progress.attempts += 1;
			this._readRetries.tryRetry();
			target.pool.closeIdle();
		}

		return this._onNotRun(progress, target, fault);
	}

	/**
	 * Handles a statement without an answer that may be retried. A home of the primary that cannot serve
	 * it before its deadline is not asked again: every attempt would take a place in the schedule of
	 * returns that nobody uses. A line that is too long for the primary is too long for every endpoint,
	 * as no minimum position precedes it there.
	 */
	private _onNotRun(progress: Progress, target: StatementTarget, {isSent, refusal}: StatementFault): AttemptResult {
		const answer = this._noteTurnedAway(progress, target, refusal);
		const isByGoal = progress.statement.goalAtMs !== undefined && this._services.load?.isAdmissionByGoal() === true;
		const isTooLate = isByGoal && !isSent && refusal.kind === 'deadlineUnreachable';
		const isFinal = target.isPrimary && (isTooLate || refusal.kind === 'messageTooLarge');
		return isFinal ? this._refuse(progress, refusal) : answer;
	}

	/** Handles an error that the endpoint returned: another endpoint is tried if a retry is safe, otherwise the error is passed on to the caller. */
	private _onError(progress: Progress, target: StatementTarget, answer: EndpointAnswer): AttemptResult {
		const error = answer.error!;
		const mayRepeat = notRunErrors.has(error.kind) || (progress.statement.access === 'read' && error.kind === 'failed');
		if (!mayRepeat) {
			return {text: answer.text, position: answer.position};
		}

		if (!notRunErrors.has(error.kind)) {
			progress.attempts += 1;
		}

		return this._noteTurnedAway(progress, target, new Refusal(refusalKinds[error.kind] ?? 'endpointUnavailable', error.text));
	}

	private _noteTurnedAway(progress: Progress, target: StatementTarget, refusal: Refusal): AttemptResult {
		const {statement, refusedBy, group} = progress;
		progress.detours += 1;
		progress.lastRefusal = refusal;
		refusedBy.add(target.pool.endpoint.id);
		this._services.log.event('statementTurnedAway', {
			request: statement.id, endpoint: target.pool.endpoint.id, via: target.pool.via, isPrimary: target.isPrimary, kind: refusal.kind, detail: refusal.detail,
			group: group.service, term: group.primary?.term, load: target.pool.load, detours: progress.detours, attempts: progress.attempts,
		});
		return undefined;
	}

	private _mayTry(progress: Progress): boolean {
		const {statement, attempts, detours} = progress;
		const {clock, options} = this._services;
		return attempts < statement.route.maximumAttempts && detours < options.maximumDetours
			&& (detours === 0 || statement.deadlineMs - clock.nowMs() >= options.leastAttemptMs);
	}

	/** How long a read waits for its answer before it is retried at another endpoint; undefined if it is not retried. */
	private _silenceMs({statement, group, attempts}: Progress, target: StatementTarget): number | undefined {
		const hasOther = statement.route.kind !== 'primary' && group.endpoints().length > 1;
		const mayRepeat = hasOther && attempts + 1 < statement.route.maximumAttempts && !this._readRetries.isEmpty;
		return mayRepeat ? target.pool.answerTimes.silenceThresholdMs : undefined;
	}

	private _noPrimary(group: PrimaryTracker, statement: PrimaryUse): Refusal {
		const {primary, isLeased, promotionReason} = group;
		const detail = primary ? `${primary.endpointId} of term ${primary.term}, ${promotionReason ?? (isLeased ? 'not reachable' : 'not proved')}` : 'none known';
		return new Refusal('noPrimary', detail, {retryAfterMs: this._returnTimes.retryAfterMs(group, statement)});
	}

	private _refuse(progress: Progress, refusal: Refusal): Answer {
		return {text: this._services.wire.encodeRefusal(refusal), position: undefined, refusal};
	}
}

/** Detail of the refusal when a primary's answer is invalid because the primary restarted without entries that it had acknowledged. */
export function lostLogDetail(endpointId: string): string {
	return `${endpointId} started again without its log`;
}

/** Kind of refusal for each endpoint error, used when no other endpoint is left to try. */
export const refusalKinds: Partial<Record<EndpointErrorKind, ErrorKind>> = {
	busy: 'overloaded',
	behind: 'tooStale',
	readOnly: 'notPrimary',
	unknownStatement: 'endpointUnavailable',
	failed: 'statementFailed',
};
