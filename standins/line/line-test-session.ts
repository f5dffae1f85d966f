/**
 * A caller's session with a node of the bench.
 */
import {lineWire} from '../../platform/line-wire.js';
import type {LineSession} from '../../src/common/line-sessions/line-session.js';
import type {VirtualClock} from '../../src/common/testing/virtual-clock.js';

/** A session whose statements run on the virtual clock. */
export class LineTestSession {
	readonly session: LineSession;
	private readonly _clock: VirtualClock;
	private _count = 0;

	constructor(session: LineSession, clock: VirtualClock) {
		this.session = session;
		this._clock = clock;
	}

	/** Sends a statement; resolves with its answer, the ends of lines written as `|`. */
	async send(text: string, id = ''): Promise<string> {
		return this._clock.advanceUntil(this.start(text, id));
	}

	/** Sends a statement and leaves time to the test. */
	async start(text: string, id = ''): Promise<string> {
		this._count += 1;
		const message = lineWire.decodeCaller(`QUERY ${id === '' ? `q${this._count}` : id} ${text}`);
		if (message.kind !== 'statement') {
			throw new Error('not a statement');
		}

		const answer = await this.session.handle(message);
		return answer.trimEnd().replaceAll('\r\n', '|');
	}
}

/** Whether an answer that is on its way will begin with a text. */
export async function answerStartsWith(answer: Promise<string>, text: string): Promise<boolean> {
	const arrived = await answer;
	return arrived.startsWith(text);
}
