/**
 * A caller's session in a benchmark, which sends statements through any node.
 */
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import {CallerSession} from '../../src/common/sessions/caller-session.js';
import {TokenSessionMarks} from '../../src/common/sessions/token-session-marks.js';
import {SessionTokenCodec} from '../../src/common/sessions/session-token.js';
import {HmacTokenSigner} from '../../src/node/callers/token-signer.js';
import {exchange, type CallerAnswer, type CallerStatement} from '../../soak/caller/exchange.js';
import type {SimulatedNode} from '../../soak/world/simulated-node.js';
import {SimulatedProcess} from '../../soak/world/simulated-process.js';
import type {BenchWorld} from './bench-world.js';

const codec = new SessionTokenCodec(new HmacTokenSigner('the key of every node in a benchmark'));

/** How one statement is sent. */
export type SendOptions = {
	readonly hasToken: boolean;
	readonly maximumAgeMs?: number;
	/** Deadline of the statement; if undefined, that of the rules applies. */
	readonly deadlineMs?: number;
};

/** Answer to a statement and the virtual time that it took. */
export type TimedAnswer = {
	readonly answer: CallerAnswer;
	readonly tookMs: number;
	readonly isFromPrimary: boolean;
};

/** One caller with its session token. */
export class BenchCaller {
	readonly number: number;
	readonly random: SeededRandom;
	private readonly _bench: BenchWorld;
	private readonly _process: SimulatedProcess;
	private _token: string | undefined;

	constructor(bench: BenchWorld, number: number) {
		const {world} = bench;
		this._bench = bench;
		this.number = number;
		this.random = new SeededRandom((world.plan.seed * 10_007) + number);
		this._process = new SimulatedProcess(`caller ${number}`, world.plan.zones[number % world.plan.zones.length], world.clock);
	}

	/** Sends one statement through a node; resolves with undefined when no node accepts callers. */
	async send(group: string, statement: CallerStatement, options: SendOptions): Promise<TimedAnswer | undefined> {
		const node = this._pickNode();
		if (!node) {
			return undefined;
		}

		const {world, callersMs} = this._bench;
		const session = this._session(node, group, options);
		const startMs = world.clock.nowMs();
		await this.pause(callersMs);
		const answer = await exchange({caller: this._process, node, network: world.network}, session, statement);
		await this.pause(callersMs);
		if (answer.kind === 'rows') {
			this._token = session.marks.token;
		}

		const isFromPrimary = answer.kind === 'rows' && (world.endpoint(answer.endpoint)?.instance.isPrimary ?? false);
		return {answer, tookMs: world.clock.nowMs() - startMs, isFromPrimary};
	}

	async pause(durationMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this._process.setTimer(durationMs, resolve);
		});
	}

	/** Prefers nodes in the caller's own zone, as a load balancer of the zone does. */
	private _pickNode(): SimulatedNode | undefined {
		const nodes = [...this._bench.world.nodes.values()].filter(({isDraining}) => !isDraining);
		const near = nodes.filter(({process}) => process.availabilityZone === this._process.availabilityZone);
		const choice = near.length > 0 ? near : nodes;
		return choice[Math.floor(this.random.next() * choice.length)];
	}

	private _session(node: SimulatedNode, group: string, {hasToken, maximumAgeMs, deadlineMs}: SendOptions): CallerSession {
		const marks = new TokenSessionMarks(codec, group, 'primary');
		if (hasToken && this._token !== undefined) {
			marks.mergeToken(this._token);
		}

		const session = new CallerSession(node.nextSessionId(), {
			user: `caller-${this.number}`, applicationName: 'bench', availabilityZone: node.process.availabilityZone, labels: {},
		}, group, marks);
		session.maximumAgeMs = maximumAgeMs;
		session.deadlineMs = deadlineMs;
		return session;
	}
}

/** Whether a statement was answered without an error. */
export function isAnswered(timed: TimedAnswer | undefined): timed is TimedAnswer {
	return timed?.answer.kind === 'rows' && timed.answer.sqlState === undefined;
}
