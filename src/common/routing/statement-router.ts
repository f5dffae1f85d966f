/**
 * Sees request cycles through: chooses an endpoint, asks its home, follows corrections and
 * retries what certainly did not run, within the deadline and a budget.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {ErrorKind} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import {DisposableStore} from '../lifecycle/disposable.js';
import {hasReached} from '../positions/log-position.js';
import type {
	AnswerSink, Clock, Configuration, EndpointDefinition, Groups, HomeEnd, HomeExecutor, HomeRequest, Host,
	Invariants, Membership, Metrics, Peers, Random, RequestCycle, RouteEnd, RoutedSession, Router,
} from '../services/services.js';
import type {Target} from './attempt.js';
import {RequestProgress} from './attempt.js';
import {CallerLimits} from './caller-limits.js';
import type {RoutingOptions} from './constants.js';
import {GroupViews} from './group-views.js';
import {PrimaryFinder} from './primary-finder.js';
import {rankReplicas, type PrimaryReason} from './read-choice.js';
import type {NextStep} from './refusal-steps.js';
import {nextStepByKind} from './refusal-steps.js';
import {RetryBudget} from './retry-budget.js';

/** What the router works with. */
export type StatementRouterServices = {
	readonly clock: Clock;
	readonly random: Random;
	readonly metrics: Metrics;
	readonly invariants: Invariants;
	readonly configuration: Configuration;
	readonly membership: Membership;
	readonly peers: Peers;
	readonly groups: Groups;
	/** Executes for the endpoints that this node is home of. */
	readonly localExecutor: HomeExecutor;
	readonly options: RoutingOptions;
};

/** Routes the statements of this node's callers. */
export class StatementRouter implements Router, Disposable {
	/** What this node believes about groups; peers' announcements go here. */
	readonly views: GroupViews;

	private readonly _services: StatementRouterServices;
	private readonly _owned = new DisposableStore();
	private readonly _budget: RetryBudget;
	private readonly _limits = new CallerLimits();
	private readonly _finder: PrimaryFinder;
	/** Hosts that hold sessions' transactions; an endpoint's home may move while they go on. */
	private readonly _holders = new WeakMap<RoutedSession, Host>();

	private readonly _nextSteps: Record<NextStep, (progress: RequestProgress, target: Target) => boolean | Promise<boolean>> = {
		detour: async (progress, target) => this._findHome(progress, target),
		anotherEndpoint: async (progress, target) => this._passOver(progress, target),
		anotherReplica: async (progress, target) => !target.isPrimary && this._passOver(progress, target),
		findPrimary: async (progress, target) => this._rejectPrimary(progress, target),
		retry: (progress, target) => this._spendRetry(progress, target),
	};

	constructor(services: StatementRouterServices) {
		this._services = services;
		this.views = new GroupViews(services.clock);
		this._budget = new RetryBudget(services.options.retryShare, services.options.retryBurst);
		this._finder = this._owned.register(new PrimaryFinder({...services, views: this.views}));
		this._owned.register(services.configuration.onChange(() => {
			this.views.retain(new Set(services.configuration.groups().map(group => group.name)));
		}));
	}

	async execute(
		session: RoutedSession,
		cycle: RequestCycle,
		sink: AnswerSink,
		signal: AbortSignal,
	): Promise<Either<Refusal, RouteEnd>> {
		const {clock, configuration} = this._services;
		if (!configuration.group(session.group)) {
			return Left(new Refusal('unknownGroup', session.group));
		}

		const policy = configuration.callerPolicy(session.caller, session.group);
		const deadlineAtMs = clock.nowMs() + (session.deadlineMs ?? policy.deadlineMs);
		const progress = new RequestProgress({
			session, cycle, sink, signal,
		}, policy, deadlineAtMs);
		if (session.heldEndpoint) {
			return this._continueTransaction(progress, session.heldEndpoint);
		}

		if (!this._limits.tryEnter(session.caller.user, policy.maximumInProgress)) {
			return this._refuse(progress, new Refusal('callerLimited', session.caller.user));
		}

		this._budget.onRequest();
		const result = await this._tryUntilAnswered(progress);
		this._limits.leave(session.caller.user);
		return result;
	}

	close(session: RoutedSession): void {
		const {heldEndpoint} = session;
		if (!heldEndpoint) {
			return;
		}

		session.heldEndpoint = undefined;
		const holder = this._holders.get(session);
		if (holder) {
			this._executorOf(holder).release(session.group, heldEndpoint, session.id);
		}
	}

	dispose(): void {
		this._owned.dispose();
	}

	/** Tries targets one after another until one answers or nothing is left to try. */
	private async _tryUntilAnswered(progress: RequestProgress): Promise<Either<Refusal, RouteEnd>> {
		for (;;) {
			const target = await this._chooseTarget(progress);
			if (!target) {
				return this._refuse(progress, progress.lastRefusal ?? new Refusal('noPrimary'));
			}

			const result = await this._attempt(progress, target);
			if (!result.isLeft()) {
				return result;
			}

			const refusal = result.extract();
			progress.lastRefusal = refusal;
			if (!await this._mayTryAgain(progress, target, refusal)) {
				return this._refuse(progress, refusal);
			}
		}
	}

	/** The transaction's connection is at one home; nothing else can serve its statements. */
	private async _continueTransaction(progress: RequestProgress, heldEndpoint: string): Promise<Either<Refusal, RouteEnd>> {
		const {session} = progress;
		const endpoint = this._endpoint(session.group, heldEndpoint);
		if (!endpoint) {
			this.close(session);
			return this._refuse(progress, new Refusal('transactionLost', 'the endpoint has been removed'));
		}

		const isPrimary = this.views.group(session.group).primary === heldEndpoint;
		const result = await this._attempt(progress, {endpoint, reason: 'transaction', isPrimary});
		return result.chainLeft(refusal => {
			const isOver = refusal.kind !== 'overloaded' && refusal.kind !== 'cancelled';
			if (isOver) {
				this.close(session);
				session.transactionStatus = 'idle';
			}

			return this._refuse(progress, lostTransactionRefusal(progress, refusal));
		});
	}

	private async _chooseTarget(progress: RequestProgress): Promise<Target | undefined> {
		if (progress.cycle.access === 'read') {
			const target = this._chooseReadTarget(progress);
			if (target) {
				return target;
			}
		}

		return this._choosePrimary(progress);
	}

	private _chooseReadTarget(progress: RequestProgress): Target | undefined {
		const {configuration, random, clock} = this._services;
		const {session, policy} = progress;
		const isProofTried = progress.needsProof && progress.refusedBy.size > 0;
		if (policy.reads === 'primary' || isProofTried) {
			return undefined;
		}

		const ranked = rankReplicas({configuration, views: this.views, random}, {
			group: session.group,
			availabilityZone: session.caller.availabilityZone,
			minimumPosition: progress.minimumPosition,
			refusedBy: progress.refusedBy,
			nowMs: clock.nowMs(),
		});
		const best = ranked.at(0);
		return best && {endpoint: best.endpoint, reason: best.reason, isPrimary: false};
	}

	/** The primary, waited for where there is none at the moment. */
	private async _choosePrimary(progress: RequestProgress): Promise<Target | undefined> {
		const {group} = progress.session;
		if (!this.views.group(group).primary) {
			const isFound = await this._awaitPrimary(progress);
			if (!isFound) {
				return undefined;
			}
		}

		const endpoint = this._endpoint(group, this.views.group(group).primary);
		return endpoint && {endpoint, reason: primaryReason(progress), isPrimary: true};
	}

	private async _awaitPrimary(progress: RequestProgress): Promise<boolean> {
		const {clock, options} = this._services;
		if (!this._finder.hasRoom) {
			progress.lastRefusal ??= new Refusal('noPrimary', 'too many requests wait for a primary');
			return false;
		}

		const timeLeftMs = progress.deadlineAtMs - clock.nowMs();
		const timeoutMs = Math.min(options.primaryWaitMs, timeLeftMs);
		return this._finder.waitForPrimary(progress.session.group, timeoutMs, progress.signal);
	}

	/** One request to one home. */
	private async _attempt(progress: RequestProgress, target: Target): Promise<Either<Refusal, RouteEnd>> {
		const {clock, metrics, invariants} = this._services;
		const {session} = progress;
		const timeLeftMs = progress.deadlineAtMs - clock.nowMs();
		if (timeLeftMs < this._services.options.minimumAttemptMs) {
			return Left(progress.lastRefusal ?? new Refusal('deadlineExceeded'));
		}

		const home = session.heldEndpoint ? this._holders.get(session) : this._homeOf(session.group, target.endpoint);
		if (!home) {
			return Left(new Refusal('endpointUnavailable', 'no host serves the endpoint'));
		}

		const mayBeSent = !progress.mayHaveRun || session.isIdempotent;
		if (!invariants.check('atMostOnce', mayBeSent, () => `${progress.lastRefusal?.kind ?? ''} and then ${target.endpoint.name}`)) {
			return Left(new Refusal('invariantViolated', 'the request may have run already'));
		}

		metrics.count('routedRequestsTotal', {access: progress.cycle.access, reason: target.reason});
		const belief = this.views.endpoint(session.group, target.endpoint.name);
		belief.inProgress += 1;
		const request = this._homeRequest(progress, target, timeLeftMs);
		const result = await this._executorOf(home).execute(request, progress, progress.signal);
		belief.inProgress -= 1;
		return result
			.map(end => this._onAnswered(progress, target, end, home))
			.mapLeft(refusal => this._onRefused(progress, target, refusal));
	}

	private _homeRequest(progress: RequestProgress, target: Target, timeLeftMs: number): HomeRequest {
		const {session, cycle, policy, maximumAgeMs} = progress;
		const isRead = cycle.access === 'read';
		return {
			group: session.group,
			endpoint: target.endpoint.name,
			sessionId: session.id,
			caller: session.caller.user,
			frames: cycle.frames,
			access: cycle.access,
			step: cycle.step,
			isInTransaction: session.heldEndpoint !== undefined,
			isIdempotent: session.isIdempotent,
			minimumPosition: progress.minimumPosition,
			maximumAgeMs: isRead ? maximumAgeMs : undefined,
			isFreshnessProved: progress.needsProof && session.heldEndpoint === undefined,
			timeLeftMs,
			priority: policy.priority,
			transactionIdleMs: policy.transactionIdleMs,
		};
	}

	private _onAnswered(progress: RequestProgress, target: Target, end: HomeEnd, home: Host): RouteEnd {
		const {session, cycle} = progress;
		const {group} = session;
		this.views.learnCorrection(group, target.endpoint.name, end.correction);
		this.views.learnApplied(group, target.endpoint.name, end.position);
		if (cycle.access === 'read' && end.transactionStatus === 'idle') {
			const wanted = progress.minimumPosition;
			this._services.invariants.check('readYourWrites', hasReached(end.position, wanted), () => `${target.endpoint.name} answered before the session's position`);
		}

		session.marks.advance(group, end.position);
		session.heldEndpoint = end.isHeld ? target.endpoint.name : undefined;
		if (end.isHeld) {
			this._holders.set(session, home);
		}

		session.transactionStatus = end.transactionStatus;
		this._services.metrics.count('answeredRequestsTotal', {access: cycle.access, role: target.isPrimary ? 'primary' : 'replica'});
		return {
			transactionStatus: end.transactionStatus,
			endpoint: target.endpoint.name,
			position: end.position,
			errorSqlState: end.errorSqlState,
		};
	}

	private _onRefused(progress: RequestProgress, target: Target, refusal: Refusal): Refusal {
		const {group} = progress.session;
		this.views.learnCorrection(group, target.endpoint.name, refusal.correction);
		progress.mayHaveRun ||= refusal.answer.outcome !== 'notRun';
		if (refusal.kind === 'peerUnavailable') {
			// Membership finds out whether that host is gone; a correction that named it would outlive it.
			this.views.endpoint(group, target.endpoint.name).homeNode = undefined;
		}

		return refusal;
	}

	/** Decides after a refusal whether the request goes on, and prepares the next attempt. */
	private async _mayTryAgain(progress: RequestProgress, target: Target, refusal: Refusal): Promise<boolean> {
		if (progress.hasPushed || progress.signal.aborted) {
			return false;
		}

		const isKnownNotRun = refusal.answer.isProxyRetryable && refusal.answer.outcome === 'notRun';
		const isHarmless = progress.session.isIdempotent && refusal.answer.outcome === 'unknown';
		if (!isKnownNotRun && !isHarmless) {
			return false;
		}

		const step = nextStepByKind[refusal.kind] ?? 'retry';
		return this._nextSteps[step](progress, target);
	}

	/** A step aside that costs others nothing; the first is taken at once, later ones after a pause. */
	private async _takeDetour(progress: RequestProgress): Promise<boolean> {
		const {clock, options} = this._services;
		progress.detourCount += 1;
		const timeLeftMs = progress.deadlineAtMs - clock.nowMs();
		if (progress.detourCount > options.maximumDetours || timeLeftMs <= 0) {
			return false;
		}

		if (progress.detourCount > 1) {
			const pauseMs = Math.min(options.detourPauseMs * (2 ** (progress.detourCount - 2)), options.longestDetourPauseMs);
			await new Promise<void>(resolve => {
				clock.setTimer(Math.min(pauseMs, timeLeftMs), resolve);
			});
		}

		return !progress.signal.aborted;
	}

	/** The asked node does not serve the endpoint: believe what it said, or membership again. */
	private async _findHome(progress: RequestProgress, target: Target): Promise<boolean> {
		const belief = this.views.endpoint(progress.session.group, target.endpoint.name);
		belief.homeNode = progress.lastRefusal?.correction?.homeNode;
		if (!target.isPrimary && belief.homeNode === undefined) {
			return this._passOver(progress, target);
		}

		return this._takeDetour(progress);
	}

	/** The endpoint cannot take this request: another can. */
	private async _passOver(progress: RequestProgress, target: Target): Promise<boolean> {
		progress.refusedBy.add(target.endpoint.name);
		return target.isPrimary ? this._rejectPrimary(progress, target) : true;
	}

	/** What was believed to be primary is not: find out who is. */
	private async _rejectPrimary(progress: RequestProgress, target: Target): Promise<boolean> {
		const {primaryRejectionMs} = this._services.options;
		this.views.rejectPrimary(progress.session.group, target.endpoint.name, primaryRejectionMs);
		return this._takeDetour(progress);
	}

	/** Something broke: pass the endpoint over and spend from the budget. */
	private _spendRetry(progress: RequestProgress, target: Target): boolean {
		const {endpointPenaltyMs, primaryRejectionMs} = this._services.options;
		const {group} = progress.session;
		this.views.avoid(group, target.endpoint.name, endpointPenaltyMs);
		this.views.rejectPrimary(group, target.endpoint.name, primaryRejectionMs);
		progress.refusedBy.add(target.endpoint.name);
		progress.retryCount += 1;
		return progress.retryCount <= progress.policy.maximumRetries && this._budget.tryRetry();
	}

	private _refuse(progress: RequestProgress, refusal: Refusal): Either<Refusal, never> {
		this._services.metrics.count('refusedRequestsTotal', {access: progress.cycle.access, kind: refusal.kind});
		return Left(refusal);
	}

	private _endpoint(group: string, name: string): EndpointDefinition | undefined {
		return this._services.configuration.group(group)?.endpoints.find(endpoint => endpoint.name === name);
	}

	/** The home by the last correction while that host lives, else by rendezvous. */
	private _homeOf(group: string, endpoint: EndpointDefinition): Host | undefined {
		const {membership} = this._services;
		const belief = this.views.endpoint(group, endpoint.name);
		const corrected = belief.homeNode === undefined ? undefined : membership.host(belief.homeNode);
		return corrected ?? membership.homeOf(endpoint);
	}

	private _executorOf(home: Host): HomeExecutor {
		const {membership, peers, localExecutor} = this._services;
		return home.name === membership.self.name ? localExecutor : peers.executorOf(home);
	}
}

/** A transaction whose home cannot be reached any more has been rolled back, unless it was being committed. */
function lostTransactionRefusal(progress: RequestProgress, refusal: Refusal): Refusal {
	const lostKinds = new Set<ErrorKind>(['peerUnavailable', 'notHome', 'endpointUnavailable', 'notPrimary']);
	return lostKinds.has(refusal.kind) ? new Refusal('transactionLost', refusal.detail) : refusal;
}

/** Why a request goes to the primary. */
function primaryReason({cycle, policy, refusedBy}: RequestProgress): PrimaryReason {
	if (cycle.access === 'write') {
		return 'primary';
	}

	if (policy.reads === 'primary') {
		return 'primaryByRule';
	}

	return refusedBy.size > 0 ? 'primaryBehind' : 'primaryNoReplica';
}
