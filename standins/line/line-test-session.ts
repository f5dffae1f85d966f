/**
 * A caller's session with a node of the test cluster.
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

	/** Sends a statement and advances the clock until it is answered; resolves to the answer, with `|` for each line break. */
	async send(text: string, id = ''): Promise<string> {
		return this._clock.advanceUntil(this.start(text, id));
	}

	/** Sends a statement and leaves advancing the clock to the test; resolves to the answer as `send` does. */
	async start(text: string, id = ''): Promise<string> {
		this._count += 1;
		const message = lineWire.decodeCaller(`QUERY ${id === '' ? `q${this._count}` : id} ${text}`);
		if (message.kind !== 'statement') {
			throw new Error('expected a statement, found another kind of message');
		}

		const answer = await this.session.handle(message);
		return answer.trimEnd().replaceAll('\r\n', '|');
	}
}

/** Resolves to whether an answer starts with a text. */
export async function answerStartsWith(answer: Promise<string>, text: string): Promise<boolean> {
	const arrived = await answer;
	return arrived.startsWith(text);
}
