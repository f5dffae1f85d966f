/**
 * Encodes replication messages as JSON text. NULL is `null` in JSON and undefined in memory.
 */
import type {
	Change, LogEntry, Row, StreamMessage, StreamRequest,
} from '../types.js';

/** Start of the statement that opens a stream; the request follows as JSON. */
export const startReplication = 'START_REPLICATION ';

/** Texts of entries. The same entry is sent to every follower, so it is encoded only once. */
const entryTexts = new WeakMap<LogEntry, string>();

function entryText(entry: LogEntry): string {
	let text = entryTexts.get(entry);
	if (text === undefined) {
		text = JSON.stringify(entry);
		entryTexts.set(entry, text);
	}

	return text;
}

/** Encodes one message. */
export function encodeMessage(message: StreamMessage): string {
	return message.kind === 'entries'
		? `{"kind":"entries","term":${message.term},"entries":[${message.entries.map(entry => entryText(entry)).join(',')}]}`
		: JSON.stringify(message);
}

/** Decodes one message from an instance of the same group. */
export function decodeMessage(text: string): StreamMessage {
	const message = JSON.parse(text) as StreamMessage; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- written by an instance of the same program.
	if (message.kind === 'entries') {
		return {...message, entries: message.entries.map(entry => ({...entry, changes: decodeChanges(entry.changes)}))};
	}

	if (message.kind === 'start' && message.snapshot) {
		return {...message, snapshot: {...message.snapshot, changes: decodeChanges(message.snapshot.changes)}};
	}

	return message;
}

/** Decodes the request in a statement that opens a stream; undefined for another statement. */
export function decodeRequest(statement: string): StreamRequest | undefined {
	if (!statement.startsWith(startReplication)) {
		return undefined;
	}

	return JSON.parse(statement.slice(startReplication.length)) as StreamRequest; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- written by an instance of the same program.
}

function decodeChanges(changes: readonly Change[]): Change[] {
	return changes.map(change => change.kind === 'put' ? {...change, row: decodeRow(change.row)} : change);
}

function decodeRow(row: Row): Row {
	return row.map(value => value ?? undefined);
}
