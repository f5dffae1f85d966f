/**
 * Pool of an endpoint that this node reaches over another node.
 */
import type {Either} from 'purify-ts';
import {DatedLoadEstimate} from '../load/dated-load-estimate.js';
import {EndpointExperience} from '../load/endpoint-experience.js';
import type {LoadReport} from '../load/load-report.js';
import type {EndpointStanding} from '../load/outlier-detector.js';
import type {AnswerTimes} from '../pools/answer-times.js';
import {notServedErrors} from '../pools/constants.js';
import type {
	BegunTransaction, EndpointStatement, HeldTransaction, StatementFault, StatementPool, TimedAnswer,
} from '../pools/types.js';
import type {
	Clock, EndManner, EndpointAnswer, HeldTransactionId, PeerCalls, PeerNode, RegisteredEndpoint,
} from '../services/services.js';
import type {EndpointStandings} from './endpoint-standings.js';

/** Services that a remote pool uses. */
export type RemotePoolServices = {
	readonly endpoint: RegisteredEndpoint;
	readonly peer: PeerNode;
	readonly calls: PeerCalls;
	readonly clock: Clock;
	readonly times: AnswerTimes;
	/** Time in milliseconds for which the pool is avoided after the peer was lost or could not reach the endpoint; zero if there is no other pool. */
	readonly avoidMs: number;
	/** Standings to which the peer's reports and trial statements contribute; undefined if load reports are not used. */
	readonly standings?: EndpointStandings;
	/** Experience with the endpoint over all of its homes, if load reports are used. */
	readonly experience?: EndpointExperience;
	/** Called when the peer itself is lost, as opposed to the endpoint. */
	readonly onPeerLost: () => void;
};

/**
 * Age in milliseconds up to which a reported position and lag are used. The lag of a replica changes
 * over seconds, and a node of a large fleet hears from each replica about once a second.
 */
const progressKeptMs = 2000;

/** Age in milliseconds up to which the reported wait counts as certain enough to refuse a statement. */
const certainForMs = 50;

/** What an attempt returned, as far as a trial is judged by it. */
type Attempted = {readonly load?: LoadReport; readonly answer?: EndpointAnswer};

/** Forwards the statements for one endpoint to one peer. */
export class RemotePool implements StatementPool {
	readonly endpoint: RegisteredEndpoint;
	readonly answerTimes: AnswerTimes;
	readonly via: string;
	private readonly _services: RemotePoolServices;
	private readonly _estimate: DatedLoadEstimate;
	private _report: {readonly load: LoadReport; readonly atMs: number} | undefined;
	private _isTrialNext = false;
	private _load = 0;
	private _avoidedUntilMs = Number.NEGATIVE_INFINITY;

	constructor(services: RemotePoolServices) {
		this.endpoint = services.endpoint;
		this.answerTimes = services.times;
		this.via = services.peer.name;
		this._services = services;
		this._estimate = new DatedLoadEstimate(services.endpoint.slots, services.experience ?? new EndpointExperience());
	}

	/** Whether the peer is avoided because it was lost, or could not reach the endpoint, a moment ago. */
	get isAvoided(): boolean {
		return this._services.clock.nowMs() < this._avoidedUntilMs;
	}

	/** Always false: only the answer shows whether the peer has a free connection. */
	get isOutOfConnections(): boolean {
		return false;
	}

	get load(): number {
		return this._load;
	}

	get reportedProgress(): Pick<LoadReport, 'applied' | 'lagMs'> | undefined {
		const {clock} = this._services;
		return this._report && clock.nowMs() - this._report.atMs <= progressKeptMs ? this._report.load : undefined;
	}

	get standing(): EndpointStanding {
		return this._services.standings?.standing(this.endpoint) ?? 'admitted';
	}

	notePassedOver(): void {
		this._services.standings?.notePassedOver(this.endpoint);
	}

	beginTrial(): void {
		this._services.standings?.beginTrial(this.endpoint);
		this._isTrialNext = true;
	}

	/** Estimates from the peer's last report and this node's in-flight statements; without a recent report, from the latter only. */
	estimateMs(access: 'read' | 'write' = 'read', priority = 0): number {
		const ownMs = this.answerTimes.averageMs * (1 + (this._load / this.endpoint.slots));
		return this._services.standings ? this._estimate.expectedMs(priority, ownMs, this._services.clock.nowMs()) : ownMs;
	}

	reportedWaitMs(priority: number): number {
		return this._estimate.reportedWaitMs(priority, certainForMs, this._services.clock.nowMs());
	}

	async run(statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>> {
		const {calls, peer} = this._services;
		return this._track(async () => calls.run(peer, this.endpoint.id, statement));
	}

	async begin(statement: EndpointStatement, isReadOnly: boolean): Promise<Either<StatementFault, BegunTransaction>> {
		const {calls, peer} = this._services;
		const begun = await this._track(async () => calls.begin(peer, this.endpoint.id, statement, isReadOnly));
		return begun.map(result => 'heldId' in result ? {held: this._heldTransaction(result.heldId)} : result);
	}

	closeIdle(): void {
		// The connections belong to the peer.
	}

	private _heldTransaction(heldId: HeldTransactionId): HeldTransaction {
		const {calls, peer} = this._services;
		let isEnded = false;
		const end = async (manner: EndManner): Promise<void> => {
			if (!isEnded) {
				isEnded = true;
				await calls.end(peer, heldId, manner);
			}
		};

		return {
			run: async statement => this._track(async () => calls.runHeld(peer, heldId, statement)),
			release() {
				void end('release');
			},
			rollBack: async () => end('rollBack'),
			close() {
				void end('close');
			},
		};
	}

	private async _track<T extends Attempted>(work: () => Promise<Either<StatementFault, T>>): Promise<Either<StatementFault, T>> {
		const {clock} = this._services;
		const startedAtMs = clock.nowMs();
		const isTrial = this._isTrialNext;
		this._isTrialNext = false;
		this._load += 1;
		const sent = this._estimate.noteSent(startedAtMs);
		try {
			const result = await work();
			const durationMs = clock.nowMs() - startedAtMs;
			this.answerTimes.note(durationMs);
			result.ifLeft(fault => {
				this._recordFault(fault);
			});
			this._recordReport(result.extract().load);
			if (isTrial) {
				this._endTrial(result, durationMs);
			}

			return result;
		} finally {
			this._load -= 1;
			this._estimate.noteEnded(sent);
		}
	}

	private _recordReport(load: LoadReport | undefined): void {
		const {clock, standings} = this._services;
		if (load && standings) {
			this._report = {load, atMs: clock.nowMs()};
			this._estimate.note(load, clock.nowMs());
			standings.noteFigures(this.endpoint, load);
		}
	}

	/** Judges a trial by a statement that the endpoint ran, or to which it gave no answer. */
	private _endTrial(result: Either<StatementFault, Attempted>, serviceMs: number): void {
		const {standings} = this._services;
		const error = result.map(({answer}) => answer?.error?.kind).orDefault(undefined);
		const isLost = result.isLeft() && result.extract().isSent && !result.extract().isPeerLost;
		const isRun = isLost || (result.isRight() && (error === undefined || !notServedErrors.has(error)));
		if (isRun) {
			standings?.endTrial(this.endpoint, {serviceMs, isFailed: isLost || error === 'failed'});
		} else {
			standings?.abandonTrial(this.endpoint);
		}
	}

	private _recordFault({cause, isPeerLost = false}: StatementFault): void {
		const {clock, avoidMs, onPeerLost} = this._services;
		if (isPeerLost) {
			onPeerLost();
		}

		if (isPeerLost || cause === 'refused' || cause === 'silent') {
			this._avoidedUntilMs = clock.nowMs() + avoidMs;
		}
	}
}
