/**
 * Calls to other nodes over gRPC.
 */
import {
	Client, connectivityState, credentials, status,
} from '@grpc/grpc-js';
import type {MethodDefinition, ServiceError} from '@grpc/grpc-js';
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../../common/errors/error-kinds.js';
import type {
	EndpointStatement, ReportedStatus, StatementFault, TimedAnswer,
} from '../../common/pools/types.js';
import type {
	Clock, EndManner, ForwardedBegin, GroupOverview, PeerCalls, PeerNode, PeerNotice, StoredRows,
} from '../../common/services/services.js';
import type {ForwardedAnswer, ForwardedRequest} from '../peers/generated/quetzalstream/direct.js';
import {notFollowed} from '../../common/peering/shared-rows.js';
import {directPeerDefaults} from './constants.js';
import {
	fromFault, fromOverviewAnswer, fromReply, fromRowsAnswer, fromStatusAnswer, manners, toForwarded, toNotice,
} from './conversion.js';
import {directChannelOptions, directService} from './service-definition.js';

type Channel = {
	readonly client: Client;
	readonly incarnation: string;
};

/** Keeps a channel to each peer that was called. */
export class DirectPeerClient implements PeerCalls {
	private readonly _clock: Clock;
	private readonly _channels = new Map<string, Channel>();

	constructor(clock: Clock) {
		this._clock = clock;
	}

	async tell(peer: PeerNode, notice: PeerNotice, timeoutMs: number): Promise<Either<string, PeerNode>> {
		const answer = await this._call(peer, directService.tell, toNotice(notice), timeoutMs);
		return answer.mapLeft(({details}) => details).map(({self}) => self ?? peer);
	}

	async overview(peer: PeerNode, service: string, timeoutMs: number): Promise<Either<string, readonly GroupOverview[]>> {
		const answer = await this._call(peer, directService.overview, {service}, timeoutMs);
		return answer.mapLeft(({details}) => details).map(overview => fromOverviewAnswer(overview));
	}

	async status(peer: PeerNode, endpointId: string, timeoutMs: number): Promise<Either<StatementFault, ReportedStatus>> {
		const sentAtMs = this._clock.nowMs();
		const answer = await this._call(peer, directService.status, {endpointId, timeoutMs}, timeoutMs + directPeerDefaults.answerMarginMs);
		return answer
			.mapLeft(error => lostPeer(peer, error, true))
			.chain(found => {
				if (found.outcome?.$case === 'fault') {
					return Left(fromFault(found.outcome.value));
				}

				const report = fromStatusAnswer(found, sentAtMs);
				return report ? Right(report) : Left(unreadable());
			});
	}

	async rows(peer: PeerNode, table: string, afterVersion: number, waitMs: number): Promise<Either<string, StoredRows>> {
		const answer = await this._call(peer, directService.rows, {table, afterVersion, waitMs}, waitMs + directPeerDefaults.answerMarginMs);
		return answer
			.mapLeft(({details}) => details)
			.chain(found => found.isFollowed ? Right(fromRowsAnswer(found, table)) : Left(notFollowed));
	}

	async run(peer: PeerNode, endpointId: string, statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>> {
		const work = {$case: 'run', value: toForwarded(statement, this._clock)} as const;
		return this._timed(this._forward(peer, {endpointId, work}, statement));
	}

	async begin(peer: PeerNode, endpointId: string, statement: EndpointStatement, isReadOnly: boolean): Promise<Either<StatementFault, ForwardedBegin>> {
		const work = {$case: 'begin', value: {statement: toForwarded(statement, this._clock), isReadOnly}} as const;
		const answer = await this._forward(peer, {endpointId, work}, statement);
		return answer.chain(({outcome}) => {
			if (outcome?.$case === 'heldId') {
				return Right({heldId: outcome.value});
			}

			return outcome?.$case === 'reply' ? Right({answer: fromReply(outcome.value)}) : Left(unreadable());
		});
	}

	async runHeld(peer: PeerNode, heldId: number, statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>> {
		const work = {$case: 'runHeld', value: {heldId, statement: toForwarded(statement, this._clock)}} as const;
		return this._timed(this._forward(peer, {endpointId: '', work}, statement));
	}

	async end(peer: PeerNode, heldId: number, manner: EndManner): Promise<void> {
		// The peer rolls back what nobody ends, so that a lost call does no harm.
		await this._call(peer, directService.run, {
			endpointId: '', work: {$case: 'end', value: {heldId, manner: manners[manner]}},
		}, directPeerDefaults.endTimeoutMs);
	}

	dispose(): void {
		for (const name of this._channels.keys()) {
			this._drop(name);
		}
	}

	private async _forward(peer: PeerNode, request: ForwardedRequest, {deadlineMs, silenceMs}: EndpointStatement): Promise<Either<StatementFault, ForwardedAnswer>> {
		const leftMs = Math.max(1, deadlineMs - this._clock.nowMs());
		const connected = await this._connected(peer, leftMs);
		if (connected.isLeft()) {
			// Nothing was sent on a connection that never was ready.
			return Left(lostPeer(peer, connected.extract(), false));
		}

		const timeoutMs = Math.min(leftMs, silenceMs ?? leftMs) + directPeerDefaults.answerMarginMs;
		const answer = await this._call(peer, directService.run, request, timeoutMs);
		return answer
			// Whether the peer sent it on is not known.
			.mapLeft(error => lostPeer(peer, error, true))
			.chain(forwarded => forwarded.outcome?.$case === 'fault' ? Left(fromFault(forwarded.outcome.value)) : Right(forwarded));
	}

	/** Counted from the call, an answer is never taken for newer than it is. */
	private async _timed(forwarding: Promise<Either<StatementFault, ForwardedAnswer>>): Promise<Either<StatementFault, TimedAnswer>> {
		const sentAtMs = this._clock.nowMs();
		const answer = await forwarding;
		return answer.chain(({outcome}) => outcome?.$case === 'reply'
			? Right({answer: fromReply(outcome.value), sentAtMs})
			: Left(unreadable()));
	}

	/** Waits a moment for the connection to a peer, unless there is one. */
	private async _connected(peer: PeerNode, leftMs: number): Promise<Either<{readonly details: string}, undefined>> {
		const {client} = this._channel(peer);
		if (client.getChannel().getConnectivityState(true) === connectivityState.READY) {
			return Right(undefined);
		}

		return new Promise(resolve => {
			client.waitForReady(Date.now() + Math.min(leftMs, directPeerDefaults.connectTimeoutMs), error => {
				resolve(error ? Left({details: `no connection: ${error.message}`}) : Right(undefined));
			});
		});
	}

	private async _call<Request, Answer>(
		peer: PeerNode,
		method: MethodDefinition<Request, Answer>,
		request: Request,
		timeoutMs: number,
	): Promise<Either<ServiceError, Answer>> {
		const {client} = this._channel(peer);
		const {path, requestSerialize, responseDeserialize} = method;
		return new Promise(resolve => {
			client.makeUnaryRequest(path, requestSerialize, responseDeserialize, request, {deadline: Date.now() + timeoutMs}, (error, answer) => {
				if (error) {
					this._onError(peer, client, error);
					resolve(Left(error));
				} else {
					resolve(Right(answer!));
				}
			});
		});
	}

	/** A connection that fell silent shows only by this; a new one is opened then. */
	private _onError(peer: PeerNode, client: Client, {code}: ServiceError): void {
		if (code === status.DEADLINE_EXCEEDED && this._channels.get(peer.name)?.client === client) {
			this._drop(peer.name);
		}
	}

	private _channel(peer: PeerNode): Channel {
		const known = this._channels.get(peer.name);
		if (known?.incarnation === peer.incarnation) {
			return known;
		}

		this._drop(peer.name);
		const client = new Client(`${peer.host}:${peer.port}`, credentials.createInsecure(), directChannelOptions);
		const channel = {client, incarnation: peer.incarnation};
		this._channels.set(peer.name, channel);
		return channel;
	}

	private _drop(name: string): void {
		this._channels.get(name)?.client.close();
		this._channels.delete(name);
	}
}

function lostPeer({name}: PeerNode, {details}: {readonly details: string}, isSent: boolean): StatementFault {
	return {isSent, refusal: new Refusal('peerUnavailable', `${name}: ${details}`), isPeerLost: true};
}

function unreadable(): StatementFault {
	return {isSent: true, refusal: new Refusal('peerUnavailable', 'the answer of the peer cannot be read')};
}
