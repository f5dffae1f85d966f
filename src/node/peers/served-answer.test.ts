import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../../common/errors/error-kinds.js';
import {settle} from '../../common/testing/virtual-clock.js';
import {peerDefaults} from './constants.js';
import type {Envelope} from './generated/quetzalstream/peer.js';
import {LinkWriter} from './link-writer.js';
import {ServedAnswer} from './served-answer.js';
import {endWith} from './testing/link-pair.js';

/** Records the envelopes of each batch as `kind:length of the frames`, with `+` if the message continues. */
class RecordingStream {
	readonly batches: string[][] = [];
	isFull = false;

	write({envelopes}: {envelopes: Envelope[]}): boolean {
		this.batches.push(envelopes.map(({body}) => {
			const value = body?.value;
			const length = value && 'frames' in value ? value.frames.length : 0;
			return `${body?.$case}:${length}${value && 'hasMore' in value && value.hasMore ? '+' : ''}`;
		}));
		return !this.isFull;
	}
}

function answerOn(writer: LinkWriter, windowBytes = 1000): ServedAnswer {
	return new ServedAnswer({
		requestId: 1,
		writer,
		windowBytes,
		partBytes: 100,
		findHost: () => undefined,
		onSent() {
			// Not checked by these tests.
		},
	});
}

function startWriter(): {stream: RecordingStream; writer: LinkWriter} {
	const stream = new RecordingStream();
	const writer = new LinkWriter({...peerDefaults, batchBytes: 1000});
	writer.start(stream);
	return {stream, writer};
}

async function push(answer: ServedAnswer, length: number): Promise<void> {
	await answer.push(new Uint8Array(length));
}

describe('ServedAnswer', () => {
	it('sends a small answer as one envelope, and the answers of one event-loop turn as one batch', async () => {
		const {stream, writer} = startWriter();
		for (const answer of [answerOn(writer), answerOn(writer)]) {
			void push(answer, 10);
			void push(answer, 20);
			answer.end(Right(endWith()));
		}

		await settle();
		expect(stream.batches).toEqual([['answerEnd:30', 'answerEnd:30']]);
	});

	it('sends available frames without waiting for the end of the answer', async () => {
		const {stream, writer} = startWriter();
		const answer = answerOn(writer);
		void push(answer, 10);
		await settle();
		answer.end(Right(endWith()));
		await settle();
		expect(stream.batches).toEqual([['answerChunk:10'], ['answerEnd:0']]);
	});

	it('stops sending when the credit is used up, and makes the pusher wait', async () => {
		const {stream, writer} = startWriter();
		const answer = answerOn(writer, 150);
		let hasRoom = false;
		const pushing = async (): Promise<void> => {
			await push(answer, 400);
			hasRoom = true;
		};

		const pushed = pushing();
		await settle();
		expect([stream.batches, hasRoom]).toEqual([[['answerChunk:100+'], ['answerChunk:50+']], false]);
		answer.addCredit(200);
		await settle();
		await pushed;
		answer.end(Right(endWith()));
		await settle();
		expect(stream.batches.slice(2)).toEqual([['answerChunk:100+'], ['answerChunk:100+']]);
		answer.addCredit(200);
		await settle();
		expect(stream.batches.slice(4)).toEqual([['answerEnd:50']]);
	});

	it('alternates with other answers, and waits while the stream is full', async () => {
		const {stream, writer} = startWriter();
		stream.isFull = true;
		const large = answerOn(writer);
		const small = answerOn(writer);
		void push(large, 250);
		void push(small, 10);
		small.end(Right(endWith()));
		await settle();
		expect(stream.batches).toEqual([['answerChunk:100+', 'answerEnd:10']]);
		const another = answerOn(writer);
		void push(another, 10);
		another.end(Right(endWith()));
		await settle();
		expect(stream.batches.length).toEqual(1);
		stream.isFull = false;
		writer.onDrain();
		await settle();
		expect(stream.batches.slice(1)).toEqual([['answerChunk:100+', 'answerEnd:10'], ['answerChunk:50']]);
	});

	it('sends a refusal at once, without the frames that still wait', async () => {
		const {stream, writer} = startWriter();
		const answer = answerOn(writer, 50);
		void push(answer, 80);
		await settle();
		answer.end(Left(new Refusal('answerCutShort')));
		await settle();
		expect(stream.batches).toEqual([['answerChunk:50+'], ['refused:0']]);
	});
});
