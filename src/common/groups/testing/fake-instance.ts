/**
 * A small model of an instance of a database group (docs/ENDPOINTS.md): its promised term,
 * log, replication and control connections. It can crash, freeze and lose answers.
 */
import {Left, Right, type Either} from 'purify-ts';
import type {LogPosition} from '../../positions/log-position.js';
import type {
	EndpointAddress, EndpointFault, InstanceControl, InstanceRole, InstanceState, TermClaim,
} from '../../services/services.js';
import {FakeControl} from './fake-control.js';
import {FakeConnection, FakeProcess, type FakeNetwork} from './fake-network.js';
import {FakeReplication, type FakeEntry} from './fake-replication.js';

/** The start of a primary's term, with the log that the primary had at that moment. */
export type FakeTermStart = {
	readonly term: number;
	readonly claimId: string;
	readonly primary: string;
	readonly log: readonly FakeEntry[];
};

/** State that the instances of one group share. */
export type FakeGroup = {
	readonly network: FakeNetwork;
	readonly instances: FakeInstance[];
	readonly termStarts: FakeTermStart[];
};

const reportDelayMs = 2;
const heartbeatMs = 500;
const streamHeartbeatMs = 100;

/** A fake instance. */
export class FakeInstance {
	readonly address: EndpointAddress;
	readonly group: FakeGroup;
	readonly replication = new FakeReplication(this);
	process: FakeProcess;
	role: InstanceRole;
	promisedTerm = 1;
	claimId = '';
	/** Number of next commands that take effect, but whose connection breaks before the answer is sent. */
	answersToLose = 0;

	private readonly _network: FakeNetwork;
	private readonly _controls = new Set<FakeControl>();
	private _isReportScheduled = false;

	constructor(address: EndpointAddress, role: InstanceRole, group: FakeGroup) {
		this.address = address;
		this.group = group;
		this.role = role;
		this._network = group.network;
		this.process = new FakeProcess(address.name, address.availabilityZone, group.network);
		this._startHeartbeats();
	}

	get name(): string {
		return this.address.name;
	}

	get log(): readonly FakeEntry[] {
		return this.replication.log;
	}

	get state(): InstanceState {
		return {
			role: this.role,
			promisedTerm: this.promisedTerm,
			claimId: this.claimId,
			received: this.replication.received,
			applied: this.replication.applied,
			isStreaming: this.role === 'primary' || this.replication.isStreaming,
		};
	}

	/** Starts leading the promised term. */
	startTerm(): void {
		this.role = 'primary';
		this.group.termStarts.push({
			term: this.promisedTerm, claimId: this.claimId, primary: this.name, log: [...this.log],
		});
		this.append(0);
	}

	/** Appends an entry and returns its position; undefined unless this is a running primary. */
	append(id: number): LogPosition | undefined {
		if (this.role !== 'primary' || this.process.isDead || this.process.isPaused) {
			return undefined;
		}

		this.replication.append({term: this.promisedTerm, id});
		this.changed();
		return this.replication.received;
	}

	raiseTerm(term: number, claimId: string): TermClaim {
		const isSame = term === this.promisedTerm && claimId === this.claimId;
		if (this.role === 'rebuilding' || (term <= this.promisedTerm && !isSame)) {
			return {isAccepted: false, state: this.state};
		}

		if (!isSame) {
			this.promisedTerm = term;
			this.claimId = claimId;
			this._stepDown();
			this.replication.unlink();
			this.changed();
		}

		return {isAccepted: true, state: this.state};
	}

	promote(term: number, claimId: string): TermClaim {
		const isAccepted = this.role !== 'rebuilding' && term === this.promisedTerm && claimId === this.claimId;
		if (isAccepted && this.role !== 'primary') {
			this.replication.unlink();
			this.startTerm();
		}

		return {isAccepted, state: this.state};
	}

	follow(term: number, primary: FakeInstance): TermClaim {
		if (term < this.promisedTerm || (this.role === 'primary' && term === this.promisedTerm)) {
			return {isAccepted: false, state: this.state};
		}

		if (term > this.promisedTerm) {
			this.promisedTerm = term;
			this.claimId = '';
		}

		this._stepDown();
		this.replication.link(term, primary);
		this.changed();
		return {isAccepted: true, state: this.state};
	}

	/** Ends the process: connections are reset, and new ones are refused. */
	crash(): void {
		this.process.isPaused = false;
		this.process.isDead = true;
		this.replication.unlink();
		this.replication.endStreams(true);
		for (const control of this._controls) {
			this.breakControl(control);
		}

		this._network.changed();
	}

	/** Starts a new process with the promised term of the old one, and with its log unless `isLogLost`. */
	restart(isLogLost: boolean): void {
		this.process = new FakeProcess(this.name, this.address.availabilityZone, this._network);
		this.role = isLogLost ? 'rebuilding' : 'replica';
		if (isLogLost) {
			this.replication.clearLog();
		}

		this._isReportScheduled = false;
		this._startHeartbeats();
	}

	/** Opens a control connection from a node. */
	async connect(node: FakeProcess): Promise<Either<EndpointFault, InstanceControl>> {
		return new Promise(resolve => {
			const connection = new FakeConnection(this._network, node, this.process);
			connection.sendToB(() => {
				if (connection.b.isDead) {
					connection.sendToA(() => {
						connection.close();
						resolve(Left({mayHaveReached: false, detail: 'refused'}));
					});
					return;
				}

				const control = new FakeControl(this, connection);
				this._controls.add(control);
				connection.sendToA(() => {
					resolve(Right(control));
					this._report(control);
				});
			});
		});
	}

	/** Breaks a connection; the node's end is reset once the network lets the reset pass. */
	breakControl(control: FakeControl): void {
		this._controls.delete(control);
		control.connection.resetToA(() => {
			control.dispose();
		});
	}

	/** Removes a connection that the node's end has closed. */
	removeControl(control: FakeControl): void {
		this._controls.delete(control);
	}

	/** Schedules a state report after a change of the state. */
	changed(): void {
		if (!this._isReportScheduled) {
			this._isReportScheduled = true;
			this.process.setTimer(reportDelayMs, () => {
				this._isReportScheduled = false;
				this._reportAll();
			});
		}
	}

	private _report(control: FakeControl): void {
		const {state} = this;
		control.connection.sendToA(() => {
			control.handleState(state);
		});
	}

	private _reportAll(): void {
		for (const control of this._controls) {
			this._report(control);
		}
	}

	private _startHeartbeats(): void {
		this.process.setTimer(heartbeatMs * this._network.random.next(), () => {
			this._reportAll();
			this._every(heartbeatMs, () => {
				this._reportAll();
			});
		});
		this._every(streamHeartbeatMs, () => {
			this.replication.heartbeat();
		});
	}

	private _every(periodMs: number, act: () => void): void {
		this.process.setTimer(periodMs, () => {
			act();
			this._every(periodMs, act);
		});
	}

	private _stepDown(): void {
		if (this.role === 'primary') {
			this.role = 'replica';
			this.replication.endStreams(false);
		}
	}
}
