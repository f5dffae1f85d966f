/**
 * The rules by which a primary counts as lost.
 *
 * A wrong decision costs an interruption, but never an acknowledged write: promotion is safe
 * at any time. So the rules only weigh the speed of detection against needless interruptions
 * (constants.ts has the thresholds).
 */
import type {InstanceWatch} from './instance-watch.js';
import type {GroupState} from './group-state.js';
import type {PeerOpinions} from './peer-opinions.js';
import type {GroupOptions, GroupServices, PromotionReason} from './types.js';

/** The result of a rule that calls for another primary. */
export type LossFinding = {
	readonly reason: PromotionReason;
	/** When the primary was last known to serve, in milliseconds on this node's clock. */
	readonly sinceMs: number;
	/** Whether the known primary is suspected, so that the promotion does not wait for its answer. */
	readonly isPrimarySuspected: boolean;
};

type Rule = () => LossFinding | undefined;

/** Applies the rules to the known state of one group. */
export class LossRules {
	private readonly _group: GroupState;
	private readonly _opinions: PeerOpinions;
	private readonly _services: Pick<GroupServices, 'clock'>;
	private readonly _options: GroupOptions;
	private readonly _startedMs: number;
	private readonly _sinceMs = new Map<PromotionReason, number>();

	/** The rules, the fastest to detect a loss first. */
	private readonly _rules: readonly Rule[] = [
		() => this._crash(),
		() => this._silence(),
		() => this._isolation(),
		() => this._vacancy(),
		() => this._stranding(),
	];

	constructor(group: GroupState, opinions: PeerOpinions, services: Pick<GroupServices, 'clock'>, options: GroupOptions) {
		this._group = group;
		this._opinions = opinions;
		this._services = services;
		this._options = options;
		this._startedMs = services.clock.nowMs();
	}

	/** Whether the condition of a rule with a minimum duration currently holds. */
	get isPending(): boolean {
		return this._sinceMs.size > 0;
	}

	/** The finding of the first rule that calls for another primary; undefined while another promoter has recently claimed a higher term. */
	evaluate(): LossFinding | undefined {
		const findings = this._rules.flatMap(rule => rule() ?? []);
		const claimedMs = this._services.clock.nowMs() - this._group.highestTermSinceMs;
		const isClaimed = this._group.highestTerm > this._group.term && claimedMs < this._options.vacantAfterMs;
		return isClaimed ? undefined : findings[0];
	}

	/** Restarts the durations of all conditions that must hold for a minimum time. */
	reset(): void {
		this._sinceMs.clear();
	}

	/**
	 * Either the endpoint refuses connections and a replica has lost its stream, so the process
	 * is gone; or the process is back and reports that it is rebuilding, so it lost its log.
	 */
	private _crash(): LossFinding | undefined {
		const watch = this._group.primaryWatch;
		if (!watch) {
			return undefined;
		}

		const isRefusing = watch.control === undefined && watch.refusals >= this._options.crashRefusals;
		const isGone = isRefusing && this._replicas().some(({state}) => !state?.isStreaming);
		const isBack = watch.state?.role === 'rebuilding' && watch.state.promisedTerm <= this._group.term;
		return isGone || isBack ? {reason: 'crash', sinceMs: watch.lastClosedMs, isPrimarySuspected: true} : undefined;
	}

	/**
	 * Neither this node nor a peer hears from the primary. It counts as cut off if its whole zone is
	 * silent as well and no replica receives its stream; otherwise it counts as frozen, after a
	 * longer silence.
	 */
	private _silence(): LossFinding | undefined {
		if (!this._group.primaryWatch) {
			return undefined;
		}

		const sinceMs = this._primaryLastHeardMs();
		const silenceMs = this._services.clock.nowMs() - sinceMs;
		const zoneSilenceMs = Math.min(silenceMs, this._services.clock.nowMs() - this._opinions.zoneLastHeardMs);
		const isCut = zoneSilenceMs >= this._options.cutAfterMs && this._streamingReplicas().length === 0;
		if (isCut) {
			return {reason: 'cut', sinceMs, isPrimarySuspected: true};
		}

		return silenceMs >= this._options.frozenAfterMs ? {reason: 'frozen', sinceMs, isPrimarySuspected: true} : undefined;
	}

	/** This node or a peer hears from the primary, so it is not frozen, but too few replicas receive its stream for a write to be confirmed. */
	private _isolation(): LossFinding | undefined {
		const isHeard = this._group.primaryWatch !== undefined
			&& this._services.clock.nowMs() - this._primaryLastHeardMs() < this._options.opinionFreshMs;
		const replicas = this._replicas().filter(({state}) => state?.role === 'replica' && state.promisedTerm === this._group.term);
		const isIsolated = replicas.length >= this._group.majority && this._streamingReplicas().length + 1 < this._group.majority;
		return this._ifSustained('isolated', isHeard && isIsolated, this._options.isolatedAfterMs);
	}

	/** A majority promised a higher term that no instance leads, the known primary is fenced or no longer in the group, or no primary was ever seen. */
	private _vacancy(): LossFinding | undefined {
		if (this._group.term === 0) {
			const isLate = this._services.clock.nowMs() - this._startedMs >= this._options.frozenAfterMs;
			return this._ifSustained('vacant', isLate, 0);
		}

		const isDeposed = this._group.primaryWatch?.state !== undefined && !this._group.isPrimaryLeading();
		const isVacant = isDeposed || this._group.majorityTerm > this._group.term || !this._group.primaryWatch;
		return this._ifSustained('vacant', isVacant, this._options.vacantAfterMs);
	}

	/** An instance promised a higher term than the primary's to a promoter that did not finish, so it no longer follows the primary. */
	private _stranding(): LossFinding | undefined {
		const isStranded = this._group.isPrimaryLeading() && this._group.reachable.some(({state}) =>
			state !== undefined && state.role !== 'rebuilding' && state.promisedTerm > this._group.term);
		return this._ifSustained('stranded', isStranded, this._options.strandedAfterMs);
	}

	/** Returns a finding once the condition has held without interruption for the given time. */
	private _ifSustained(reason: PromotionReason, isTrue: boolean, durationMs: number): LossFinding | undefined {
		if (!isTrue) {
			this._sinceMs.delete(reason);
			return undefined;
		}

		const nowMs = this._services.clock.nowMs();
		const sinceMs = this._sinceMs.get(reason) ?? nowMs;
		this._sinceMs.set(reason, sinceMs);
		return nowMs - sinceMs >= durationMs ? {reason, sinceMs, isPrimarySuspected: reason === 'isolated'} : undefined;
	}

	/** When this node or a peer last heard from the primary, in milliseconds on this node's clock. */
	private _primaryLastHeardMs(): number {
		return Math.max(this._group.primaryWatch?.lastHeardMs ?? 0, this._opinions.primaryLastHeardMs);
	}

	private _replicas(): readonly InstanceWatch[] {
		return this._group.reachable.filter(({name}) => name !== this._group.primary);
	}

	/** Reachable replicas that receive the primary's stream in the known term. */
	private _streamingReplicas(): readonly InstanceWatch[] {
		return this._replicas().filter(({state}) => state?.isStreaming && state.promisedTerm === this._group.term);
	}
}
