import {describe, it} from 'node:test';
import {expect} from 'earl';
import {errorAnswers} from '../errors/error-kinds.js';
import {SeededRandom} from '../random/seeded-random.js';
import {pauseFor} from '../lifecycle/timing.js';
import type {BreakPoint, FakeEndpoint} from './testing/fake-endpoint.js';
import {HomeHarness} from './testing/home-harness.js';

const runMs = 6000;
const seeds = [1, 2, 3, 4];
const notRunKinds = new Set(Object.entries(errorAnswers).filter(([, answer]) => answer.outcome === 'notRun').map(([kind]) => kind));
const breakPoints: BreakPoint[] = ['beforeSend', 'afterSend', 'midAnswer', 'afterAnswer'];

/** Runs writing sessions and faults on one endpoint, all derived from one seed. */
class RandomRun {
	readonly harness: HomeHarness;
	readonly endpoint: FakeEndpoint;
	readonly outcomes = new Map<string, number>();
	private readonly _random: SeededRandom;
	private _endMs = 0;

	constructor(seed: number) {
		this._random = new SeededRandom(seed);
		this.harness = new HomeHarness({handedOverPauseMs: 200});
		this.endpoint = this.harness.endpoint;
		this.harness.isOtherHandingOver = true;
	}

	async run(): Promise<void> {
		const {clock} = this.harness;
		this._endMs = clock.nowMs() + runMs;
		const tasks = Array.from({length: 12}, async (_, number) => this._session(`node-${number % 3}/run/${number}`));
		await clock.advanceUntil(Promise.all([...tasks, this._faults()]), runMs * 2);
	}

	private async _session(sessionId: string): Promise<void> {
		for (let count = 0; this.harness.clock.nowMs() < this._endMs; count++) {
			await pauseFor(this.harness.clock, this._random.next() * 20);
			await this._pick([
				async () => this._write(sessionId, count),
				async () => this._transaction(sessionId, count),
				async () => {
					this._countOutcome(await this._send('SELECT 1', sessionId, false));
				},
			])();
		}
	}

	private async _write(sessionId: string, count: number): Promise<void> {
		const sql = `INSERT ${sessionId} ${count}`;
		const kind = await this._send(sql, sessionId, false);
		this._check([sql], kind);
	}

	private async _transaction(sessionId: string, count: number): Promise<void> {
		const writes: string[] = [];
		let kind = await this._send('BEGIN', sessionId, false);
		while (kind === 'ok' && this._random.next() < 0.7) {
			const sql = `INSERT ${sessionId} ${count}.${writes.length}`;
			writes.push(sql);
			await pauseFor(this.harness.clock, this._random.next() * 10);
			kind = await this._send(sql, sessionId, true);
		}

		kind = kind === 'ok' ? await this._send('COMMIT', sessionId, true) : kind;
		// If a statement before the COMMIT failed, the router ends the transaction.
		this.harness.homes.release('stock', 'stock-1', sessionId);
		this._check(writes, kind);
	}

	private async _send(sql: string, sessionId: string, isInTransaction: boolean): Promise<string> {
		const timeLeftMs = this._random.next() < 0.1 ? 3 : 500;
		return this.harness.run(sql, {
			sessionId, isInTransaction, timeLeftMs, caller: sessionId, transactionIdleMs: 50,
		});
	}

	/** Checks that the reported result agrees with the writes that took effect. */
	private _check(writes: readonly string[], kind: string): void {
		const committed = writes.filter(write => this.endpoint.committed.has(write)).length;
		const isKnownNotRun = notRunKinds.has(kind);
		expect(committed).toEqual(kind === 'ok' ? writes.length : (isKnownNotRun ? 0 : committed));
		this._countOutcome(kind);
	}

	private _countOutcome(kind: string): void {
		this.outcomes.set(kind, (this.outcomes.get(kind) ?? 0) + 1);
	}

	private async _faults(): Promise<void> {
		const {clock, group, homes} = this.harness;
		while (clock.nowMs() < this._endMs) {
			await pauseFor(clock, this._random.next() * 300);
			await this._pick<() => void | Promise<void>>([
				() => [...this.endpoint.connections].at(0)?.breakNow(),
				async () => this._applyFor(5, isOn => {
					this.endpoint.breakAt = isOn ? this._pick(breakPoints) : undefined;
				}),
				async () => this._applyFor(100, isOn => {
					group.isConfirming = !isOn;
				}),
				async () => this._applyFor(100, isOn => {
					this.harness.isDraining = isOn;
				}),
				async () => this._applyFor(700, isOn => {
					this.endpoint.serviceMs = isOn ? 250 : 1;
				}),
				async () => this._applyFor(20, isOn => {
					if (isOn) {
						this.endpoint.control?.dispose();
					} else {
						this.endpoint.connectNow();
					}

					group.announce();
				}),
				() => {
					this.endpoint.revoke();
					this.endpoint.holder = 'node-2/run1';
				},
				async () => homes.handOver('stock-1'),
				() => {
					homes.onPeerLost('node-1');
				},
			])();
		}
	}

	private async _applyFor(durationMs: number, setActive: (isOn: boolean) => void): Promise<void> {
		setActive(true);
		await pauseFor(this.harness.clock, durationMs);
		setActive(false);
	}

	private _pick<T>(choices: readonly T[]): T {
		return choices[Math.floor(this._random.next() * choices.length)];
	}
}

describe('random runs of a home', () => {
	for (const seed of seeds) {
		it(`report what took effect, with faults of seed ${seed}`, async () => {
			const run = new RandomRun(seed);
			await run.run();
			const {harness, endpoint} = run;
			expect(endpoint.maximumRunning).toEqual(3);
			expect(new Set(endpoint.statements.filter(sql => sql.startsWith('INSERT'))).size)
				.toEqual(endpoint.statements.filter(sql => sql.startsWith('INSERT')).length);
			await harness.clock.advance(2000);
			expect([...endpoint.connections].filter(connection => connection.transactionStatus !== 'idle').length).toEqual(0);
			expect(await harness.runNow('SELECT 1')).toEqual('ok');
			expect(run.outcomes.get('ok') ?? 0).toBeGreaterThan(300);
			harness.homes.dispose();
			await harness.clock.advance(5000);
			expect(harness.clock.pendingTimers).toEqual(0);
		});
	}
});
