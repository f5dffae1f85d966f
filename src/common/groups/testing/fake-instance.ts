/**
 * A small model of an instance of a database group (docs/ENDPOINTS.md): promise, log,
 * replication and control connections. It can crash, freeze and lose answers.
 */
import {Left, Right, type Either} from 'purify-ts';
import type {LogPosition} from '../../positions/log-position.js';
import type {
	EndpointAddress, EndpointFault, InstanceControl, InstanceRole, InstanceState, TermClaim,
} from '../../services/services.js';
import {FakeControl} from './fake-control.js';
import {FakeConnection, FakeProcess, type FakeNetwork} from './fake-network.js';
import {FakeReplication, type FakeEntry} from './fake-replication.js';

/** A primary that began its term, with the log that it began with. */
export type FakeOpening = {
	readonly term: number;
	readonly claimId: string;
	readonly primary: string;
	readonly log: readonly FakeEntry[];
};

/** What the instances of one group share. */
export type FakeGroup = {
	readonly network: FakeNetwork;
	readonly instances: FakeInstance[];
	readonly openings: FakeOpening[];
};

const reportDelayMs = 2;
const heartbeatMs = 500;
const aliveMs = 100;

/** One instance. */
export class FakeInstance {
	readonly address: EndpointAddress;
	readonly group: FakeGroup;
	readonly replication = new FakeReplication(this);
	process: FakeProcess;
	role: InstanceRole;
	promisedTerm = 1;
	claimId = '';
	/** Orders from now on that take effect, but whose connection breaks before the answer. */
	answersToLose = 0;

	private readonly _network: FakeNetwork;
	private readonly _controls = new Set<FakeControl>();
	private _isReportDue = false;

	constructor(address: EndpointAddress, role: InstanceRole, group: FakeGroup) {
		this.address = address;
		this.group = group;
		this.role = role;
		this._network = group.network;
		this.process = new FakeProcess(address.name, address.availabilityZone, group.network);
		this._beat();
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

	/** Begins the first term. */
	openTerm(): void {
		this.role = 'primary';
		this.group.openings.push({
			term: this.promisedTerm, claimId: this.claimId, primary: this.name, log: [...this.log],
		});
		this.append(0);
	}

	/** Adds an entry, if this is the primary. */
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
			this.openTerm();
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

	/** The process ends: connections are reset, and new ones refused. */
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

	/** A new process: the promise was kept, and the log unless it is said to be lost. */
	restart(isLogLost: boolean): void {
		this.process = new FakeProcess(this.name, this.address.availabilityZone, this._network);
		this.role = isLogLost ? 'rebuilding' : 'replica';
		if (isLogLost) {
			this.replication.clearLog();
		}

		this._isReportDue = false;
		this._beat();
	}

	/** Connects a node's control connection. */
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

	/** The connection is lost; the node's side learns it once the news can pass. */
	breakControl(control: FakeControl): void {
		this._controls.delete(control);
		control.connection.resetToA(() => {
			control.dispose();
		});
	}

	/** The node's side closed the connection. */
	forget(control: FakeControl): void {
		this._controls.delete(control);
	}

	/** The state has changed: it is reported soon. */
	changed(): void {
		if (!this._isReportDue) {
			this._isReportDue = true;
			this.process.setTimer(reportDelayMs, () => {
				this._isReportDue = false;
				this._reportAll();
			});
		}
	}

	private _report(control: FakeControl): void {
		const {state} = this;
		control.connection.sendToA(() => {
			control.take(state);
		});
	}

	private _reportAll(): void {
		for (const control of this._controls) {
			this._report(control);
		}
	}

	private _beat(): void {
		this.process.setTimer(heartbeatMs * this._network.random.next(), () => {
			this._reportAll();
			this._every(heartbeatMs, () => {
				this._reportAll();
			});
		});
		this._every(aliveMs, () => {
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
