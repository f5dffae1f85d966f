/**
 * Seeded statements whose texts a careless codec misreads: words of the protocol, names that mean
 * something to the language, blanks, control characters, bytes above 127, long texts.
 */
import type {Random} from '../../src/common/services/services.js';
import type {CallerRecord, SessionStatement} from './caller-record.js';

/** Few plain words, so that one text often begins another. */
const plainWords = ['q0', 'qa', 'ni', 'vy', 'x'] as const;

const protocolWords = 'READ WRITE QUERY AFTERLSN EXECUTE PREPARE SET COMMIT DISCARD STARTUP READY ERROR COMPLETE DATAROW - 1.1 p1 read_q0 write_q0';
const languageWords = String.raw`__proto__ constructor prototype toString hasOwnProperty valueOf null undefined NaN 0 1e3 [] {} " \ %20 $0 | , =`;
const controlWords = ['a\tb', '\t', '\u0000', 'a\rb', 'a\nb', '\n', '\u0080', '\u00A0', '\u00E9', '\u00FF\u00FE', '\u0085', '\u001F'];
const oddWords: readonly string[] = [...protocolWords.split(' '), ...languageWords.split(' '), ...controlWords];

/** Names are few, so that sessions use the same ones. */
const names = ['s1', 's2', 's\u00FF', '__proto__', 'constructor', 'READ', 'p1', '\t'] as const;

const longTexts = [400, 5000, 70_000] as const;
/** Values go before every statement of their session on another connection, and so stay shorter. */
const longestValue = 5000;
const longShare = 0.02;
const oddShare = 0.4;
/** Share of the sessions without prepared statements that execute one. */
const unknownNameShare = 0.1;
const maximumWords = 4;

type Kind = SessionStatement['kind'];

/** How often each kind is chosen, relative to the others, outside of a transaction and inside of one. */
const weights = {
	outside: {
		prepare: 3, execute: 5, read: 1, write: 1, set: 1, deallocate: 1, begin: 2,
	},
	inside: {
		prepare: 1, execute: 4, read: 1, write: 1, set: 1, deallocate: 1, commit: 2, rollback: 1,
	},
} as const satisfies Readonly<Record<string, Partial<Readonly<Record<Kind, number>>>>>;

const kinds = {outside: weighted(weights.outside), inside: weighted(weights.inside)};

/** Chooses the statements of sessions. */
export class OddStatements {
	private readonly _random: Random;

	private readonly _makers: Readonly<Record<Kind, (record: CallerRecord, mayWrite: boolean) => SessionStatement>> = {
		begin: (record, mayWrite) => ({kind: 'begin', isReadOnly: !mayWrite || this._random.next() < 0.3}),
		commit: () => ({kind: 'commit'}),
		rollback: () => ({kind: 'rollback'}),
		read: () => ({kind: 'read', item: this.text()}),
		write: (record, mayWrite) => mayWrite ? {kind: 'write', item: this.word(), data: this.text()} : {kind: 'read', item: this.text()},
		set: () => ({kind: 'set', name: this._pick(names), value: this.text(longestValue)}),
		prepare: (record, mayWrite) => ({
			kind: 'prepare', name: this._pick(names), isWrite: mayWrite && this._random.next() < 0.4, shape: this.text(),
		}),
		execute: (record, mayWrite) => record.prepared.size === 0 && this._random.next() > unknownNameShare ? this._makers.prepare(record, mayWrite) : this._execute(record),
		deallocate: () => ({kind: 'deallocate', name: this._pick(names)}),
	};

	constructor(random: Random) {
		this._random = random;
	}

	/** The next statement of a session. */
	next(record: CallerRecord, mayWrite: boolean): SessionStatement {
		const kind = this._pick(kinds[record.isInTransaction ? 'inside' : 'outside']);
		return this._makers[kind](record, mayWrite);
	}

	/** A word, as any field but the last is one. */
	word(): string {
		return this._pick(this._random.next() < oddShare ? oddWords : plainWords);
	}

	/** A text for the last field: words with blanks between them, at times also before and after them. */
	text(longest = Number.POSITIVE_INFINITY): string {
		if (this._random.next() < longShare) {
			const length = Math.min(longest, this._pick(longTexts));
			return `${this.word()} `.repeat(length).slice(0, length);
		}

		const words = Array.from({length: 1 + Math.floor(this._random.next() * maximumWords)}, () => this.word());
		return this._pick(['', '', '', '', ' ']) + words.join(this._pick([' ', ' ', ' ', '  ', '\t'])) + this._pick(['', '', '', '', ' ', '  ']);
	}

	private _execute({prepared}: CallerRecord): SessionStatement {
		const [name, {isWrite}] = prepared.size === 0 ? [this._pick(names), {isWrite: false}] : this._pick([...prepared]);
		return {kind: 'execute', name, parameters: isWrite ? `${this.word()} ${this.text()}` : this.text()};
	}

	private _pick<T>(choices: readonly T[]): T {
		return choices[Math.floor(this._random.next() * choices.length)];
	}
}

function weighted(weightOf: Partial<Readonly<Record<Kind, number>>>): Kind[] {
	return Object.entries(weightOf).flatMap(([kind, weight]) => Array.from({length: weight}, () => kind as Kind)); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- keys of the table
}
