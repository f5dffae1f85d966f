/**
 * Monitors one database group: confirms writes, proves freshness, detects the loss of the
 * primary and promotes another.
 */
import {Left, type Either} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import {DisposableStore, type Disposable} from '../lifecycle/disposable.js';
import {Emitter, type Event} from '../lifecycle/emitter.js';
import type {LogPosition} from '../positions/log-position.js';
import type {
	GroupDefinition, GroupMonitor, GroupView, InstanceControl, PrimaryAnnouncement,
} from '../services/services.js';
import {WakeableSleep} from '../lifecycle/timing.js';
import {Confirmations} from './confirmations.js';
import {FailureDetector} from './failure-detector.js';
import {FollowerRedirector} from './follower-redirector.js';
import {FreshnessSamples} from './freshness-samples.js';
import type {InstanceWatch} from './instance-watch.js';
import {GroupState} from './group-state.js';
import {OrderedPrimaryChanges} from './ordered-primary-changes.js';
import {Promoter} from './promoter.js';
import {FreshnessProver} from './freshness-prover.js';
import {isLeading} from './quorum.js';
import type {GroupOptions, GroupServices, MonitorContext} from './types.js';

/** One group, monitored from this node. */
export class MonitoredGroup implements GroupMonitor, Disposable {
	readonly group: string;
	/** Fires with the new view when an instance has reported its state, or a connection or the primary has changed. */
	readonly onChange: Event<GroupView>;

	private readonly _services: GroupServices;
	private readonly _options: GroupOptions;
	private readonly _scope = new DisposableStore();
	private readonly _onChange = this._scope.register(new Emitter<GroupView>());
	private readonly _state: GroupState;
	private readonly _confirmations: Confirmations;
	private readonly _prover: FreshnessProver;
	private readonly _samples: FreshnessSamples;
	private readonly _detector: FailureDetector;
	private readonly _promoter: Promoter;
	private readonly _orderedChanges: OrderedPrimaryChanges;
	private _sampleTimer: Disposable | undefined;
	private _freshnessLastRequestedMs = Number.NEGATIVE_INFINITY;
	private _lastUsedMs: number;
	private _recordedTerm = 0;

	constructor(group: string, context: MonitorContext) {
		const {services, options} = context;
		this.onChange = this._onChange.event;
		this.group = group;
		this._services = services;
		this._options = options;
		this._lastUsedMs = services.clock.nowMs();
		this._state = this._scope.register(new GroupState(group, context));
		this._confirmations = this._scope.register(new Confirmations(services.clock));
		this._prover = this._scope.register(new FreshnessProver(this._state, context));
		this._samples = new FreshnessSamples(options.samplesKept);
		const followers = this._scope.register(new FollowerRedirector(this._state, services, options));
		this._promoter = new Promoter(this._state, followers, context);
		this._detector = this._scope.register(new FailureDetector(this._state, context));
		this._orderedChanges = this._scope.register(new OrderedPrimaryChanges(this._state, this._promoter, services, options));
		this._subscribe();
		this.configure(services.configuration.group(group));
		void this._replaceLostPrimaries();
		void this._orderedChanges.run();
	}

	/** When the monitor was last used, in milliseconds on this node's clock. */
	get lastUsedMs(): number {
		return this._lastUsedMs;
	}

	/** Applies a change of the group's definition. */
	configure(definition: GroupDefinition | undefined): void {
		this._state.configure(definition);
		this._orderedChanges.wake();
	}

	view(): GroupView {
		return this._state.view();
	}

	async confirm(position: LogPosition, timeoutMs: number): Promise<Either<Refusal, void>> {
		this._recordUse();
		if (this._scope.isDisposed) {
			return Left(new Refusal('outcomeUnknown', 'the group is no longer followed'));
		}

		const startedMs = this._services.clock.nowMs();
		const waiting = this._confirmations.wait(position, timeoutMs);
		this._settleConfirmations();
		const outcome = await waiting;
		const kind = outcome.map(() => 'confirmed').mapLeft(refusal => refusal.kind).extract();
		this._services.metrics.count('confirmationsTotal', {outcome: kind});
		this._services.metrics.observe('confirmationWaitMs', this._services.clock.nowMs() - startedMs);
		return outcome;
	}

	async prove(timeoutMs: number): Promise<Either<Refusal, LogPosition>> {
		this._recordUse();
		this._keepSampling();
		return this._prover.prove(timeoutMs);
	}

	ageMs(endpoint: string): number | undefined {
		this._keepSampling();
		const watch = this._state.watch(endpoint);
		const state = watch?.isReachable ? watch.state : undefined;
		const startedAtMs = state && state.role !== 'rebuilding'
			? this._samples.newestReachedStartMs(state.applied)
			: undefined;
		return startedAtMs === undefined ? undefined : this._services.clock.nowMs() - startedAtMs;
	}

	async orderPromotion(endpoint?: string): Promise<Either<Refusal, GroupView>> {
		this._recordUse();
		return this._orderedChanges.movePrimary('ordered', endpoint);
	}

	control(endpoint: string): InstanceControl | undefined {
		this._recordUse();
		return this._state.watch(endpoint)?.control;
	}

	learnPrimary(announcement: PrimaryAnnouncement): void {
		if (announcement.group === this.group) {
			this._state.learnPrimary(announcement);
		}
	}

	dispose(): void {
		this._sampleTimer?.dispose();
		this._scope.dispose();
	}

	/**
	 * Records the term of a primary that was seen to lead, because its promoter may have died
	 * before it recorded the term. For a term that is already in the table this costs one read.
	 */
	private _recordTerm({name, state}: InstanceWatch): void {
		if (state && isLeading(state) && state.promisedTerm > this._recordedTerm) {
			this._recordedTerm = state.promisedTerm;
			this._services.terms.record({group: this.group, term: state.promisedTerm, primary: name}, state.claimId);
		}
	}

	private _subscribe(): void {
		this._scope.register(this._prover.onProof(sample => {
			this._samples.add(sample);
		}));
		this._scope.register(this._state.onReport(watch => {
			this._settleConfirmations();
			this._recordTerm(watch);
			this._onChange.fire(this.view());
		}));
		this._scope.register(this._state.onConnection(() => {
			this._onChange.fire(this.view());
		}));
		this._scope.register(this._state.onPrimary(({term}) => {
			this._prover.abortRound();
			this._orderedChanges.wake();
			this._services.metrics.gauge('groupTerm', term, {group: this.group});
			this._onChange.fire(this.view());
		}));
	}

	/** Runs the task that replaces lost primaries. */
	private async _replaceLostPrimaries(): Promise<void> {
		const backoff = this._promoter.newBackoff();
		const sleep = this._scope.register(new WakeableSleep(this._services.clock));
		for (;;) {
			const loss = await this._detector.nextLoss();
			if (!loss) {
				return;
			}

			const wanted = loss.reason === 'stranded' ? this._state.primary : undefined;
			const outcome = await this._promoter.promote({...loss, wanted});
			if (outcome.isRight()) {
				backoff.reset();
			} else {
				backoff.fail();
				await sleep.wait(backoff.remainingMs);
			}
		}
	}

	private _settleConfirmations(): void {
		const {majorityTerm} = this._state;
		this._confirmations.fence(majorityTerm);
		for (const term of this._confirmations.terms) {
			this._services.invariants.check('fencedAcknowledgement', term >= majorityTerm, () =>
				`${this.group}: a majority promised term ${majorityTerm}, but a write of term ${term} still waits for confirmation`);
			this._confirmations.advance(term, this._state.majorityOffset(term));
		}
	}

	/** Keeps background proofs running while callers request proofs or ages. */
	private _keepSampling(): void {
		this._freshnessLastRequestedMs = this._services.clock.nowMs();
		if (!this._sampleTimer && !this._scope.isDisposed) {
			this._sample();
		}
	}

	private _sample(): void {
		const {clock} = this._services;
		this._sampleTimer = undefined;
		if (clock.nowMs() - this._freshnessLastRequestedMs > this._options.sampleIdleMs) {
			return;
		}

		void this._prover.prove(this._options.proofRoundMs);
		this._sampleTimer = clock.setTimer(this._options.sampleEveryMs, () => {
			this._sample();
		});
	}

	private _recordUse(): void {
		this._lastUsedMs = this._services.clock.nowMs();
	}
}
