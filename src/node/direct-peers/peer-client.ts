/**
 * Calls to other nodes over gRPC.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../../common/errors/error-kinds.js';
import {noBudgetHere} from '../../common/organisations/usage-limits.js';
import {notFollowedReason} from '../../common/peering/delegating-row-store.js';
import type {
	EndpointStatement, ReportedStatus, StatementFault, TimedAnswer,
} from '../../common/pools/types.js';
import type {
	Clock, EndManner, ForwardedBegin, GroupOverview, PeerCalls, PeerNode, PeerNotice, StoredRows, BudgetRequest, UsageGrant,
} from '../../common/services/services.js';
import type {ForwardedAnswer, ForwardedRequest} from '../peers/generated/quetzalstream/direct.js';
import {directPeerDefaults} from './constants.js';
import {
	fromFault, fromLoadReport, fromOverviewAnswer, fromReply, fromRowsAnswer, fromStatusAnswer, manners, toForwarded, toNotice,
} from './conversion.js';
import {PeerLink} from './peer-link.js';
import type {AnswerTo, Call, NoticeListener} from './peer-link.js';

/** Calls peers over one link each, opened at the first call and closed when idle or lost. */
export class DirectPeerClient implements PeerCalls {
	private readonly _clock: Clock;
	private readonly _onNotice: NoticeListener;
	private readonly _links = new Map<string, PeerLink>();

	constructor(clock: Clock, onNotice: NoticeListener) {
		this._clock = clock;
		this._onNotice = onNotice;
	}

	async tell(peer: PeerNode, notice: PeerNotice, timeoutMs: number): Promise<Either<string, PeerNode>> {
		const answer = await this._call(peer, {$case: 'tell', value: toNotice(notice)}, timeoutMs);
		return answer.map(({self}) => self ?? peer);
	}

	async overview(peer: PeerNode, service: string, timeoutMs: number): Promise<Either<string, readonly GroupOverview[]>> {
		const answer = await this._call(peer, {$case: 'overview', value: {service}}, timeoutMs);
		return answer.map(overview => fromOverviewAnswer(overview));
	}

	async status(peer: PeerNode, endpointId: string, timeoutMs: number): Promise<Either<StatementFault, ReportedStatus>> {
		const sentAtMs = this._clock.nowMs();
		const call = {$case: 'status', value: {endpointId, timeoutMs}} as const;
		const answer = await this._call(peer, call, timeoutMs + directPeerDefaults.answerMarginMs);
		return answer
			.mapLeft(reason => peerFault(peer, reason, {isSent: true, isPeerLost: false}))
			.chain(found => {
				if (found.outcome?.$case === 'fault') {
					return Left(fromFault(found.outcome.value));
				}

				const report = fromStatusAnswer(found, sentAtMs);
				return report ? Right(report) : Left(unreadable());
			});
	}

	async rows(peer: PeerNode, table: string, afterVersion: number, waitMs: number): Promise<Either<string, StoredRows>> {
		const call = {$case: 'rows', value: {table, afterVersion, waitMs}} as const;
		const answer = await this._call(peer, call, waitMs + directPeerDefaults.answerMarginMs);
		return answer.chain(found => found.isFollowed ? Right(fromRowsAnswer(found, table)) : Left(notFollowedReason));
	}

	async run(peer: PeerNode, endpointId: string, statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>> {
		const work = {$case: 'run', value: toForwarded(statement, this._clock)} as const;
		return this._withSentTime(this._forward(peer, {endpointId, work}, statement));
	}

	async begin(peer: PeerNode, endpointId: string, statement: EndpointStatement, isReadOnly: boolean): Promise<Either<StatementFault, ForwardedBegin>> {
		const work = {$case: 'begin', value: {statement: toForwarded(statement, this._clock), isReadOnly}} as const;
		const answer = await this._forward(peer, {endpointId, work}, statement);
		return answer.chain(({outcome, load}) => {
			if (outcome?.$case === 'heldId') {
				return Right({heldId: outcome.value, load: load && fromLoadReport(load)});
			}

			return outcome?.$case === 'reply' ? Right({answer: fromReply(outcome.value), load: load && fromLoadReport(load)}) : Left(unreadable());
		});
	}

	async runHeld(peer: PeerNode, heldId: number, statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>> {
		const work = {$case: 'runHeld', value: {heldId, statement: toForwarded(statement, this._clock)}} as const;
		return this._withSentTime(this._forward(peer, {endpointId: '', work}, statement));
	}

	async end(peer: PeerNode, heldId: number, manner: EndManner): Promise<void> {
		// If this call is lost, the peer rolls the transaction back after its idle timeout.
		const work = {$case: 'end', value: {heldId, manner: manners[manner]}} as const;
		await this._call(peer, {$case: 'run', value: {endpointId: '', work}}, directPeerDefaults.endTimeoutMs);
	}

	async takeUsage(peer: PeerNode, request: BudgetRequest, timeoutMs: number): Promise<Either<string, UsageGrant>> {
		const answer = await this._call(peer, {$case: 'usage', value: request}, timeoutMs);
		return answer.chain(({isKnown, operations, retryAfterMs}) => isKnown ? Right({operations, retryAfterMs}) : Left(noBudgetHere));
	}

	dispose(): void {
		for (const link of this._links.values()) {
			link.dispose();
		}

		this._links.clear();
	}

	private async _forward(peer: PeerNode, request: ForwardedRequest, {deadlineMs}: EndpointStatement): Promise<Either<StatementFault, ForwardedAnswer>> {
		const remainingMs = Math.max(1, deadlineMs - this._clock.nowMs());
		const link = this._link(peer);
		const connected = await link.waitUntilConnected(Math.min(remainingMs, directPeerDefaults.connectTimeoutMs));
		if (connected.isLeft()) {
			return Left(peerFault(peer, connected.extract(), {isSent: false, isPeerLost: true}));
		}

		const answer = await this._call(peer, {$case: 'run', value: request}, remainingMs + directPeerDefaults.answerMarginMs);
		return answer
			// It is unknown whether the peer forwarded the statement. A peer that answers other calls is not lost, only slow with this one.
			.mapLeft(reason => peerFault(peer, reason, {isSent: true, isPeerLost: link.isLost}))
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

	private async _call<Kind extends Call['$case']>(peer: PeerNode, call: Extract<Call, {$case: Kind}>, timeoutMs: number): Promise<Either<string, AnswerTo<Kind>>> {
		const link = this._link(peer);
		const answer = await link.call<Kind>(call, timeoutMs);
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
		const link = new PeerLink(peer, this._clock, this._onNotice);
		this._links.set(peer.name, link);
		return link;
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

function peerFault({name}: PeerNode, reason: string, facts: Pick<StatementFault, 'isSent' | 'isPeerLost'>): StatementFault {
	return {...facts, refusal: new Refusal('peerUnavailable', `${name}: ${reason}`)};
}

function unreadable(): StatementFault {
	return {isSent: true, refusal: new Refusal('peerUnavailable', 'the answer of the peer cannot be read')};
}
