/**
 * One endpoint of the world: the core of the stand-in and its connections, without sockets.
 */
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import {toDisposable, type Disposable} from '../../src/common/lifecycle/disposable.js';
import type {Clock, EndpointAddress} from '../../src/common/services/services.js';
import {instanceDefaults} from '../../standins/endpoint/constants.js';
import {Instance} from '../../standins/endpoint/instance.js';
import {SqlEngine} from '../../standins/endpoint/sql/engine.js';
import type {LagDistribution, StreamReceiver, StreamRequest} from '../../standins/endpoint/types.js';
import {BackendMessageWriter} from '../../standins/endpoint/wire/backend-message-writer.js';
import {Connection, type ConnectionOutput} from '../../standins/endpoint/wire/connection.js';
import {StatementSlots} from '../../standins/endpoint/wire/slots.js';
import type {SimulatedNetwork} from './simulated-network.js';
import {SimulatedProcess} from './simulated-process.js';
import {reportState} from './state-reports.js';
import {readStartUp, type StartUpMessage} from './start-up-message.js';
import {trackAnswers, WorkWire, type EndpointObserver} from './work-wire.js';

/** Parameters of one endpoint. */
export type EndpointPlan = {
	readonly address: EndpointAddress;
	readonly isFirstPrimary: boolean;
	readonly firstPrimary: string;
	readonly slots: number;
	readonly connections: number;
	readonly serviceTimeMs: number;
	readonly lag: LagDistribution;
	readonly seed: number;
	readonly observer?: EndpointObserver;
};

/** One connection from the view of its client. */
export type SimulatedConnection = {
	/** Receives bytes that the client sent at `sentMs`. */
	readonly receive: (bytes: Uint8Array, sentMs: number, sender: SimulatedProcess) => void;
	/** Starts answering. */
	readonly start: () => void;
	readonly close: () => void;
};

/** Time that the endpoint takes to accept a connection, in milliseconds. */
const connectCostMs = 10;

const slowServiceMs = 4000;

/** The process of an endpoint. Its log survives a crash, like that of a database. */
export class SimulatedEndpoint {
	readonly process: SimulatedProcess;
	/** The host of the process, which accepts and resets connections regardless of the state of the process. */
	readonly host: SimulatedProcess;
	readonly instance: Instance;
	readonly slots: StatementSlots;
	/** Share of the statements that are slow. */
	slowShare = 0;
	private readonly _plan: EndpointPlan;
	private readonly _network: SimulatedNetwork;
	private readonly _engine: SqlEngine;
	/** The function that ends each open connection, with the id of the home that holds the connection. */
	private readonly _ends = new Map<() => void, string>();
	private readonly _byProcessId = new Map<number, Connection>();
	private readonly _wires = new Set<WorkWire>();
	private readonly _streams = new Set<() => void>();
	private readonly _random: SeededRandom;
	private _isDown = false;
	private _lastProcessId = 0;

	constructor(plan: EndpointPlan, clock: Clock, network: SimulatedNetwork, find: (name: string) => SimulatedEndpoint | undefined) {
		this._plan = plan;
		this._network = network;
		this.process = new SimulatedProcess(plan.address.name, plan.address.availabilityZone, clock);
		this.host = new SimulatedProcess(`host of ${plan.address.name}`, plan.address.availabilityZone, clock, plan.address.name);
		const random = new SeededRandom(plan.seed);
		this._random = random;
		this.slots = new StatementSlots(plan.slots);
		this.instance = new Instance({
			...instanceDefaults,
			name: plan.address.name,
			start: plan.isFirstPrimary ? 'primary' : 'replica',
			initialPrimary: {host: plan.firstPrimary, port: 1},
			lag: plan.lag,
		}, this.process, random, {
			connect: (primary, request, receiver) => this._follow(find(primary.host), request, receiver),
		});
		this._engine = new SqlEngine(this.instance, this.process, random);
		this.instance.attachment.onRevoked(homeId => {
			for (const [end, holder] of this._ends) {
				if (holder === homeId) {
					end();
				}
			}
		});
	}

	get isDown(): boolean {
		return this._isDown;
	}

	/** Number of open connections of any purpose. */
	get connectionCount(): number {
		return this._ends.size;
	}

	/** Number of work connections with a request in progress or a transaction open. */
	get openWorkCount(): number {
		return [...this._wires].filter(({isBusy, isInTransaction}) => isBusy || isInTransaction).length;
	}

	start(): void {
		this.instance.start();
	}

	/** Resets every connection, and refuses new ones until a restart. */
	crash(): void {
		this._isDown = true;
		this.process.freeze();
		for (const end of [...this._ends.keys(), ...this._streams]) {
			end();
		}
	}

	/** Resets each connection, whatever its purpose, with a probability of one half. */
	resetSome(): void {
		for (const end of this._ends.keys()) {
			if (this._random.next() < 0.5) {
				end();
			}
		}
	}

	restart(): void {
		this._isDown = false;
		this.process.thaw();
	}

	/**
	 * Answers a client's first message, a StartupMessage or a CancelRequest. `onOpen` gets the connection
	 * after the time that accepting takes; without a connection the output is ended.
	 */
	handleStartUp(startUp: Uint8Array, output: ConnectionOutput, onOpen: (connection: SimulatedConnection) => void): void {
		const message = readStartUp(startUp);
		if (message.cancelledProcessId !== undefined) {
			this._byProcessId.get(message.cancelledProcessId)?.cancel();
			output.end();
			return;
		}

		this.process.setTimer(connectCostMs, () => {
			const connection = this._open(message, output);
			if (connection) {
				onOpen(connection);
				connection.start();
			} else {
				this._refuse(message, output);
			}
		});
	}

	/** Streams the log to a follower, and returns a function that ends the stream. */
	serveFollower(request: StreamRequest, follower: SimulatedEndpoint, receiver: StreamReceiver): () => void {
		let feed: Disposable | undefined;
		let isOver = false;
		const toFollower = (action: () => void) => {
			this._network.send(this.host, follower.host, () => {
				follower.process.run(action);
			});
		};

		const end = () => {
			if (isOver) {
				return;
			}

			isOver = true;
			this._streams.delete(end);
			feed?.dispose();
			toFollower(() => {
				receiver.onEnd('ended by the primary');
			});
		};

		if (this._isDown) {
			end();
			return end;
		}

		this._streams.add(end);
		this.process.run(() => {
			if (isOver) {
				return;
			}

			feed = this.instance.serve(request, {
				push(message) {
					toFollower(() => {
						receiver.receive(message);
					});
				},
				end,
			});
		});
		return end;
	}

	/** Sends the reason why no connection was opened, as the wire server does. */
	private _refuse(startUp: StartUpMessage, output: ConnectionOutput): void {
		const isFull = this._ends.size >= this._plan.connections;
		if (isFull) {
			this._plan.observer?.onFull(this.process.name, startUp);
		}

		const writer = new BackendMessageWriter();
		writer.error(isFull ? {sqlState: '53300', message: 'too many connections'} : {sqlState: '55006', message: `${startUp.appName} is not attached`}, 'FATAL');
		output.write(writer.take());
		output.end();
	}

	private _open({purpose, homeId}: StartUpMessage, output: ConnectionOutput): SimulatedConnection | undefined {
		const isNotAttached = purpose === 'work' && this.instance.attachment.holder !== homeId;
		if (this._isDown || isNotAttached || this._ends.size >= this._plan.connections) {
			return undefined;
		}

		this._lastProcessId += 1;
		const processId = this._lastProcessId;
		const {serviceTimeMs} = this._plan;
		const wire = new WorkWire();
		const connection = new Connection({
			engine: this._engine,
			slots: this.slots,
			serviceTime: {nextMs: () => this.slowShare > 0 && this._random.next() < this.slowShare ? slowServiceMs : serviceTimeMs},
			purpose,
			identity: {user: 'proxy', database: this._plan.address.group, processId},
			secret: 1,
		}, trackAnswers(output, wire));
		const subscription = purpose === 'control' ? reportState(connection, this.instance, this.process) : undefined;
		const close = () => {
			this._ends.delete(end);
			this._byProcessId.delete(processId);
			this._wires.delete(wire);
			subscription?.dispose();
			connection.dispose();
		};

		const end = () => {
			close();
			output.end();
		};

		this._ends.set(end, homeId);
		this._byProcessId.set(processId, connection);
		if (purpose === 'work') {
			this._wires.add(wire);
		}

		return {
			receive: (bytes, sentMs, sender) => {
				this._trackRequest(wire, bytes, sentMs, sender);
				connection.receive(bytes);
			},
			start() {
				connection.start();
			},
			close,
		};
	}

	private _trackRequest(wire: WorkWire, bytes: Uint8Array, sentMs: number, sender: SimulatedProcess): void {
		const {observer} = this._plan;
		const {isInTransaction} = wire;
		if (!observer || !this._wires.has(wire) || !wire.trackRequest(bytes)) {
			return;
		}

		const inProgress = [...this._wires].filter(({isBusy}) => isBusy).length;
		observer.onCycle({
			endpoint: this.process.name, sender, sentMs, isInTransaction, inProgress,
		});
	}

	/** Follows the log of a primary over the network; dispose to stop. */
	private _follow(primary: SimulatedEndpoint | undefined, request: StreamRequest, receiver: StreamReceiver): Disposable {
		let isOver = false;
		let endAtPrimary: (() => void) | undefined;
		const endHere = () => {
			if (!isOver) {
				isOver = true;
				this._streams.delete(endHere);
				receiver.onEnd('connection lost');
			}
		};

		this._streams.add(endHere);
		if (primary) {
			this._network.send(this.host, primary.host, () => {
				endAtPrimary = primary.serveFollower(request, this, {receive: receiver.receive.bind(receiver), onEnd: endHere});
			});
		} else {
			this.process.setTimer(1, endHere);
		}

		return toDisposable(() => {
			isOver = true;
			this._streams.delete(endHere);
			if (primary) {
				this._network.send(this.host, primary.host, () => {
					endAtPrimary?.();
				});
			}
		});
	}
}
