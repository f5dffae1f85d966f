/**
 * Decides when a group needs another primary.
 *
 * A wrong decision costs an interruption, never a write: promotion is safe at any time.
 * So the rules weigh speed against interruptions only (constants.ts has the numbers).
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {rankCandidates, rankOfSelf} from './candidates.js';
import type {InstanceWatch} from './instance-watch.js';
import type {KnownGroup} from './known-group.js';
import type {PauseWatch} from './pause-watch.js';
import {SecondOpinions} from './second-opinions.js';
import {WakeableSleep} from './timing.js';
import type {
	GroupOptions, GroupServices, Loss, LossReason,
} from './types.js';

/** What a rule found: a reason to promote, and whether the known primary is suspected. */
type Finding = {readonly reason: LossReason; readonly sinceMs: number; readonly isPrimarySuspected: boolean};

type Rule = () => Finding | undefined;

/** Watches over the primary of one group. One task calls `nextLoss` again and again. */
export class FailureDetector implements Disposable {
	private readonly _group: KnownGroup;
	private readonly _services: GroupServices;
	private readonly _options: GroupOptions;
	private readonly _pause: PauseWatch;
	private readonly _opinions: SecondOpinions;
	private readonly _sleep: WakeableSleep;
	private readonly _subscriptions: readonly Disposable[];
	private readonly _startedMs: number;
	private readonly _conditions = new Map<LossReason, {readonly sinceMs: number; readonly term: number}>();
	private _isSuspecting = false;
	private _isDisposed = false;

	/** The rules, in the order of their speed. */
	private readonly _rules: readonly Rule[] = [
		() => this._crash(),
		() => this._silence(),
		() => this._isolation(),
		() => this._vacancy(),
		() => this._stranding(),
	];

	constructor(group: KnownGroup, services: GroupServices, options: GroupOptions, pause: PauseWatch) {
		this._group = group;
		this._services = services;
		this._options = options;
		this._pause = pause;
		this._opinions = new SecondOpinions(group, services, options);
		this._sleep = new WakeableSleep(services.clock);
		this._startedMs = services.clock.nowMs();
		this._subscriptions = [
			group.onConnection(() => {
				this._sleep.wake();
			}),
			pause.onPause(pausedMs => {
				this._forget(pausedMs);
			}),
		];
	}

	/** Resolves when it is this node's turn to promote; undefined after the end. */
	async nextLoss(): Promise<Loss | undefined> {
		while (!this._isDisposed) {
			await this._sleep.wait(this._intervalMs());
			const finding = this._look();
			if (finding && await this._isOurTurn(finding)) {
				return this._lossOf(finding);
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

	private _look(): Finding | undefined {
		this._pause.check();
		this._noteSuspicion();
		if (this._isSuspecting || this._group.term === 0) {
			this._opinions.ask(this._group.primaryWatch?.endpoint);
		}

		for (const rule of this._rules) {
			const finding = rule();
			if (finding) {
				return finding;
			}
		}

		return undefined;
	}

	/**
	 * The endpoint refuses connections and a replica lost its stream: the process is gone. Or
	 * it is back, and says itself that it lost its log.
	 */
	private _crash(): Finding | undefined {
		const watch = this._group.primaryWatch;
		if (!watch) {
			return undefined;
		}

		const isRefusing = watch.control === undefined && watch.refusals >= this._options.crashRefusals;
		const isGone = isRefusing && this._replicas().some(({state}) => !state?.isStreaming);
		const isBack = watch.state?.role === 'rebuilding' && watch.state.promisedTerm <= this._group.term;
		return isGone || isBack ? {reason: 'crash', sinceMs: watch.closedMs, isPrimarySuspected: true} : undefined;
	}

	/**
	 * Nobody hears the primary: a cut if its whole zone is silent, too, and no replica gets
	 * its stream; otherwise it is frozen.
	 */
	private _silence(): Finding | undefined {
		const watch = this._group.primaryWatch;
		if (!watch) {
			return undefined;
		}

		const nowMs = this._services.clock.nowMs();
		const heardMs = Math.max(watch.heardMs, this._opinions.primaryHeardMs);
		const zoneHeardMs = Math.max(heardMs, this._opinions.zoneHeardMs);
		const isStreaming = this._replicas().some(({state}) => state?.isStreaming && state.promisedTerm === this._group.term);
		if (nowMs - zoneHeardMs >= this._options.cutAfterMs && !isStreaming) {
			return {reason: 'cut', sinceMs: heardMs, isPrimarySuspected: true};
		}

		const isFrozen = nowMs - heardMs >= this._options.frozenAfterMs;
		return isFrozen ? {reason: 'frozen', sinceMs: heardMs, isPrimarySuspected: true} : undefined;
	}

	/** The primary lives, but too few replicas hear it for a write to be confirmed. */
	private _isolation(): Finding | undefined {
		const replicas = this._replicas().filter(({state}) => state?.role === 'replica');
		const streaming = replicas.filter(({state}) => state?.isStreaming);
		const isIsolated = this._group.primaryWatch !== undefined
			&& replicas.length >= this._group.majority
			&& streaming.length + 1 < this._group.majority;
		return this._lasting('isolated', isIsolated, this._options.frozenAfterMs, true);
	}

	/** A term was promised that nobody leads, or no primary was ever seen. */
	private _vacancy(): Finding | undefined {
		if (this._group.term === 0) {
			const isLate = this._services.clock.nowMs() - this._startedMs >= this._options.frozenAfterMs;
			return this._lasting('vacant', isLate, 0, false);
		}

		const isDeposed = this._group.primaryWatch?.state !== undefined && !this._group.isLed();
		const isVacant = isDeposed || this._group.majorityTerm > this._group.term || !this._group.primaryWatch;
		return this._lasting('vacant', isVacant, this._options.vacantAfterMs, false);
	}

	/** An instance promised a higher term than the primary's to a promoter that did not finish. */
	private _stranding(): Finding | undefined {
		const isStranded = this._group.isLed() && this._group.reachable.some(({state}) =>
			state !== undefined && state.role !== 'rebuilding' && state.promisedTerm > this._group.term);
		return this._lasting('stranded', isStranded, this._options.strandedAfterMs, false);
	}

	/** A finding once a condition has held for a time with nobody raising the term. */
	private _lasting(reason: LossReason, isTrue: boolean, durationMs: number, isPrimarySuspected: boolean): Finding | undefined {
		if (!isTrue) {
			this._conditions.delete(reason);
			return undefined;
		}

		const nowMs = this._services.clock.nowMs();
		const term = this._group.highestTerm;
		const known = this._conditions.get(reason);
		if (known?.term !== term) {
			this._conditions.set(reason, {sinceMs: nowMs, term});
			return durationMs === 0 ? {reason, sinceMs: nowMs, isPrimarySuspected} : undefined;
		}

		return nowMs - known.sinceMs >= durationMs ? {reason, sinceMs: known.sinceMs, isPrimarySuspected} : undefined;
	}

	/**
	 * Waits for this node's turn among the monitors. Before it a majority must answer, so
	 * that a node that is cut off itself raises no term that reaches anybody later.
	 */
	private async _isOurTurn(finding: Finding): Promise<boolean> {
		const {clock, random} = this._services;
		const {highestTerm} = this._group;
		const suspect = this._suspectOf(finding);
		const others = this._group.watches.filter(({name}) => name !== suspect);
		const answers = await Promise.all(others.map(async watch => watch.readState(this._options.opinionTimeoutMs)));
		const candidates = others.flatMap((watch, index) => {
			const state = answers[index];
			return state && state.role !== 'rebuilding' ? [{endpoint: watch.endpoint, state}] : [];
		});
		if (candidates.length < this._group.majority) {
			this._noteNoMajority(candidates.length);
			return false;
		}

		const availabilityZone = this._group.primaryWatch?.endpoint.availabilityZone;
		const ranked = rankCandidates(candidates, {wanted: undefined, availabilityZone}, this._services);
		const delayMs = (rankOfSelf(ranked, this._services) * this._options.staggerMs)
			+ (random.next() * this._options.staggerJitterMs);
		const turnMs = clock.nowMs() + delayMs;
		while (clock.nowMs() < turnMs && !this._isDisposed) {
			await this._sleep.wait(turnMs - clock.nowMs());
		}

		return !this._isDisposed && this._group.highestTerm === highestTerm && this._look()?.reason === finding.reason;
	}

	private _lossOf(finding: Finding): Loss {
		return {
			reason: finding.reason,
			sinceMs: finding.sinceMs,
			term: this._group.term,
			suspect: this._suspectOf(finding),
		};
	}

	private _suspectOf({isPrimarySuspected}: Finding): string | undefined {
		return isPrimarySuspected ? this._group.primary : undefined;
	}

	private _replicas(): readonly InstanceWatch[] {
		return this._group.reachable.filter(({name}) => name !== this._group.primary);
	}

	private _noteSuspicion(): void {
		const watch = this._group.primaryWatch;
		const silenceMs = watch ? this._services.clock.nowMs() - watch.heardMs : 0;
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

	private _noteNoMajority(answered: number): void {
		this._services.metrics.count('majorityMissesTotal');
		this._services.log.event('majorityUnreachable', {group: this._group.name, answered, size: this._group.size});
	}

	private _forget(pausedMs: number): void {
		this._group.excuseSilence();
		this._conditions.clear();
		this._services.log.event('monitorPaused', {group: this._group.name, pausedMs});
	}

	private _intervalMs(): number {
		const watch = this._group.primaryWatch;
		const isClosed = watch !== undefined && !watch.control;
		if (this._isSuspecting || isClosed || this._conditions.size > 0) {
			return this._options.suspicionTickMs;
		}

		const silenceMs = watch ? this._services.clock.nowMs() - watch.heardMs : 0;
		return Math.min(this._options.quietTickMs, Math.max(this._options.suspectAfterMs - silenceMs, 1));
	}
}
