/**
 * Detects that a group needs another primary, and decides when it is this node's turn to promote one.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {WakeableSleep} from '../lifecycle/timing.js';
import {rankCandidates, promotionRankOfSelf, type Candidate} from './candidates.js';
import type {GroupState} from './group-state.js';
import {LossRules, type LossFinding} from './loss-rules.js';
import type {PauseDetector} from './pause-detector.js';
import type {SafetyRules} from './safety-rules.js';
import {PeerOpinions} from './peer-opinions.js';
import type {
	GroupOptions, GroupServices, PrimaryLoss, MonitorContext,
} from './types.js';

/** Detects the loss of one group's primary. A single task calls `nextLoss` in a loop. */
export class FailureDetector implements Disposable {
	private readonly _group: GroupState;
	private readonly _services: GroupServices;
	private readonly _options: GroupOptions;
	private readonly _pauseDetector: PauseDetector;
	private readonly _quorum: SafetyRules['promotionQuorum'];
	private readonly _opinions: PeerOpinions;
	private readonly _rules: LossRules;
	private readonly _sleep: WakeableSleep;
	private readonly _subscriptions: readonly Disposable[];
	private _isSuspecting = false;
	private _isMajorityMissing = false;
	private _isDisposed = false;

	constructor(group: GroupState, {services, options, pause, rules}: MonitorContext) {
		this._group = group;
		this._services = services;
		this._options = options;
		this._pauseDetector = pause;
		this._quorum = rules.promotionQuorum;
		this._opinions = new PeerOpinions(group, services, options);
		this._rules = new LossRules(group, this._opinions, services, options);
		this._sleep = new WakeableSleep(services.clock);
		this._subscriptions = [
			group.onConnection(() => {
				this._sleep.wake();
			}),
			pause.onPause(pausedMs => {
				this._resetAfterPause(pausedMs);
			}),
		];
	}

	/** Resolves with the loss when it is this node's turn to promote; undefined once the detector is disposed. */
	async nextLoss(): Promise<PrimaryLoss | undefined> {
		while (!this._isDisposed) {
			await this._sleep.wait(this._intervalMs());
			const finding = this._evaluate();
			if (finding && await this._isOurTurn(finding)) {
				return {
					reason: finding.reason, sinceMs: finding.sinceMs, term: this._group.term, suspect: this._suspectOf(finding),
				};
			}
		}

		return undefined;
	}

	dispose(): void {
		this._isDisposed = true;
		this._sleep.dispose();
		for (const subscription of this._subscriptions) {
			subscription.dispose();
		}
	}

	private _evaluate(): LossFinding | undefined {
		this._pauseDetector.check();
		this._updateSuspicion();
		if (this._isSuspecting || this._group.term === 0) {
			this._opinions.startRound(this._group.primaryWatch?.endpoint);
		}

		return this._rules.evaluate();
	}

	/**
	 * Waits for this node's turn among the monitors; false when a majority of the instances
	 * does not answer or the situation changes meanwhile. The majority must answer first, so
	 * that a node that is itself cut off does not raise a term that reaches other instances
	 * later.
	 */
	private async _isOurTurn(finding: LossFinding): Promise<boolean> {
		const {highestTerm} = this._group;
		const candidates = await this._readCandidates(finding);
		this._updateMajority(candidates.length);
		if (this._isMajorityMissing) {
			await this._sleepFor(this._options.majorityRetryMs);
			return false;
		}

		const availabilityZone = this._group.primaryWatch?.endpoint.availabilityZone;
		const ranked = rankCandidates(candidates, {wanted: undefined, availabilityZone}, this._services);
		const rank = promotionRankOfSelf(ranked, this._services);
		await this._sleepFor((rank * this._options.staggerMs) + (this._services.random.next() * this._options.staggerJitterMs));
		return !this._isDisposed && this._group.highestTerm === highestTerm && this._evaluate()?.reason === finding.reason;
	}

	/** The instances, without the suspect, that answer a status request now and are not rebuilding. */
	private async _readCandidates(finding: LossFinding): Promise<readonly Candidate[]> {
		const suspect = this._suspectOf(finding);
		const others = this._group.watches.filter(({name}) => name !== suspect);
		const answers = await Promise.all(others.map(async watch => {
			const state = await watch.readState(this._options.opinionTimeoutMs);
			return state && state.role !== 'rebuilding' ? [{endpoint: watch.endpoint, state}] : [];
		}));
		return answers.flat();
	}

	/** Sleeps for the whole delay, even if the sleep is woken: the stagger between monitors depends on it. */
	private async _sleepFor(delayMs: number): Promise<void> {
		const {clock} = this._services;
		const endMs = clock.nowMs() + delayMs;
		while (clock.nowMs() < endMs && !this._isDisposed) {
			await this._sleep.wait(endMs - clock.nowMs());
		}
	}

	private _suspectOf({isPrimarySuspected}: LossFinding): string | undefined {
		return isPrimarySuspected ? this._group.primary : undefined;
	}

	private _updateSuspicion(): void {
		const watch = this._group.primaryWatch;
		const silenceMs = watch ? this._services.clock.nowMs() - watch.lastHeardMs : 0;
		const isSuspecting = silenceMs >= this._options.suspectAfterMs;
		if (isSuspecting === this._isSuspecting) {
			return;
		}

		this._isSuspecting = isSuspecting;
		const subject = {group: this._group.name, primary: this._group.primary, term: this._group.term};
		if (isSuspecting) {
			this._services.log.event('primarySuspected', {...subject, silenceMs, refusals: watch?.refusals});
			this._services.metrics.count('suspicionsTotal');
		} else {
			this._services.log.event('suspicionEnded', subject);
		}
	}

	private _updateMajority(answered: number): void {
		const isMissing = answered < this._quorum(this._group.size);
		if (isMissing && !this._isMajorityMissing) {
			this._services.metrics.count('majorityMissesTotal');
			this._services.log.event('majorityUnreachable', {group: this._group.name, answered, size: this._group.size});
		}

		this._isMajorityMissing = isMissing;
	}

	/** Restarts all silence timers after a pause of this process, during which it could receive nothing from any instance. */
	private _resetAfterPause(pausedMs: number): void {
		this._group.resetSilence();
		this._rules.reset();
		this._services.log.event('monitorPaused', {group: this._group.name, pausedMs});
	}

	private _intervalMs(): number {
		const watch = this._group.primaryWatch;
		const isClosed = watch !== undefined && !watch.control;
		if (this._isSuspecting || isClosed || this._rules.isPending) {
			return this._options.suspicionTickMs;
		}

		const silenceMs = watch ? this._services.clock.nowMs() - watch.lastHeardMs : 0;
		return Math.min(this._options.quietTickMs, Math.max(this._options.suspectAfterMs - silenceMs, 1));
	}
}
