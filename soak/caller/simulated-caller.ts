/**
 * One caller's session: it writes marks to its own table, singly or in transactions, reads its own
 * and other sessions' tables, and moves between nodes with its token.
 */
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import {CallerSession} from '../../src/common/sessions/caller-session.js';
import {TokenSessionMarks} from '../../src/common/sessions/token-session-marks.js';
import {SessionTokenCodec} from '../../src/common/sessions/session-token.js';
import {HmacTokenSigner} from '../../src/node/callers/token-signer.js';
import {SimulatedProcess} from '../world/simulated-process.js';
import type {SimulatedNode} from '../world/simulated-node.js';
import type {World} from '../world/world.js';
import {isDone, nameOf, outcomeOf} from './conclusions.js';
import {
	exchange, unansweredDetail, type CallerAnswer, type CallerStatement,
} from './exchange.js';
import {TokenIgnoringMarks} from './token-ignoring-marks.js';
import type {History, WriteOutcome, WriteRecord} from './history.js';

/** How a caller behaves. */
export type CallerPlan = {
	readonly number: number;
	readonly callerCount: number;
	readonly seed: number;
	/** Mean time between two requests, in milliseconds. */
	readonly pauseMs: number;
	/** Shares of the kinds of requests; the remaining requests are reads of its own table. */
	readonly writeShare: number;
	readonly transactionShare: number;
	readonly agedReadShare: number;
	readonly tokenlessReadShare: number;
	readonly maximumAgeMs: number;
	/** Share of statements that are cancelled, of sessions with a short deadline, and of transactions that are abandoned. */
	readonly interruptionShare: number;
	/** Deliberate breakages, to show that the checker finds them. */
	readonly sabotage: CallerSabotage;
};

/** Deliberate breakages on the callers' side of a node. */
export type CallerSabotage = {
	/** The positions in a token are ignored. */
	readonly isTokenIgnored?: boolean;
	/** Every statement counts as idempotent. */
	readonly isEverythingIdempotent?: boolean;
	/** The maximum age that the caller states is ignored. */
	readonly isAgeIgnored?: boolean;
	/** About half of the transactions are sent without BEGIN, so that their statements run outside of a transaction. */
	readonly isTransactionSplit?: boolean;
	/** Answers carry the number of another request. */
	readonly isAnswerSwapped?: boolean;
};

/** Maximum time after which a statement is cancelled, in milliseconds. */
const maximumCancelDelayMs = 12;

/** Maximum deadline of a session with a short deadline, in milliseconds. */
const maximumShortDeadlineMs = 40;

const codec = new SessionTokenCodec(new HmacTokenSigner('the key of every node in this world'));

type Kind = 'write' | 'transaction' | 'agedRead' | 'tokenlessRead' | 'read';

/** Runs one session, with one request at a time. */
export class SimulatedCaller {
	private readonly _world: World;
	private readonly _history: History;
	private readonly _plan: CallerPlan;
	private readonly _process: SimulatedProcess;
	private readonly _random: SeededRandom;
	private _token: string | undefined;
	private _markCount = 0;
	private _requestCount = 0;
	private _isStopped = false;

	private readonly _actions: Record<Kind, (node: SimulatedNode, group: string) => Promise<void>> = {
		write: async (node, group) => this._write(node, group),
		transaction: async (node, group) => this._transact(node, group),
		agedRead: async (node, group) => this._read(node, group, {maximumAgeMs: this._plan.maximumAgeMs, hasToken: true}),
		tokenlessRead: async (node, group) => this._read(node, group, {maximumAgeMs: undefined, hasToken: false}),
		read: async (node, group) => this._read(node, group, {maximumAgeMs: undefined, hasToken: true}),
	};

	constructor(world: World, history: History, plan: CallerPlan) {
		this._world = world;
		this._history = history;
		this._plan = plan;
		this._random = new SeededRandom(plan.seed);
		const zone = world.plan.zones[plan.number % world.plan.zones.length];
		this._process = new SimulatedProcess(`caller ${plan.number}`, zone, world.clock);
	}

	/** Creates the session's table in every group, retrying until each one exists. */
	async prepare(): Promise<void> {
		for (const group of this._world.plan.groups) {
			await this._createTable(group);
		}
	}

	/** Sends requests until `stop()` is called. */
	async run(): Promise<void> {
		while (!this._isStopped) {
			await this._pause(this._plan.pauseMs * (0.5 + this._random.next()));
			const node = this._pickNode();
			if (node && !this._isStopped) {
				node.sessionCount += 1;
				await this._actions[this._pickKind()](node, this._pickGroup());
				node.sessionCount -= 1;
			}
		}
	}

	stop(): void {
		this._isStopped = true;
	}

	private async _createTable(group: string): Promise<void> {
		for (;;) {
			const node = this._pickNode();
			const session = node && this._session(node, group);
			const name = tableName(this._plan.number);
			// With the mark 0 every answer has at least one row.
			const sql = `CREATE TABLE IF NOT EXISTS ${name} (mark int); INSERT INTO ${name} VALUES (0)`;
			const answer = session && await this._send(node, session, {sql, access: 'write', step: 'none'});
			if (answer && isDone(answer)) {
				this._keepToken(session, 'acknowledged');
				return;
			}

			await this._pause(100);
		}
	}

	private async _write(node: SimulatedNode, group: string): Promise<void> {
		const [mark] = this._nextMarks(1);
		const record = this._begin(group, [mark]);
		const session = this._session(node, group);
		const answer = await this._send(node, session, insertOf(this._plan.number, mark));
		this._end(record, outcomeOf(answer), answer);
		this._keepToken(session, record.outcome);
	}

	/** Writes two marks in one transaction: both or none must take effect. */
	private async _transact(node: SimulatedNode, group: string): Promise<void> {
		const marks = this._nextMarks(2);
		const record = this._begin(group, marks);
		const session = this._session(node, group);
		const isSplit = this._plan.sabotage.isTransactionSplit && this._requestCount % 2 === 0;
		const steps: CallerStatement[] = [
			...(isSplit ? [] : [{sql: 'BEGIN', access: 'write', step: 'begin'} as const]),
			...marks.map(mark => insertOf(this._plan.number, mark)),
		];
		for (const step of steps) {
			const answer = await this._send(node, session, step);
			if (!isDone(answer)) {
				// Without a COMMIT none of its writes may ever become visible.
				this._end(record, 'notRun', answer);
				node.core.router.close(session);
				return;
			}

			await this._pause(2);
		}

		if (this._isInterrupted()) {
			record.endMs = this._world.clock.nowMs();
			record.outcome = 'notRun';
			record.detail = 'given up';
			node.core.router.close(session);
			return;
		}

		const answer = await this._send(node, session, {sql: 'COMMIT', access: 'write', step: 'commit'});
		this._end(record, outcomeOf(answer), answer);
		this._keepToken(session, record.outcome);
		// Closes the connection, and with it a transaction that a refused COMMIT left open.
		node.core.router.close(session);
	}

	private async _read(node: SimulatedNode, group: string, {maximumAgeMs, hasToken}: {maximumAgeMs: number | undefined; hasToken: boolean}): Promise<void> {
		const target = maximumAgeMs === undefined ? this._plan.number : Math.floor(this._random.next() * this._plan.callerCount);
		const session = this._session(node, group, hasToken);
		session.maximumAgeMs = this._plan.sabotage.isAgeIgnored && maximumAgeMs !== undefined ? maximumAgeMs * 1000 : maximumAgeMs;
		this._requestCount += 1;
		const requestNumber = (this._plan.number * 1_000_000) + this._requestCount;
		const sentNumber = this._plan.sabotage.isAnswerSwapped ? requestNumber - 1 : requestNumber;
		const startMs = this._world.clock.nowMs();
		const answer = await this._send(node, session, {
			sql: `SELECT mark, ${sentNumber} FROM ${tableName(target)}`, access: 'read', step: 'none',
		});
		this._history.count(`${hasToken ? '' : 'tokenless '}${maximumAgeMs === undefined ? 'read' : 'aged read'}: ${nameOf(answer)}`);
		if (answer.kind !== 'rows' || answer.sqlState !== undefined) {
			return;
		}

		this._history.reads.push({
			session: this._plan.number,
			target,
			group,
			startMs,
			endMs: this._world.clock.nowMs(),
			maximumAgeMs,
			marks: answer.rows.map(([mark]) => Number(mark)).filter(mark => mark !== 0),
			isOwnAnswer: answer.rows.length > 0 && answer.rows.every(([, number]) => Number(number) === requestNumber),
			hasToken,
		});
		if (hasToken) {
			this._token = session.marks.token;
		}
	}

	private async _send(node: SimulatedNode, session: CallerSession, statement: CallerStatement): Promise<CallerAnswer> {
		const answer = await exchange({caller: this._process, node, network: this._world.network}, session, {
			...statement,
			cancelAfterMs: this._isInterrupted() ? this._random.next() * maximumCancelDelayMs : undefined,
		});
		if (answer.kind === 'lost' && answer.detail === unansweredDetail) {
			this._history.unanswered.push({session: this._plan.number, atMs: this._world.clock.nowMs()});
		}

		return answer;
	}

	/** Opens a connection for one request to the given node, with the session's token if it is to be sent. */
	private _session(node: SimulatedNode, group: string, hasToken = true): CallerSession {
		const {sabotage, number} = this._plan;
		const marks = new TokenSessionMarks(codec, group, 'primary');
		if (hasToken && this._token !== undefined) {
			marks.mergeToken(this._token);
		}

		const session = new CallerSession(node.nextSessionId(), {
			user: `caller-${number}`, applicationName: 'soak', availabilityZone: node.process.availabilityZone, labels: {},
		}, group, sabotage.isTokenIgnored && hasToken ? new TokenIgnoringMarks(codec, '', 'sessionOnly') : marks);
		session.deadlineMs = this._isInterrupted() ? 1 + (this._random.next() * maximumShortDeadlineMs) : undefined;
		session.isIdempotent = sabotage.isEverythingIdempotent ?? false;
		return session;
	}

	private _keepToken(session: CallerSession, outcome: WriteOutcome): void {
		if (outcome === 'acknowledged') {
			this._token = session.marks.token;
		}
	}

	private _begin(group: string, marks: readonly number[]): WriteRecord {
		const record: WriteRecord = {
			session: this._plan.number,
			group,
			marks,
			startMs: this._world.clock.nowMs(),
			endMs: Number.POSITIVE_INFINITY,
			outcome: 'unknown',
			detail: 'unanswered',
		};
		this._history.writes.push(record);
		return record;
	}

	private _end(record: WriteRecord, outcome: WriteOutcome, answer: CallerAnswer): void {
		record.endMs = this._world.clock.nowMs();
		record.outcome = outcome;
		record.detail = nameOf(answer);
		this._history.count(`${record.marks.length > 1 ? 'transaction' : 'write'}: ${nameOf(answer)}`);
	}

	/** Picks any node that is ready and not draining, as the platform's load balancer does. */
	private _pickNode(): SimulatedNode | undefined {
		const nodes = [...this._world.nodes.values()].filter(({isDraining, core}) => !isDraining && core.sync.isLoaded);
		return nodes[Math.floor(this._random.next() * nodes.length)];
	}

	private _pickGroup(): string {
		const {groups} = this._world.plan;
		return groups[Math.floor(this._random.next() * groups.length)];
	}

	private _pickKind(): Kind {
		const {writeShare, transactionShare, agedReadShare, tokenlessReadShare} = this._plan;
		const shares: Array<readonly [Kind, number]> = [['write', writeShare], ['transaction', transactionShare], ['agedRead', agedReadShare], ['tokenlessRead', tokenlessReadShare]];
		let drawn = this._random.next();
		for (const [kind, share] of shares) {
			drawn -= share;
			if (drawn < 0) {
				return kind;
			}
		}

		return 'read';
	}

	private _isInterrupted(): boolean {
		return this._random.next() < this._plan.interruptionShare;
	}

	private _nextMarks(count: number): number[] {
		return Array.from({length: count}, () => {
			this._markCount += 1;
			return (this._plan.number * 100_000) + this._markCount;
		});
	}

	private async _pause(durationMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this._process.setTimer(durationMs, resolve);
		});
	}
}

/** Name of a session's table. */
export function tableName(session: number): string {
	return `session_${session}`;
}

function insertOf(session: number, mark: number): CallerStatement {
	return {sql: `INSERT INTO ${tableName(session)} VALUES (${mark})`, access: 'write', step: 'none'};
}
