/**
 * Calls to other nodes over gRPC.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../../common/errors/error-kinds.js';
import type {ErrorKind} from '../../common/errors/error-kinds.js';
import {joinKey} from '../../common/join-key.js';
import {noAnswerInTime, noBudgetHere} from '../../common/organisations/usage-limits.js';
import {notFollowedReason} from '../../common/peering/delegating-row-store.js';
import type {
	EndpointStatement, ReportedStatus, StatementFault, TimedAnswer,
} from '../../common/pools/types.js';
import type {
	Clock, EndManner, ForwardedBegin, GroupOverview, HeldTransactionId, Log, Metrics, PeerCalls, PeerNode, PeerNotice, StoredRows, BudgetRequest, UsageGrant,
} from '../../common/services/services.js';
import type {ForwardedAnswer, ForwardedRequest, RowsRequest} from '../peers/generated/quetzalstream/direct.js';
import {directPeerDefaults} from './constants.js';
import {
	fromFault, fromLoadReport, fromOverviewAnswer, fromReply, fromRowsAnswer, fromStatusAnswer, manners, toForwarded, toNotice,
} from './conversion.js';
import {GrpcTransport} from './grpc-transport.js';
import type {UnsendableMessage} from './link-messages.js';
import {PeerLink, transferEndedReason} from './peer-link.js';
import type {
	AnsweredKind, AnswerTo, Call, CallFailure, NoticeListener,
} from './peer-link.js';
import type {LinkTransport} from './types.js';

/** Options of the calls to peers. */
export type PeerClientOptions = {
	/** Connects to a peer; over gRPC by default. */
	readonly connect?: (peer: PeerNode) => LinkTransport;
	/** Receives large rows in compressed parts; undefined if they are requested whole. */
	readonly rowTransfers?: {
		/** Name of this node. */
		readonly self: string;
		readonly log: Log;
		readonly metrics: Metrics;
	};
};

/** Kinds of the refusals of statements that were not sent. */
const unsendableKinds: Record<UnsendableMessage['cause'], ErrorKind> = {tooLarge: 'messageTooLarge', invalid: 'invalidParameter'};

/** A request for rows that may be answered in parts. */
type Transfer = {
	readonly afterVersion: number;
	/** When the peer began to send parts; undefined before. */
	begunAtMs?: number;
	readonly answer: Promise<Either<string, StoredRows>>;
};

/** Calls peers over one link each, opened at the first call and closed when idle or lost. */
export class DirectPeerClient implements PeerCalls {
	private readonly _clock: Clock;
	private readonly _onNotice: NoticeListener;
	private readonly _options: PeerClientOptions;
	private readonly _links = new Map<string, PeerLink>();
	/** Answers with rows that are being received in parts, by peer and table. */
	private readonly _transfers = new Map<string, Transfer>();

	constructor(clock: Clock, onNotice: NoticeListener, options: PeerClientOptions = {}) {
		this._clock = clock;
		this._onNotice = onNotice;
		this._options = options;
	}

	async tell(peer: PeerNode, notice: PeerNotice, timeoutMs: number): Promise<Either<string, PeerNode>> {
		const answer = await this._call(peer, {$case: 'tell', value: toNotice(notice)}, timeoutMs);
		return answer.bimap(({reason}) => reason, ({self}) => self ?? peer);
	}

	async overview(peer: PeerNode, service: string, timeoutMs: number): Promise<Either<string, readonly GroupOverview[]>> {
		const answer = await this._call(peer, {$case: 'overview', value: {service}}, timeoutMs);
		return answer.bimap(({reason}) => reason, overview => fromOverviewAnswer(overview));
	}

	async status(peer: PeerNode, endpointId: string, timeoutMs: number): Promise<Either<StatementFault, ReportedStatus>> {
		const sentAtMs = this._clock.nowMs();
		const call = {$case: 'status', value: {endpointId, timeoutMs}} as const;
		const answer = await this._call(peer, call, timeoutMs + directPeerDefaults.answerMarginMs);
		return answer
			.mapLeft(failure => peerFault(peer, failure, false))
			.chain(found => {
				if (found.outcome?.$case === 'fault') {
					return Left(fromFault(found.outcome.value));
				}

				const report = fromStatusAnswer(found, sentAtMs);
				return report ? Right(report) : Left(unreadable());
			});
	}

	async rows(peer: PeerNode, table: string, afterVersion: number, waitMs: number): Promise<Either<string, StoredRows>> {
		const {rowTransfers} = this._options;
		if (!rowTransfers) {
			return this._requestRows(peer, {
				table, afterVersion, waitMs, acceptsParts: false, requester: '',
			}, waitMs + directPeerDefaults.answerMarginMs);
		}

		const key = transferKey(peer, table);
		const known = this._transfers.get(key);
		if (known && known.afterVersion <= afterVersion && (afterVersion > 0 || known.afterVersion === 0)) {
			// The rows that this request asks for are already being sent. Their proof dates from the earlier request.
			const answer = await known.answer;
			return answer.map(rows => ({...rows, provedAfterMs: Number.NEGATIVE_INFINITY}));
		}

		const request = {
			table, afterVersion, waitMs, acceptsParts: true, requester: rowTransfers.self,
		};
		const timeoutMs = waitMs + directPeerDefaults.rowsMarginMs;
		const transfer: Transfer = {
			afterVersion, answer: this._requestRows(peer, request, timeoutMs, () => {
				transfer.begunAtMs = this._clock.nowMs();
				this._transfers.set(key, transfer);
			}),
		};
		const answer = await transfer.answer;
		if (this._transfers.get(key) === transfer) {
			this._transfers.delete(key);
		}

		this._recordTransfer(peer, table, transfer, answer);
		return answer;
	}

	isReceivingRows(peer: PeerNode, table: string): boolean {
		return this._transfers.has(transferKey(peer, table));
	}

	async run(peer: PeerNode, endpointId: string, statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>> {
		const work = {$case: 'run', value: toForwarded(statement, this._clock)} as const;
		return this._withSentTime(this._forward(peer, {endpointId, work}, statement));
	}

	async begin(peer: PeerNode, endpointId: string, statement: EndpointStatement, isReadOnly: boolean): Promise<Either<StatementFault, ForwardedBegin>> {
		const work = {$case: 'begin', value: {statement: toForwarded(statement, this._clock), isReadOnly}} as const;
		const answer = await this._forward(peer, {endpointId, work}, statement);
		return answer.chain<StatementFault, ForwardedBegin>(({outcome, load, heldIncarnation}) => {
			if (outcome?.$case === 'heldId') {
				return Right({heldId: {number: outcome.value, incarnation: heldIncarnation}, load: load && fromLoadReport(load)});
			}

			return outcome?.$case === 'reply' ? Right({answer: fromReply(outcome.value), load: load && fromLoadReport(load)}) : Left(unreadable());
		});
	}

	async runHeld(peer: PeerNode, {number, incarnation}: HeldTransactionId, statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>> {
		const work = {$case: 'runHeld', value: {heldId: number, incarnation, statement: toForwarded(statement, this._clock)}} as const;
		return this._withSentTime(this._forward(peer, {endpointId: '', work}, statement));
	}

	async end(peer: PeerNode, {number, incarnation}: HeldTransactionId, manner: EndManner): Promise<void> {
		// If this call is lost, the peer rolls the transaction back after its idle timeout.
		const work = {$case: 'end', value: {heldId: number, incarnation, manner: manners[manner]}} as const;
		await this._call(peer, {$case: 'run', value: {endpointId: '', work}}, directPeerDefaults.endTimeoutMs);
	}

	async takeUsage(peer: PeerNode, request: BudgetRequest, timeoutMs: number): Promise<Either<string, UsageGrant>> {
		const link = this._link(peer);
		const answer = await this._call(peer, {$case: 'usage', value: request}, timeoutMs);
		return answer.mapLeft(({reason}) => link.isLost ? reason : noAnswerInTime).chain(({isKnown, operations, retryAfterMs}) => isKnown ? Right({operations, retryAfterMs}) : Left(noBudgetHere));
	}

	/** Records that a peer was heard from over a link of its own to this node. */
	noteAlive(name: string): void {
		this._links.get(name)?.noteAlive();
	}

	dispose(): void {
		for (const link of this._links.values()) {
			link.dispose();
		}

		this._links.clear();
	}

	private async _requestRows(peer: PeerNode, request: RowsRequest, timeoutMs: number, onTransfer?: () => void): Promise<Either<string, StoredRows>> {
		const first = await this._call(peer, {$case: 'rows', value: request}, timeoutMs, onTransfer);
		const isTransferEnded = first.swap().map(({reason}) => reason === transferEndedReason).orDefault(false);
		const answer = isTransferEnded ? await this._call(peer, {$case: 'rows', value: request}, timeoutMs, onTransfer) : first;
		return answer.mapLeft(({reason}) => reason).chain(found => found.isFollowed ? Right(fromRowsAnswer(found, request.table)) : Left(notFollowedReason));
	}

	private _recordTransfer(peer: PeerNode, table: string, {begunAtMs}: Transfer, answer: Either<string, StoredRows>): void {
		const {rowTransfers} = this._options;
		if (begunAtMs === undefined || !rowTransfers) {
			return;
		}

		const tookMs = this._clock.nowMs() - begunAtMs;
		rowTransfers.metrics.count('rowTransfersTotal', {direction: 'received', outcome: answer.isRight() ? 'done' : 'lost'});
		rowTransfers.metrics.observe('rowTransferMs', tookMs);
		answer.ifLeft(reason => {
			rowTransfers.log.event('rowTransferFailed', {
				peer: peer.name, table, reason, tookMs,
			});
		});
	}

	private async _forward(peer: PeerNode, request: ForwardedRequest, {deadlineMs}: EndpointStatement): Promise<Either<StatementFault, ForwardedAnswer>> {
		const remainingMs = Math.max(1, deadlineMs - this._clock.nowMs());
		const link = this._link(peer);
		const connected = await link.waitUntilConnected(Math.min(remainingMs, directPeerDefaults.connectTimeoutMs));
		if (connected.isLeft()) {
			return Left(notConnected(peer, connected.extract()));
		}

		const answer = await this._call(peer, {$case: 'run', value: request}, remainingMs + directPeerDefaults.answerMarginMs);
		return answer
			// It is unknown whether the peer forwarded the statement. A peer that answers other calls is not lost, only slow with this one.
			.mapLeft(failure => peerFault(peer, failure, link.isLost))
			.chain(forwarded => forwarded.outcome?.$case === 'fault'
				? Left({...fromFault(forwarded.outcome.value), load: forwarded.load && fromLoadReport(forwarded.load)})
				: Right(forwarded));
	}

	/** Adds the time of the call to an answer: dated back to the call, it never counts as newer than it is. */
	private async _withSentTime(forwarding: Promise<Either<StatementFault, ForwardedAnswer>>): Promise<Either<StatementFault, TimedAnswer>> {
		const sentAtMs = this._clock.nowMs();
		const answer = await forwarding;
		return answer.chain(({outcome, load}) => outcome?.$case === 'reply'
			? Right({answer: fromReply(outcome.value), sentAtMs, load: load && fromLoadReport(load)})
			: Left(unreadable()));
	}

	private async _call<Kind extends AnsweredKind>(peer: PeerNode, call: Extract<Call, {$case: Kind}>, timeoutMs: number, onTransfer?: () => void): Promise<Either<CallFailure, AnswerTo<Kind>>> {
		const link = this._link(peer);
		const answer = await link.call<Kind>(call, timeoutMs, onTransfer);
		if (link.isLost && this._links.get(peer.name) === link) {
			this._links.delete(peer.name);
			link.closeWhenIdle();
		}

		return answer;
	}

	private _link(peer: PeerNode): PeerLink {
		const known = this._links.get(peer.name);
		if (known?.incarnation === peer.incarnation) {
			return known;
		}

		known?.closeWhenIdle();
		this._closeIdleLinks();
		const link = new PeerLink(peer.incarnation, this._connect(peer), this._clock, this._onNotice);
		this._links.set(peer.name, link);
		return link;
	}

	private _connect(peer: PeerNode): LinkTransport {
		return this._options.connect?.(peer) ?? new GrpcTransport(peer);
	}

	/** Closes links that are idle, as to nodes that are no home or coordinator any more; runs whenever a new link is opened. */
	private _closeIdleLinks(): void {
		for (const [name, link] of this._links) {
			if (link.idleForMs >= directPeerDefaults.idleLinkMs) {
				this._links.delete(name);
				link.closeWhenIdle();
			}
		}
	}
}

function transferKey({name, incarnation}: PeerNode, table: string): string {
	return joinKey(name, incarnation, table);
}

function notConnected({name}: PeerNode, reason: string): StatementFault {
	return {isSent: false, isPeerLost: true, refusal: new Refusal('peerUnavailable', `${name}: ${reason}`)};
}

function peerFault({name}: PeerNode, {reason, unsendable}: CallFailure, isPeerLost: boolean): StatementFault {
	return unsendable
		? {isSent: false, isPeerLost: false, refusal: new Refusal(unsendableKinds[unsendable], reason)}
		: {isSent: true, isPeerLost, refusal: new Refusal('peerUnavailable', `${name}: ${reason}`)};
}

function unreadable(): StatementFault {
	return {isSent: true, refusal: new Refusal('peerUnavailable', 'the answer of the peer cannot be read')};
}
