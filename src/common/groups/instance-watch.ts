/**
 * One instance of a group as this node sees it: keeps a control connection to it and the
 * last state that it reported.
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

/** Orders that answer with the instance's state. */
type ClaimOrder = (control: InstanceControl) => ReturnType<InstanceControl['raiseTerm']>;

/** Reads that may wait for an answer of one instance; a frozen one gets no more. */
const maximumConcurrentReads = 4;

/** Watches one instance. One task connects, serves the connection, and connects again. */
export class InstanceWatch implements Disposable {
	readonly endpoint: EndpointAddress;
	/** Silence after which the instance is asked for its state; shorter for a primary. */
	checkAfterMs: number;
	/** Fires with every state that the instance reported. */
	readonly onReport: Event<InstanceState>;
	/** Fires when the connection was made or lost, or an attempt was refused. */
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

	/** The connection while it lasts. */
	get control(): InstanceControl | undefined {
		return this._control;
	}

	/** Last state reported on the connection that is open; undefined without one. */
	get state(): InstanceState | undefined {
		return this._state;
	}

	/** Attempts to connect that were refused since the instance was last heard. */
	get refusals(): number {
		return this._refusals;
	}

	/** When the instance was last heard, or silence was last excused. */
	get lastHeardMs(): number {
		return this._lastHeardMs;
	}

	/** When the last connection was lost. */
	get lastClosedMs(): number {
		return this._lastClosedMs;
	}

	/** Whether the instance reported its state not long ago. */
	get isReachable(): boolean {
		const silenceMs = this._services.clock.nowMs() - this._lastHeardMs;
		return this._state !== undefined && silenceMs < this._options.unreachableAfterMs;
	}

	/** What this node knows about the instance. */
	view(): InstanceView {
		return {
			endpoint: this.name,
			isReachable: this.isReachable,
			reportedAgoMs: this._services.clock.nowMs() - this._lastHeardMs,
			...(this._lastState && {state: this._lastState}),
		};
	}

	/** Starts the task. */
	start(): void {
		void this._run();
	}

	/** Counts silence from now on, after this node itself was paused. */
	resetSilence(): void {
		this._lastHeardMs = this._services.clock.nowMs();
		this._refusals = 0;
	}

	/** Asks for the state; undefined when no answer came in time. */
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

	/** Gives an order; undefined when it is not known what became of it. */
	async order(give: ClaimOrder, timeoutMs = this._options.orderTimeoutMs): Promise<TermClaim | undefined> {
		const control = this._control;
		if (!control) {
			return undefined;
		}

		const reports = this._reportCount;
		const answer = await withTimeout(this._services.clock, give(control), timeoutMs);
		const claim = answer?.toMaybe().extract();
		this._handleAnswer(control, reports, claim?.state);
		return claim;
	}

	/** Waits for a connection, if there is none. */
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
				// No wait: the first attempt tells a crash from a reset.
				backoff.reset();
			} else {
				backoff.fail();
			}

			await this._sleep.wait(backoff.remainingMs);
		}
	}

	/** Connects once. */
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

	/** Asks a silent instance for its state; gives the time until the next look. */
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

	/** Takes in an answer, unless a report that came meanwhile may be newer. */
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
