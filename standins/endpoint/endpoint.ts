/**
 * Composes one endpoint from its instance, SQL engine, listener, replication, faults and control port.
 */
import {DisposableStore, type Disposable} from '../../src/common/lifecycle/disposable.js';
import type {Clock, InstanceState, Random} from '../../src/common/services/services.js';
import {SystemClock} from '../../src/node/system-clock.js';
import {makeRandom} from './make-random.js';
import {ControlPort} from './control-port.js';
import {EndpointFaults, type FaultCommand, type ActiveFaults} from './faults.js';
import {Instance} from './instance.js';
import {TermPromiseFile} from './term-promise-file.js';
import type {EndpointSettings} from './settings.js';
import {SqlEngine} from './sql/engine.js';
import {loadParser} from './sql/planner.js';
import type {InstanceOptions, LagDistribution, PrimaryAddress} from './types.js';
import {ReplicationClient} from './wire/replication-client.js';
import {EndpointServer, type ConnectionStatistics} from './wire/server.js';
import {StatementSlots, type SlotStatistics} from './wire/slots.js';

/** Response body of `GET /status`. */
export type EndpointStatus = InstanceState & {
	readonly name: string;
	readonly group: string;
	readonly availabilityZone: string;
	/** Names of the instances that follow this one. */
	readonly followers: readonly string[];
	/** Home that is attached; empty for none. */
	readonly holder: string;
	readonly slots: SlotStatistics;
	readonly connections: ConnectionStatistics;
	/** Number of transactions with changes that were committed on this endpoint. */
	readonly commitCount: number;
	readonly faults: ActiveFaults;
	readonly lag: LagDistribution;
};

/** One instance with its listener, control port, faults and replication. */
export class Endpoint implements Disposable {
	readonly name: string;
	private readonly _settings: EndpointSettings;
	private readonly _clock: Clock = new SystemClock();
	private readonly _random: Random;
	private readonly _termPromiseFile: TermPromiseFile | undefined;
	private readonly _owned = new DisposableStore();
	private readonly _faults: EndpointFaults;
	private readonly _server: EndpointServer;
	private readonly _replication: ReplicationClient;
	private readonly _controlPort: ControlPort;
	private _lag: LagDistribution;
	private _instance: Instance;
	private _engine: SqlEngine;
	private _slots: StatementSlots;
	private _isDown = false;
	private _commitCountBeforeCrash = 0;

	constructor(settings: EndpointSettings) {
		this.name = settings.name;
		this._settings = settings;
		this._lag = settings.lag;
		this._random = makeRandom(settings.seed);
		this._termPromiseFile = settings.promiseFile === undefined ? undefined : new TermPromiseFile(settings.promiseFile);
		this._faults = this._owned.register(new EndpointFaults(this._clock));
		this._replication = this._owned.register(new ReplicationClient({
			group: settings.group,
			user: settings.user,
			password: settings.password,
			nameOf: address => this._nameOf(address),
			isCrashed: () => this._isDown,
			isHeld: peer => this._faults.isHeld(peer),
		}));
		this._server = this._owned.register(new EndpointServer(settings, () => ({engine: this._engine, slots: this._slots}), this._faults, {clock: this._clock, random: this._random}));
		this._controlPort = this._owned.register(new ControlPort(this));
		({instance: this._instance, engine: this._engine, slots: this._slots} = this._makeInstance(this._startOptions()));
		this._faults.onChange(() => {
			void this._applyActiveFaults();
		});
	}

	get port(): number {
		return this._server.port;
	}

	get controlPort(): number {
		return this._controlPort.port;
	}

	/** The current instance; a crash that loses the memory replaces it. */
	get instance(): Instance {
		return this._instance;
	}

	/** A snapshot of the state, the load and the active faults. */
	get status(): EndpointStatus {
		return {
			name: this.name,
			group: this._settings.group,
			availabilityZone: this._settings.availabilityZone,
			...this._instance.state,
			followers: this._instance.followers,
			holder: this._instance.attachment.holder,
			slots: this._slots.statistics,
			connections: this._server.statistics,
			commitCount: this._commitCountBeforeCrash + this._engine.commitCount,
			faults: this._faults.active,
			lag: this._lag,
		};
	}

	/** Opens the ports and starts the instance. */
	async start(): Promise<void> {
		await loadParser();
		await this._server.listen();
		await this._controlPort.listen(this._settings.host, this._settings.controlPort);
		this._instance.start();
	}

	/** Applies a fault command from the control port. */
	applyFaultCommand(order: FaultCommand): void {
		if (order.fault === 'lag') {
			this._lag = {p50Ms: order.p50Ms, p99Ms: order.p99Ms};
			this._instance.lag = this._lag;
		}

		if (order.fault === 'crash' && order.isForgetting) {
			this._loseMemory();
		}

		this._faults.apply(order);
	}

	dispose(): void {
		this._isDown = true;
		this._owned.dispose();
		this._instance.dispose();
		this._engine.dispose();
	}

	private _startOptions(): Pick<InstanceOptions, 'start' | 'promise' | 'initialPrimary'> {
		const promise = this._termPromiseFile?.read();
		if (promise) {
			return {start: 'restart', promise};
		}

		const {initialPrimary, peers, name} = this._settings;
		return initialPrimary === name ? {start: 'primary'} : {start: 'replica', initialPrimary: peers.find(peer => peer.name === initialPrimary)};
	}

	private _makeInstance(start: Pick<InstanceOptions, 'start' | 'promise' | 'initialPrimary'>): {instance: Instance; engine: SqlEngine; slots: StatementSlots} {
		const {name, logEntriesKept, streamRetryMs, streamAliveMs, streamSilenceMs, lockTimeoutMs, slots} = this._settings;
		const instance = new Instance({
			name, lag: this._lag, logEntriesKept, streamRetryMs, streamAliveMs, streamSilenceMs, ...start,
		}, this._clock, this._random, this._replication);
		instance.onTermPromised(promise => {
			this._termPromiseFile?.write(promise);
		});
		instance.onState(() => {
			this._server.scheduleStateReport();
		});
		instance.attachment.onRevoked(homeId => {
			this._server.closeWorkConnections(homeId);
		});
		return {instance, engine: new SqlEngine(instance, this._clock, this._random, lockTimeoutMs), slots: new StatementSlots(slots)};
	}

	/** Replaces the instance by one without log and tables, which keeps only the term promise. */
	private _loseMemory(): void {
		const {promisedTerm, claimId} = this._instance.state;
		this._commitCountBeforeCrash += this._engine.commitCount;
		this._server.close();
		this._instance.dispose();
		this._engine.dispose();
		({instance: this._instance, engine: this._engine, slots: this._slots} = this._makeInstance({start: 'restart', promise: {term: promisedTerm, claimId}}));
		this._instance.start();
	}

	private async _applyActiveFaults(): Promise<void> {
		const {isCrashed} = this._faults.active;
		this._server.refreshHeldConnections();
		this._replication.refreshHeldConnections();
		if (isCrashed && !this._isDown) {
			this._isDown = true;
			this._server.close();
			this._replication.closeAll();
		} else if (!isCrashed && this._isDown) {
			this._isDown = false;
			await this._server.listen();
		}
	}

	private _nameOf({host, port}: PrimaryAddress): string | undefined {
		return this._settings.peers.find(peer => peer.host === host && peer.port === port)?.name;
	}
}
