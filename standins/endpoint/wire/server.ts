/**
 * The listener of one endpoint: admits connections and handles each according to its purpose.
 */
import {createServer, type Server, type Socket} from 'node:net';
import type {ClientParameters} from 'pg-gateway';
import type {Disposable} from '../../../src/common/lifecycle/disposable.js';
import type {Clock, Random} from '../../../src/common/services/services.js';
import {appNames, stateReports} from '../constants.js';
import type {EndpointFaults} from '../faults.js';
import type {EndpointSettings} from '../settings.js';
import type {SqlEngine} from '../sql/engine.js';
import {SqlError} from '../sql/sql-error.js';
import {Connection} from './connection.js';
import type {ConnectionPurpose} from './types.js';
import {GatedSocket} from './gated-socket.js';
import {ReplicationSender} from './replication-sender.js';
import type {StatementSlots} from './slots.js';
import {beginStartUp, rejectConnection, type StartUpHandler} from './start-up.js';
import type {ServiceTime} from './statement-runner.js';

/** The services that connections use; replaced when the instance is replaced after a crash. */
export type InstanceServices = {
	readonly engine: SqlEngine;
	readonly slots: StatementSlots;
};

/** Time and randomness for the server. */
export type ServerEnvironment = {
	readonly clock: Clock;
	readonly random: Random;
};

/** Connection statistics of `GET /status`. */
export type ConnectionStatistics = {
	readonly limit: number;
	readonly open: number;
	readonly peak: number;
	readonly refusedCount: number;
	readonly byPurpose: Readonly<Record<ConnectionPurpose, number>>;
};

type AdmittedConnection = {
	readonly purpose: ConnectionPurpose;
	/** Name of the home or observer that opened the connection. */
	readonly owner: string;
	connection: Connection | undefined;
};

/** Accepts connections on one port. */
export class EndpointServer implements StartUpHandler, Disposable {
	readonly user: string;
	readonly password: string | undefined;
	readonly authentication: 'md5' | 'cleartext';
	private readonly _settings: EndpointSettings;
	private readonly _instanceServices: () => InstanceServices;
	private readonly _faults: EndpointFaults;
	private readonly _clock: Clock;
	private readonly _random: Random;
	private readonly _serviceTime: ServiceTime;
	private readonly _gates = new Set<GatedSocket>();
	private readonly _admitted = new Map<GatedSocket, AdmittedConnection>();
	private readonly _connections = new Map<number, Connection>();
	private _server: Server | undefined;
	private _port = 0;
	private _nextProcessId = 1;
	private _peak = 0;
	private _refusedCount = 0;
	private _reportTimer: Disposable | undefined;
	/** Whether the state has changed since the last report of a change. */
	private _isReportDue = false;
	private _heartbeatTimer: Disposable | undefined;

	constructor(settings: EndpointSettings, instanceServices: () => InstanceServices, faults: EndpointFaults, host: ServerEnvironment) {
		this.user = settings.user;
		this.password = settings.password;
		this.authentication = settings.authentication;
		this._settings = settings;
		this._instanceServices = instanceServices;
		this._faults = faults;
		this._clock = host.clock;
		this._random = host.random;
		this._serviceTime = {nextMs: () => settings.serviceTimeMs + faults.active.addedMs};
		this._port = settings.port;
	}

	get port(): number {
		return this._port;
	}

	get statistics(): ConnectionStatistics {
		const byPurpose = {control: 0, work: 0, direct: 0};
		for (const {purpose} of this._admitted.values()) {
			byPurpose[purpose] += 1;
		}

		return {
			limit: this._settings.connections, open: this._admitted.size, peak: this._peak, refusedCount: this._refusedCount, byPurpose,
		};
	}

	/** Opens the port; after `close` the same one again. */
	async listen(): Promise<void> {
		const server = createServer(socket => {
			this._accept(socket);
		});
		this._server = server;
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(this._port, this._settings.host, resolve);
		});
		const address = server.address();
		this._port = typeof address === 'object' && address ? address.port : this._port;
		this._armHeartbeat();
	}

	/** Closes the port and all connections. */
	close(): void {
		this._server?.close();
		this._server = undefined;
		this._heartbeatTimer?.dispose();
		this._reportTimer?.dispose();
		this._reportTimer = undefined;
		this._isReportDue = false;
		for (const gate of this._gates) {
			gate.dispose();
		}
	}

	/** Holds or releases the connections according to the active faults. */
	refreshHeldConnections(): void {
		for (const gate of this._gates) {
			gate.refresh();
		}
	}

	/** Schedules a report of a changed state to the control connections: at once, but at most one in each `coalesceMs`. */
	scheduleStateReport(): void {
		if (this._isReportDue) {
			return;
		}

		this._isReportDue = true;
		// Changes that are made in the same turn share one report.
		queueMicrotask(() => {
			this._reportChange();
		});
	}

	/** Closes the work connections of a home that is no longer attached. */
	closeWorkConnections(homeId: string): void {
		for (const {purpose, owner, connection} of this._admitted.values()) {
			if (purpose === 'work' && owner === homeId) {
				connection?.shutDown(new SqlError('57P01', `the home ${homeId} is no longer attached`));
			}
		}
	}

	async admit(parameters: ClientParameters, gate: GatedSocket): Promise<SqlError | undefined> {
		const appName = parameters.application_name ?? '';
		if (appName === appNames.replication) {
			return undefined;
		}

		const {purpose, owner} = purposeOf(appName);
		gate.peer = owner;
		gate.refresh();
		await gate.whenReleased();
		const error = this._refusal(parameters, purpose, owner);
		if (error) {
			this._refusedCount += 1;
			return error;
		}

		this._admitted.set(gate, {purpose, owner, connection: undefined});
		this._peak = Math.max(this._peak, this._admitted.size);
		await this._delayConnect();
		return undefined;
	}

	onAuthenticated(parameters: ClientParameters, gate: GatedSocket): void {
		const {engine, slots} = this._instanceServices();
		const admitted = this._admitted.get(gate);
		if (!admitted) {
			const sender = new ReplicationSender(engine.instance, gate);
			gate.socket.once('close', () => {
				sender.dispose();
			});
			sender.start();
			return;
		}

		const {purpose, owner} = admitted;
		if (purpose === 'work' && engine.instance.attachment.holder !== owner) {
			rejectConnection(gate, notAttached(owner));
			return;
		}

		const processId = this._nextProcessId;
		this._nextProcessId += 1;
		const connection = new Connection({
			engine, slots, serviceTime: this._serviceTime, purpose,
			identity: {user: parameters.user, database: this._settings.group, processId},
			secret: Math.floor(this._random.next() * 0x7F_FF_FF_FF),
		}, gate);
		admitted.connection = connection;
		this._connections.set(processId, connection);
		gate.socket.once('close', () => {
			this._connections.delete(processId);
			connection.dispose();
		});
		connection.start();
		gate.listen(bytes => {
			connection.receive(bytes);
		});
	}

	onCancel(processId: number, secret: number): void {
		const connection = this._connections.get(processId);
		if (connection?.secret === secret) {
			connection.cancel();
		}
	}

	dispose(): void {
		this.close();
	}

	private _accept(socket: Socket): void {
		const gate = new GatedSocket(socket, peer => this._faults.isHeld(peer));
		this._gates.add(gate);
		socket.once('close', () => {
			this._gates.delete(gate);
			this._admitted.delete(gate);
		});
		void this._startUp(gate);
	}

	private async _startUp(gate: GatedSocket): Promise<void> {
		await gate.whenReleased();
		// The start-up phase reads from the socket itself and passes it to `onAuthenticated`.
		beginStartUp(gate, this);
	}

	private _refusal(parameters: ClientParameters, purpose: ConnectionPurpose, owner: string): SqlError | undefined {
		if (parameters.database !== this._settings.group) {
			return new SqlError('3D000', `database "${parameters.database}" does not exist`);
		}

		if (purpose === 'work' && this._instanceServices().engine.instance.attachment.holder !== owner) {
			return notAttached(owner);
		}

		return this._admitted.size >= this._settings.connections ? new SqlError('53300', 'too many connections') : undefined;
	}

	private async _delayConnect(): Promise<void> {
		if (this._settings.connectCostMs > 0) {
			await new Promise<void>(resolve => {
				this._clock.setTimer(this._settings.connectCostMs, resolve);
			});
		}
	}

	private _reportChange(): void {
		const mayReport = this._server !== undefined && this._reportTimer === undefined;
		if (!this._isReportDue || !mayReport) {
			return;
		}

		this._isReportDue = false;
		this._reportState();
		this._reportTimer = this._clock.setTimer(stateReports.coalesceMs, () => {
			this._reportTimer = undefined;
			this._reportChange();
		});
	}

	private _reportState(): void {
		for (const {purpose, connection} of this._admitted.values()) {
			if (purpose === 'control') {
				connection?.reportState();
			}
		}
	}

	private _armHeartbeat(): void {
		const {role} = this._instanceServices().engine.instance.state;
		const {heartbeatMs, primaryHeartbeatMs} = stateReports;
		this._heartbeatTimer = this._clock.setTimer(role === 'primary' ? primaryHeartbeatMs : heartbeatMs, () => {
			this._reportState();
			this._armHeartbeat();
		});
	}
}

function purposeOf(appName: string): {readonly purpose: ConnectionPurpose; readonly owner: string} {
	for (const purpose of ['work', 'control'] as const) {
		if (appName.startsWith(appNames[purpose])) {
			return {purpose, owner: appName.slice(appNames[purpose].length)};
		}
	}

	return {purpose: 'direct', owner: appName};
}

function notAttached(homeId: string): SqlError {
	return new SqlError('55006', `the home ${homeId} is not attached to this endpoint`);
}
