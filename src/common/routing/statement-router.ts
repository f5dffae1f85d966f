/**
 * Routes request cycles: chooses an endpoint, sends the cycle to its home, applies corrections
 * and retries what certainly did not run or is idempotent, within the deadline and a budget.
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
import type {Target} from './request-progress.js';
import {RequestProgress} from './request-progress.js';
import {CallerLimiter} from './caller-limiter.js';
import type {RoutingOptions} from './constants.js';
import {GroupViewCache} from './group-view-cache.js';
import {RetryPolicy} from './retry-policy.js';
import {RetryBudget} from './retry-budget.js';
import {TargetSelector} from './target-selector.js';

/** Services that the router uses. */
export type StatementRouterServices = {
	readonly clock: Clock;
	readonly random: Random;
	readonly metrics: Metrics;
	readonly invariants: Invariants;
	readonly configuration: Configuration;
	readonly membership: Membership;
	readonly peers: Peers;
	readonly groups: Groups;
	/** Executes requests for the endpoints whose home is this node. */
	readonly localExecutor: HomeExecutor;
	readonly options: RoutingOptions;
};

/** Routes the statements of this node's callers. */
export class StatementRouter implements Router, Disposable {
	/** Cached views of groups; announcements of peers are applied to them. */
	readonly views: GroupViewCache;

	private readonly _services: StatementRouterServices;
	private readonly _disposables = new DisposableStore();
	private readonly _budget: RetryBudget;
	private readonly _limits = new CallerLimiter();
	private readonly _targetSelector: TargetSelector;
	private readonly _retryPolicy: RetryPolicy;
	/** Hosts that hold the open transactions of sessions; an endpoint's home may move while a transaction is open. */
	private readonly _transactionHosts = new WeakMap<RoutedSession, Host>();

	constructor(services: StatementRouterServices) {
		this._services = services;
		this.views = new GroupViewCache(services.clock);
		this._budget = new RetryBudget(services.options.retryShare, services.options.retryBurst);
		this._targetSelector = this._disposables.register(new TargetSelector({...services, views: this.views}));
		this._retryPolicy = new RetryPolicy({...services, views: this.views, budget: this._budget});
		this._disposables.register(services.configuration.onChange(() => {
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
		const holder = this._transactionHosts.get(session);
		if (holder) {
			this._executorOf(holder).release(session.group, heldEndpoint, session.id);
		}
	}

	dispose(): void {
		this._disposables.dispose();
	}

	/** Tries targets one after another until one answers or no target is left to try. */
	private async _tryUntilAnswered(progress: RequestProgress): Promise<Either<Refusal, RouteEnd>> {
		for (;;) {
			const target = await this._targetSelector.select(progress);
			if (!target) {
				return this._refuse(progress, progress.lastRefusal ?? new Refusal('noPrimary'));
			}

			const result = await this._attempt(progress, target);
			if (!result.isLeft()) {
				return result;
			}

			const refusal = result.extract();
			progress.lastRefusal = refusal;
			if (!await this._retryPolicy.prepareRetry(progress, target, refusal)) {
				return this._refuse(progress, refusal);
			}
		}
	}

	/** Sends a statement to the home that holds the transaction's connection; no other home can serve it. */
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

	/** Sends the request once, to the home of the target. */
	private async _attempt(progress: RequestProgress, target: Target): Promise<Either<Refusal, RouteEnd>> {
		const {clock, metrics, invariants} = this._services;
		const {session} = progress;
		const timeLeftMs = progress.deadlineAtMs - clock.nowMs();
		if (timeLeftMs < this._services.options.minimumAttemptMs) {
			return Left(progress.lastRefusal ?? new Refusal('deadlineExceeded'));
		}

		const home = session.heldEndpoint ? this._transactionHosts.get(session) : this._homeOf(session.group, target.endpoint);
		if (!home) {
			return Left(new Refusal('endpointUnavailable', 'no host serves the endpoint'));
		}

		const mayBeSent = !progress.mayHaveRun || session.isIdempotent;
		if (!invariants.check('atMostOnce', mayBeSent, () => `${progress.lastRefusal?.kind ?? ''}, then sent to ${target.endpoint.name}`)) {
			return Left(new Refusal('invariantViolated', 'the request may have run already'));
		}

		metrics.count('routedRequestsTotal', {access: progress.cycle.access, reason: target.reason});
		const view = this.views.endpoint(session.group, target.endpoint.name);
		view.inProgress += 1;
		const request = this._homeRequest(progress, target, timeLeftMs);
		const executor = this._executorOf(home);
		const result = await executor.execute(request, progress, progress.signal);
		view.inProgress -= 1;
		if (result.isLeft() && progress.cycle.step === 'begin') {
			// The home may have begun the transaction nevertheless, and would hold a connection for it until the idle timeout.
			executor.release(session.group, target.endpoint.name, session.id);
		}

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
			this._services.invariants.check('readYourWrites', hasReached(end.position, wanted), () => `${target.endpoint.name} answered from a position before the session's`);
		}

		session.marks.advance(group, end.position);
		session.heldEndpoint = end.isHeld ? target.endpoint.name : undefined;
		if (end.isHeld) {
			this._transactionHosts.set(session, home);
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
			// Membership finds out whether that host is down; a correction that names it could outlast the host, so it is dropped.
			this.views.endpoint(group, target.endpoint.name).homeNode = undefined;
		}

		return refusal;
	}

	private _refuse(progress: RequestProgress, refusal: Refusal): Either<Refusal, never> {
		this._services.metrics.count('refusedRequestsTotal', {access: progress.cycle.access, kind: refusal.kind});
		return Left(refusal);
	}

	private _endpoint(group: string, name: string): EndpointDefinition | undefined {
		return this._services.configuration.group(group)?.endpoints.find(endpoint => endpoint.name === name);
	}

	/** The home that the last correction names while that host is a member, else the rendezvous home. */
	private _homeOf(group: string, endpoint: EndpointDefinition): Host | undefined {
		const {membership} = this._services;
		const view = this.views.endpoint(group, endpoint.name);
		const corrected = view.homeNode === undefined ? undefined : membership.host(view.homeNode);
		return corrected ?? membership.homeOf(endpoint);
	}

	private _executorOf(home: Host): HomeExecutor {
		const {membership, peers, localExecutor} = this._services;
		return home.name === membership.self.name ? localExecutor : peers.executorOf(home);
	}
}

/** Turns a refusal after which the home no longer holds the transaction into `transactionLost`: unless it was being committed, it has been rolled back. */
function lostTransactionRefusal(progress: RequestProgress, refusal: Refusal): Refusal {
	const lostKinds = new Set<ErrorKind>(['peerUnavailable', 'notHome', 'endpointUnavailable', 'notPrimary']);
	return lostKinds.has(refusal.kind) ? new Refusal('transactionLost', refusal.detail) : refusal;
}
