/** Stands in for everything behind the caller listener in its tests. */
import {Left, Right, type Either} from 'purify-ts';
import {Refusal} from '../../../common/errors/error-kinds.js';
import type {
	AnswerSink, RequestCycle, RoutedSession, RouteEnd, Router, TransactionStatus,
} from '../../../common/services/services.js';
import {
	commandComplete, joinFrames, makeFrame, readText, readUint32, textRow, textRowDescription,
} from '../../../common/statements/frames.js';

/** A cycle that was run. */
export type ExecutedCycle = {
	/** Codes of its messages. */
	readonly codes: string;
	readonly texts: readonly string[];
	readonly cycle: RequestCycle;
	readonly session: RoutedSession;
	/** Whether the session's marks were complete. */
	readonly isComplete: boolean;
};

/** A cycle with this text waits until it is aborted. */
export const blockingText = 'select stuck';

/** A cycle with this text is answered with this many large pieces. */
export const largeText = 'select large';
export const largeAnswerChunks = 100;
const largePieceBytes = 100_000;

/** Splits joined messages into single ones. */
export function splitFrames(frames: Uint8Array): Uint8Array[] {
	const found: Uint8Array[] = [];
	for (let offset = 0; offset < frames.length;) {
		const end = offset + 1 + readUint32(frames, offset + 1);
		found.push(frames.subarray(offset, end));
		offset = end;
	}

	return found;
}

/** Answers each cycle as one endpoint would, and records it. */
export class FakeRouter implements Router {
	readonly ran: ExecutedCycle[] = [];
	readonly closed: RoutedSession[] = [];
	/** Refusals for the next cycles, first to last. */
	readonly refusals: Refusal[] = [];
	/** Called when a cycle starts to wait for its abort. */
	onBlocked: (() => void) | undefined;
	private _offset = 0;

	async execute(session: RoutedSession, cycle: RequestCycle, sink: AnswerSink, signal: AbortSignal): Promise<Either<Refusal, RouteEnd>> {
		const messages = splitFrames(cycle.frames);
		const texts = messages.flatMap(message => textOf(message));
		const codes = messages.map(message => codeOf(message)).join('');
		this.ran.push({
			codes, texts, cycle, session, isComplete: session.marks.isComplete,
		});
		const refusal = this.refusals.shift();
		if (refusal) {
			return this._refuse(session, refusal);
		}

		if (texts.includes(blockingText)) {
			return this._wait(signal);
		}

		for (const piece of texts.includes(largeText) ? largeAnswer() : []) {
			await sink.push(piece);
		}

		await sink.push(joinFrames(answerTo(messages)));
		return Right(this._end(session, texts));
	}

	close(session: RoutedSession): void {
		this.closed.push(session);
	}

	private _refuse(session: RoutedSession, refusal: Refusal): Either<Refusal, RouteEnd> {
		if (refusal.kind === 'transactionLost') {
			session.heldEndpoint = undefined;
			session.transactionStatus = 'idle';
		}

		return Left(refusal);
	}

	private async _wait(signal: AbortSignal): Promise<Either<Refusal, RouteEnd>> {
		this.onBlocked?.();
		return new Promise(resolve => {
			signal.addEventListener('abort', () => {
				resolve(Left(new Refusal('cancelled')));
			});
		});
	}

	private _end(session: RoutedSession, texts: readonly string[]): RouteEnd {
		const transactionStatus = statusAfter(session.transactionStatus, texts);
		session.heldEndpoint = transactionStatus === 'idle' ? undefined : 'a1';
		const position = {term: 1, offset: ++this._offset};
		session.marks.advance(session.group, position);
		return {transactionStatus, endpoint: 'a1', position};
	}
}

function codeOf(message: Uint8Array): string {
	return String.fromCodePoint(message[0] ?? 0);
}

function textOf(message: Uint8Array): string[] {
	const code = codeOf(message);
	const offset = code === 'P' ? readText(message, 5)?.end ?? 0 : 5;
	return code === 'Q' || code === 'P' ? [readText(message, offset)?.text ?? ''] : [];
}

function statusAfter(status: TransactionStatus, texts: readonly string[]): TransactionStatus {
	const last = texts.at(-1)?.toLowerCase() ?? '';
	if (last.startsWith('begin')) {
		return 'open';
	}

	if (/^(?:commit|rollback)$/v.test(last)) {
		return 'idle';
	}

	return status !== 'idle' && last.includes('wrong') ? 'failed' : status;
}

const syntaxError = makeFrame(0x45, new TextEncoder().encode('SERROR\0C42601\0Msyntax error\0\0'));

/** Answers the messages of a cycle, up to the first error. */
function answerTo(messages: readonly Uint8Array[]): Uint8Array[] {
	const answers: Uint8Array[] = [];
	let text = '';
	for (const message of messages) {
		text = textOf(message)[0] ?? text;
		const isRunning = /[QE]/v.test(codeOf(message));
		if (isRunning && text.includes('wrong')) {
			return [...answers, syntaxError];
		}

		answers.push(...answerToMessage(message, text));
	}

	return answers;
}

function answerToMessage(message: Uint8Array, text: string): readonly Uint8Array[] {
	const row = textRow(text);
	const answers: ReadonlyMap<string, readonly Uint8Array[]> = new Map([
		['Q', [textRowDescription('text'), row, commandComplete('SELECT 1')]],
		['P', [makeFrame(0x31)]],
		['B', [makeFrame(0x32)]],
		['C', [makeFrame(0x33)]],
		['D', message[5] === 0x53 ? [makeFrame(0x74, new Uint8Array(2)), textRowDescription('text')] : [textRowDescription('text')]],
		['E', [row, commandComplete('SELECT 1')]],
	]);
	return answers.get(codeOf(message)) ?? [];
}

function largeAnswer(): Uint8Array[] {
	const row = textRow('x'.repeat(largePieceBytes));
	return [textRowDescription('text'), ...Array.from({length: largeAnswerChunks}, () => row)];
}
