/**
 * The answering side of links between nodes.
 */
import {Server, ServerCredentials} from '@grpc/grpc-js';
import type {Either} from 'purify-ts';
import {Refusal} from '../../common/errors/error-kinds.js';
import type {StatementFault, TimedAnswer} from '../../common/pools/types.js';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import type {Clock, Log, PeerRequestHandlers} from '../../common/services/services.js';
import type {
	ForwardedAnswer, ForwardedRequest, LinkAnswer, LinkCall, Notice, NoticeAnswer, OverviewAnswer, OverviewRequest, RowsRequest,
	StatusAnswer, StatusRequest, UsageAnswer, UsageRequest,
} from '../peers/generated/quetzalstream/direct.js';
import {
	fromForwarded, fromNotice, mannerOf, toFault, toLoadReport, toNotice, toOverviewAnswer, toReply, toRowsAnswer, toStatusAnswer,
} from './conversion.js';
import {unsolicitedId} from './constants.js';
import {encodeAnswer} from './link-messages.js';
import type {RowsSender} from './rows-sender.js';
import {directChannelOptions, directService} from './service-definition.js';
import type {AnswerStream} from './types.js';

/** The calling side of a stream. */
type Requester = {
	readonly stream: AnswerStream;
	/** Name of the calling node; empty if it is not known. */
	name: string;
};

type ServerServices = {
	readonly clock: Clock;
	readonly log: Log;
	readonly requests: PeerRequestHandlers;
	readonly configurationVersion: () => number;
	/** Sends large rows in parts to peers that accept it; undefined if they are always sent whole. */
	readonly rowsSender?: RowsSender;
	/** Called with the name of a peer that has acknowledged a part of a transfer, and so is alive. */
	readonly onPeerAlive?: (name: string) => void;
};

const emptyAnswer: ForwardedAnswer = {outcome: undefined, load: undefined};

/** Answers the calls of peers on one port. */
export class DirectPeerServer implements Disposable {
	private readonly _services: ServerServices;
	private readonly _server = new Server(directChannelOptions);
	private readonly _streams = new Set<AnswerStream>();
	private _leavingNotice: LinkAnswer | undefined;

	constructor(services: ServerServices) {
		this._services = services;
		this._server.addService(directService, {
			link: (stream: AnswerStream) => {
				this.serve(stream);
			},
		});
	}

	/** Listens on an address, with port 0 on any free port; resolves with the port, and rejects if the address is in use. */
	async listen(host: string, port: number): Promise<number> {
		return new Promise((resolve, reject) => {
			this._server.bindAsync(`${host}:${port}`, ServerCredentials.createInsecure(), (error, boundPort) => {
				if (error) {
					reject(error);
				} else {
					resolve(boundPort);
				}
			});
		});
	}

	/**
	 * Notifies every node that is linked to this one, now or later, that this one leaves. Only linked
	 * nodes use this one, so no other node needs to be called.
	 */
	announceLeaving(): void {
		const {name, incarnation} = this._services.requests.self();
		this._leavingNotice = {id: unsolicitedId, answer: {$case: 'notice', value: toNotice({kind: 'left', name, incarnation})}};
		for (const stream of this._streams) {
			this._write(stream, this._leavingNotice);
		}
	}

	/** Answers the calls of one stream. */
	serve(stream: AnswerStream): void {
		this._streams.add(stream);
		if (this._leavingNotice) {
			this._write(stream, this._leavingNotice);
		}

		stream.on('close', () => {
			this._streams.delete(stream);
			this._services.rowsSender?.forget(stream);
		});
		const requester: Requester = {stream, name: ''};
		stream.on('data', (call: LinkCall) => {
			void this._answer(requester, call);
		});
		stream.on('end', () => {
			stream.end();
		});
		stream.on('error', () => {
			// The peer is gone, and answers to its calls are dropped.
		});
	}

	dispose(): void {
		this._services.rowsSender?.dispose();
		this._server.forceShutdown();
	}

	private async _answer(requester: Requester, {id, call}: LinkCall): Promise<void> {
		const {stream} = requester;
		if (call?.$case === 'rowsReceived') {
			this._services.rowsSender?.acknowledge(stream, id, call.value.parts);
			this._reportAlive(requester);
			return;
		}

		if (call?.$case === 'rows') {
			requester.name = call.value.requester;
			await this._answerRows(requester, id, call.value);
			return;
		}

		let answer: LinkAnswer['answer'];
		try {
			answer = await this._answerTo(call);
		} catch (error) {
			this._services.log.event('peerHandlerFailed', {error});
		}

		this._write(stream, {id, answer});
	}

	private _write(stream: AnswerStream, answer: LinkAnswer): void {
		if (!stream.writable) {
			return;
		}

		const encoded = encodeAnswer(answer).chainLeft(fault => {
			this._services.log.event('peerAnswerUnsendable', {call: answer.answer?.$case, ...fault});
			return encodeAnswer({id: answer.id, answer: replacementFor(answer.answer)});
		});
		encoded.ifRight(bytes => {
			stream.write(bytes);
		});
	}

	/** Answers a request for rows, in parts if the peer accepts them and the rows are large. */
	private async _answerRows({stream}: Requester, id: number, {table, afterVersion, waitMs, acceptsParts}: RowsRequest): Promise<void> {
		const {requests, rowsSender, log} = this._services;
		let answer: LinkAnswer['answer'];
		try {
			const rows = await requests.rows(table, afterVersion, waitMs);
			if (rows && acceptsParts && rowsSender?.send(stream, id, table, rows)) {
				return;
			}

			answer = {$case: 'rows', value: toRowsAnswer(rows)};
		} catch (error) {
			log.event('peerHandlerFailed', {error});
		}

		this._write(stream, {id, answer});
	}

	private _reportAlive({name}: Requester): void {
		if (name !== '') {
			this._services.onPeerAlive?.(name);
		}
	}

	private async _answerTo(call: LinkCall['call']): Promise<LinkAnswer['answer']> {
		switch (call?.$case) {
			case 'tell': {
				return {$case: 'tell', value: this._tell(call.value)};
			}

			case 'overview': {
				return {$case: 'overview', value: await this._overview(call.value)};
			}

			case 'run': {
				return {$case: 'run', value: await this._run(call.value)};
			}

			case 'status': {
				return {$case: 'status', value: await this._status(call.value)};
			}

			case 'usage': {
				return {$case: 'usage', value: await this._usage(call.value)};
			}

			case 'rows':
			case 'rowsReceived':
			case undefined: {
				return undefined;
			}
		}
	}

	private _tell(notice: Notice): NoticeAnswer {
		const {requests} = this._services;
		const known = fromNotice(notice);
		if (known) {
			requests.onNotice(known);
		}

		return {self: requests.self()};
	}

	private async _overview({service}: OverviewRequest): Promise<OverviewAnswer> {
		const {requests, configurationVersion} = this._services;
		return toOverviewAnswer(await requests.overview(service), configurationVersion());
	}

	private async _status({endpointId, timeoutMs}: StatusRequest): Promise<StatusAnswer> {
		const result = await this._services.requests.status(endpointId, timeoutMs);
		return result.isLeft() ? {outcome: toFault(result.extract())} : toStatusAnswer(result.unsafeCoerce());
	}

	private async _usage(request: UsageRequest): Promise<UsageAnswer> {
		const grant = await this._services.requests.takeUsage(request);
		return grant ? {isKnown: true, ...grant} : {isKnown: false, operations: 0, retryAfterMs: 0};
	}

	private async _run({endpointId, work}: ForwardedRequest): Promise<ForwardedAnswer> {
		const {requests, clock} = this._services;
		switch (work?.$case) {
			case 'run': {
				const result = await requests.run(endpointId, fromForwarded(work.value, clock));
				return toForwardedAnswer(result);
			}

			case 'begin': {
				const {statement, isReadOnly} = work.value;
				return statement ? this._begin(endpointId, fromForwarded(statement, clock), isReadOnly) : emptyAnswer;
			}

			case 'runHeld': {
				const {heldId, incarnation, statement} = work.value;
				if (!statement) {
					return emptyAnswer;
				}

				const result = await requests.runHeld({number: heldId, incarnation}, fromForwarded(statement, clock));
				return toForwardedAnswer(result);
			}

			case 'end': {
				const {heldId, incarnation, manner} = work.value;
				await requests.end({number: heldId, incarnation}, mannerOf(manner));
				return emptyAnswer;
			}

			case undefined: {
				return emptyAnswer;
			}
		}
	}

	private async _begin(endpointId: string, statement: Parameters<PeerRequestHandlers['begin']>[1], isReadOnly: boolean): Promise<ForwardedAnswer> {
		const result = await this._services.requests.begin(endpointId, statement, isReadOnly);
		if (result.isLeft()) {
			return toForwardedFault(result.extract());
		}

		const begun = result.unsafeCoerce();
		const load = begun.load && toLoadReport(begun.load);
		return 'heldId' in begun
			? {outcome: {$case: 'heldId', value: begun.heldId.number}, heldIncarnation: begun.heldId.incarnation, load}
			: {outcome: {$case: 'reply', value: toReply(begun.answer)}, load};
	}
}

/** What is sent in place of an answer that cannot be sent: the statement may have run, and any other call has failed. */
function replacementFor(answer: LinkAnswer['answer']): LinkAnswer['answer'] {
	return answer?.$case === 'run'
		? {$case: 'run', value: toForwardedFault({isSent: true, refusal: new Refusal('answerCutShort', 'the answer cannot be sent between nodes')})}
		: undefined;
}

function toForwardedAnswer(result: Either<StatementFault, TimedAnswer>): ForwardedAnswer {
	if (result.isLeft()) {
		return toForwardedFault(result.extract());
	}

	const {answer, load} = result.unsafeCoerce();
	return {outcome: {$case: 'reply', value: toReply(answer)}, load: load && toLoadReport(load)};
}

function toForwardedFault(fault: StatementFault): ForwardedAnswer {
	return {outcome: toFault(fault), load: fault.load && toLoadReport(fault.load)};
}
