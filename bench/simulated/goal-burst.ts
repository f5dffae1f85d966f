/**
 * Plays a burst of three times the capacity of one endpoint against the queues of its two homes, with
 * callers that retry twice, and compares orders and return times.
 *
 * The mix of requests, the goals and the values are those of docs/design/load-control.md. The endpoint
 * runs four statements at a time and queues 32 more in order of arrival.
 */
import type {HomeOptions} from '../../src/common/homes/constants.js';
import {defaultHomeOptions} from '../../src/common/homes/constants.js';
import {SlotQueue} from '../../src/common/homes/slot-queue.js';
import type {SlotLane} from '../../src/common/homes/types.js';
import {pauseFor} from '../../src/common/lifecycle/timing.js';
import type {StatementOrder} from '../../src/common/load/goal-order.js';
import type {LoadOptions} from '../../src/common/load/constants.js';
import {loadDefaults} from '../../src/common/load/constants.js';
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import {VirtualClock} from '../../src/common/testing/virtual-clock.js';
import type {BenchContext, BenchResult, Table} from '../types.js';
import {burstSizes as sizes} from './constants.js';

/** A kind of request of a deployment. */
export type RequestKind = {
	readonly name: string;
	readonly priority: number;
	readonly share: number;
	readonly meanMs: number;
	readonly longestMs: number;
	readonly goalMs: number;
	readonly timeoutMs: number;
	readonly deadlineMs: number;
	readonly valueInTime: number;
	readonly valueLate: number;
	readonly writes: number;
	readonly transactions: number;
};

/** Kinds of requests of the deployments H (`hives`) and F (`forms`). */
export const requestKinds: Readonly<Record<'hives' | 'forms', readonly RequestKind[]>> = {
	hives: [
		{
			name: 'harvest-ledger', priority: 0, share: 0.13, meanMs: 4.5, longestMs: 34, goalMs: 151, timeoutMs: 800, deadlineMs: 806,
			valueInTime: 3.5, valueLate: 0.43, writes: 0.2, transactions: 0.4,
		},
		{
			name: 'colony-alerts', priority: 1, share: 0.63, meanMs: 14, longestMs: 34, goalMs: 251, timeoutMs: 800, deadlineMs: 803,
			valueInTime: 1.9, valueLate: 0.28, writes: 0.12, transactions: 0.12,
		},
		{
			name: 'apiary-dashboard', priority: 2, share: 0.24, meanMs: 22, longestMs: 170, goalMs: 801, timeoutMs: 1500, deadlineMs: 2503,
			valueInTime: 0.47, valueLate: 0.21, writes: 0, transactions: 0.1,
		},
	],
	forms: [
		{
			name: 'permit-submit', priority: 1, share: 0.15, meanMs: 2.5, longestMs: 27, goalMs: 121, timeoutMs: 800, deadlineMs: 1513,
			valueInTime: 2, valueLate: 0.6, writes: 0.2, transactions: 0.4,
		},
		{
			name: 'case-update', priority: 2, share: 0.7, meanMs: 7.6, longestMs: 81, goalMs: 201, timeoutMs: 800, deadlineMs: 1508,
			valueInTime: 2, valueLate: 0.3, writes: 0.12, transactions: 0.12,
		},
		{
			name: 'parcel-lookup', priority: 2, share: 0.15, meanMs: 13, longestMs: 140, goalMs: 301, timeoutMs: 1200, deadlineMs: 4014,
			valueInTime: 1, valueLate: 0.3, writes: 0, transactions: 0.1,
		},
	],
};

/** How the queues of a run decide. */
export type BurstPlan = {
	readonly deployment: keyof typeof requestKinds;
	readonly seed: number;
	readonly isByGoal: boolean;
	readonly isScheduled: boolean;
	readonly order?: StatementOrder;
	/** Statements that each home runs at a time. */
	readonly inFlight?: number;
	/** Whether the nodes recognise a retry, so that its goal counts from the first attempt. */
	readonly isRetryKnown?: boolean;
	readonly options?: Partial<LoadOptions>;
	readonly queueOptions?: Partial<HomeOptions>;
};

/** One request of the run. */
type BurstRequest = {
	readonly kind: RequestKind;
	readonly organisation: string;
	readonly sentAtMs: number;
	answeredAtMs?: number;
	attempts: number;
};

/** Figures of a run; shares are of the requests sent during the burst. */
export type BurstFigures = {
	/** Value of the answers as a share of the value if all were in time. */
	readonly value: number;
	readonly inTime: number;
	readonly late: number;
	/** Shares of the requests in time, by kind. */
	readonly byKind: Readonly<Record<string, number>>;
	/** Virtual time after the end of the burst until the last request was sent that was not answered in time. */
	readonly recoveredAfterMs: number;
	/** Virtual time in which a newly arriving statement of the most frequent kind would have missed its goal. */
	readonly aboveGoalMs: number;
	readonly attempts: number;
	/** Longest time that a statement was held in a queue and then refused. */
	readonly heldMs: number;
	/** Statements that were held in a queue and then refused, for each request. */
	readonly held: number;
};

/** The endpoint: some slots, and a queue in order of arrival. */
class FifoEndpoint {
	private _free: number = sizes.slots;
	private readonly _waiting: Array<() => void> = [];
	private readonly _clock: VirtualClock;

	constructor(clock: VirtualClock) {
		this._clock = clock;
	}

	async run(workMs: number): Promise<void> {
		if (this._free === 0) {
			await new Promise<void>(resolve => {
				this._waiting.push(resolve);
			});
		} else {
			this._free -= 1;
		}

		await pauseFor(this._clock, workMs);
		const next = this._waiting.shift();
		if (next) {
			next();
		} else {
			this._free += 1;
		}
	}
}

type Home = {readonly queue: SlotQueue; held: number};

/** One run of the burst. */
class Burst {
	readonly requests: BurstRequest[] = [];
	heldMs = 0;
	held = 0;
	aboveGoalMs = 0;
	readonly clock = new VirtualClock(0);
	private readonly _plan: BurstPlan;
	private readonly _random: SeededRandom;
	private readonly _endpoint = new FifoEndpoint(this.clock);
	private readonly _homes: readonly Home[];

	constructor(plan: BurstPlan) {
		this._plan = plan;
		this._random = new SeededRandom(plan.seed);
		this._homes = Array.from({length: sizes.homes}, () => this._createHome());
	}

	async run(): Promise<BurstFigures> {
		const kinds = requestKinds[this._plan.deployment];
		const open: Array<Promise<void>> = [];
		const meanMs = kinds.reduce((sum, kind) => sum + (kind.share * requestMeanMs(kind)), 0);
		const phases = [{load: sizes.calmLoad, ms: sizes.calmMs}, {load: sizes.load, ms: sizes.burstMs}, {load: sizes.calmLoad, ms: sizes.afterMs}];
		for (const {load, ms} of phases) {
			const endMs = this.clock.nowMs() + ms;
			const gapMs = meanMs / sizes.slots / load;
			while (this.clock.nowMs() < endMs) {
				const waitMs = -Math.log(1 - this._random.next()) * gapMs;
				this._noteDelay(waitMs);
				await this.clock.advance(waitMs);
				open.push(this._send());
			}
		}

		await this.clock.advanceUntil(Promise.all(open));
		return this._figures();
	}

	private _createHome(): Home {
		const {isByGoal, isScheduled, order} = this._plan;
		const home: Home = {
			held: 0,
			queue: new SlotQueue({
				clock: this.clock,
				random: this._random,
				metrics: {count: ignore, gauge: ignore, observe: ignore},
				invariants: {check: (_name, condition) => condition},
				options: {...defaultHomeOptions, ...this._plan.queueOptions},
				load: {
					log: {event: ignore}, isAdmissionByGoal: () => isByGoal, isReturnScheduled: () => isScheduled, options: {...loadDefaults, ...this._plan.options}, order,
				},
			}, 'endpoint', this._plan.inFlight ?? sizes.slots, begins => home.held + begins < sizes.heldConnections),
		};
		return home;
	}

	/** Adds the time until the next arrival if a statement that enters now would probably miss its goal. */
	private _noteDelay(untilNextMs: number): void {
		const [kind] = requestKinds[this._plan.deployment].toSorted((a, b) => b.share - a.share);
		const waitMs = Math.max(...this._homes.map(({queue}) => queue.estimateWaitMs({caller: 'probe', priority: kind.priority, lane: 'read'})));
		this.aboveGoalMs += waitMs > kind.goalMs ? untilNextMs : 0;
	}

	private async _send(): Promise<void> {
		const random = this._random;
		const kind = pickKind(requestKinds[this._plan.deployment], random.next());
		// A few organisations send much of the load.
		const organisation = `organisation-${Math.floor((random.next() ** 2) * sizes.organisations)}`;
		const request: BurstRequest = {
			kind, organisation, sentAtMs: this.clock.nowMs(), attempts: 0,
		};
		this.requests.push(request);
		const isTransaction = random.next() < kind.transactions;
		const lane: SlotLane = random.next() < kind.writes ? 'write' : 'read';
		const workMs = Math.min(kind.longestMs, -Math.log(1 - random.next()) * kind.meanMs);
		for (let attempt = 0; attempt <= sizes.retries; attempt++) {
			request.attempts += 1;
			const retryAfterMs = await (isTransaction ? this._runTransaction(request, workMs) : this._runStatement(request, lane, workMs));
			if (retryAfterMs === undefined) {
				request.answeredAtMs = this.clock.nowMs();
				return;
			}

			if (this.clock.nowMs() + retryAfterMs - request.sentAtMs >= kind.deadlineMs) {
				return;
			}

			await pauseFor(this.clock, retryAfterMs);
		}
	}

	private _home(organisation: string): Home {
		return this._homes[Number(organisation.split('-')[1]) % this._homes.length];
	}

	/** Runs one statement; resolves to the retry time if it is refused. */
	private async _runStatement({kind, organisation, sentAtMs}: BurstRequest, lane: SlotLane, workMs: number): Promise<number | undefined> {
		const enteredAtMs = this.clock.nowMs();
		const slot = await this._home(organisation).queue.acquire({
			lane, caller: organisation, priority: kind.priority, timeLeftMs: kind.timeoutMs, goalAtMs: (this._plan.isRetryKnown ? sentAtMs : enteredAtMs) + kind.goalMs,
		});
		if (slot.isLeft()) {
			this.heldMs = Math.max(this.heldMs, this.clock.nowMs() - enteredAtMs);
			this.held += this.clock.nowMs() > enteredAtMs ? 1 : 0;
			return slot.extract().retryAfterMs;
		}

		await this._endpoint.run(workMs);
		slot.unsafeCoerce().dispose();
		return undefined;
	}

	private async _runTransaction(request: BurstRequest, workMs: number): Promise<number | undefined> {
		const home = this._home(request.organisation);
		const refused = await this._runStatement(request, 'begin', sizes.bracketMs);
		if (refused !== undefined) {
			return refused;
		}

		home.held += 1;
		const afterStatement = await this._runStatement(request, 'transaction', workMs);
		const result = afterStatement ?? await this._runStatement(request, 'transaction', sizes.bracketMs);
		home.held -= 1;
		home.queue.serve();
		return result;
	}

	private _figures(): BurstFigures {
		const burstEndMs = sizes.calmMs + sizes.burstMs;
		const during = this.requests.filter(({sentAtMs}) => sentAtMs >= sizes.calmMs && sentAtMs < burstEndMs);
		const possible = during.reduce((sum, {kind}) => sum + kind.valueInTime, 0);
		const value = during.reduce((sum, request) => sum + valueOf(request), 0);
		const lastMissed = this.requests.findLast(request => !isInTime(request));
		const byKind: Record<string, number> = {};
		for (const {name} of requestKinds[this._plan.deployment]) {
			byKind[name] = share(during.filter(({kind}) => kind.name === name), request => isInTime(request));
		}

		return {
			byKind,
			value: value / possible,
			inTime: share(during, request => isInTime(request)),
			late: share(during, request => !isInTime(request) && valueOf(request) > 0),
			recoveredAfterMs: Math.max(0, (lastMissed?.sentAtMs ?? 0) - burstEndMs),
			aboveGoalMs: this.aboveGoalMs,
			attempts: during.reduce((sum, {attempts}) => sum + attempts, 0) / during.length,
			heldMs: this.heldMs,
			held: this.held / this.requests.length,
		};
	}
}

/** Serves the statement with the shortest expected work first, whether or not it meets its goal. */
export const shortestWorkFirst: StatementOrder = {
	isBefore: (a, b) => a.expectedMs < b.expectedMs,
};

/** Plays the burst once. */
export async function playBurst(plan: BurstPlan): Promise<BurstFigures> {
	return new Burst(plan).run();
}

/** The variants that are compared. */
export const burstVariants: Readonly<Record<string, Omit<BurstPlan, 'deployment' | 'seed'>>> = {
	'existing order': {isByGoal: false, isScheduled: false},
	'existing order, schedule': {isByGoal: false, isScheduled: true},
	'shortest work first': {isByGoal: true, isScheduled: false, order: shortestWorkFirst},
	'earliest feasible goal': {isByGoal: true, isScheduled: false},
	'earliest feasible goal, schedule': {isByGoal: true, isScheduled: true},
	'earliest feasible goal, schedule, three in flight': {isByGoal: true, isScheduled: true, inFlight: 3},
	'earliest feasible goal, schedule, two in flight': {isByGoal: true, isScheduled: true, inFlight: 2},
};

/** Plays the burst with every variant and seed; resolves with one table for each deployment. */
export async function benchGoalBurst({note}: BenchContext): Promise<BenchResult> {
	const tables: Table[] = [];
	for (const deployment of ['hives', 'forms'] as const) {
		const names = requestKinds[deployment].map(({name}) => name);
		const rows: Array<Array<string | number>> = [];
		for (const [name, variant] of Object.entries(burstVariants)) {
			note(`${deployment}: ${name}`);
			const runs: BurstFigures[] = [];
			for (const seed of sizes.seeds) {
				runs.push(await playBurst({...variant, deployment, seed}));
			}

			const mean = (figure: (run: BurstFigures) => number): number => runs.reduce((sum, run) => sum + figure(run), 0) / runs.length;
			rows.push([
				name,
				mean(run => run.value * 100),
				mean(run => run.inTime * 100),
				mean(run => run.late * 100),
				...names.map(kind => mean(run => run.byKind[kind] * 100)),
				mean(run => run.recoveredAfterMs),
				mean(run => run.aboveGoalMs),
				mean(run => run.attempts),
				mean(run => run.heldMs),
			]);
		}

		tables.push({
			title: `${deployment}: burst of ${sizes.load} times the capacity for ${sizes.burstMs} ms, mean of ${sizes.seeds.length} seeds, virtual time`,
			columns: ['order', 'value %', 'in time %', 'late %', ...names.map(name => `${name} in time %`), 'recovered after ms', 'above goal ms', 'attempts', 'held, then refused ms'],
			rows,
		});
	}

	return {tables, bounded: []};
}

function ignore(): void {
	// The figures come from the requests.
}

function pickKind(kinds: readonly RequestKind[], random: number): RequestKind {
	let left = random;
	for (const kind of kinds) {
		left -= kind.share;
		if (left < 0) {
			return kind;
		}
	}

	return kinds.at(-1)!;
}

function requestMeanMs({meanMs, transactions}: RequestKind): number {
	return meanMs + (transactions * 2 * sizes.bracketMs);
}

function isInTime({kind, sentAtMs, answeredAtMs}: BurstRequest): boolean {
	return answeredAtMs !== undefined && answeredAtMs - sentAtMs <= kind.goalMs;
}

function valueOf(request: BurstRequest): number {
	const {kind, sentAtMs, answeredAtMs} = request;
	if (answeredAtMs === undefined || answeredAtMs - sentAtMs > kind.deadlineMs) {
		return 0;
	}

	return isInTime(request) ? kind.valueInTime : kind.valueLate;
}

function share(requests: readonly BurstRequest[], condition: (request: BurstRequest) => boolean): number {
	return requests.filter(request => condition(request)).length / requests.length;
}
