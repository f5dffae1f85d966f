/**
 * Decides whether an endpoint may serve a request: it must be attached, not draining, in the right role and fresh enough.
 */
import {Refusal} from '../errors/error-kinds.js';
import type {ViewCorrection} from '../errors/error-kinds.js';
import {laterPosition, type LogPosition} from '../positions/log-position.js';
import type {GroupMonitor} from '../services/services.js';
import {withTimeout} from '../lifecycle/timing.js';
import type {Attachment} from './attachment.js';
import type {PositionTracker} from './position-tracker.js';
import type {HomeContext, RunningRequest} from './types.js';
import {waitUntil} from './wait-until.js';

/** Sources of the state that an admission checks. */
export type AdmissionSources = {
	readonly endpoint: string;
	readonly monitor: GroupMonitor;
	readonly attachment: Attachment;
	readonly tracker: PositionTracker;
};

/** Checks requests against what is known of one endpoint and its group. */
export class Admission {
	private readonly _context: HomeContext;
	private readonly _endpoint: string;
	private readonly _monitor: GroupMonitor;
	private readonly _attachment: Attachment;
	private readonly _tracker: PositionTracker;

	constructor(context: HomeContext, sources: AdmissionSources) {
		this._context = context;
		this._endpoint = sources.endpoint;
		this._monitor = sources.monitor;
		this._attachment = sources.attachment;
		this._tracker = sources.tracker;
	}

	/** Whether the endpoint is the group's primary as far as this node knows. */
	get isPrimary(): boolean {
		return this._monitor.view().primary === this._endpoint || this._tracker.state?.role === 'primary';
	}

	/** Term and primary of the group, sent to the requester with a refusal or an answer; undefined if none is known. */
	correction(): ViewCorrection | undefined {
		const {term, primary} = this._monitor.view();
		return term === 0 ? undefined : {term, primary};
	}

	/** Checks a request on arrival; waits briefly for an attach, a position or a proof where that may help. */
	async admit(run: RunningRequest): Promise<Refusal | undefined> {
		return this._leavingRefusal()
			?? await this._awaitAttach(run)
			?? this._roleRefusal(run)
			?? await this._provePosition(run)
			?? await this._awaitPosition(run)
			?? this._awaitAge(run);
	}

	/** Checks a request again once it has a slot, since the state may have changed while it waited. */
	async recheck(run: RunningRequest): Promise<Refusal | undefined> {
		return this._leavingRefusal()
			?? this._detachedRefusal()
			?? this._roleRefusal(run)
			?? this._positionRefusal(run)
			?? this._awaitAge(run);
	}

	/** Applied position of each instance, as last reported. */
	private _appliedPositions(): Array<{readonly endpoint: string; readonly position: LogPosition}> {
		return this._monitor.view().instances.flatMap(({endpoint, state}) => state ? [{endpoint, position: state.applied}] : []);
	}

	private _leavingRefusal(): Refusal | undefined {
		const policy = this._context.configuration.endpointPolicy(this._endpoint);
		return policy.isDraining ? new Refusal('endpointLeaving', this._endpoint, {correction: this.correction()}) : undefined;
	}

	private async _awaitAttach(run: RunningRequest): Promise<Refusal | undefined> {
		if (!this._attachment.isAttached && this._attachment.isReachable) {
			const {clock, options} = this._context;
			await waitUntil(clock, {
				condition: () => this._attachment.isAttached,
				events: [this._attachment.onChange],
				timeoutMs: Math.min(options.attachWaitMs, this._timeLeftMs(run)),
				signal: run.signal,
			});
		}

		return this._detachedRefusal();
	}

	private _detachedRefusal(): Refusal | undefined {
		if (this._attachment.isAttached) {
			return undefined;
		}

		const {holderNode: homeNode} = this._attachment;
		return this._attachment.isReachable
			? new Refusal('notHome', `not attached to ${this._endpoint}`, {correction: {...this.correction(), homeNode}})
			: new Refusal('endpointUnavailable', `no control connection to ${this._endpoint}`, {correction: this.correction()});
	}

	private _roleRefusal(run: RunningRequest): Refusal | undefined {
		const {primary} = this._monitor.view();
		if (run.request.access === 'read' || primary === this._endpoint) {
			return undefined;
		}

		return new Refusal(primary === '' ? 'noPrimary' : 'notPrimary', this._endpoint, {correction: this.correction()});
	}

	/**
	 * For a read on a replica that must be fresh: obtains the position that the primary is proved to
	 * have after the request arrived, and requires the replica to have applied it.
	 */
	private async _provePosition(run: RunningRequest): Promise<Refusal | undefined> {
		const isProvedElsewhere = run.request.access === 'write' || this.isPrimary;
		if (!run.request.isFreshnessProved || isProvedElsewhere) {
			return undefined;
		}

		const proof = await this._monitor.prove(this._timeLeftMs(run));
		proof.ifRight(position => {
			run.minimumPosition = laterPosition(run.minimumPosition, position);
		});
		return proof.swap().toMaybe().extract();
	}

	private async _awaitPosition(run: RunningRequest): Promise<Refusal | undefined> {
		const {minimumPosition} = run;
		const {clock, options} = this._context;
		if (!this._tracker.hasApplied(minimumPosition) && this._tracker.isClose(minimumPosition, options.positionWaitEntries)) {
			await waitUntil(clock, {
				condition: () => this._tracker.hasApplied(minimumPosition),
				events: [this._tracker.onChange],
				timeoutMs: Math.min(options.positionWaitMs, this._timeLeftMs(run)),
				signal: run.signal,
			});
		}

		return this._positionRefusal(run);
	}

	private _positionRefusal(run: RunningRequest): Refusal | undefined {
		return this._tracker.hasApplied(run.minimumPosition)
			? undefined
			: new Refusal('behindToken', this._endpoint, {correction: {...this.correction(), applied: this._appliedPositions()}});
	}

	/** Tries to prove that data which may be too old is fresh enough; otherwise refuses with its possible age. */
	private async _awaitAge(run: RunningRequest): Promise<Refusal | undefined> {
		const {maximumAgeMs} = run.request;
		if (maximumAgeMs === undefined || this._isFreshEnough(run, maximumAgeMs)) {
			return undefined;
		}

		const {clock, options} = this._context;
		const timeoutMs = Math.min(options.ageProofTimeoutMs, this._timeLeftMs(run));
		await withTimeout(clock, this._monitor.prove(timeoutMs), timeoutMs);
		if (this._isFreshEnough(run, maximumAgeMs)) {
			return undefined;
		}

		const possible = run.ageMs === undefined ? 'age not known' : `possible age ${Math.ceil(run.ageMs)} ms`;
		return new Refusal('tooStale', possible, {correction: this.correction()});
	}

	private _isFreshEnough(run: RunningRequest, maximumAgeMs: number): boolean {
		run.ageMs = this._monitor.ageMs(this._endpoint);
		return run.ageMs !== undefined && run.ageMs <= maximumAgeMs;
	}

	private _timeLeftMs(run: RunningRequest): number {
		return run.deadlineMs - this._context.clock.nowMs();
	}
}
