/**
 * Keeps this node's home attached to one endpoint.
 *
 * The endpoint decides which home may open work connections. An attach lasts as long as the
 * control connection on which it was made, so it is repeated on each new one. Another holder is
 * first asked to hand the endpoint over; the attach is forced only if that holder cannot be
 * reached, has been restarted, does not hand over in time, or has been unknown to membership
 * for longer than the grace time.
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

/** The home and the endpoint of an attachment. */
export type AttachmentTarget = {
	readonly endpoint: string;
	/** `<node>/<incarnation>` of this node. */
	readonly homeId: string;
	readonly monitor: GroupMonitor;
	/** Receives the states that the control connection reports. */
	readonly tracker: PositionTracker;
};

/**
 * What became of another holder: it handed over, did not answer or hand over in time, no longer
 * exists because its node was restarted, or is unknown to membership.
 */
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
	/** Last holder that membership did not know, and when it was first seen. */
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

	/** Fires when the home becomes attached or detached, with whether it is attached now. */
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

	/** Node whose home is attached instead of this one, if known. */
	get holderNode(): string | undefined {
		return this._holder === '' || this._holder === this._homeId ? undefined : nodeOf(this._holder);
	}

	/** Starts attaching; attaches again whenever the attach is lost. */
	start(): void {
		void this._run();
	}

	/** Records that the endpoint refused a work connection because this home is not attached. */
	reportNotAttached(): void {
		this._setAttached(false);
		this._onWake.fire();
	}

	/** Stops attaching for good and detaches from the endpoint. */
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

	/** Attaches on each control connection in turn until stopped. */
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

	/** Attaches on one control connection and returns when the connection or the attach is lost. */
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

	/** Waits for a new control connection or until the next attempt on the same one is due. */
	private async _waitForRetry(previous: InstanceControl | undefined): Promise<void> {
		const {clock, options} = this._context;
		await waitUntil(clock, {
			condition: () => this._isStopped || (this._monitor.control(this._endpoint) ?? previous) !== previous,
			events: [this._monitor.onChange, this._onWake.event],
			timeoutMs: previous ? this._retry.remainingMs : options.attachRetryMaximumMs,
		});
	}

	private async _attach(control: InstanceControl): Promise<boolean> {
		const outcome = await this._requestAttach(control, false);
		if (outcome !== 'refused') {
			return outcome === 'attached';
		}

		const {log} = this._context;
		log.event('endpointHeldByAnother', {endpoint: this._endpoint, holder: this._holder});
		const holderStatus = await this._requestHandOver();
		if (holderStatus === 'letGo' && !this._isStopped) {
			const secondOutcome = await this._requestAttach(control, false);
			if (secondOutcome !== 'refused') {
				return secondOutcome === 'attached';
			}
		}

		const isForceJustified = holderStatus !== 'unknown' || this._isUnknownHolderExpired();
		return isForceJustified ? this._forceAttach(control) : false;
	}

	/**
	 * A holder that this node does not know may have just started, since updates of the host list
	 * take time. If it were replaced at once, nodes that start together would take endpoints from
	 * each other in turn. Waiting costs little: a holder whose process has ended lost its control
	 * connection and is therefore detached already.
	 */
	private _isUnknownHolderExpired(): boolean {
		const {clock, options} = this._context;
		if (this._unknownHolder.homeId !== this._holder) {
			this._unknownHolder = {homeId: this._holder, sinceMs: clock.nowMs()};
		}

		return clock.nowMs() - this._unknownHolder.sinceMs >= options.unknownHolderGraceMs;
	}

	/** Replaces the holder by force, limited by a backoff because it interrupts the holder's running work. */
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

	/** Checks whether the holder still exists and, if so, asks its node to hand the endpoint over. */
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
		const currentHost = probe.toMaybe().extract()?.host;
		if (!currentHost || this._isStopped) {
			return 'silent';
		}

		// The host list may be older than the holder; the node itself reports its current incarnation.
		membership.learn(currentHost);
		if (this._holder !== `${currentHost.name}/${currentHost.incarnation}`) {
			return 'gone';
		}

		const result = await peers.handOver(host, this._endpoint, options.handOverTimeoutMs);
		return result.isRight() ? 'letGo' : 'silent';
	}

	/** Reads the current state, since the control connection reports states only when they change. */
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
