/**
 * Proofs of freshness: that a term had not been replaced when a caller asked, and the log
 * position that its primary reported after that.
 *
 * A later primary needs a majority that promised a higher term, and a promise never goes back
 * to a lower term. When a majority answers after the call that it promises this term, no
 * majority had promised a higher one at the time of the call, so there was no later primary.
 */
import {Left, Right, type Either} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import {Emitter, type Event} from '../lifecycle/emitter.js';
import type {LogPosition} from '../positions/log-position.js';
import type {InstanceState} from '../services/services.js';
import {WakeableSleep, withTimeout} from '../lifecycle/timing.js';
import type {GroupState} from './group-state.js';
import {isLeading} from './quorum.js';
import type {SafetyRules} from './safety-rules.js';
import type {
	FreshnessSample, GroupOptions, GroupServices, MonitorContext,
} from './types.js';

/** A waiting caller; `settle` is undefined once the caller has its answer. */
type Waiter = {settle: ((proof: Either<Refusal, LogPosition>) => void) | undefined};

/** Runs one round at a time; callers that arrive during a round share the next one. */
export class FreshnessProver implements Disposable {
	/** Fires for every proof that succeeds. */
	readonly onProof: Event<FreshnessSample>;

	private readonly _group: GroupState;
	private readonly _services: GroupServices;
	private readonly _options: GroupOptions;
	private readonly _rules: SafetyRules;
	private readonly _sleep: WakeableSleep;
	private readonly _onProof = new Emitter<FreshnessSample>();
	private _waiting: Waiter[] = [];
	private _isRunning = false;
	private _isDisposed = false;
	private _endRound: (() => void) | undefined;

	constructor(group: GroupState, {services, options, rules}: Omit<MonitorContext, 'pause'>) {
		this.onProof = this._onProof.event;
		this._group = group;
		this._services = services;
		this._options = options;
		this._rules = rules;
		this._sleep = new WakeableSleep(services.clock);
	}

	/** Resolves with a position that the group's primary reported after the call while it still led its term; refused with `noPrimary` after the timeout, in milliseconds. */
	async prove(timeoutMs: number): Promise<Either<Refusal, LogPosition>> {
		if (this._isDisposed) {
			return notProved('the group is no longer followed');
		}

		return new Promise(resolve => {
			const waiter: Waiter = {settle: resolve};
			const timer = this._services.clock.setTimer(timeoutMs, () => {
				settle(waiter, notProved('no majority proved the primary in time'));
			});
			waiter.settle = proof => {
				timer.dispose();
				resolve(proof);
			};

			this._waiting.push(waiter);
			if (!this._isRunning) {
				void this._run();
			}
		});
	}

	/** Aborts the round in progress when the group's primary has changed, so that waiting callers get a new round at once. */
	abortRound(): void {
		this._endRound?.();
		this._sleep.wake();
	}

	dispose(): void {
		this._isDisposed = true;
		this._endRound?.();
		this._sleep.dispose();
		settleAll(this._waiting, notProved('the group is no longer followed'));
	}

	private async _run(): Promise<void> {
		this._isRunning = true;
		while (this._waiting.length > 0 && !this._isDisposed) {
			const shared = this._waiting;
			this._waiting = [];
			const position = await this._round();
			if (position) {
				settleAll(shared, Right(position));
				continue;
			}

			this._waiting.push(...shared);
			await this._sleep.wait(this._options.proofRetryMs);
			this._waiting = this._waiting.filter(waiter => waiter.settle);
		}

		this._isRunning = false;
		if (this._isDisposed) {
			settleAll(this._waiting, notProved('the group is no longer followed'));
		}
	}

	/** Reads the states of all instances concurrently; ends with the first majority that includes its primary. */
	private async _round(): Promise<LogPosition | undefined> {
		const startedAtMs = this._services.clock.nowMs();
		const round = new Promise<LogPosition | undefined>(resolve => {
			this._endRound = () => {
				resolve(undefined);
			};

			void this._readAll(resolve);
		});
		const position = await withTimeout(this._services.clock, round, this._options.proofRoundMs);
		this._endRound = undefined;
		this._services.metrics.count('proofRoundsTotal', {outcome: position ? 'proved' : 'failed'});
		if (position) {
			this._onProof.fire({startedAtMs, position});
		}

		return position;
	}

	private async _readAll(resolve: (position: LogPosition | undefined) => void): Promise<void> {
		const answers: InstanceState[] = [];
		const reads = this._group.watches.map(async watch => {
			const state = await watch.readState(this._options.proofRoundMs);
			answers.push(...(state ? [state] : []));
			const position = provedPosition(answers, this._rules.proofQuorum(this._group.size));
			if (position) {
				resolve(position);
			}
		});
		await Promise.all(reads);
		resolve(undefined);
	}
}

/** Position of an instance that leads its term, if at least a quorum of the instances, itself included, still promises that term. */
function provedPosition(answers: readonly InstanceState[], quorum: number): LogPosition | undefined {
	return answers.find(answer => {
		const followers = answers.filter(({promisedTerm, role}) => promisedTerm === answer.promisedTerm && role !== 'rebuilding');
		return isLeading(answer) && followers.length >= quorum;
	})?.received;
}

function notProved(detail: string): Either<Refusal, LogPosition> {
	return Left(new Refusal('noPrimary', detail));
}

function settle(waiter: Waiter, proof: Either<Refusal, LogPosition>): void {
	const settleWaiter = waiter.settle;
	waiter.settle = undefined;
	settleWaiter?.(proof);
}

function settleAll(waiters: readonly Waiter[], proof: Either<Refusal, LogPosition>): void {
	for (const waiter of waiters) {
		settle(waiter, proof);
	}
}
