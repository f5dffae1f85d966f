/**
 * Replication messages as JSON text. NULL is `null` there and undefined in memory.
 */
import type {
	Change, LogEntry, Row, StreamMessage, StreamRequest,
} from '../types.js';

/** Statement that opens a stream; its request follows as JSON. */
export const startReplication = 'START_REPLICATION ';

/** The same entry goes to every follower: it is encoded once. */
const entryTexts = new WeakMap<LogEntry, string>();

function entryText(entry: LogEntry): string {
	let text = entryTexts.get(entry);
	if (text === undefined) {
		text = JSON.stringify(entry);
		entryTexts.set(entry, text);
	}

	return text;
}

/** Text of one message. */
export function encodeMessage(message: StreamMessage): string {
	return message.kind === 'entries'
		? `{"kind":"entries","term":${message.term},"entries":[${message.entries.map(entry => entryText(entry)).join(',')}]}`
		: JSON.stringify(message);
}

/** Reads one message of an instance of the same group. */
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

/** The request in a statement that opens a stream. */
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
