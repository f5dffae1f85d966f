/**
 * A small model of an instance of a database group (docs/ENDPOINTS.md): promise, log,
 * replication and control connections. It can crash, freeze and lose answers.
 */
import {Left, Right, type Either} from 'purify-ts';
import type {Disposable} from '../../lifecycle/disposable.js';
import {Emitter} from '../../lifecycle/emitter.js';
import type {LogPosition} from '../../positions/log-position.js';
import type {
	EndpointAddress, EndpointFault, InstanceControl, InstanceRole, InstanceState, TermClaim,
} from '../../services/services.js';
import {FakeConnection, FakeProcess, type FakeNetwork} from './fake-network.js';

/** An entry of the log; the id is unique over the whole test. */
export type FakeEntry = {readonly term: number; readonly id: number};

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
const streamSilenceMs = 700;
const streamRetryMs = 100;
const orderTimeoutMs = 1000;

type Stream = {readonly follower: FakeInstance; readonly connection: FakeConnection};
type Link = {readonly term: number; readonly primary: FakeInstance; connection: FakeConnection | undefined; heardMs: number};

/** One instance. */
export class FakeInstance {
	readonly address: EndpointAddress;
	readonly group: FakeGroup;
	process: FakeProcess;
	role: InstanceRole;
	promisedTerm = 1;
	claimId = '';
	log: FakeEntry[] = [];
	appliedOffset = 0;
	/** Delay between receiving and applying. */
	lagMs = 0;
	/** Orders from now on that take effect, but whose connection breaks before the answer. */
	answersToLose = 0;
	isStreaming = false;

	private readonly _network: FakeNetwork;
	private readonly _controls = new Set<FakeControl>();
	private readonly _streams = new Set<Stream>();
	private _link: Link | undefined;
	/** Offset at which a rebuilding instance has the whole log. */
	private _rebuiltOffset = 0;
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

	get received(): LogPosition {
		return this._positionAt(this.log.length);
	}

	get state(): InstanceState {
		return {
			role: this.role,
			promisedTerm: this.promisedTerm,
			claimId: this.claimId,
			received: this.received,
			applied: this._positionAt(this.appliedOffset),
			isStreaming: this.role === 'primary' || this.isStreaming,
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

		this.log.push({term: this.promisedTerm, id});
		this.appliedOffset = this.log.length;
		for (const stream of this._streams) {
			this._send(stream, this.log.length - 1);
		}

		this._changed();
		return this.received;
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
			this._unlink();
			this._changed();
		}

		return {isAccepted: true, state: this.state};
	}

	promote(term: number, claimId: string): TermClaim {
		const isAccepted = this.role !== 'rebuilding' && term === this.promisedTerm && claimId === this.claimId;
		if (isAccepted && this.role !== 'primary') {
			this._unlink();
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
		if (this._link?.term !== term || this._link.primary !== primary) {
			this._unlink();
			this._link = {
				term, primary, connection: undefined, heardMs: 0,
			};
			this._openStream(this._link);
		}

		this._changed();
		return {isAccepted: true, state: this.state};
	}

	/** The process ends: connections are reset, and new ones refused. */
	crash(): void {
		this.process.isPaused = false;
		this.process.isDead = true;
		this._unlink();
		this._endStreams(true);
		for (const control of this._controls) {
			this.breakControl(control);
		}

		this._network.changed();
	}

	/** A new process: the promise was kept, and the log unless it is said to be lost. */
	restart(isLogLost: boolean): void {
		this.process = new FakeProcess(this.name, this.address.availabilityZone, this._network);
		this.role = isLogLost ? 'rebuilding' : 'replica';
		this.log = isLogLost ? [] : this.log;
		this.appliedOffset = Math.min(this.appliedOffset, this.log.length);
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

	/** Streams the log to a follower, if this is the primary of the term. */
	serve(stream: Stream, term: number, log: readonly FakeEntry[]): void {
		const {follower, connection} = stream;
		if (connection.b.isDead || this.role !== 'primary' || this.promisedTerm !== term) {
			connection.sendToA(() => {
				follower._loseStream(connection);
			});
			return;
		}

		const shared = this.log.findIndex((entry, index) => log[index]?.id !== entry.id || log[index]?.term !== entry.term);
		const kept = shared === -1 ? this.log.length : shared;
		const end = this.log.length;
		this._streams.add(stream);
		connection.sendToA(() => {
			follower.begin(connection, kept, end);
		});
		for (let index = kept; index < this.log.length; index++) {
			this._send(stream, index);
		}
	}

	/** Follower: the stream begins; what the primary lacks is dropped. */
	begin(connection: FakeConnection, kept: number, end: number): void {
		if (this._hear(connection)) {
			this.log.length = Math.min(kept, this.log.length);
			this.appliedOffset = Math.min(this.appliedOffset, kept);
			this.isStreaming = true;
			this._rebuiltOffset = end;
			this._noteRebuilt();
			this._changed();
		}
	}

	/** Follower: an entry arrived. */
	receive(connection: FakeConnection, entry: FakeEntry): void {
		if (!this._hear(connection)) {
			return;
		}

		this.log.push(entry);
		this._noteRebuilt();
		const offset = this.log.length;
		this.process.setTimer(this.lagMs, () => {
			if (this.log[offset - 1] === entry) {
				this.appliedOffset = Math.max(this.appliedOffset, offset);
				this._changed();
			}
		});
		this._changed();
	}

	private _report(control: FakeControl): void {
		const {state} = this;
		control.connection.sendToA(() => {
			control.take(state);
		});
	}

	private _changed(): void {
		if (!this._isReportDue) {
			this._isReportDue = true;
			this.process.setTimer(reportDelayMs, () => {
				this._isReportDue = false;
				this._reportAll();
			});
		}
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
			this._sayAlive();
			this._checkLink();
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
			this._endStreams();
		}
	}

	/** Followers get what was sent before a graceful end, but not before a crash. */
	private _endStreams(isCrash = false): void {
		for (const {follower, connection} of this._streams) {
			const lose = (): void => {
				follower._loseStream(connection);
			};

			if (isCrash) {
				connection.resetToA(lose);
			} else {
				connection.sendToA(lose);
			}
		}

		this._streams.clear();
	}

	private _sayAlive(): void {
		for (const {follower, connection} of this._streams) {
			connection.sendToA(() => {
				follower._hear(connection);
			});
		}
	}

	private _checkLink(): void {
		const link = this._link;
		if (link?.connection && this.process.nowMs() - link.heardMs >= streamSilenceMs) {
			this._loseStream(link.connection);
		}
	}

	private _openStream(link: Link): void {
		const {primary, term} = link;
		const connection = new FakeConnection(this._network, this.process, primary.process);
		link.connection = connection;
		link.heardMs = this.process.nowMs();
		const log = [...this.log];
		connection.sendToB(() => {
			primary.serve({follower: this, connection}, term, log);
		});
	}

	private _send({follower, connection}: Stream, index: number): void {
		const entry = this.log[index];
		connection.sendToA(() => {
			follower.receive(connection, entry);
		});
	}

	private _hear(connection: FakeConnection): boolean {
		if (this._link?.connection !== connection) {
			return false;
		}

		this._link.heardMs = this.process.nowMs();
		return true;
	}

	private _noteRebuilt(): void {
		if (this.role === 'rebuilding' && this.log.length >= this._rebuiltOffset) {
			this.role = 'replica';
		}
	}

	private _loseStream(connection: FakeConnection): void {
		const link = this._link;
		if (link?.connection !== connection) {
			return;
		}

		connection.close();
		link.connection = undefined;
		this.isStreaming = false;
		this._changed();
		this.process.setTimer(streamRetryMs, () => {
			if (this._link === link && !link.connection) {
				this._openStream(link);
			}
		});
	}

	private _unlink(): void {
		this._link?.connection?.close();
		this._link = undefined;
		this.isStreaming = false;
	}

	private _positionAt(offset: number): LogPosition {
		return {term: this.log[offset - 1]?.term ?? 0, offset};
	}
}

/** The node's side of a control connection to a fake instance. */
export class FakeControl implements InstanceControl {
	readonly connection: FakeConnection;
	private readonly _instance: FakeInstance;
	private readonly _onClose = new Emitter<void>();
	private readonly _onState = new Emitter<InstanceState>();
	private readonly _pending = new Set<(fault: EndpointFault) => void>();
	private _isClosed = false;
	readonly onClose = this._onClose.event; // eslint-disable-line @typescript-eslint/member-ordering -- needs the emitter.
	readonly onState = this._onState.event; // eslint-disable-line @typescript-eslint/member-ordering

	constructor(instance: FakeInstance, connection: FakeConnection) {
		this._instance = instance;
		this.connection = connection;
	}

	take(state: InstanceState): void {
		this._onState.fire(state);
	}

	async readState(): Promise<Either<EndpointFault, InstanceState>> {
		return this._order(() => this._instance.state);
	}

	async raiseTerm(term: number, claimId: string): Promise<Either<EndpointFault, TermClaim>> {
		return this._order(() => this._instance.raiseTerm(term, claimId));
	}

	async promote(term: number, claimId: string): Promise<Either<EndpointFault, TermClaim>> {
		return this._order(() => this._instance.promote(term, claimId));
	}

	async follow(term: number, primary: EndpointAddress): Promise<Either<EndpointFault, TermClaim>> {
		return this._order(() => this._instance.follow(term, this._instance.group.instances.find(({name}) => name === primary.name)!));
	}

	async attach(homeId: string): Promise<Either<EndpointFault, {isAttached: boolean; holder: string}>> {
		return this._order(() => ({isAttached: true, holder: homeId}));
	}

	async detach(): Promise<Either<EndpointFault, void>> {
		return this._order(() => undefined);
	}

	dispose(): void {
		if (this._isClosed) {
			return;
		}

		this._isClosed = true;
		this._instance.forget(this);
		this.connection.close();
		for (const fail of this._pending) {
			fail({mayHaveReached: true, detail: 'connection lost'});
		}

		this._onClose.fire();
	}

	private async _order<T>(run: () => T): Promise<Either<EndpointFault, T>> {
		if (this._isClosed) {
			return Left({mayHaveReached: false, detail: 'closed'});
		}

		return new Promise(resolve => {
			const settle = (answer: Either<EndpointFault, T>): void => {
				timer.dispose();
				this._pending.delete(fail);
				resolve(answer);
			};

			const fail = (fault: EndpointFault): void => {
				settle(Left(fault));
			};

			const timer: Disposable = this.connection.a.setTimer(orderTimeoutMs, () => {
				fail({mayHaveReached: true, detail: 'no answer'});
			});
			this._pending.add(fail);
			this.connection.sendToB(() => {
				this._execute(run, settle);
			});
		});
	}

	private _execute<T>(run: () => T, settle: (answer: Either<EndpointFault, T>) => void): void {
		if (this.connection.b.isDead) {
			return;
		}

		const result = run();
		if (this._instance.answersToLose > 0 && typeof result === 'object' && result && 'isAccepted' in result) {
			this._instance.answersToLose--;
			this._instance.breakControl(this);
			return;
		}

		this.connection.sendToA(() => {
			settle(Right(result));
		});
	}
}
