/**
 * The directory of the other nodes, learned from their registrations in the store and from their
 * notices to each other.
 *
 * A node registers before it relies on leases, so a node that reads the registrations knows every
 * node that may hold a lease.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import type {Disposable} from '../lifecycle/disposable.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {Event} from '../lifecycle/emitter.js';
import {pauseFor, WakeableSleep} from '../lifecycle/timing.js';
import type {
	PeerNode, PlatformFault, StoredRow, StoredRows,
} from '../services/services.js';
import {nodeTable} from './constants.js';
import {parseNodeRow} from './node-row.js';
import {RestoreRecord, restoreRecordKey} from './restore-record.js';
import type {PeeringServices} from './types.js';

/** Keeps track of the other nodes, and registers this one. */
export class PeerDirectory implements Disposable {
	/** Fires once, when discovery is done: the registrations were read, or could not be. */
	readonly onDiscoveryDone: Event<void>;
	/** Fires when the store holds this node's registration. */
	readonly onRegistered: Event<void>;

	private readonly _services: PeeringServices;
	private readonly _sleep: WakeableSleep;
	private readonly _nodes = new Map<string, PeerNode>();
	/** Nodes that did not answer, by name: when their backoff ends, and its length. */
	private readonly _unreachable = new Map<string, {readonly untilMs: number; readonly forMs: number}>();
	/** Nodes that announced that they leave, by name, and when: they finish what is in progress, and their registrations stay. */
	private readonly _leavingPeers = new Map<string, {readonly node: PeerNode; readonly sinceMs: number}>();
	/** Keys of rows that describe no node; each is logged once. */
	private readonly _unreadable = new Set<string>();
	private _revision = 0;
	private _membershipRevision = 0;
	private _membershipChangedAtMs: number;
	private _registeredAtMs: number | undefined;
	/** Era of the store in which this node last knew its registration to be stored. */
	private _registeredEra: number | undefined;
	private readonly _onDiscoveryDone = new Emitter<void>();
	private readonly _onRegistered = new Emitter<void>();
	/** The first read of the registrations, kept until the registration of this node uses it. */
	private _firstRead: Promise<Either<PlatformFault, StoredRows>> | undefined;
	private _isDiscoveryDone = false;
	private _isRegistering = false;
	private _isDisposed = false;
	private readonly _restoreRecord: RestoreRecord;
	private readonly _restoreListener: Disposable;

	constructor(services: PeeringServices) {
		this.onDiscoveryDone = this._onDiscoveryDone.event;
		this.onRegistered = this._onRegistered.event;
		this._services = services;
		this._membershipChangedAtMs = services.clock.nowMs();
		this._sleep = new WakeableSleep(services.clock);
		this._restoreRecord = new RestoreRecord(services, () => this.others());
		this._restoreListener = services.restores.onRestore(() => {
			// A large fleet follows the registrations, which its follower reads again at once after a restore.
			this._sleep.wake();
			this._restoreRecord.scheduleWrite();
		});
	}

	/** When this node learned that the store holds its registration; undefined before. */
	get registeredAtMs(): number | undefined {
		return this._registeredAtMs;
	}

	/** Whether the initial discovery is done: the registrations were read, or could not be. */
	get isDiscoveryDone(): boolean {
		return this._isDiscoveryDone;
	}

	/** Number of changes of the known nodes and of their reachability. */
	get revision(): number {
		return this._revision;
	}

	/** Number of changes of the known nodes. */
	get membershipRevision(): number {
		return this._membershipRevision;
	}

	/** When a node last joined or left, as this node learned of it; before the first such change, when this node started. */
	get membershipChangedAtMs(): number {
		return this._membershipChangedAtMs;
	}

	/** Number of nodes, this one included. */
	get size(): number {
		return this._nodes.size + 1;
	}

	/** Whether there are too many nodes for each to connect to every endpoint, or to every other node. */
	get isLarge(): boolean {
		return this.size >= this._services.options.homesFrom;
	}

	/** The other nodes that are known, without those that announced that they leave. */
	others(): readonly PeerNode[] {
		return [...this._nodes.values()];
	}

	/** Nodes that announced that they leave so recently that they may still serve. */
	leavingPeers(): readonly PeerNode[] {
		const {clock, options} = this._services;
		return [...this._leavingPeers.values()].flatMap(({node, sinceMs}) => clock.nowMs() - sinceMs < options.leavingMs ? [node] : []);
	}

	/** The other nodes without those in backoff after they did not answer. */
	reachablePeers(): readonly PeerNode[] {
		return this.others().filter(({name}) => this.isReachable(name));
	}

	/** Whether a node is not in backoff after it did not answer; true for a node that was never called. */
	isReachable(name: string): boolean {
		return (this._unreachable.get(name)?.untilMs ?? 0) <= this._services.clock.nowMs();
	}

	/** Reads the registrations before this node accepts calls of peers and registers itself. */
	async discover(): Promise<void> {
		this._firstRead ??= this._services.store.read(nodeTable, '');
		const read = await this._firstRead;
		this._applyFirstRead(read);
	}

	/**
	 * Registers this node; in a small fleet, also announces it to the others and goes on reading the
	 * registrations. Resolves once the fleet is large: its nodes follow the registrations and announce
	 * nothing, since opening a link to each of 194 others took a starting node seconds of a third of a
	 * core.
	 */
	async run(): Promise<void> {
		const {options} = this._services;
		let retryMs = options.registerRetryMs;
		while (!this._isDisposed && !await this._register()) {
			this._finishDiscovery();
			await this._sleep.wait(retryMs);
			retryMs = Math.min(retryMs * 2, options.longestRegisterRetryMs);
		}

		// After a power failure the first read shows the registrations from before it, so a large fleet is known at once.
		if (this.isLarge) {
			this._finishDiscovery();
			return;
		}

		await this._sleep.wait(options.meetAfterMs);
		const known = new Set<string>();
		let pauseMs = options.firstReadAfterMs;
		while (!this._isDisposed) {
			await this.refresh();
			this._finishDiscovery();
			if (this.isLarge) {
				return;
			}

			const newNodes = this.others().filter(({name}) => !known.has(name));
			await this._announceJoin(newNodes);
			pauseMs = newNodes.length > 0 ? options.firstReadAfterMs : Math.min(pauseMs * 2, options.readEveryMs);
			await this._sleep.wait(pauseMs);
			// Nodes that joined meanwhile have announced themselves to this node.
			for (const name of this._nodes.keys()) {
				known.add(name);
			}
		}
	}

	/** Reads all registrations now; resolves with the other nodes, or with the fault of the store. */
	async refresh(): Promise<Either<PlatformFault, readonly PeerNode[]>> {
		const read = await this._services.store.read(nodeTable, '');
		if (read.isLeft()) {
			return Left(read.extract());
		}

		const {rows, storeNowMs} = read.unsafeCoerce();
		this._restoreRecord.applySnapshot(rows, storeNowMs);
		this.applySnapshot(rows);
		return Right(this.others());
	}

	/** Applies all registrations that the store holds; writes this node's again if a restore lost it. */
	applySnapshot(rows: readonly StoredRow[]): void {
		this.applyRows(rows);
		const own = rows.find(({key}) => key === this._services.self.name);
		// Rows of the same era may be older than the registration, since they may come from another node, whose view lags.
		if (this._registeredEra !== undefined && this._services.restores.era > this._registeredEra && !this._isOwnRegistration(own)) {
			void this._restoreRegistration(own?.version ?? 0);
		}
	}

	/** Applies registrations; skips rows that do not describe a node, such as the restore record. */
	applyRows(rows: readonly StoredRow[]): void {
		this._restoreRecord.applyChanges(rows);
		for (const row of rows) {
			const node = parseNode(row);
			if (node) {
				this.learn(node);
			}

			this._noteReadability(row, node !== undefined);
		}
	}

	/** Adds a node, or replaces its entry if it has a new incarnation. */
	learn(node: PeerNode): void {
		const {self, log} = this._services;
		if (node.name === self.name) {
			return;
		}

		const known = this._nodes.get(node.name);
		if (known?.incarnation !== node.incarnation && this._leavingPeers.get(node.name)?.node.incarnation !== node.incarnation) {
			this._leavingPeers.delete(node.name);
			this._nodes.set(node.name, node);
			this._unreachable.delete(node.name);
			this._recordMembershipChange();
			log.event('peerLearned', {peer: node.name, availabilityZone: node.availabilityZone});
		}
	}

	/**
	 * Records that an incarnation of a node leaves. Its registration stays in the store until it starts again,
	 * and must not be mistaken for its return. A notice that arrives after the node has started again concerns
	 * its earlier process. Without an incarnation, the notice counts for the known one.
	 */
	markLeaving(name: string, incarnation: string | undefined): void {
		const known = this._nodes.get(name);
		if (!known || (incarnation !== undefined && incarnation !== known.incarnation)) {
			return;
		}

		this._nodes.delete(name);
		this._leavingPeers.set(name, {node: known, sinceMs: this._services.clock.nowMs()});
		this._recordMembershipChange();
	}

	/** Records whether a node answered a call. */
	reportReachability(name: string, hasAnswered: boolean): void {
		const wasUnreachable = this._unreachable.has(name);
		if (wasUnreachable === hasAnswered) {
			this._services.log.event(hasAnswered ? 'hostTrusted' : 'hostSuspected', {peer: name});
		}

		if (hasAnswered) {
			this._revision += this._unreachable.delete(name) ? 1 : 0;
		} else {
			this._markUnreachable(name);
		}
	}

	/** Notifies all reachable nodes that this one leaves; only for small fleets, where every node is linked to every other. */
	async leave(): Promise<void> {
		const {calls, self, options} = this._services;
		await Promise.all(this.reachablePeers().map(async peer => calls.tell(peer, {kind: 'left', name: self.name, incarnation: self.incarnation}, options.fenceTimeoutMs)));
	}

	dispose(): void {
		this._isDisposed = true;
		this._sleep.dispose();
		this._restoreListener.dispose();
		this._restoreRecord.dispose();
		this._onDiscoveryDone.dispose();
		this._onRegistered.dispose();
	}

	/** Logs a row that describes no node, once until it can be read or is removed: the whole table is read again and again. */
	private _noteReadability({key, value}: StoredRow, isNode: boolean): void {
		if (isNode || value === undefined || key === restoreRecordKey) {
			this._unreadable.delete(key);
		} else if (!this._unreadable.has(key)) {
			this._unreadable.add(key);
			this._services.log.event('nodeRowUnreadable', {key});
		}
	}

	private _recordMembershipChange(): void {
		this._revision += 1;
		this._membershipRevision += 1;
		this._membershipChangedAtMs = this._services.clock.nowMs();
	}

	/** Starts or doubles a node's backoff: a node that is gone for good stays registered, and is tried less and less often. */
	private _markUnreachable(name: string): void {
		const {clock, options} = this._services;
		const nowMs = clock.nowMs();
		const known = this._unreachable.get(name);
		if (known && nowMs < known.untilMs) {
			return;
		}

		const forMs = Math.min(known ? known.forMs * 2 : options.passOverMs, options.longestPassOverMs);
		this._unreachable.set(name, {untilMs: nowMs + forMs, forMs});
		this._revision += 1;
	}

	private async _register(): Promise<boolean> {
		const {store, self, log, clock, restores} = this._services;
		const read = await (this._firstRead ?? store.read(nodeTable, ''));
		this._firstRead = undefined;
		this._applyFirstRead(read);
		if (read.isLeft()) {
			return false;
		}

		const {rows} = read.unsafeCoerce();
		const own = rows.find(({key}) => key === self.name);
		// If the write succeeded but its answer was lost, the next read finds the registration.
		if (!this._isOwnRegistration(own) && !await this._writeRegistration(own?.version ?? 0)) {
			return false;
		}

		this._registeredAtMs = clock.nowMs();
		this._registeredEra = restores.era;
		log.event('nodeRegistered', {peers: this._nodes.size});
		this._onRegistered.fire();
		return true;
	}

	private _isOwnRegistration(row: StoredRow | undefined): boolean {
		return row !== undefined && parseNode(row)?.incarnation === this._services.self.incarnation;
	}

	private async _writeRegistration(expectedVersion: number): Promise<boolean> {
		const {store, self} = this._services;
		const written = await store.write({
			table: nodeTable, partition: '', key: self.name, value: JSON.stringify(self), expectedVersion,
		});
		return written.isRight();
	}

	/** Registers this node again after a restore: promoters rely on the registration of every node that may hold a lease. */
	private async _restoreRegistration(expectedVersion: number): Promise<void> {
		if (this._isRegistering) {
			return;
		}

		this._isRegistering = true;
		const {log, options, clock, restores} = this._services;
		const {era} = restores;
		let retryMs = options.registerRetryMs;
		let isDone = await this._writeRegistration(expectedVersion);
		log.event('registrationRepeated', {isDone});
		while (!isDone && !this._isDisposed) {
			await pauseFor(clock, retryMs);
			retryMs = Math.min(retryMs * 2, options.longestRegisterRetryMs);
			isDone = await this._register();
		}

		this._registeredEra = era;
		this._isRegistering = false;
	}

	/**
	 * Discovery is done with the first read, unless this node has no registration from an earlier start.
	 * Then all nodes may be new and not registered yet, so a fleet that looks small is read once more
	 * shortly after this node has registered, and discovery is done only then. Otherwise, when 195 new
	 * nodes start at once, each takes the fleet for a small one, polls every endpoint, and asks the store
	 * about each group.
	 */
	private _applyFirstRead(read: Either<PlatformFault, StoredRows>): void {
		const rows = read.map(found => found.rows).orDefault([]);
		read.ifRight(({storeNowMs}) => {
			this._restoreRecord.applySnapshot(rows, storeNowMs);
		});
		this.applyRows(rows);
		if (read.isLeft() || rows.some(({key}) => key === this._services.self.name)) {
			this._finishDiscovery();
		}
	}

	private _finishDiscovery(): void {
		if (!this._isDiscoveryDone) {
			this._isDiscoveryDone = true;
			this._onDiscoveryDone.fire();
		}
	}

	private async _announceJoin(peers: readonly PeerNode[]): Promise<void> {
		const {calls, self, options} = this._services;
		await Promise.all(peers.map(async peer => {
			const answer = await calls.tell(peer, {kind: 'joined', node: self}, options.joinTimeoutMs);
			this.reportReachability(peer.name, answer.isRight());
			answer.ifRight(node => {
				this.learn(node);
			});
		}));
	}
}

function parseNode({key, value}: StoredRow): PeerNode | undefined {
	return value === undefined ? undefined : parseNodeRow(key, value);
}
