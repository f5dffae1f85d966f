/**
 * Frames of the load's statements, encoded once.
 */
import {serialize} from 'pg-protocol';
import {preparedTexts, rowCount, simpleReadText} from './constants.js';
import type {Work} from './types.js';

/** Frames that prepare every statement of the load on a connection. */
export const prepareFrames = join([
	serialize.parse({name: 'read', text: preparedTexts.read}),
	serialize.parse({name: 'write', text: preparedTexts.write}),
	serialize.sync(),
]);

const frameBuilders: Record<Work, (id: number) => Uint8Array> = {
	preparedRead: id => execute('read', [String(id)]),
	simpleRead: id => serialize.query(simpleReadText(id)),
	preparedWrite: id => execute('write', [String(id), String(id + 1)]),
};

/** Frames of the requests for one kind of work, one request for each row. */
export function framesOf(work: Work): readonly Uint8Array[] {
	return Array.from({length: rowCount}, (_item, index) => frameBuilders[work](index));
}

function execute(statement: string, values: string[]): Uint8Array {
	return join([serialize.bind({statement, values}), serialize.execute(), serialize.sync()]);
}

function join(parts: readonly Uint8Array[]): Uint8Array {
	const joined = new Uint8Array(parts.reduce((sum, part) => sum + part.length, 0));
	let offset = 0;
	for (const part of parts) {
		joined.set(part, offset);
		offset += part.length;
	}

	return joined;
}
