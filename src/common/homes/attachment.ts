/**
 * The attach of this node's home to one endpoint.
 *
 * The endpoint is the arbiter of who may open work connections. The attach lasts as long as
 * the control connection it came on, so it is made again on each new one. Another holder is
 * asked to let go first; it is replaced by force only when it cannot be reached, has been
 * restarted, or does not let go in time.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {DisposableStore} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {GroupMonitor, InstanceControl} from '../services/services.js';
import {Backoff} from './backoff.js';
import type {PositionTracker} from './position-tracker.js';
import type {HomeContext} from './types.js';
import {waitUntil} from './wait-until.js';

/** What is attached to what. */
export type AttachmentTarget = {
	readonly endpoint: string;
	/** `<node>/<incarnation>` of this node. */
	readonly homeId: string;
	readonly monitor: GroupMonitor;
	/** Told of the states that the control connection reports. */
	readonly tracker: PositionTracker;
};

/** What became of the holder that stands in the way: an earlier run of a node is gone. */
type HolderStatus = 'letGo' | 'silent' | 'gone' | 'unknown';

/** Keeps this node attached to one endpoint. */
export class Attachment implements Disposable {
	private readonly _context: HomeContext;
	private readonly _endpoint: string;
	private readonly _homeId: string;
	private readonly _monitor: GroupMonitor;
	private readonly _tracker: PositionTracker;
	private readonly _owned = new DisposableStore();
	private readonly _retry: Backoff;
	private readonly _forceRetry: Backoff;
	private readonly _onWake = this._owned.register(new Emitter<void>());
	private _isStopped = false;
	private _isAttached = false;
	private _holder = '';
	/** Last holder that membership did not know, and since when it was seen. */
	private _unknownHolder = {homeId: '', sinceMs: 0};
	private readonly _onChange = this._owned.register(new Emitter<boolean>());

	constructor(context: HomeContext, subject: AttachmentTarget) {
		this._context = context;
		this._endpoint = subject.endpoint;
		this._homeId = subject.homeId;
		this._monitor = subject.monitor;
		this._tracker = subject.tracker;
		const {clock, random, options} = context;
		this._retry = new Backoff(clock, random, options.attachRetryMinimumMs, options.attachRetryMaximumMs);
		this._forceRetry = new Backoff(clock, random, options.forceRetryMinimumMs, options.forceRetryMaximumMs);
	}

	/** Fires with whether this node is attached now. */
	get onChange(): Event<boolean> {
		return this._onChange.event;
	}

	get isAttached(): boolean {
		return this._isAttached;
	}

	/** Whether the endpoint can be reached on a control connection. */
	get isReachable(): boolean {
		return this._monitor.control(this._endpoint) !== undefined;
	}

	/** Node of another home that is attached, as far as known. */
	get holderNode(): string | undefined {
		return this._holder === '' || this._holder === this._homeId ? undefined : nodeOf(this._holder);
	}

	/** Begins to attach, and to attach again whenever that is lost. */
	start(): void {
		void this._run();
	}

	/** The endpoint said on a work connection that another home is attached. */
	reportNotAttached(): void {
		this._setAttached(false);
		this._onWake.fire();
	}

	/** Gives the endpoint up for good. */
	async detach(): Promise<void> {
		this._isStopped = true;
		const wasAttached = this._isAttached;
		this._setAttached(false);
		this._onWake.fire();
		const control = this._monitor.control(this._endpoint);
		if (wasAttached && control) {
			await control.detach(this._homeId);
			this._context.log.event('endpointDetached', {endpoint: this._endpoint});
		}
	}

	dispose(): void {
		this._isStopped = true;
		this._setAttached(false);
		this._onWake.fire();
		this._owned.dispose();
	}

	/** Follows one control connection after the other until stopped. */
	private async _run(): Promise<void> {
		while (!this._isStopped) {
			const control = this._monitor.control(this._endpoint);
			if (control) {
				await this._attachOn(control);
			}

			if (!this._isStopped) {
				await this._waitForRetry(control);
			}
		}
	}

	/** Attaches on one control connection and stays until it or the attach is lost. */
	private async _attachOn(control: InstanceControl): Promise<void> {
		const subscriptions = new DisposableStore();
		let isOpen = true;
		subscriptions.register(control.onClose(() => {
			isOpen = false;
			this._setAttached(false);
			this._onWake.fire();
		}));
		subscriptions.register(control.onState(state => {
			this._tracker.observeState(state);
		}));
		const isAttached = await this._attach(control) && isOpen && await this._readState(control);
		if (isAttached && isOpen && !this._isStopped) {
			this._retry.reset();
			this._setAttached(true);
			await waitUntil(this._context.clock, {
				condition: () => !isOpen || !this._isAttached || this._isStopped,
				events: [this._onWake.event],
			});
		}

		if (isOpen) {
			this._retry.fail();
		}

		subscriptions.dispose();
		this._setAttached(false);
		this._tracker.reset();
	}

	/** Waits for a new control connection or for the next try on the same one. */
	private async _waitForRetry(previous: InstanceControl | undefined): Promise<void> {
		const {clock, options} = this._context;
		await waitUntil(clock, {
			condition: () => this._isStopped || (this._monitor.control(this._endpoint) ?? previous) !== previous,
			events: [this._monitor.onChange, this._onWake.event],
			timeoutMs: previous ? this._retry.remainingMs : options.attachRetryMaximumMs,
		});
	}

	private async _attach(control: InstanceControl): Promise<boolean> {
		const answer = await this._requestAttach(control, false);
		if (answer !== 'refused') {
			return answer === 'attached';
		}

		const {log} = this._context;
		log.event('endpointHeldByAnother', {endpoint: this._endpoint, holder: this._holder});
		const finding = await this._requestHandOver();
		if (finding === 'letGo' && !this._isStopped) {
			const secondAnswer = await this._requestAttach(control, false);
			if (secondAnswer !== 'refused') {
				return secondAnswer === 'attached';
			}
		}

		const isForceJustified = finding !== 'unknown' || this._isUnknownHolderExpired();
		return isForceJustified ? this._forceAttach(control) : false;
	}

	/**
	 * A holder that this node does not know may have started a moment ago: the host list lags.
	 * Taking from it at once would let nodes that start together take endpoints from each
	 * other in turn. One that is gone lost its control connection, which detached it already.
	 */
	private _isUnknownHolderExpired(): boolean {
		const {clock, options} = this._context;
		if (this._unknownHolder.homeId !== this._holder) {
			this._unknownHolder = {homeId: this._holder, sinceMs: clock.nowMs()};
		}

		return clock.nowMs() - this._unknownHolder.sinceMs >= options.unknownHolderGraceMs;
	}

	/** Replaces the holder by force; rarely, because that cuts its running work short. */
	private async _forceAttach(control: InstanceControl): Promise<boolean> {
		if (this._isStopped || this._forceRetry.remainingMs > 0) {
			return false;
		}

		this._forceRetry.fail();
		this._context.log.event('endpointAttachForced', {endpoint: this._endpoint, holder: this._holder});
		return await this._requestAttach(control, true) === 'attached';
	}

	private async _requestAttach(control: InstanceControl, isForced: boolean): Promise<'attached' | 'refused' | 'failed'> {
		const result = await control.attach(this._homeId, isForced);
		if (result.isLeft()) {
			return 'failed';
		}

		const {isAttached, holder} = result.unsafeCoerce();
		this._holder = holder;
		const outcome = isAttached ? 'attached' : 'refused';
		this._context.metrics.count('homeAttachesTotal', {endpoint: this._endpoint, manner: isForced ? 'forced' : 'asked', outcome});
		return outcome;
	}

	/** Asks the holder's node to let go, and finds out whether the holder is still there. */
	private async _requestHandOver(): Promise<HolderStatus> {
		const {membership, peers, options} = this._context;
		const host = membership.host(nodeOf(this._holder));
		if (!host) {
			return 'unknown';
		}

		if (host.name === membership.self.name) {
			return 'gone';
		}

		const probe = await peers.probe(host, options.holderProbeMs);
		const answering = probe.toMaybe().extract()?.host;
		if (!answering || this._isStopped) {
			return 'silent';
		}

		// The view may be older than the holder: the node itself knows which run it is.
		membership.learn(answering);
		if (this._holder !== `${answering.name}/${answering.incarnation}`) {
			return 'gone';
		}

		const result = await peers.handOver(host, this._endpoint, options.handOverTimeoutMs);
		return result.isRight() ? 'letGo' : 'silent';
	}

	/** The state as of now: spontaneous reports only come when something changes. */
	private async _readState(control: InstanceControl): Promise<boolean> {
		const result = await control.readState();
		result.ifRight(state => {
			this._tracker.observeState(state);
		});
		return result.isRight();
	}

	private _setAttached(isAttached: boolean): void {
		if (this._isAttached === isAttached) {
			return;
		}

		this._isAttached = isAttached;
		this._context.log.event(isAttached ? 'endpointAttached' : 'endpointAttachEnded', {endpoint: this._endpoint});
		this._onChange.fire(isAttached);
	}
}

/** Node of a home id `<node>/<incarnation>`. */
function nodeOf(homeId: string): string {
	return homeId.split('/', 1)[0];
}
