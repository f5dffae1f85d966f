/**
 * A database group of the platform in memory: a primary, replicas that lag, terms,
 * transactions, slots. It keeps to the published pages and to nothing else.
 */
import type {Clock} from '../../src/common/services/services.js';

type Entry = {
	readonly term: number;
	readonly items: ReadonlyMap<string, string>;
};

/** A write that a transaction has not committed. */
type Transaction = {
	readonly isReadOnly: boolean;
	readonly items: Map<string, string>;
	/** Term in which it began. */
	readonly term: number;
	isFailed: boolean;
};

/** One instance of the group. */
export class LineInstance {
	readonly id: string;
	readonly group: LineGroup;
	/** Entries that it holds. */
	log: Entry[] = [];
	/** Number of entries that its reads show. */
	applied = 0;
	term: number;
	isPrimary: boolean;
	/** Term for which it stopped receiving. */
	pausedFor = 0;
	/** Whether it answers at all. */
	isUp = true;
	/** Whether it receives what the primary writes. */
	isDeaf = false;
	lagMs = 20;
	/** Time until it has received what the primary wrote. */
	receiveMs = 0;
	maximumConnections = 23;
	slots = 3;
	/** Ids of the statements whose writes took effect here, first as a primary. */
	readonly committed: string[] = [];
	/** Statements that ran, by their id; for checks of tests. */
	readonly ran: string[] = [];
	/** Questions for its state. */
	questions = 0;
	/** Ids whose answers are lost after they ran. */
	readonly lostAnswers = new Set<string>();
	busySlots = 0;
	private readonly _sessions = new Set<LineInstanceSession>();

	constructor(id: string, group: LineGroup, isPrimary: boolean) {
		this.id = id;
		this.group = group;
		this.isPrimary = isPrimary;
		this.term = 1;
	}

	/** Open connections. */
	get sessions(): ReadonlySet<LineInstanceSession> {
		return this._sessions;
	}

	/** Position of the end of the log. */
	get received(): string {
		return `${this.log.at(-1)?.term ?? this.term}.${this.log.length}`;
	}

	/** Position that its reads show. */
	get position(): string {
		return `${this.log[this.applied - 1]?.term ?? this.term}.${this.applied}`;
	}

	/** A new connection; the text is the error that refuses it. */
	open(service: string, id: string): LineInstanceSession | string {
		if (service !== this.group.service || (id !== '' && id !== this.id)) {
			return `REDIRECT ${this.id}`;
		}

		if (this._sessions.size >= this.maximumConnections) {
			return `TOOMANY ${this.id}`;
		}

		const session = new LineInstanceSession(this);
		this._sessions.add(session);
		return session;
	}

	close(session: LineInstanceSession): void {
		this._sessions.delete(session);
	}

	/** Whether the log holds a position. */
	holds(position: string): boolean {
		const [term, offset] = position.split('.').map(Number);
		const entry = this.log[offset - 1];
		return offset === 0 || (offset <= this.applied && entry !== undefined && (entry.term === term || entry.term < term));
	}

	/** The value of an item as its reads show it. */
	read(item: string): string | undefined {
		return this.log.slice(0, this.applied).findLast(({items}) => items.has(item))?.items.get(item);
	}

	append(id: string, items: ReadonlyMap<string, string>): void {
		this.committed.push(id);
		this.log.push({term: this.term, items});
		this.applied = this.log.length;
		this.group.replicate(this);
	}

	statusRow(): string {
		return `${this.isPrimary ? 'primary' : 'replica'} ${this.term} ${this.received} ${this.pausedFor} ${this.lagMs} ${this.busySlots} ${this._sessions.size}`;
	}
}

/** One connection's state at an instance. */
export class LineInstanceSession {
	readonly instance: LineInstance;
	readonly values = new Map<string, string>();
	readonly prepared = new Map<string, {isWrite: boolean; shape: string}>();
	private _transaction: Transaction | undefined;
	/** Id of the statement that runs. */
	private _id = '';

	private readonly _handlers: Readonly<Record<string, (rest: string, floor: string | undefined) => string>> = {
		BEGIN: (rest, floor) => this._begin(rest === 'READ', floor),
		COMMIT: () => this._commit(),
		ROLLBACK: () => this._rollBack(),
		READ: (rest, floor) => this._read(rest, floor),
		WRITE: rest => this._write(rest),
		SET: rest => this._set(rest),
		PREPARE: rest => this._prepare(rest),
		EXECUTE: (rest, floor) => this._execute(rest, floor),
		DEALLOC: rest => this._deallocate(rest),
		DISCARD: () => this._discard(),
		STATUS: () => this._row(),
		PAUSE: rest => this._pause(Number(rest)),
		RESUME: () => this._resume(),
		STEPDOWN: rest => this._stepDown(Number(rest)),
	};

	constructor(instance: LineInstance) {
		this.instance = instance;
	}

	/** Answers one statement: its lines, each with its end; undefined where the answer is lost. */
	query(id: string, text: string): string | undefined {
		const {floor, statement} = splitFloor(text);
		const [word, rest] = cut(statement);
		const handler = Object.hasOwn(this._handlers, word) ? this._handlers[word] : undefined;
		const isRun = id !== '-';
		if (isRun) {
			this.instance.ran.push(id);
		}

		this._id = id;

		const body = handler ? handler(rest, floor) : 'ERROR MALFORMED unknown statement\r\n';
		return this.instance.lostAnswers.delete(id) ? undefined : `${body}READY ${this._state} ${this.instance.position}\r\n`;
	}

	private get _state(): string {
		if (!this._transaction) {
			return 'I';
		}

		return this._transaction.isFailed ? 'E' : 'T';
	}

	private _begin(isReadOnly: boolean, floor: string | undefined): string {
		if (floor !== undefined && !this.instance.holds(floor)) {
			return `ERROR LAGGING ${this.instance.id}\r\n`;
		}

		if (!isReadOnly && !this.instance.isPrimary) {
			return this._readOnly();
		}

		this._transaction = {
			isReadOnly, items: new Map(), term: this.instance.term, isFailed: false,
		};
		return complete('-');
	}

	private _commit(): string {
		const transaction = this._transaction;
		this._transaction = undefined;
		if (!transaction || transaction.isFailed) {
			return 'ERROR MALFORMED no transaction\r\n';
		}

		if (transaction.items.size === 0) {
			return complete(this._digest());
		}

		if (!this.instance.isPrimary || this.instance.term !== transaction.term) {
			return this._readOnly();
		}

		this.instance.append(this._id, transaction.items);
		return complete(this._digest());
	}

	private _rollBack(): string {
		this._transaction = undefined;
		return complete('-');
	}

	private _read(item: string, floor: string | undefined): string {
		if (floor !== undefined && !this.instance.holds(floor)) {
			return `ERROR LAGGING ${this.instance.id}\r\n`;
		}

		if (this._hasLostLead()) {
			return this._fail();
		}

		const value = this._transaction?.items.get(item) ?? this.instance.read(item);
		return `${value === undefined ? '' : `DATAROW ${value}\r\n`}${complete(this._digest())}`;
	}

	private _write(rest: string): string {
		if (!this.instance.isPrimary || this._transaction?.isReadOnly === true || this._hasLostLead()) {
			return this._fail();
		}

		const [item, data] = cut(rest);
		if (this._transaction) {
			this._transaction.items.set(item, data);
		} else {
			this.instance.append(this._id, new Map([[item, data]]));
		}

		return complete(this._digest());
	}

	private _set(rest: string): string {
		const [name, value] = cut(rest);
		this.values.set(name, value);
		return complete('-');
	}

	private _prepare(rest: string): string {
		const [name, described] = cut(rest);
		const [kind, shape] = cut(described);
		this.prepared.set(name, {isWrite: kind === 'WRITE', shape});
		return complete('-');
	}

	private _execute(rest: string, floor: string | undefined): string {
		const [name, parameters] = cut(rest);
		const prepared = this.prepared.get(name);
		if (!prepared) {
			return `ERROR NOSTMT ${name}\r\n`;
		}

		return prepared.isWrite ? this._write(parameters) : this._read(parameters, floor);
	}

	private _deallocate(name: string): string {
		this.prepared.delete(name);
		return complete('-');
	}

	private _discard(): string {
		this.values.clear();
		this.prepared.clear();
		return complete('-');
	}

	private _row(): string {
		this.instance.questions += 1;
		return `DATAROW ${this.instance.statusRow()}\r\n${complete('-')}`;
	}

	private _pause(term: number): string {
		if (!this.instance.isPrimary && term > this.instance.term) {
			this.instance.pausedFor = term;
		}

		return this._row();
	}

	private _resume(): string {
		this.instance.pausedFor = 0;
		return this._row();
	}

	private _stepDown(term: number): string {
		if (this.instance.isPrimary && term > this.instance.term) {
			this.instance.isPrimary = false;
		}

		return this._row();
	}

	private _hasLostLead(): boolean {
		const transaction = this._transaction;
		return transaction !== undefined && !transaction.isReadOnly && (!this.instance.isPrimary || this.instance.term !== transaction.term);
	}

	private _fail(): string {
		if (this._transaction) {
			this._transaction.isFailed = true;
		}

		return this._readOnly();
	}

	private _readOnly(): string {
		return `ERROR READONLY ${this.instance.id}\r\n`;
	}

	/** Ends a line of a success; the values it ran with are part of it, so that tests see them. */
	private _digest(): string {
		return `${this.instance.id}|${[...this.values].map(([name, value]) => `${name}=${value}`).toSorted().join(',')}`;
	}
}

/** A primary and its replicas. */
export class LineGroup {
	readonly service: string;
	readonly instances: readonly LineInstance[];
	private readonly _clock: Clock;

	constructor(service: string, ids: readonly string[], clock: Clock) {
		this.service = service;
		this._clock = clock;
		this.instances = ids.map((id, index) => new LineInstance(id, this, index === 0));
	}

	/** Questions for states that all instances were asked. */
	get questions(): number {
		return this.instances.reduce((sum, {questions}) => sum + questions, 0);
	}

	/** The instance of an id; throws when there is none. */
	instance(id: string): LineInstance {
		const found = this.instances.find(instance => instance.id === id);
		if (!found) {
			throw new Error(`no instance ${id}`);
		}

		return found;
	}

	/** Makes an instance lead the next term with what it received. */
	promote(id: string): void {
		const next = this.instance(id);
		if (next.isPrimary) {
			return;
		}

		const term = Math.max(...this.instances.map(instance => instance.term)) + 1;
		for (const instance of this.instances.filter(({isUp}) => isUp)) {
			instance.isPrimary = instance === next;
			instance.term = term;
			instance.pausedFor = 0;
			instance.log = instance === next ? instance.log : [...next.log];
			instance.applied = next.log.length;
		}
	}

	/** A crashed instance is back: it follows whoever leads a later term, and goes on leading otherwise. */
	rejoin(id: string): void {
		const instance = this.instance(id);
		instance.isUp = true;
		instance.pausedFor = 0;
		const leader = this.instances.find(other => other.isPrimary && other.term > instance.term)
			?? (instance.isPrimary ? undefined : this.instances.find(other => other.isPrimary && other.isUp));
		if (leader) {
			instance.isPrimary = false;
			instance.term = leader.term;
			instance.log = [...leader.log];
			instance.applied = leader.log.length;
		}
	}

	/** Sends what a primary wrote to its replicas; they apply it later. */
	replicate(primary: LineInstance): void {
		const {length} = primary.log;
		for (const replica of this.instances) {
			const isReceiving = !replica.isPrimary && replica.isUp && !replica.isDeaf && replica.pausedFor === 0 && replica.term === primary.term;
			if (isReceiving && replica.receiveMs === 0) {
				this._receive(replica, primary, length);
			} else if (isReceiving) {
				this._clock.setTimer(replica.receiveMs, () => {
					if (primary.isUp && replica.pausedFor === 0 && replica.term === primary.term) {
						this._receive(replica, primary, length);
					}
				});
			}
		}
	}

	private _receive(replica: LineInstance, primary: LineInstance, length: number): void {
		replica.log = primary.log.slice(0, Math.max(length, replica.log.length));
		this._clock.setTimer(replica.lagMs, () => {
			replica.applied = Math.min(replica.log.length, Math.max(replica.applied, length));
		});
	}
}

function complete(digest: string): string {
	return `COMPLETE ${digest}\r\n`;
}

function splitFloor(text: string): {floor: string | undefined; statement: string} {
	const [word, rest] = cut(text);
	if (word !== 'AFTERLSN') {
		return {floor: undefined, statement: text};
	}

	const [floor, statement] = cut(rest);
	return {floor, statement};
}

function cut(text: string): [string, string] {
	const end = text.indexOf(' ');
	return end === -1 ? [text, ''] : [text.slice(0, end), text.slice(end + 1)];
}
