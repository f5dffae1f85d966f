/**
 * One instance of a group as this node sees it: keeps a control connection to it open and
 * holds the last state that it reported.
 */
import {Backoff} from '../homes/backoff.js';
import {DisposableStore, type Disposable} from '../lifecycle/disposable.js';
import {Emitter, type Event} from '../lifecycle/emitter.js';
import type {
	EndpointAddress, InstanceControl, InstanceState, InstanceView, TermClaim,
} from '../services/services.js';
import {WakeableSleep, withTimeout} from '../lifecycle/timing.js';
import {connectControl} from './connect-control.js';
import type {GroupOptions, GroupServices} from './types.js';

type WatchServices = Pick<GroupServices, 'clock' | 'random' | 'connector' | 'log' | 'membership'>;

/** Sends a command that the instance answers with its state. */
type ClaimCommand = (control: InstanceControl) => ReturnType<InstanceControl['raiseTerm']>;

/** Maximum number of status requests in flight to one instance, so that they do not pile up at a frozen one. */
const maximumConcurrentReads = 4;

/** Watches one instance. A single task connects, serves the connection until it ends, and reconnects. */
export class InstanceWatch implements Disposable {
	readonly endpoint: EndpointAddress;
	/** Silence, in milliseconds, after which the instance is asked for its state; shorter for a primary. */
	checkAfterMs: number;
	/** Fires with every state that the instance reports. */
	readonly onReport: Event<InstanceState>;
	/** Fires when the connection was opened or lost, or an attempt to open it failed. */
	readonly onConnection: Event<void>;

	private readonly _services: WatchServices;
	private readonly _options: GroupOptions;
	private readonly _scope = new DisposableStore();
	private readonly _sleep: WakeableSleep;
	private readonly _onReport = this._scope.register(new Emitter<InstanceState>());
	private readonly _onConnection = this._scope.register(new Emitter<void>());
	private _control: InstanceControl | undefined;
	private _state: InstanceState | undefined;
	private _lastState: InstanceState | undefined;
	private _reportCount = 0;
	private _readsInProgress = 0;
	private _refusals = 0;
	private _lastHeardMs: number;
	private _connectedMs = 0;
	private _lastClosedMs: number;

	constructor(endpoint: EndpointAddress, services: WatchServices, options: GroupOptions) {
		this.onReport = this._onReport.event;
		this.onConnection = this._onConnection.event;
		this.endpoint = endpoint;
		this.checkAfterMs = options.replicaCheckMs;
		this._services = services;
		this._options = options;
		this._sleep = this._scope.register(new WakeableSleep(services.clock));
		this._lastHeardMs = services.clock.nowMs();
		this._lastClosedMs = this._lastHeardMs;
	}

	/** Name of the endpoint. */
	get name(): string {
		return this.endpoint.name;
	}

	/** The control connection; undefined while there is none. */
	get control(): InstanceControl | undefined {
		return this._control;
	}

	/** Last state reported on the open connection; undefined while there is none. */
	get state(): InstanceState | undefined {
		return this._state;
	}

	/** Number of connection attempts that were refused since the instance last reported its state. */
	get refusals(): number {
		return this._refusals;
	}

	/** When the instance was last heard from, or its silence was last reset, in milliseconds on this node's clock. */
	get lastHeardMs(): number {
		return this._lastHeardMs;
	}

	/** When the last connection was lost, in milliseconds on this node's clock. */
	get lastClosedMs(): number {
		return this._lastClosedMs;
	}

	/** Whether the instance is connected, has reported its state and was heard from within `unreachableAfterMs`. */
	get isReachable(): boolean {
		const silenceMs = this._services.clock.nowMs() - this._lastHeardMs;
		return this._state !== undefined && silenceMs < this._options.unreachableAfterMs;
	}

	/** A snapshot of what this node knows about the instance. */
	view(): InstanceView {
		return {
			endpoint: this.name,
			isReachable: this.isReachable,
			reportedAgoMs: this._services.clock.nowMs() - this._lastHeardMs,
			...(this._lastState && {state: this._lastState}),
		};
	}

	/** Starts the task that keeps the instance connected. */
	start(): void {
		void this._run();
	}

	/** Restarts the silence timer after this node itself was paused. */
	resetSilence(): void {
		this._lastHeardMs = this._services.clock.nowMs();
		this._refusals = 0;
	}

	/** Requests the instance's state; undefined when it is not connected, too many requests are in flight or no answer arrives within the timeout, in milliseconds. */
	async readState(timeoutMs: number): Promise<InstanceState | undefined> {
		const control = this._control;
		if (!control || this._readsInProgress >= maximumConcurrentReads) {
			return undefined;
		}

		const reports = this._reportCount;
		this._readsInProgress++;
		const reading = control.readState();
		const countDown = (): void => {
			this._readsInProgress--;
		};

		reading.then(countDown, countDown);
		const answer = await withTimeout(this._services.clock, reading, timeoutMs);
		const state = answer?.toMaybe().extract();
		this._handleAnswer(control, reports, state);
		return state;
	}

	/** Sends a command and returns the answer; undefined when its result is unknown or there is no connection. */
	async order(send: ClaimCommand, timeoutMs = this._options.orderTimeoutMs): Promise<TermClaim | undefined> {
		const control = this._control;
		if (!control) {
			return undefined;
		}

		const reports = this._reportCount;
		const answer = await withTimeout(this._services.clock, send(control), timeoutMs);
		const claim = answer?.toMaybe().extract();
		this._handleAnswer(control, reports, claim?.state);
		return claim;
	}

	/** Resolves when a connection is open, or after the timeout, in milliseconds. */
	async whenConnected(timeoutMs: number): Promise<void> {
		if (this._control) {
			return;
		}

		let subscription: Disposable | undefined;
		const connected = new Promise<void>(resolve => {
			subscription = this.onConnection(() => {
				if (this._control) {
					resolve();
				}
			});
		});
		await withTimeout(this._services.clock, connected, timeoutMs);
		subscription?.dispose();
	}

	dispose(): void {
		this._scope.dispose();
		this._closeControl();
	}

	private async _run(): Promise<void> {
		const {clock, random} = this._services;
		const backoff = new Backoff(clock, random, this._options.reconnectMs, this._options.longestReconnectMs);
		while (!this._scope.isDisposed) {
			const startedMs = this._services.clock.nowMs();
			const control = await this._connect();
			if (control) {
				await this._serve(control);
			}

			const servedMs = this._services.clock.nowMs() - startedMs;
			if (control && servedMs > this._options.reconnectMs) {
				// Reconnects without delay: the first attempt distinguishes a crash from a reset connection.
				backoff.reset();
			} else {
				backoff.fail();
			}

			await this._sleep.wait(backoff.remainingMs);
		}
	}

	/** Tries to connect once. */
	private async _connect(): Promise<InstanceControl | undefined> {
		const {control, failure} = await connectControl(this.endpoint, this._services, this._options);
		if (failure === 'refused') {
			this._refusals++;
		} else if (failure === 'exhausted') {
			this._lastHeardMs = this._services.clock.nowMs();
		}

		if (failure) {
			this._onConnection.fire();
		}

		return control;
	}

	/** Serves one connection until it ends. */
	private async _serve(control: InstanceControl): Promise<void> {
		if (this._scope.isDisposed) {
			control.dispose();
			return;
		}

		const connection = new DisposableStore();
		connection.register(control.onClose(() => {
			this._control = undefined;
			this._sleep.wake();
		}));
		connection.register(control.onState(state => {
			this._handleReport(state);
		}));
		this._control = control;
		this._connectedMs = this._services.clock.nowMs();
		void this.readState(this._options.connectTimeoutMs);
		this._onConnection.fire();
		while (this._control === control) {
			await this._sleep.wait(this._checkSilence());
		}

		connection.dispose();
		control.dispose();
		this._state = undefined;
		this._lastClosedMs = this._services.clock.nowMs();
		if (!this._scope.isDisposed) {
			this._services.log.event('instanceLost', {endpoint: this.name});
		}

		this._onConnection.fire();
	}

	/** Requests the state of a silent instance, or closes the connection after a long silence; returns the time until the next check, in milliseconds. */
	private _checkSilence(): number {
		const silenceMs = this._services.clock.nowMs() - Math.max(this._lastHeardMs, this._connectedMs);
		if (silenceMs >= this._options.replaceSilentAfterMs) {
			this._closeControl();
			return 0;
		}

		if (silenceMs >= this.checkAfterMs) {
			void this.readState(this._options.orderTimeoutMs);
			return this.checkAfterMs;
		}

		return this.checkAfterMs - silenceMs;
	}

	private _closeControl(): void {
		const control = this._control;
		this._control = undefined;
		control?.dispose();
	}

	/** Applies the state in an answer, unless a report that arrived meanwhile may be newer. */
	private _handleAnswer(control: InstanceControl, reportsBefore: number, state: InstanceState | undefined): void {
		if (!state || this._control !== control) {
			return;
		}

		if (this._reportCount === reportsBefore) {
			this._handleReport(state);
		} else {
			this._lastHeardMs = this._services.clock.nowMs();
		}
	}

	private _handleReport(state: InstanceState): void {
		if (!this._state) {
			this._services.log.event('instanceConnected', {endpoint: this.name, role: state.role, term: state.promisedTerm});
		}

		this._reportCount++;
		this._refusals = 0;
		this._lastHeardMs = this._services.clock.nowMs();
		this._state = state;
		this._lastState = state;
		this._onReport.fire(state);
	}
}
